package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/settings"
)

// leavingBound is the time after which a leaving upstream may get no new work. The
// users require a few seconds.
const leavingBound = 5 * time.Second

// A leaving upstream gets no new work from 5 s after the first signal that it is
// leaving (its own report, the VM list or the settings), and the work that it has
// is finished.
// HEMLOCK_BREAK=deafDaemons sets the intervals of load reports and of the VM list to
// one hour, so that daemons read neither in time.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	opts := options{prefill: 2, decode: 2, services: 2}
	if mechanismDisabled("deafDaemons") {
		opts.loadMs, opts.vmListMs = 3_600_000, 3_600_000
	}
	d := deploy(t, opts)
	stop := runWorkers(4, func(w, i int) {
		m := d.daemons[(w+i)%2]
		if a := m.complete(fmt.Sprintf("w%d i%d", w, i), 5); a.status != http.StatusOK {
			t.Errorf("completion: %d %s", a.status, a.body)
		}
		if a := m.createPlacement(fmt.Sprintf("w%d-i%d", w, i), "{}"); a.status != http.StatusCreated {
			t.Errorf("placement: %d %s", a.status, a.body)
		}
	})
	defer stop()
	lastRun := func(upstream string) time.Time {
		last := int64(0)
		for _, e := range d.events() {
			if e.Event == "run" && e.Upstream == upstream {
				last = max(last, e.AtMs)
			}
		}
		return time.UnixMilli(last)
	}
	expectNoNewWork := func(upstreams ...string) {
		leavingAt := time.Now()
		time.Sleep(leavingBound + time.Second)
		for _, upstream := range upstreams {
			lastWorkAfter := lastRun(upstream).Sub(leavingAt)
			t.Logf("%s: last new work %v after the signal", upstream, lastWorkAfter)
			So(lastWorkAfter, ShouldBeLessThan, leavingBound)
		}
	}
	time.Sleep(500 * time.Millisecond)
	Convey("the upstream's own report, while the VM list is unreachable", t, func() {
		d.injectFault("vms", "down", nil)
		d.injectFault("brandon-a-decode-1", "leave", nil)
		d.injectFault("brandon-a-prefill-1", "leave", nil)
		d.injectFault("brandon-a-service-1", "leave", nil)
		expectNoNewWork("brandon-a-decode-1", "brandon-a-prefill-1", "brandon-a-service-1")
		d.clearFaults()
	})
	Convey("the VM list, which is updated with a lag", t, func() {
		time.Sleep(time.Second)
		for _, name := range []string{"brandon-a-decode-2", "brandon-a-prefill-2", "brandon-a-service-2"} {
			d.adminCall(http.MethodPost, "/vms/"+name+"/leaving")
		}
		expectNoNewWork("brandon-a-decode-2", "brandon-a-prefill-2", "brandon-a-service-2")
		for _, name := range []string{"brandon-a-decode-2", "brandon-a-prefill-2", "brandon-a-service-2"} {
			d.adminCall(http.MethodPost, "/vms/"+name+"/live")
		}
		time.Sleep(3 * time.Second)
	})
	Convey("the settings", t, func() {
		d.applySettings(1, settings.NodeChange{Path: "system", After: withLeaving(d.systemSettings, "brandon-a-decode-1")})
		expectNoNewWork("brandon-a-decode-1")
	})
}

// withLeaving returns the system settings with an upstream marked as leaving.
func withLeaving(system, upstream string) string {
	header := "[upstreams." + upstream + "]\n"
	return replaceOnce(system, header, header+"leaving = true\n")
}

// TestLeavingEngineGetsNoRunThatWaitedForItsPrefill guards against new work at an engine
// long after it has said that it leaves: a decode engine is chosen at admission, before the
// prefill, and was called after it without another look, however long the prefill took.
func TestLeavingEngineGetsNoRunThatWaitedForItsPrefill(t *testing.T) {
	d := deploy(t, options{prefill: 1, decode: 2, policy: "firstTokenMs = 60000\nprefillTimeoutMs = 20000"})
	d.injectFault("brandon-a-prefill-1", "slow", map[string]any{"delayMs": 7000, "match": "/v1/"})
	var calls sync.WaitGroup
	for i := range 4 { // they are shared by both decode engines
		calls.Go(func() {
			if a := d.daemons[0].complete(fmt.Sprintf("c%d", i), 5); a.status != http.StatusOK {
				t.Errorf("completion: %d %s", a.status, a.body)
			}
		})
	}
	time.Sleep(300 * time.Millisecond) // until all are admitted
	d.injectFault("brandon-a-decode-1", "leave", nil)
	left := time.Now()
	calls.Wait()
	runs := map[string]int{}
	for _, e := range d.events() {
		if e.Event == "run" {
			runs[e.Upstream]++
		}
		if after := time.UnixMilli(e.AtMs).Sub(left); e.Event == "run" && e.Upstream == "brandon-a-decode-1" && after > leavingBound {
			t.Errorf("%s got new work %v after it said that it leaves", e.Upstream, after)
		}
	}
	t.Logf("runs: %v", runs)
}
