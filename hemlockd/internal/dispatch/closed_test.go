package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// announce makes upstreams say something of themselves.
func (s *setup) announce(n upstreamgate.Notice, ids ...string) {
	for _, id := range ids {
		n.Upstream = id
		s.dispatcher.opts.Gate.Observe(n, s.dispatcher.opts.Clock.Now())
	}
	s.dispatcher.RefreshEngines()
}

// TestRequestsGoWhereUpstreamsTakeThem closes some upstreams of each kind and checks where requests go, and
// what callers are told if there is nowhere to go.
func TestRequestsGoWhereUpstreamsTakeThem(t *testing.T) {
	for _, test := range []struct {
		path   string
		closed []string
		served bool
	}{
		{"/lookup/x", []string{"p1", "p2"}, true},
		{"/order/x", []string{"p2", "p3"}, true},
		{"/order/x", []string{"p1", "p2", "p3"}, false},
		{"/lookup/x", []string{"p1", "p2", "p3"}, false},
		{"/resumable/x", []string{"d1", "d2", "r1"}, true},
		{"/resumable/x", []string{"r1", "r2"}, true}, // the decode engine processes the prompt
		{"/resumable/x", []string{"d1", "d2", "d3"}, false},
		{"/once/x", []string{"d1", "d2", "d3"}, false},
	} {
		for _, n := range []upstreamgate.Notice{{Leaving: true}, {PauseMs: clock.Minute}} {
			t.Run(fmt.Sprint(test.path, test.closed, n.Leaving), func(t *testing.T) {
				s := newSetup(noFaults)
				s.announce(n, test.closed...)
				answer, cut := s.ask("r", test.path)
				v := s.verdicts.all["r"]
				for _, a := range v.Attempts {
					if slices.Contains(test.closed, a.Upstream) {
						t.Errorf("sent to %s: %+v", a.Upstream, a)
					}
				}
				if test.served {
					if cut || answer.Code != http.StatusOK {
						t.Errorf("cut %v, status %d, reason %s", cut, answer.Code, v.Reason)
					}
					return
				}
				want, retryFrom := problem.UpstreamsPaused, 59.0
				if n.Leaving {
					want, retryFrom = problem.UpstreamsLeaving, 0.1
				}
				retry, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
				if answer.Code != http.StatusServiceUnavailable || v.Reason != want || v.Ran != problem.RanNo || err != nil || retry < retryFrom {
					t.Errorf("status %d, reason %s, ran %s, retry %v, %v", answer.Code, v.Reason, v.Ran, retry, err)
				}
				if len(v.Attempts) != 0 {
					t.Errorf("attempts %+v", v.Attempts)
				}
			})
		}
	}
}

// TestPromptIsNotReadForAnEngineThatHasClosed closes the decode engine of a run while its prompt's first
// prefill fails: the next one must be for an engine that takes the run.
func TestPromptIsNotReadForAnEngineThatHasClosed(t *testing.T) {
	for _, n := range []upstreamgate.Notice{{Leaving: true}, {PauseMs: clock.Minute}} {
		s := newSetup(noFaults)
		s.announce(upstreamgate.Notice{PauseMs: clock.Minute}, "d2", "d3") // the run is placed at d1
		prefills := 0
		s.upstreams.send = func(call *calls.Call, to routing.Upstream, d calls.Delivery) error {
			if d.Phase != calls.PhasePrefill {
				return nil
			}
			if prefills++; prefills > 1 {
				t.Errorf("prefill %d, though no decode engine takes the run", prefills)
			}
			n.Upstream = "d1"
			s.dispatcher.opts.Gate.Observe(n, s.dispatcher.opts.Clock.Now())
			return &calls.Error{Upstream: to.ID, Phase: d.Phase, Cause: calls.CauseBusy, Outcome: calls.NotRun, Err: errSilent}
		}
		answer, cut := s.ask("r", "/resumable/x")
		v := s.verdicts.all["r"]
		if cut || answer.Code != http.StatusServiceUnavailable || v.Reason != problem.UpstreamsPaused && v.Reason != problem.UpstreamsLeaving || v.Ran != problem.RanNo {
			t.Errorf("cut %v, status %d, reason %s, ran %s", cut, answer.Code, v.Reason, v.Ran)
		}
	}
}

// TestRepeatGoesPastAnUpstreamThatCloses lets the first upstream of a lookup turn it away, close, and name
// all others as closed too but one.
func TestRepeatGoesPastAnUpstreamThatCloses(t *testing.T) {
	s := newSetup(noFaults)
	first := true
	s.upstreams.plain = func(context.Context) (*calls.Reply, error) {
		if !first {
			return &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true, Body: http.NoBody}, nil
		}
		first = false
		s.announce(upstreamgate.Notice{Leaving: true}, "p1", "p2")
		return nil, &calls.Error{Upstream: "p1", Phase: calls.PhaseRun, Cause: calls.CauseBusy, Outcome: calls.NotRun, Err: errSilent}
	}
	answer, _ := s.ask("r", "/lookup/x")
	v := s.verdicts.all["r"]
	if answer.Code != http.StatusOK || len(v.Attempts) != 2 || v.Attempts[1].Upstream != "p3" {
		t.Errorf("status %d, attempts %+v", answer.Code, v.Attempts)
	}
}

// TestProbesWaitForThePause guards an upstream that is marked down and has told this daemon to wait.
func TestProbesWaitForThePause(t *testing.T) {
	s := newSetup(noFaults)
	s.dispatcher.health.markDown("p1")
	s.announce(upstreamgate.Notice{PauseMs: clock.Minute}, "p1")
	ctx, cancel := context.WithTimeout(t.Context(), (3 * probeInterval).Duration())
	defer cancel()
	s.dispatcher.RunProbes(ctx)
	if !s.dispatcher.health.isDown("p1") {
		t.Error("the upstream was probed")
	}
}
