package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/problem"
)

// Callers that ignore Retry-After and retry almost immediately send several times
// the load that the pool can serve. Refusals are prompt and carry Retry-After,
// admitted requests are served in time, and after the overload the pool recovers
// without intervention.
// HEMLOCK_BREAK=patient sets the first-token target to ten minutes, so that every
// request is admitted.
func TestStormPasses(t *testing.T) {
	target := "firstTokenMs = 400"
	if mechanismDisabled("patient") {
		target = "firstTokenMs = 600000"
	}
	d := deploy(t, options{decode: 1, policy: target, model: "prefillTokenUs = 20\nstepBaseMs = 5.0\nstepPerSlotMs = 0.0\nslots = 4"})
	const tokens = 40 // takes 0.2 s: the pool serves about 18 requests a second
	// Latency bounds of a refusal and of an admitted request. They allow for the
	// test's machine running both the callers and the deployment.
	const refusalBound, servedBound = 300 * time.Millisecond, 1200 * time.Millisecond
	Convey("during the overload", t, func() {
		var mu sync.Mutex
		served, refused := 0, 0
		var slowestRefusal, slowestAnswer time.Duration
		stop := runWorkers(20, func(w, i int) {
			time.Sleep(20 * time.Millisecond)
			a := d.daemons[(w+i)%2].complete(fmt.Sprintf("storm %d %d", w, i), tokens)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
				slowestAnswer = max(slowestAnswer, a.elapsed)
				return
			}
			refused++
			slowestRefusal = max(slowestRefusal, a.elapsed)
			if a.problem.Reason != problem.Overloaded || a.problem.Ran != problem.RanNo || a.header.Get("Retry-After") == "" {
				t.Errorf("unexpected refusal: status %d, body %s", a.status, a.body)
			}
		})
		time.Sleep(4 * time.Second)
		stop()
		t.Logf("%d served, slowest %v; %d refused, slowest %v", served, slowestAnswer, refused, slowestRefusal)
		So(served, ShouldBeGreaterThan, 40)
		So(refused, ShouldBeGreaterThan, served)
		So(slowestRefusal, ShouldBeLessThan, 400*time.Millisecond+refusalBound)
		So(slowestAnswer, ShouldBeLessThan, servedBound)
	})
	Convey("afterwards", t, func() {
		for i := range 10 {
			a := d.daemons[i%2].complete(fmt.Sprintf("after %d", i), tokens)
			So(a.status, ShouldEqual, http.StatusOK)
			So(a.elapsed, ShouldBeLessThan, servedBound)
		}
		So(d.heldPieces(), ShouldEqual, 0)
	})
}
