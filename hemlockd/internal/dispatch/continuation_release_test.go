package dispatch

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
)

// TestContinuationIsReleasedIfTheCallerLeaves guards against a continuation that stays placed
// for good if the caller leaves when it has just become ready: the engine's memory counts as
// used from then on.
func TestContinuationIsReleasedIfTheCallerLeaves(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	prefills := 0
	s := newSetup(func(name string, n int) int {
		if name == "fault in prefill" {
			if prefills++; prefills > 1 {
				leave()
			}
		}
		return noFaults(name, n)
	})
	s.longWait()
	s.upstreams.decode = func(context.Context, routing.Upstream, calls.Delivery) *calls.Reply {
		return silentOnce().newReply(context.Background()) // its end is noticed late
	}
	s.dispatcher.ServeHTTP(httptest.NewRecorder(), newRequest("r", "/resumable/x").WithContext(ctx))
	time.Sleep(20 * time.Millisecond)
	if prefills != 2 {
		t.Fatalf("%d prefills, want 2", prefills)
	}
	for _, r := range s.dispatcher.opts.View.LocalRuns(s.dispatcher.opts.Clock.Now()) {
		t.Errorf("run %+v is still placed", r)
	}
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if s.upstreams.freedResults != 1 {
		t.Errorf("%d prefill results freed, want 1", s.upstreams.freedResults)
	}
}
