package e2e

import (
	"syscall"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
)

// Guards against a stream that waits for a place when a daemon is told to stop, is placed later, and is cut off because it
// does not fit any more: at a daemon that runs it itself, one that handed it over, and one that it was handed to.
func TestOwnDoorStopAsksAgainWhatWaitedForAPlace(t *testing.T) {
	for name, test := range map[string]struct{ frontKeeps, frontStops bool }{
		"front and keeper in one": {frontKeeps: true, frontStops: true},
		"front":                   {frontStops: true},
		"keeper":                  {},
	} {
		t.Run(name, func(t *testing.T) {
			const tokens = 200 // 2 s
			d := deploy(t, options{
				daemons: 2, decode: 1, daemon: "drainMs = 2000\n", policy: "firstTokenMs = 60000\n",
				model: "prefillTokenUs = 20\nstepBaseMs = 10.0\nstepPerSlotMs = 0.1\nslots = 1\n",
			})
			front, other := d.modelKeeper()
			if !test.frontKeeps {
				front, other = other, front
			}
			stops := other
			if test.frontStops {
				stops = front
			}
			first, second := make(chan response, 1), make(chan response, 1)
			go func() { first <- front.stream("first", tokens) }()
			time.Sleep(150 * time.Millisecond)
			go func() { second <- front.stream("second", tokens) }()
			time.Sleep(150 * time.Millisecond)
			stops.signal(syscall.SIGTERM)
			if defect := checkStream(<-first, tokens); defect != "" {
				t.Errorf("the stream that runs at the signal: %s", defect)
			}
			a := <-second
			refused := a.problem.Reason == problem.NotReady && a.problem.Ran == problem.RanNo && a.header.Get("Retry-After") != ""
			if defect := checkStream(a, tokens); defect != "" && !refused {
				t.Errorf("the stream that waits at the signal: %s; status %d, %.200s", defect, a.status, a.body)
			}
			if !test.frontStops && refused {
				t.Error("refused although its front can hand it to another keeper")
			}
		})
	}
}
