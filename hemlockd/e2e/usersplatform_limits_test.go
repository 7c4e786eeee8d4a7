package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// limitGrace is the time from when a server first names its limit until it must be kept.
	limitGrace = 4 * time.Second
	// limitWindow is the span over which requests are counted.
	limitWindow = 4 * time.Second
)

// allowedInWindow returns how many requests a server with a limit may get in limitWindow.
func allowedInWindow(perSecond float64) float64 { return 1.5*perSecond*limitWindow.Seconds() + 5 }

// nameLimit makes a server name a limit in its answers; 0 ends it.
func (p *usersPlatform) nameLimit(server string, perSecond float64) {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/servers/"+server+"/limit", map[string]any{"perSecond": perSecond})
}

// limitLoad sends requests to the desk service through all daemons in turn.
type limitLoad struct {
	p        *usersPlatform
	interval time.Duration

	mu       sync.Mutex
	statuses map[int]int
	reasons  map[string]int
	sending  sync.WaitGroup
}

// run sends for a time and waits for the answers.
func (l *limitLoad) run(span time.Duration) {
	started := time.Now()
	for i := 0; time.Since(started) < span; i++ {
		d := l.p.daemons[i%len(l.p.daemons)]
		l.sending.Go(func() { l.send(d, fmt.Sprintf("limit-%d-%d", started.UnixNano(), i)) })
		time.Sleep(l.interval)
	}
	l.sending.Wait()
}

func (l *limitLoad) send(d *platformDaemon, attempt string) {
	resp := l.p.send(d, attempt, "/order/x", "a body", nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[resp.status]++
	if resp.status == http.StatusServiceUnavailable {
		l.reasons[problemReason(resp.body)]++
	}
}

// problemReason returns the reason in a problem document.
func problemReason(body string) string {
	var problem struct{ Reason string }
	if err := decodeJSON(strings.NewReader(body), &problem); err != nil {
		return body
	}
	return problem.Reason
}

// mostInWindow returns the largest number of requests that reached a server within limitWindow,
// from a moment on, and how many did in all.
func (p *usersPlatform) mostInWindow(server string, from time.Time) (most, total int) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.addr.Admin + "/runs")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var at []int64
	for _, a := range decodeArrivals(p.t, resp.Body) {
		if a.Server == server && a.AtMs >= from.UnixMilli() {
			at = append(at, a.AtMs)
		}
	}
	return mostWithin(at), len(at)
}

// mostWithin returns the largest number of moments (Unix ms, ascending) within limitWindow.
func mostWithin(at []int64) (most int) {
	first := 0
	for i := range at {
		for at[i]-at[first] >= limitWindow.Milliseconds() {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestPlatformLimitOfAServerIsKeptOverAllDaemons guards against daemons that send a server more than
// the limit that it names: 84 requests in 4 s at a limit of 7.3 a second.
func TestPlatformLimitOfAServerIsKeptOverAllDaemons(t *testing.T) {
	const limit = 7.3
	p := deployUsersPlatform(t, 6)
	p.addServer("i-desk3", "desk", "")
	load := &limitLoad{p: p, interval: 15 * time.Millisecond, statuses: map[int]int{}, reasons: map[string]int{}}
	load.run(time.Second)
	named := time.Now()
	p.nameLimit("i-desk1", limit)
	p.nameLimit("i-desk2", limit)
	load.run(14 * time.Second)
	for _, server := range []string{"i-desk1", "i-desk2"} {
		most, total := p.mostInWindow(server, named.Add(limitGrace))
		if float64(most) > allowedInWindow(limit) {
			t.Errorf("%s got %d requests in %v, at most %.0f are allowed", server, most, limitWindow, allowedInWindow(limit))
		}
		if used := float64(total) / (limit * 10); used < 0.7 {
			t.Errorf("%s got %.2f of what it offers, want 0.7 or more", server, used)
		}
	}
	if load.statuses[http.StatusOK] == 0 || len(load.statuses) > 1 {
		t.Errorf("statuses %v, want 200 for all: i-desk3 has no limit", load.statuses)
	}
}

// TestPlatformRequestsBeyondAllLimitsAreRefused limits all servers of a service.
func TestPlatformRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	const limit = 10
	p := deployUsersPlatform(t, 3)
	load := &limitLoad{p: p, interval: 20 * time.Millisecond, statuses: map[int]int{}, reasons: map[string]int{}}
	load.run(500 * time.Millisecond)
	p.nameLimit("i-desk1", limit)
	p.nameLimit("i-desk2", limit)
	load.run(limitGrace)
	from := time.Now()
	load.statuses, load.reasons = map[int]int{}, map[string]int{}
	load.run(8 * time.Second)
	for _, server := range []string{"i-desk1", "i-desk2"} {
		if most, _ := p.mostInWindow(server, from); float64(most) > allowedInWindow(limit) {
			t.Errorf("%s got %d requests in %v, at most %.0f are allowed", server, most, limitWindow, allowedInWindow(limit))
		}
	}
	served, refused := load.statuses[http.StatusOK], load.reasons["upstreamLimited"]
	if served < 2*limit*8*7/10 || refused == 0 || len(load.statuses) != 2 || len(load.reasons) != 1 {
		t.Errorf("statuses %v, reasons %v, want 160 served or nearly so and the rest refused as upstreamLimited", load.statuses, load.reasons)
	}
	p.nameLimit("i-desk1", 0)
	p.nameLimit("i-desk2", 0)
	load.run(time.Second)
	load.statuses = map[int]int{}
	load.run(time.Second)
	if load.statuses[http.StatusOK] == 0 || len(load.statuses) != 1 {
		t.Errorf("statuses %v after the limits have ended, want 200 only", load.statuses)
	}
}

// TestPlatformLimitsOfEnginesAreKept guards prefills, decodes and repeats, which all count as requests
// to an engine.
func TestPlatformLimitsOfEnginesAreKept(t *testing.T) {
	const limit = 6
	p := deployUsersPlatform(t, 3)
	statuses := &statusCounts{counts: map[string]int{}}
	var sending sync.WaitGroup
	run := func(span time.Duration) {
		started := time.Now()
		for i := 0; time.Since(started) < span; i++ {
			d, attempt := p.daemons[i%len(p.daemons)], fmt.Sprintf("engine-%d-%d", started.UnixNano(), i)
			sending.Go(func() {
				resp := p.stream(d, attempt, "resumable", 2)
				statuses.add(response{status: resp.status, body: resp.body})
			})
			time.Sleep(40 * time.Millisecond)
		}
		sending.Wait()
	}
	run(time.Second)
	limited := []string{"i-dec1", "i-pre1"}
	for _, server := range limited {
		p.nameLimit(server, limit)
	}
	run(limitGrace)
	from := time.Now()
	run(8 * time.Second)
	for _, server := range limited {
		most, total := p.mostInWindow(server, from)
		t.Logf("%s: at most %d requests in %v, %d in all", server, most, limitWindow, total)
		if float64(most) > allowedInWindow(limit) {
			t.Errorf("%s got %d requests in %v, at most %.0f are allowed", server, most, limitWindow, allowedInWindow(limit))
		}
	}
	if statuses.counts["200"] == 0 {
		t.Errorf("answers %v, want most served: the other engines have no limit", statuses.counts)
	}
	t.Logf("answers %v", statuses.counts)
}
