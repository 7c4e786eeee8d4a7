package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"hemlockmux.example/common/operatorapi"
)

// mostRunsInWindow returns the largest number of runs that began at an upstream within limitWindow,
// from a moment on, and how many did in all.
func (d *deployment) mostRunsInWindow(upstream string, from time.Time) (most, total int) {
	var at []int64
	for _, e := range d.events() {
		if e.Event == "run" && e.Upstream == upstream && e.AtMs >= from.UnixMilli() {
			at = append(at, e.AtMs)
		}
	}
	return mostWithin(at), len(at)
}

// statusCounts counts the answers of calls by status and reason.
type statusCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *statusCounts) add(a response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := fmt.Sprint(a.status)
	if a.status >= http.StatusBadRequest {
		key += " " + problemReason(a.body)
	}
	c.counts[key]++
}

// TestLimitOfAnInstanceIsKeptOverAllDaemons guards against daemons that send an instance of a service
// more than the limit that it names.
func TestLimitOfAnInstanceIsKeptOverAllDaemons(t *testing.T) {
	const limit = 7.3
	d := deploy(t, options{daemons: 3, services: 2})
	counts := &statusCounts{counts: map[string]int{}}
	stop := runWorkers(6, func(w, i int) {
		counts.add(d.daemons[(w+i)%3].call(http.MethodGet, fmt.Sprintf("/services/order-desk/stock/%d-%d", w, i), ""))
		time.Sleep(50 * time.Millisecond)
	})
	defer stop()
	time.Sleep(time.Second)
	named := time.Now()
	d.injectFault("brandon-a-service-1", "limit", map[string]any{"perSecond": limit})
	time.Sleep(14 * time.Second)
	most, total := d.mostRunsInWindow("brandon-a-service-1", named.Add(limitGrace))
	if float64(most) > allowedInWindow(limit) {
		t.Errorf("%d requests in %v, at most %.0f are allowed", most, limitWindow, allowedInWindow(limit))
	}
	if used := float64(total) / (limit * 10); used < 0.6 {
		t.Errorf("%.2f of what the instance offers is used, want 0.6 or more", used)
	}
	var limits []operatorapi.LimitView
	if _, err := d.daemons[0].operator(http.MethodGet, "/v1/limits", nil, &limits); err != nil || len(limits) != 1 || limits[0].PerSecond != limit {
		t.Errorf("limits shown to operators: %+v, %v", limits, err)
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if len(counts.counts) != 1 {
		t.Errorf("answers %v, want 200 only: the other instance has no limit", counts.counts)
	}
}

// TestCallsBeyondAllLimitsAreRefused limits all instances of a service.
func TestCallsBeyondAllLimitsAreRefused(t *testing.T) {
	const limit = 10
	d := deploy(t, options{daemons: 2, services: 1})
	counts := &statusCounts{counts: map[string]int{}}
	d.injectFault("brandon-a-service-1", "limit", map[string]any{"perSecond": limit})
	stop := runWorkers(4, func(w, i int) {
		m := d.daemons[(w+i)%2]
		if w%2 == 0 {
			counts.add(m.call(http.MethodGet, fmt.Sprintf("/services/order-desk/stock/%d-%d", w, i), ""))
		} else {
			counts.add(m.createPlacement(fmt.Sprintf("w%d-i%d", w, i), "{}"))
		}
		time.Sleep(50 * time.Millisecond)
	})
	time.Sleep(limitGrace)
	from := time.Now()
	time.Sleep(8 * time.Second)
	stop()
	most, total := d.mostRunsInWindow("brandon-a-service-1", from)
	if float64(most) > allowedInWindow(limit) {
		t.Errorf("%d requests in %v, at most %.0f are allowed", most, limitWindow, allowedInWindow(limit))
	}
	if total < limit*8*6/10 {
		t.Errorf("%d requests in 8 s, want most of the %d that the instance offers", total, limit*8)
	}
	for key := range counts.counts {
		if key != "200" && key != "201" && key != "503 upstreamLimited" {
			t.Errorf("answers %v, want only 200, 201 and 503 upstreamLimited", counts.counts)
			break
		}
	}
	if counts.counts["503 upstreamLimited"] == 0 {
		t.Errorf("answers %v, want some refused as upstreamLimited", counts.counts)
	}
}

// TestLimitOfAnEngineIsKept guards prefills, decodes and resumptions at an engine of the own door.
func TestLimitOfAnEngineIsKept(t *testing.T) {
	const limit = 3
	d := deploy(t, options{daemons: 2, prefill: 2, decode: 2})
	counts := &statusCounts{counts: map[string]int{}}
	stop := runWorkers(6, func(w, i int) {
		counts.add(d.daemons[(w+i)%2].complete(fmt.Sprintf("w%d i%d", w, i), 5))
	})
	time.Sleep(time.Second)
	limited := []string{"brandon-a-decode-1", "brandon-a-prefill-1"}
	for _, engine := range limited {
		d.injectFault(engine, "limit", map[string]any{"perSecond": limit})
	}
	time.Sleep(limitGrace)
	from := time.Now()
	time.Sleep(8 * time.Second)
	stop()
	for _, engine := range limited {
		most, total := d.mostRunsInWindow(engine, from)
		t.Logf("%s: at most %d runs in %v, %d in all", engine, most, limitWindow, total)
		if float64(most) > allowedInWindow(limit) {
			t.Errorf("%s got %d requests in %v, at most %.0f are allowed", engine, most, limitWindow, allowedInWindow(limit))
		}
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	t.Logf("answers %v", counts.counts)
	if counts.counts["200"] == 0 {
		t.Errorf("answers %v, want most served: the other engines have no limit", counts.counts)
	}
}
