package stand

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["slashes"] = slashes }

// slashes has the operator add a route whose prefix is "/", and clients that send paths of all
// kinds, before and after. The rule UNASKED is broken if a server runs a request with another path
// or query than the client sent.
func slashes(rec *recorder, dir string, trouble bool) bool {
	s := newStore()
	l := listen("127.0.0.1")
	go http.Serve(l, s)
	var mu sync.Mutex
	sent := map[string]string{}
	changed, ran := 0, 0
	onRun := func(server, id string, r *http.Request, body []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		// A server takes both forms of a request target: a path, and a URL whose path counts.
		path := r.RequestURI
		if r.URL.Host != "" {
			path = r.URL.RequestURI()
		}
		want, known := sent[id]
		ran++
		rec.log("server %s runs %s: request line %q, path %s; the client sent %s", server, id, r.Method+" "+r.RequestURI, path, want)
		if !known || path != want {
			changed++
			rec.log("  BROKEN: the path is not the client's")
		}
		return false
	}
	for i := range 3 {
		p := &plainServer{name: fmt.Sprintf("desk%d", i+1), service: "order-desk", slots: 6, store: s, work: 15 * time.Millisecond, onRun: onRun}
		p.start()
	}
	place := route("r-place", "/place/", "non_idempotent", "order-desk", 2000, 1)
	configure(s, 1, place)
	startDaemons(3, dir, l.Addr().String())
	time.Sleep(2 * time.Second)
	targets := []string{
		"/place/order-1", "/place//order-2", "/place/a%2Fb?x=1&y=%20", "/place/a;b?c=d;e",
		"/stock/7", "//place/order-3", "//stock/7?zone=a", "///stock/8", "//7",
	}
	n := 0
	round := func() {
		for _, target := range targets {
			for _, d := range daemons {
				n++
				id := fmt.Sprintf("c-%d", n)
				mu.Lock()
				sent[id] = target
				mu.Unlock()
				status, _, _ := answerTo(d, "POST", target, id, "an order", 2*time.Second, http.Header{})
				rec.log("client: %s POST %s at %s is answered %d", id, target, d.name, status)
			}
		}
	}
	round()
	if trouble {
		configure(s, 4, place, route("r-rest", "/", "non_idempotent", "order-desk", 2000, 1))
		rec.log("the operator's version 4 is acknowledged; it adds the route with the prefix /")
	}
	time.Sleep(4 * time.Second)
	round()
	mu.Lock()
	defer mu.Unlock()
	rec.log("%d requests were run, %d of them with another path than the client's", ran, changed)
	return changed > 0
}
