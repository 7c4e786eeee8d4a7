package stand

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

const (
	// memoryLimit is MemoryMb of the settings, in bytes.
	memoryLimit = 134 << 20
	// usualClients is the number of clients at each daemon, and burstClients that at 2.3 times the traffic.
	usualClients, burstClients = 8, 18
	// burstSpan is how long the burst lasts.
	burstSpan = 4 * time.Second
	// endsAllowed is the number of ends of its processes from which a machine counts for the rule.
	endsAllowed = 3
)

// anonymous returns a process's own memory, without its program file, in bytes; 0 if it has ended.
func anonymous(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb << 10
		}
	}
	return 0
}

// bodies has clients place orders with bodies as large as the configuration allows, and for a while
// 2.3 times as many. The platform kills a process that exceeds MemoryMb and starts it again a second
// later. The rule "Fault" is broken if processes end by that three times on two machines.
func bodies(rec *recorder, dir string, trouble bool) bool {
	s := newStore()
	l := listen("127.0.0.1")
	go http.Serve(l, s)
	for i := range 3 {
		p := &plainServer{
			name: fmt.Sprintf("desk%d", i+1), service: "order-desk", slots: 6, store: s, work: 15 * time.Millisecond,
			onRun: func(string, string, *http.Request, []byte) bool { return false },
		}
		p.start()
	}
	configure(s, 1, route("r-place", "/place/", "non_idempotent", "order-desk", 2000, 1))
	startDaemons(2, dir, l.Addr().String())
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var guards, clients sync.WaitGroup
	ends := make([]int, len(daemons))
	peaks := make([]int, len(daemons))
	for i, d := range daemons {
		guards.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				used := anonymous(d.cmd.Process.Pid)
				peaks[i] = max(peaks[i], used)
				if used <= memoryLimit {
					continue
				}
				ends[i]++
				rec.log("platform: %s has %d MB of its own; it is killed, for the %d. time", d.name, used>>20, ends[i])
				d.kill()
				time.Sleep(time.Second)
				d.start()
			}
		})
	}
	body := strings.Repeat("x", 4<<20)
	var mu sync.Mutex
	answers := map[string]int{}
	from, until := 3*time.Second, 3*time.Second+burstSpan
	began := time.Now()
	for i, d := range daemons {
		for c := range burstClients {
			clients.Go(func() {
				for n := 0; time.Since(began) < until+3*time.Second; n++ {
					now := time.Since(began)
					if c >= usualClients && (!trouble || now < from || now > until) {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					status, _, text := answerTo(d, "POST", "/place/order", fmt.Sprintf("o-%d-%d-%d", i, c, n), body, 2*time.Second, http.Header{})
					result := strconv.Itoa(status)
					if status == 0 {
						result = "no whole answer"
						if strings.Contains(text, "refused") {
							result = "no connection"
							time.Sleep(100 * time.Millisecond)
						}
					}
					mu.Lock()
					answers[result]++
					mu.Unlock()
				}
			})
		}
	}
	clients.Wait()
	close(stop)
	guards.Wait()
	machines := 0
	for i, d := range daemons {
		rec.log("%s: at most %d MB, killed %d times for its memory", d.name, peaks[i]>>20, ends[i])
		if ends[i] >= endsAllowed {
			machines++
		}
	}
	rec.log("answers: %v", answers)
	rec.log("machines on which processes ended by themselves %d times: %d", endsAllowed, machines)
	return machines >= 2
}
