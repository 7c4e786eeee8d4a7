package dispatch

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// nameLimit makes upstreams name a limit; the daemon has no share of it at first.
func (s *setup) nameLimit(ids ...string) {
	now := s.dispatcher.opts.Clock.Now()
	for _, id := range ids {
		s.dispatcher.opts.Gate.Limits.Observe(upstreamlimits.Answer{Upstream: id, PerSecond: 1, SentMs: now}, now)
	}
	s.dispatcher.RefreshEngines()
}

// TestRequestsGoWhereLimitsLeaveRoom limits some upstreams of each kind and checks where requests go.
func TestRequestsGoWhereLimitsLeaveRoom(t *testing.T) {
	for _, test := range []struct {
		path    string
		limited []string
		served  bool
	}{
		{"/lookup/x", []string{"p1", "p2"}, true},
		{"/order/x", []string{"p1", "p3"}, true},
		{"/order/x", []string{"p1", "p2", "p3"}, false},
		{"/lookup/x", []string{"p1", "p2", "p3"}, false},
		{"/resumable/x", []string{"d1", "d2", "r1"}, true},
		{"/once/x", []string{"d1", "d2", "d3"}, false},
	} {
		t.Run(fmt.Sprint(test.path, test.limited), func(t *testing.T) {
			s := newSetup(noFaults)
			s.nameLimit(test.limited...)
			answer, cut := s.ask("r", test.path)
			v := s.verdicts.all["r"]
			for _, a := range v.Attempts {
				for _, id := range test.limited {
					if a.Upstream == id {
						t.Errorf("sent to %s, whose limit leaves no room: %+v", id, a)
					}
				}
			}
			if test.served {
				if cut || answer.Code != http.StatusOK {
					t.Errorf("cut %v, status %d, reason %s", cut, answer.Code, v.Reason)
				}
				return
			}
			retry, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
			if answer.Code != http.StatusServiceUnavailable || v.Reason != problem.UpstreamLimited || v.Ran != problem.RanNo || err != nil || retry <= 0 {
				t.Errorf("status %d, reason %s, ran %s, retry %v, %v", answer.Code, v.Reason, v.Ran, retry, err)
			}
			if !strings.Contains(answer.Body.String(), string(problem.UpstreamLimited)) || len(v.Attempts) != 0 {
				t.Errorf("answer %s, attempts %+v", answer.Body, v.Attempts)
			}
		})
	}
}

// TestCallBeyondALimitTakesNoRetry guards the retry budget: a call that was not sent is no repeat.
func TestCallBeyondALimitTakesNoRetry(t *testing.T) {
	failed := upstreamgate.CallError("d1", calls.PhaseDecode, upstreamgate.Limited)
	if failed.Outcome != calls.NotRun || failed.Cause != calls.CauseLimited {
		t.Errorf("%+v", failed)
	}
	s := newSetup(noFaults)
	s.nameLimit("d1", "d2", "r1")
	now := s.dispatcher.opts.Clock.Now()
	if _, cut := s.ask("r", "/resumable/x"); cut {
		t.Error("the stream was cut")
	}
	if !s.dispatcher.opts.Retries.Has("model", retrySlack*9/10, now) {
		t.Error("retries were taken from the budget")
	}
}
