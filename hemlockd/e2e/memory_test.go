package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// releaseBound is the time within which an engine's memory is free again after
// the caller disconnected or its daemon died. The longest case is the sum of two
// unanswered probes and the update about the daemon's death, the age at which an
// attempt counts as an orphan, a load report and the abort.
const releaseBound = 6 * time.Second

// Engines release the memory of a request when its caller cancels or a daemon dies,
// at each stage, and also when an engine acknowledges an abort without executing it.
// Engines generate until they are aborted: responses of 1,000 tokens at 50 ms each
// would hold memory for 50 s.
// HEMLOCK_BREAK=noSweep sets the interval of load reports to one hour; the sweep for
// orphaned attempts runs with them.
func TestMemoryIsReleased(t *testing.T) {
	opts := options{daemons: 3, decode: 1, model: "prefillTokenUs = 100\nstepBaseMs = 50.0\nstepPerSlotMs = 0.0\nslots = 2\ntransferMBps = 400.0\nkvTokenKB = 64.0", policy: "firstTokenMs = 20000\nbetweenTokensMs = 100.0"}
	if mechanismDisabled("noSweep") {
		opts.loadMs = 3_600_000
	}
	d := deploy(t, opts)
	promptOfTokens := func(n int) string { return string(make([]byte, 0)) + fmt.Sprintf("%0*d", 4*n, 7) }
	cancelAfter := func(m *daemon, prompt string, after time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), after)
		defer cancel()
		m.callAs(ctx, teamKey, http.MethodPost, "/v1/completions", completionBody(prompt, 1000, true))
	}
	waitAllReleased := func() {
		d.eventually("all engine memory is released", releaseBound, func() bool { return d.heldPieces() == 0 })
	}
	waitAllocated := func() {
		d.eventually("engine memory is allocated", 5*time.Second, func() bool { return d.heldPieces() > 0 })
	}
	Convey("callers cancel during prefill (1 s), KV transfer (1 s) and decode", t, func() {
		for _, after := range []time.Duration{300, 1200, 2600} {
			for _, m := range d.daemons {
				cancelAfter(m, promptOfTokens(10_000), after*time.Millisecond)
				waitAllReleased()
			}
		}
	})
	Convey("callers cancel while queued for a slot", t, func() {
		for range 2 {
			go cancelAfter(d.daemons[0], promptOfTokens(50), 2*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		cancelAfter(d.daemons[1], promptOfTokens(60), 500*time.Millisecond)
		time.Sleep(1200 * time.Millisecond)
		waitAllReleased()
	})
	Convey("the engine acknowledges the abort and does not execute it", t, func() {
		d.injectFault("all", "ignoreAbort", map[string]any{"count": 2})
		cancelAfter(d.daemons[0], promptOfTokens(100), time.Second)
		waitAllReleased()
	})
	Convey("each daemon in turn is killed while it serves a request", t, func() {
		for _, m := range d.daemons {
			go cancelAfter(m, promptOfTokens(100), 20*time.Second)
			waitAllocated()
			time.Sleep(300 * time.Millisecond)
			m.kill()
			waitAllReleased()
			m.start()
			m.waitReady()
			d.waitConverged()
		}
	})
	Convey("the daemon is paused beyond every time-out, its engines move to other daemons, and it resumes", t, func() {
		for _, m := range d.daemons {
			go cancelAfter(m, promptOfTokens(100), 3*time.Second)
			waitAllocated()
			m.pause()
			waitAllReleased()
			m.resume()
			time.Sleep(500 * time.Millisecond)
			waitAllReleased()
			d.waitConverged()
		}
	})
}
