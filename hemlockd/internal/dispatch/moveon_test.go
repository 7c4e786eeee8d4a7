package dispatch

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/retries"
)

// TestMoveOnCutsNoAnswer guards against a long answer that is cut midway to the caller because
// the time for the attempt ran out just as the answer's first part had come.
func TestMoveOnCutsNoAnswer(t *testing.T) {
	half := strings.Repeat("x", maxBufferedBytes+1)
	s := newSetup(noFaults)
	late, goOn := make(chan struct{}), make(chan struct{})
	bound := retries.Bound{Slack: retrySlack, WindowMs: 100 * clock.Second}
	first := true
	s.dispatcher.opts.Retries = retries.NewServiceBudgets(bound, s.dispatcher.opts.Clock.Now()-bound.WindowMs, func() int {
		if first { // the budget is asked when the time for the attempt has run out
			first = false
			close(late)
			<-goOn
		}
		return 1
	})
	var sent atomic.Int32
	s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) {
		if sent.Add(1) == 1 {
			<-late
			time.AfterFunc(100*time.Millisecond, func() { close(goOn) })
		}
		return (&slowStream{pieces: []string{half, half}, pause: 300 * time.Millisecond}).newReply(ctx), nil
	}
	answer, cut := s.ask("r", "/lookup/x")
	if cut || answer.Body.Len() != 2*len(half) {
		t.Errorf("cut %v, %d bytes of %d", cut, answer.Body.Len(), 2*len(half))
	}
}
