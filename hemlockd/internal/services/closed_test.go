package services

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
)

// counted returns a handler that counts its requests.
func counted(n *atomic.Int64, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		serve(w, r)
	}
}

// turnsAway returns a handler that refuses requests and tells this daemon how long to wait.
func turnsAway(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// leaves is a handler of an instance that shuts down.
func leaves(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Upstream-Leaving", "1") }

// awaitNoCalls waits until no call is under way.
func (s *Services) awaitNoCalls(t *testing.T) {
	t.Helper()
	for range 1000 {
		calls := 0
		s.mu.Lock()
		for _, h := range s.health {
			calls += h.inFlight
		}
		s.mu.Unlock()
		if calls == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("calls do not end")
}

// TestInstanceThatWantsNothingGetsNothing guards an instance that shuts down or has told this daemon to wait.
func TestInstanceThatWantsNothingGetsNothing(t *testing.T) {
	date := func(span time.Duration) string { return time.Now().Add(span).UTC().Format(http.TimeFormat) }
	for name, test := range map[string]struct {
		first http.HandlerFunc
		want  problem.Reason
	}{
		"leaves":                     {leaves, problem.UpstreamsLeaving},
		"turns away for some time":   {turnsAway("20.5"), problem.UpstreamsPaused},
		"turns away until some time": {turnsAway(date(20 * time.Second)), problem.UpstreamsPaused},
	} {
		t.Run(name, func(t *testing.T) {
			var first, second atomic.Int64
			s := newTestServices(t, "retryRatio = 1.0", counted(&first, test.first))
			s.Run(t.Context(), get())
			reached := first.Load()
			out := s.Run(t.Context(), get())
			if first.Load() != reached || out.Problem == nil || out.Problem.Reason != test.want || out.Problem.Ran != problem.RanNo || out.Problem.RetryAfterMs <= 0 {
				t.Errorf("%d more requests, problem %+v", first.Load()-reached, out.Problem)
			}
			first.Store(0)
			s = newTestServices(t, "retryRatio = 1.0", counted(&first, test.first), counted(&second, after(0)))
			for range 5 {
				s.Run(t.Context(), get())
				s.awaitNoCalls(t) // one that was hedged may still be under way: the daemon can't know its answer
			}
			if first.Load() > 1 || second.Load() < 4 {
				t.Errorf("%d and %d requests", first.Load(), second.Load())
			}
		})
	}
}

// TestUnusableTimeToWaitIsNotObeyed sends times that are none.
func TestUnusableTimeToWaitIsNotObeyed(t *testing.T) {
	for _, value := range []string{"", "-5", "soon", "NaN", "1e400"} {
		var n atomic.Int64
		s := newTestServices(t, "", counted(&n, turnsAway(value)))
		s.Run(t.Context(), get())
		s.Run(t.Context(), get())
		if n.Load() != 2 {
			t.Errorf("%q: %d requests reached the instance, want 2", value, n.Load())
		}
	}
}
