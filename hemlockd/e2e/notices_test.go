package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestUpstreamThatAnnouncesItsShutdownGetsNoNewWork guards against work at an upstream that has said in an
// answer that it shuts down: its health check and load report still say nothing.
func TestUpstreamThatAnnouncesItsShutdownGetsNoNewWork(t *testing.T) {
	d := deploy(t, options{daemons: 2, prefill: 2, decode: 2, services: 2})
	counts := &statusCounts{counts: map[string]int{}}
	stop := runWorkers(4, func(w, i int) {
		m := d.daemons[(w+i)%2]
		counts.add(m.complete(fmt.Sprintf("w%d i%d", w, i), 5))
		counts.add(m.call(http.MethodGet, fmt.Sprintf("/services/order-desk/stock/%d-%d", w, i), ""))
	})
	time.Sleep(500 * time.Millisecond)
	leaving := []string{"brandon-a-decode-1", "brandon-a-prefill-1", "brandon-a-service-1"}
	for _, name := range leaving {
		d.injectFault(name, "announceLeaving", nil)
	}
	from := time.Now().Add(time.Second)
	time.Sleep(4 * time.Second)
	stop()
	for _, name := range leaving {
		if _, total := d.mostRunsInWindow(name, from); total > 0 {
			t.Errorf("%s got %d runs later than 1 s after it said that it leaves", name, total)
		}
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if len(counts.counts) != 1 {
		t.Errorf("answers %v, want 200 only", counts.counts)
	}
}

// TestUpstreamThatTurnsAwayIsLeftAlone guards an upstream that has told the daemon to wait. It turns away one
// request and then serves again.
func TestUpstreamThatTurnsAwayIsLeftAlone(t *testing.T) {
	const pause = 4 * time.Second
	d := deploy(t, options{daemons: 1, prefill: 2, decode: 2, services: 2})
	stop := runWorkers(4, func(w, i int) {
		d.daemons[0].complete(fmt.Sprintf("w%d i%d", w, i), 5)
		d.daemons[0].call(http.MethodGet, fmt.Sprintf("/services/order-desk/stock/%d-%d", w, i), "")
	})
	time.Sleep(500 * time.Millisecond)
	paused := []string{"brandon-a-decode-1", "brandon-a-prefill-1", "brandon-a-service-1"}
	for _, name := range paused {
		d.injectFault(name, "turnAway", map[string]any{"retryAfter": "4", "count": 1})
	}
	told := time.Now()
	time.Sleep(pause + 2*time.Second)
	stop()
	for _, name := range paused {
		_, late := d.mostRunsInWindow(name, told.Add(500*time.Millisecond))
		_, after := d.mostRunsInWindow(name, told.Add(pause))
		if late > after+2 || after == 0 {
			t.Errorf("%s got %d runs later than 0.5 s after it told the daemon to wait, only %d of them after that time", name, late, after)
		}
	}
}
