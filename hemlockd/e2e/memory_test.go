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
// a caller is gone, by the longest way: two unanswered probes and the news of
// the daemon's death, the age at which an attempt counts as an orphan, a load
// report and the abort.
const releaseBound = 6 * time.Second

// No engine memory stays held by a request whose caller is gone, whether the
// caller cancels or a daemon dies, at each stage, and also when the abort is
// lost. The engines go on until they are told to stop: answers of 1,000 tokens
// at 50 ms would hold memory for 50 s.
// HEMLOCK_BREAK=noSweep slows the sweep down to one an hour.
func TestMemoryIsReleased(t *testing.T) {
	opts := options{daemons: 3, decode: 1, model: "prefillTokenUs = 100\nstepBaseMs = 50.0\nstepPerSlotMs = 0.0\nslots = 2\ntransferMBps = 400.0\nkvTokenKB = 64.0", policy: "firstTokenMs = 20000\nbetweenTokensMs = 100.0"}
	if broken("noSweep") {
		opts.daemon = "loadMs = 3600000"
	}
	d := deploy(t, opts)
	long := func(n int) string { return string(make([]byte, 0)) + fmt.Sprintf("%0*d", 4*n, 7) }
	cancelAfter := func(m *daemon, prompt string, after time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), after)
		defer cancel()
		m.callAs(ctx, teamKey, http.MethodPost, "/v1/completions", completion(prompt, 1000, true))
	}
	free := func() { d.eventually("all memory is free", releaseBound, func() bool { return d.held() == 0 }) }
	taken := func() {
		d.eventually("memory is taken", 5*time.Second, func() bool { return d.held() > 0 })
	}
	Convey("callers cancel while prefilling (1 s), in transfer (1 s) and decoding", t, func() {
		for _, after := range []time.Duration{300, 1200, 2600} {
			for _, m := range d.daemons {
				cancelAfter(m, long(10_000), after*time.Millisecond)
				free()
			}
		}
	})
	Convey("callers cancel while they wait for a slot", t, func() {
		for range 2 {
			go cancelAfter(d.daemons[0], long(50), 2*time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		cancelAfter(d.daemons[1], long(60), 500*time.Millisecond)
		time.Sleep(1200 * time.Millisecond)
		free()
	})
	Convey("the abort is answered and not carried out", t, func() {
		d.fault("all", "ignoreAbort", map[string]any{"count": 2})
		cancelAfter(d.daemons[0], long(100), time.Second)
		free()
	})
	Convey("each daemon in turn dies while it has a request", t, func() {
		for _, m := range d.daemons {
			go cancelAfter(m, long(100), 20*time.Second)
			taken()
			time.Sleep(300 * time.Millisecond)
			m.kill()
			free()
			m.start()
			m.waitReady()
			d.waitFormed()
		}
	})
	Convey("the daemon freezes for longer than any timeout, its engines change hands, and it wakes", t, func() {
		for _, m := range d.daemons {
			go cancelAfter(m, long(100), 3*time.Second)
			taken()
			m.freeze()
			free()
			m.thaw()
			time.Sleep(500 * time.Millisecond)
			free()
			d.waitFormed()
		}
	})
}
