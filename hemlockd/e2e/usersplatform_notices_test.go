package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// announce makes a server say something of itself in all answers.
func (p *usersPlatform) announce(server string, announcement map[string]any) {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/servers/"+server+"/announce", announcement)
}

// earnRetries sends calls of both kinds, so that the retry budget of a daemon that has just started allows
// some repeats.
func (p *usersPlatform) earnRetries(d *platformDaemon) {
	var sending sync.WaitGroup
	for i := range 40 {
		sending.Go(func() {
			p.send(d, fmt.Sprintf("earn-%d", i), "/order/x", "an order", nil)
			p.stream(d, fmt.Sprintf("earn-%d-stream", i), "resumable", 1)
		})
		time.Sleep(25 * time.Millisecond)
	}
	sending.Wait()
}

// serverArrivals returns the arrivals at a server from a moment on.
func (p *usersPlatform) serverArrivals(server string, from time.Time) []arrival {
	p.t.Helper()
	resp, err := http.Get("http://" + p.addr.Admin + "/runs")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	return slices.DeleteFunc(decodeArrivals(p.t, resp.Body), func(a arrival) bool {
		return a.Server != server || a.AtMs < from.UnixMilli()
	})
}

// TestPlatformServerThatSaysItLeavesGetsNothing guards against requests that reach a server after it has
// said in an answer that it shuts down, while the store still lists it as ready.
func TestPlatformServerThatSaysItLeavesGetsNothing(t *testing.T) {
	const span = 6 * time.Second
	for _, test := range []struct {
		name    string
		daemons int
		all     bool // requests go through all daemons
		cut     bool // the daemon is cut off from the store
	}{
		{"one daemon, cut off from the store", 1, false, true},
		{"six daemons, requests at one", 6, false, false},
		{"six daemons, requests at all", 6, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := deployUsersPlatform(t, test.daemons)
			p.addServer("i-a", "desk", "") // preferred: the first by name of equal servers
			p.eventually(3*time.Second, "requests reach the new server", func() bool { return p.reaches(0, "i-a") })
			if test.cut {
				p.injectStoreFault("silent", p.daemons...)
			}
			p.announce("i-a", map[string]any{"leaving": true})
			p.announce("i-dec1", map[string]any{"leaving": true})
			started := time.Now()
			var sending sync.WaitGroup
			for i := 0; time.Since(started) < span; i++ {
				d := p.daemons[0]
				if test.all {
					d = p.daemons[i%len(p.daemons)]
				}
				id := fmt.Sprintf("leaving-%d", i)
				sending.Go(func() {
					if a := p.send(d, id, "/order/x", "an order", nil); a.status != http.StatusOK {
						t.Errorf("%s: %d %s", id, a.status, a.body)
					}
					if a := p.stream(d, id+"-stream", "resumable", 2); a.status != http.StatusOK {
						t.Errorf("%s: %d %s", id, a.status, a.body)
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
			sending.Wait()
			for _, server := range []string{"i-a", "i-dec1"} {
				// Each daemon may learn of it by one answer of its own; calls in flight are no new work.
				late := p.serverArrivals(server, started.Add(time.Second))
				if len(late) > 0 {
					t.Errorf("%s: %d requests later than 1 s after it said that it leaves, the last %d ms after",
						server, len(late), late[len(late)-1].AtMs-started.UnixMilli())
				}
			}
		})
	}
}

// TestPlatformServerThatTurnsAwayGetsNothingForAWhile guards against requests within the time for which a
// server has told the daemon to wait.
func TestPlatformServerThatTurnsAwayGetsNothingForAWhile(t *testing.T) {
	const pause = 3 * time.Second
	p := deployUsersPlatform(t, 1)
	p.earnRetries(p.daemons[0])
	paused := []string{"i-desk1", "i-dec1", "i-pre1"}
	for _, server := range paused {
		p.announce(server, map[string]any{"retryAfter": []string{"3"}})
	}
	started := time.Now()
	var sending sync.WaitGroup
	for i := 0; time.Since(started) < pause+2*time.Second; i++ {
		sending.Go(func() {
			if a := p.send(p.daemons[0], fmt.Sprintf("pause-%d", i), "/order/x", "an order", nil); a.status != http.StatusOK {
				t.Errorf("%d %s", a.status, a.body)
			}
			if a := p.stream(p.daemons[0], fmt.Sprintf("pause-%d-stream", i), "resumable", 2); a.status != http.StatusOK {
				t.Errorf("%d %s", a.status, a.body)
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	sending.Wait()
	for _, server := range paused {
		at := p.serverArrivals(server, started)
		if len(at) == 0 {
			t.Errorf("%s got no request", server)
			continue
		}
		inPause, after := 0, 0
		for _, a := range at {
			since := time.Duration(a.AtMs-at[0].AtMs) * time.Millisecond
			switch {
			case since > 500*time.Millisecond && since < pause:
				inPause++
			case since >= pause:
				after++
			}
		}
		if inPause > 0 || after == 0 {
			t.Errorf("%s: %d requests while it wanted none, %d after", server, inPause, after)
		}
	}
}

// TestPlatformRequestsAreRefusedWhenAllServersTurnAway checks what callers are told.
func TestPlatformRequestsAreRefusedWhenAllServersTurnAway(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	for _, server := range []string{"i-desk1", "i-desk2"} {
		p.announce(server, map[string]any{"retryAfter": []string{"20"}})
	}
	for i := range 4 { // each server is asked once; a daemon that has just started has no budget for retries yet
		p.send(p.daemons[0], fmt.Sprintf("first-%d", i), "/order/x", "an order", nil)
	}
	started := time.Now()
	a := p.send(p.daemons[0], "second", "/order/x", "an order", nil)
	if a.status != http.StatusServiceUnavailable || problemReason(a.body) != "upstreamsPaused" || time.Since(started) > 500*time.Millisecond {
		t.Errorf("%d %s after %v", a.status, a.body, time.Since(started))
	}
	if n := len(p.arrivals("second")); n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}
