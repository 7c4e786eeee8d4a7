package stand

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

// contact is the bound ContactMs of the settings.
const contact = 4 * time.Second

// poison lets one caller send a request that crashes each server which begins to run it, again and
// again, while others place orders. The rule BUDGET is broken if it reaches servers more than three
// times later than ContactMs after it has crashed the third.
func poison(rec *recorder, dir string, trouble bool) bool {
	s := newStore()
	l := listen("127.0.0.1")
	go http.Serve(l, s)
	var mu sync.Mutex
	var third time.Duration
	crashes, late, lost := 0, 0, 0
	onRun := func(server, id string, r *http.Request, body []byte) bool {
		bad := strings.HasPrefix(id, "bad")
		if !bad {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		now := rec.now()
		if third != 0 && now > third+contact {
			late++
		}
		rec.log("server %s begins to run %s (%s %s)", server, id, r.Method, r.RequestURI)
		if !trouble {
			return false
		}
		crashes++
		if crashes == 3 {
			third = now
		}
		rec.log("server %s crashes, for the %d. time by this request", server, crashes)
		return true
	}
	onCut := func(server, id string) {
		mu.Lock()
		defer mu.Unlock()
		if third != 0 && rec.now() > third+contact {
			lost++
		}
		rec.log("the crash of %s breaks off %s of another caller", server, id)
	}
	for i := range 3 {
		p := &plainServer{name: fmt.Sprintf("desk%d", i+1), service: "order-desk", slots: 6, store: s, work: 15 * time.Millisecond, onRun: onRun, onCut: onCut}
		p.start()
	}
	configure(s, 1, route("r-place", "/place/", "non_idempotent", "order-desk", 2000, 1))
	startDaemons(3, dir, l.Addr().String())
	time.Sleep(2 * time.Second)
	rec.log("all daemons are ready")
	stop := make(chan struct{})
	var others sync.WaitGroup
	served, failed := 0, 0
	for c := range 12 {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				status, _, _ := answerTo(daemons[(c+n)%3], "POST", "/place/order", fmt.Sprintf("good-%d-%d", c, n), fmt.Sprintf("order %d of %d", n, c), 2*time.Second, http.Header{})
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	// The caller sends the request again every half second, at any machine.
	for n := 0; rec.now() < 108*time.Second; n++ {
		id := fmt.Sprintf("bad-%d", n)
		d := daemons[n%3]
		status, _, _ := answerTo(d, "POST", "/place/poison", id, "the same body", 2*time.Second, http.Header{})
		if status != http.StatusServiceUnavailable {
			rec.log("caller: %s at %s is answered %d", id, d.name, status)
		}
		mu.Lock()
		done := late > 3
		mu.Unlock()
		if done {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.log("other callers: %d served, %d not", served, failed)
	rec.log("crashes by the request: %d, the third at %.3f s", crashes, third.Seconds())
	rec.log("arrivals at servers later than %v after the third crash: %d (3 are allowed); orders of other callers broken off by them: %d", contact, late, lost)
	return trouble && late > 3
}
