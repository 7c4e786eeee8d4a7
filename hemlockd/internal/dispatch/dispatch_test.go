package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/retries"
)

// TestGuaranteesHoldUnderUpstreamFaults injects random faults into the calls to
// upstreams. It checks that no request runs more often than its route allows, that
// callers are never told that a request was not run if it was, and that the retry
// budget holds.
func TestGuaranteesHoldUnderUpstreamFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSetup(func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) })
		repeats := map[string]int{} // by service: each has a budget of its own
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			route := rapid.SampledFrom([]string{"lookup", "order", "resumable", "once"}).Draw(t, "route")
			id := fmt.Sprint(route, i)
			answer, cut := s.ask(id, "/"+route+"/x")
			check(t, s, route, id, answer, cut)
			repeats[s.route(route).Targets[0].Service] += max(0, s.upstreams.arrivals[id]-1)
		}
		for service, n := range repeats {
			if n > retrySlack*9/10 { // a tenth is kept in reserve
				t.Fatalf("%d repeats at service %s, %d allowed", n, service, retrySlack*9/10)
			}
		}
		for _, e := range s.dispatcher.opts.View.Engines(s.dispatcher.opts.Clock.Now()) {
			if e.Runs != 0 {
				t.Fatalf("engine %s still has %d runs placed", e.ID, e.Runs)
			}
		}
	})
}

func check(t *rapid.T, s *setup, route, id string, answer *httptest.ResponseRecorder, cut bool) {
	runs, v := s.upstreams.runs[id], s.verdicts.all[id]
	once := route == "order" || route == "once"
	if once && runs > 1 {
		t.Fatalf("%s ran %d times", id, runs)
	}
	if v.RequestID == "" {
		t.Fatalf("%s has no verdict", id)
	}
	if runs > 0 && v.Outcome == verdict.OutcomeRefused {
		t.Fatalf("%s ran, but its verdict says refused", id)
	}
	if cut {
		return
	}
	if impliesNotRun(answer.Code) && runs > 0 {
		t.Fatalf("%s got status %d, but ran", id, answer.Code)
	}
	if answer.Code == http.StatusServiceUnavailable && answer.Header().Get("Retry-After") == "" {
		t.Fatalf("%s was refused without Retry-After", id)
	}
	if answer.Code != http.StatusOK {
		return
	}
	want := "whole"
	if route == "resumable" || route == "once" {
		want = eventsAfter(0)
	}
	if answer.Body.String() != want {
		t.Fatalf("%s got %q", id, answer.Body.String())
	}
}

// TestEveryRepeatTakesFromTheBudget guards against a second prefill that takes no
// retry from the budget: an engine runs the request, but its answer is lost, and the
// resumed run needs another prefill. This exceeded the budget in a benchmark.
func TestEveryRepeatTakesFromTheBudget(t *testing.T) {
	broke := false
	s := newSetup(func(name string, n int) int {
		switch {
		case name == "fault in prefill":
			return 7
		case name == "fault in decode" && !broke:
			broke = true
			return faultLostAfterRun
		}
		return faultNone
	})
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Code != http.StatusOK || answer.Body.String() != eventsAfter(0) {
		t.Fatalf("answer %d %q", answer.Code, answer.Body.String())
	}
	if s.upstreams.arrivals["r"] != 3 {
		t.Fatalf("%d arrivals; two decodes and the second prefill are expected", s.upstreams.arrivals["r"])
	}
	left := 0
	for s.dispatcher.opts.Retries.Take("model", s.dispatcher.opts.Clock.Now()) {
		left++
	}
	full := retries.NewServiceBudgets(retries.Bound{Slack: retrySlack, WindowMs: 100 * clock.Second}, -100*clock.Second, func() int { return 1 })
	all := 0
	for full.Take("model", 0) {
		all++
	}
	if all-left != 2 {
		t.Errorf("%d retries taken for two repeats", all-left)
	}
}

// TestStreamGoesOnAtAnotherEngine breaks a stream in the middle of an event. The
// caller must still get every event once.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	sent := 0
	s := newSetup(breakFirstStream(&sent))
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("cut %v, answer %q", cut, answer.Body.String())
	}
}

func TestUnknownRouteAndShutdown(t *testing.T) {
	s := newSetup(func(string, int) int { return faultNone })
	if answer, _ := s.ask("a", "/nowhere/"); answer.Code != http.StatusNotFound {
		t.Errorf("status %d for an unknown route", answer.Code)
	}
	s.dispatcher.Drain(s.dispatcher.opts.Clock.Now() + 100)
	if answer, _ := s.ask("s", "/once/x"); answer.Code != http.StatusServiceUnavailable || s.upstreams.runs["s"] != 0 {
		t.Errorf("stream that would not finish before the shutdown: status %d, %d runs", answer.Code, s.upstreams.runs["s"])
	}
	if answer, _ := s.ask("l", "/lookup/x"); answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Connection") != "close" || s.upstreams.runs["l"] != 0 {
		t.Errorf("call that may not be answered before the shutdown: status %d, Connection %q, %d runs", answer.Code, answer.Header().Get("Connection"), s.upstreams.runs["l"])
	}
	s.dispatcher.Drain(s.dispatcher.opts.Clock.Now() + 3000)
	answer, _ := s.ask("b", "/lookup/x")
	if answer.Code != http.StatusOK || answer.Header().Get("Connection") != "close" {
		t.Errorf("status %d, Connection %q while draining", answer.Code, answer.Header().Get("Connection"))
	}
}

// TestDecodeEngineReadsThePromptWithoutPrefillEngines removes all prefill engines. The
// decode engine must then process the prompt itself.
func TestDecodeEngineReadsThePromptWithoutPrefillEngines(t *testing.T) {
	s := newSetup(func(string, int) int { return faultNone })
	dir := s.dispatcher.opts.Directory.(*fakeDirectory)
	dir.upstreams["model"] = dir.upstreams["model"][2:]
	s.dispatcher.RefreshEngines()
	answer, cut := s.ask("r", "/once/x")
	if cut || answer.Body.String() != eventsAfter(0) || len(s.upstreams.acceptedPrefills) != 0 {
		t.Errorf("cut %v, answer %q", cut, answer.Body.String())
	}
}

// crashCheckTime is long enough for a crash check to complete.
const crashCheckTime = 100 * time.Millisecond

// TestRequestThatCrashesUpstreamsIsRefused sends the same request three times, each
// attempt with an id of its own. After two crashes it must be refused without a run.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	s := newSetup(func(string, int) int { return faultLostAfterRun })
	ask := func(id string) int {
		answer, _ := s.ask(id, "/order/x")
		time.Sleep(crashCheckTime)
		return answer.Code
	}
	s.upstreams.failProbes = true
	for i := range 2 {
		if code := ask(fmt.Sprint("crash", i)); code != http.StatusBadGateway {
			t.Errorf("attempt %d: status %d", i, code)
		}
	}
	if code := ask("crash2"); code != http.StatusServiceUnavailable || s.upstreams.runs["crash2"] != 0 {
		t.Errorf("the third attempt: status %d, %d runs", code, s.upstreams.runs["crash2"])
	}
}

// TestLostAnswersMakeNoSuspect loses the connection to upstreams that still answer
// probes. The request must not be refused as a crash suspect.
func TestLostAnswersMakeNoSuspect(t *testing.T) {
	s := newSetup(func(string, int) int { return faultLostAfterRun })
	for i := range 4 {
		if answer, _ := s.ask(fmt.Sprint("lost", i), "/order/x"); answer.Code != http.StatusBadGateway {
			t.Errorf("attempt %d: status %d", i, answer.Code)
		}
		time.Sleep(crashCheckTime)
	}
}
