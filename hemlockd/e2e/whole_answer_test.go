package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Each caller gets the complete response to its own request, once and in order, when
// chunks are duplicated, reordered or dropped, when streams stall, when connections
// to engines go silent, and when the engines' keeper dies before the first chunk.
// HEMLOCK_BREAK=noResume sets maxAttempts to 1, so that no stream can be resumed.
func TestAnswerIsWhole(t *testing.T) {
	policy := "stallMs = 500\nretryRatio = 1.0\nmaxAttempts = 10"
	if mechanismDisabled("noResume") {
		policy = "stallMs = 500\nmaxAttempts = 1"
	}
	d := deploy(t, options{policy: policy, decode: 3})
	const tokens = 60
	for _, kind := range []string{"none", "duplicate", "reorder", "dropChunk", "stall"} {
		Convey("concurrent streams with fault "+kind, t, func() {
			for i := range 3 {
				d.injectFault(fmt.Sprintf("brandon-a-decode-%d", i+1), kind, map[string]any{"count": 7})
			}
			var wg sync.WaitGroup
			defects := make([]string, 12)
			for i := range defects {
				wg.Go(func() {
					a := d.daemons[i%2].stream(fmt.Sprintf("%s prompt %d", kind, i), tokens)
					defects[i] = checkStream(a, tokens)
				})
			}
			wg.Wait()
			for _, defect := range defects {
				So(defect, ShouldBeBlank)
			}
			d.clearFaults()
		})
	}
	Convey("two concurrent completions without streaming get their own responses", t, func() {
		var slow, fast response
		var wg sync.WaitGroup
		wg.Go(func() { slow = d.daemons[0].complete("the slow one", 80) })
		wg.Go(func() { fast = d.daemons[0].complete("the fast one", 5) })
		wg.Wait()
		So(slow.status, ShouldEqual, http.StatusOK)
		So(fast.status, ShouldEqual, http.StatusOK)
		So(slow.body, ShouldContainSubstring, ".79 ")
		So(fast.body, ShouldNotContainSubstring, slow.body[200:210])
	})
	Convey("connections to the engines go silent during a stream", t, func() {
		done := make(chan response, 1)
		go func() { done <- d.daemons[0].stream("silent", 200) }()
		time.Sleep(300 * time.Millisecond)
		d.injectFault("all", "silent", nil)
		So(checkStream(<-done, 200), ShouldBeBlank)
	})
	Convey("the engines' keeper is killed before the first chunk", t, func() {
		keeper, other := d.daemons[0], d.daemons[1]
		if other.isKeeperOf("brandon-a-decode-1") {
			keeper, other = other, keeper
		}
		done := make(chan response, 1)
		go func() { done <- other.stream(fmt.Sprintf("%0*d", 160_000, 1), tokens) }() // prefill takes 0.8 s
		d.eventually("the keeper runs the request", 5*time.Second, func() bool { return keeper.metric("daemon", "keeperRuns") == 1 })
		keeper.kill()
		a := <-done
		So(checkStream(a, tokens), ShouldBeBlank)
		keeper.start()
		keeper.waitReady()
		d.waitConverged()
	})
	Convey("a caller that disconnects from its stream does not affect other streams", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		d.daemons[1].callAs(ctx, teamKey, http.MethodPost, "/v1/completions", completionBody("gone", 500, true))
		So(checkStream(d.daemons[1].stream("stays", tokens), tokens), ShouldBeBlank)
	})
}
