package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// drainLimit is DrainMs of the test daemons' settings: how long after the store has
// acknowledged that a server leaves requests may still reach it.
const drainLimit = 3 * time.Second

// TestPlatformServerThatLeftIsNotRevivedByADaemonBackFromTheStore guards against requests
// that reach a server long after it has left: a daemon that the store had turned away came
// back, kept the server's removed entry as if an outage had lost it, and its snapshots
// brought the server back into use at daemons that had dropped it.
func TestPlatformServerThatLeftIsNotRevivedByADaemonBackFromTheStore(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	p.injectStoreFault("busy", p.daemons[0])
	time.Sleep(2500 * time.Millisecond) // until the daemon's waiting calls end
	p.addServer("i-a", "desk", "")      // preferred: the first by name of equal servers
	p.eventually(3*time.Second, "requests reach the new server", func() bool { return p.reaches(1, "i-a") })
	left := time.Now()
	p.callAdmin(http.MethodPost, "/servers/i-a/unlist", nil)
	p.eventually(time.Second, "the server is no longer used", func() bool { return !p.reaches(1, "i-a") })
	time.Sleep(time.Until(left.Add(2500 * time.Millisecond)))
	p.configure(nil) // the store's version goes on, so that its next answer counts as news
	p.injectStoreFault("")
	p.expectNoArrivalsAfter(left.Add(drainLimit), "i-a", 3*time.Second)
}

// TestPlatformServerThatLeavesGetsNoWorkWhenTheFollowersFallSilent guards against a daemon
// that uses a server too long because the two daemons of its data centre that follow the
// store for it have silent connections: each hop was bounded, their sum was not.
func TestPlatformServerThatLeavesGetsNoWorkWhenTheFollowersFallSilent(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	time.Sleep(time.Second) // until the third daemon no longer follows the store
	p.addServer("i-a", "desk", "")
	p.eventually(3*time.Second, "requests reach the new server", func() bool { return p.reaches(2, "i-a") })
	p.injectStoreFault("silent", p.daemons[0], p.daemons[1])
	left := time.Now()
	p.callAdmin(http.MethodPost, "/servers/i-a/drain", nil)
	p.expectNoArrivalsAfter(left.Add(drainLimit), "i-a", 2*time.Second)
}

// reaches sends an order through a daemon and reports whether it reached the server.
func (p *usersPlatform) reaches(daemon int, server string) bool {
	p.t.Helper()
	p.probes++
	id := fmt.Sprintf("probe-%d", p.probes)
	if answer := p.send(p.daemons[daemon], id, "/order/x", "an order", nil); answer.status != http.StatusOK {
		return false
	}
	for _, a := range p.arrivals(id) {
		if a.Server == server {
			return true
		}
	}
	return false
}

// expectNoArrivalsAfter sends orders through all daemons in turn for a while after the
// limit and fails the test if any reaches the server then.
func (p *usersPlatform) expectNoArrivalsAfter(limit time.Time, server string, span time.Duration) {
	p.t.Helper()
	late := map[string]int{}
	var last time.Duration
	for i := 0; time.Now().Before(limit.Add(span)); i++ {
		d := i % len(p.daemons)
		if p.reaches(d, server) && time.Now().After(limit) {
			late[p.daemons[d].name]++
			last = time.Since(limit)
		}
	}
	if len(late) > 0 {
		p.t.Errorf("requests reached %s up to %d ms after the limit, by daemon: %v", server, last.Milliseconds(), late)
	}
}
