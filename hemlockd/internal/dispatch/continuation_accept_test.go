package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
)

// pauses is an answer that pauses for the given time before each of its events but the first.
func pauses(pause time.Duration) *slowStream {
	all := strings.SplitAfter(eventsAfter(0), "\n\n")
	return &slowStream{pieces: all[:len(all)-1], pause: pause}
}

// TestSilentStreamIsKeptUntilTheContinuationIsAccepted guards against a stream whose slow
// engine is left for one that then refuses the rest of it, or can't be reached: the answer
// was on its way, and the caller's connection is closed.
func TestSilentStreamIsKeptUntilTheContinuationIsAccepted(t *testing.T) {
	for name, fault := range map[string]int{"busy": faultBusy, "unreachable": faultUnreachable, "target changed": faultTargetChanged} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			decodes := 0
			s := newSetup(func(name string, n int) int {
				if name == "fault in decode" {
					if decodes++; decodes > 1 {
						return fault
					}
				}
				return noFaults(name, n)
			})
			s.longWait()
			s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
				return silentOnce().newReply(ctx)
			}
			answer, cut := s.ask("r", "/resumable/x")
			if cut || answer.Body.String() != eventsAfter(0) {
				t.Errorf("cut %v, %d decode calls, answer %q", cut, decodes, answer.Body.String())
			}
		})
	}
}
