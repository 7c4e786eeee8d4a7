package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/suspects"
)

// fakeDirectory holds one configuration and its upstreams.
type fakeDirectory struct {
	table     *routing.Table
	upstreams map[string][]routing.Upstream
}

func (d *fakeDirectory) Table() *routing.Table                       { return d.table }
func (d *fakeDirectory) Upstreams(service string) []routing.Upstream { return d.upstreams[service] }
func (d *fakeDirectory) Ready() bool                                 { return true }

type fakePeers struct{}

func (fakePeers) Tell(peers.News) {}
func (fakePeers) InTheDark() bool { return false }

// fakeVerdicts keeps the last verdict of each request.
type fakeVerdicts struct {
	mu  sync.Mutex
	all map[string]verdict.Verdict
}

func (f *fakeVerdicts) Record(v verdict.Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[v.RequestID] = v
}

// Fates of a call at a fake upstream.
const (
	fateServed = iota
	fateUnreachable
	fateBusy
	fateMoved
	fateBrokenBefore // the connection broke, and the upstream did not run the call
	fateBrokenAfter  // the connection broke after the upstream had run the call
	fateCutBody      // the answer broke off in the middle
	fateForeign      // the answer bears no mark
	fateError        // a 500 of the upstream's own
	fatePromise      // a 503 that does not say that the call was not run
	fates
)

// events is the number of events in the fake engines' answers.
const events = 6

// fakeUpstreams draws the fate of each call and keeps account.
type fakeUpstreams struct {
	mu   sync.Mutex
	draw func(name string, n int) int
	// arrivals counts the calls that reached an upstream, without the first
	// prefill that was accepted; runs those that were run.
	arrivals, runs   map[string]int
	acceptedPrefills map[string]int
	freed, handles   int
	holds, dropped   int
	crashed          bool
}

func newFakeUpstreams(draw func(string, int) int) *fakeUpstreams {
	return &fakeUpstreams{draw: draw, arrivals: map[string]int{}, runs: map[string]int{}, acceptedPrefills: map[string]int{}}
}

// brokenBody is a body that breaks off.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("connection reset")
	}
	return n, err
}

func (f *fakeUpstreams) Send(_ context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (*calls.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fate := f.draw("fate of "+string(d.Phase), fates)
	fail := func(cause calls.Cause, outcome calls.Outcome) (*calls.Reply, error) {
		return nil, &calls.Error{Upstream: to.ID, Phase: d.Phase, Cause: cause, Outcome: outcome, Err: errors.New("drawn")}
	}
	if fate == fateUnreachable {
		return fail(calls.CauseUnreachable, calls.NotRun)
	}
	f.arrivals[call.ID]++
	switch fate {
	case fateBusy:
		return fail(calls.CauseBusy, calls.NotRun)
	case fateMoved:
		return fail(calls.CauseMoved, calls.NotRun)
	case fateBrokenBefore:
		return fail(calls.CauseBroken, calls.Unknown)
	}
	f.runs[call.ID]++
	if fate == fateBrokenAfter {
		return fail(calls.CauseBroken, calls.Unknown)
	}
	body := "whole"
	if d.Phase == calls.PhaseDecode {
		body = eventsAfter(eventsBefore(d.ResumeAfter))
	}
	reply := &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Framed: true, Genuine: true}
	reply.Body = io.NopCloser(strings.NewReader(body))
	switch fate {
	case fateCutBody:
		reply.Body = io.NopCloser(brokenBody{strings.NewReader(body[:f.draw("cut", len(body))])})
	case fateForeign:
		reply.Genuine = false
	case fateError:
		reply.Status = http.StatusInternalServerError
	case fatePromise:
		reply.Status = http.StatusServiceUnavailable
	}
	return reply, nil
}

func eventsAfter(n int) string {
	var b strings.Builder
	for i := n + 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

func (f *fakeUpstreams) Prefill(_ context.Context, call *calls.Call, to routing.Upstream, _ calls.Delivery) (calls.KVSource, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fail := func(cause calls.Cause) (calls.KVSource, error) {
		return calls.KVSource{}, &calls.Error{
			Upstream: to.ID, Phase: calls.PhasePrefill, Cause: cause, Outcome: calls.NotRun, Err: errors.New("drawn"),
		}
	}
	switch f.draw("fate of prefill", 8) {
	case 0:
		return fail(calls.CauseUnreachable)
	case 1:
		f.arrivals[call.ID]++
		return fail(calls.CauseBusy)
	case 2:
		f.arrivals[call.ID]++
		return fail(calls.CauseBroken)
	}
	if f.acceptedPrefills[call.ID]++; f.acceptedPrefills[call.ID] > 1 {
		f.arrivals[call.ID]++
	}
	f.handles++
	return calls.KVSource{Address: to.Address, Handle: "h"}, nil
}

func (f *fakeUpstreams) Free(context.Context, calls.KVSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed++
	return nil
}

func (f *fakeUpstreams) Hold(_ context.Context, to routing.Upstream, _ int, _ clock.Millis) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause := calls.CauseBusy
	switch f.draw("fate of hold", 4) {
	case 0:
		cause = calls.CauseUnreachable
	case 1:
	default:
		f.holds++
		return "hold", nil
	}
	return "", &calls.Error{Upstream: to.ID, Phase: calls.PhaseDecode, Cause: cause, Outcome: calls.NotRun, Err: errors.New("drawn")}
}

func (f *fakeUpstreams) Drop(context.Context, routing.Upstream, string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropped++
	return nil
}

func (f *fakeUpstreams) Probe(context.Context, routing.Upstream, string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return errors.New("crashed")
	}
	return nil
}

// setup is a dispatcher before fake upstreams.
type setup struct {
	dispatcher *Dispatcher
	upstreams  *fakeUpstreams
	verdicts   *fakeVerdicts
}

// retrySlack is the number of repeats that the fake deployment allows.
const retrySlack = 12

func newSetup(draw func(string, int) int) *setup {
	route := func(name string, kind routing.Kind, service string, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 2000, TargetMs: 300, MaxAttempts: attempts,
			Targets: []routing.Target{{Service: service, Weight: 1}}, Prompts: service == "model", Resumable: resumable,
		}
	}
	dir := &fakeDirectory{
		table: routing.NewTable(&routing.Config{
			Version: 1,
			Routes: []routing.Route{
				route("lookup", routing.Idempotent, "plain", 2, false), route("order", routing.NonIdempotent, "plain", 1, false),
				route("resumable", routing.Streaming, "model", 2, true), route("once", routing.Streaming, "model", 1, false),
			},
			Services: map[string]routing.Service{
				"plain": {Name: "plain"},
				"model": {Name: "model", Engine: &routing.EngineSpec{Slots: 8, MemoryTokens: 10000, EventTokens: 10, ResultLivesMs: 500, HoldMs: 2000}},
			},
		}),
		upstreams: map[string][]routing.Upstream{
			"plain": {{ID: "p1", DataCentre: "a", Slots: 4}, {ID: "p2", DataCentre: "a", Slots: 4}, {ID: "p3", DataCentre: "b", Slots: 4}},
			"model": {
				{ID: "r1", DataCentre: "a", Role: routing.RolePrefill}, {ID: "r2", DataCentre: "b", Role: routing.RolePrefill},
				{ID: "d1", DataCentre: "a", Role: routing.RoleDecode}, {ID: "d2", DataCentre: "a", Role: routing.RoleDecode},
				{ID: "d3", DataCentre: "b", Role: routing.RoleDecode},
			},
		},
	}
	clk := clock.System()
	view := capacity.NewView(capacity.DefaultForecast())
	s := &setup{upstreams: newFakeUpstreams(draw), verdicts: &fakeVerdicts{all: map[string]verdict.Verdict{}}}
	bound := retries.Bound{Slack: retrySlack, WindowMs: 100 * clock.Second}
	s.dispatcher = New(Options{
		Log: zap.NewNop(), Clock: clk, Directory: dir, Upstreams: s.upstreams, View: view, Queue: capacity.NewQueue(clk, view, func() int { return 1 }),
		Peers: fakePeers{}, Verdicts: s.verdicts, Retries: retries.NewWindows(bound, clk.Now()-bound.WindowMs, func() int { return 1 }),
		Suspects: suspects.New(), ReadCall: readCall, Name: "d", DataCentre: "a",
	})
	s.dispatcher.Refresh()
	return s
}

func readCall(r *http.Request) *calls.Call {
	call := &calls.Call{
		ID: r.Header.Get("Id"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: r.URL.Path, Header: http.Header{}, DeadlineMs: 1500,
	}
	if r.Method == http.MethodPost {
		call.Prompt = &calls.Prompt{Tokens: 100, MostOutput: 10 * events, LikelyOutput: 10 * events}
	}
	return call
}

// ask sends one request and returns the answer, and whether it was cut.
func (s *setup) ask(id, path string) (recorder *httptest.ResponseRecorder, cut bool) {
	recorder = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	r.Header.Set("Id", id)
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler {
				panic(err)
			}
			cut = true
		}
	}()
	s.dispatcher.ServeHTTP(recorder, r)
	return recorder, false
}

// TestPromisesHoldWhateverUpstreamsDo draws the fate of every call and checks
// what callers are told against what was run.
func TestPromisesHoldWhateverUpstreamsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSetup(func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) })
		repeats := 0
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			route := rapid.SampledFrom([]string{"lookup", "order", "resumable", "once"}).Draw(t, "route")
			id := fmt.Sprint(route, i)
			answer, cut := s.ask(id, "/"+route+"/x")
			check(t, s, route, id, answer, cut)
			repeats += max(0, s.upstreams.arrivals[id]-1)
		}
		if repeats > retrySlack {
			t.Fatalf("%d repeats, %d allowed", repeats, retrySlack)
		}
		for _, e := range s.dispatcher.o.View.Engines(s.dispatcher.o.Clock.Now()) {
			if e.Runs != 0 {
				t.Fatalf("engine %s still has %d runs booked", e.ID, e.Runs)
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
	if runs > 0 && v.Outcome == verdict.Refused {
		t.Fatalf("%s ran, and its verdict says refused", id)
	}
	if cut {
		return
	}
	if promises(answer.Code) && runs > 0 {
		t.Fatalf("%s is told %d, and ran", id, answer.Code)
	}
	if answer.Code == http.StatusServiceUnavailable && answer.Header().Get("Retry-After") == "" {
		t.Fatalf("%s is refused without a time to come back", id)
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

// TestEveryRepeatTakesFromTheBudget replays what broke the budget on a bench day:
// an engine loses its answer, and the resumed run's second prefill was sent
// without taking a retry.
func TestEveryRepeatTakesFromTheBudget(t *testing.T) {
	broke := false
	s := newSetup(func(name string, n int) int {
		switch {
		case name == "fate of prefill":
			return 7
		case name == "fate of decode" && !broke:
			broke = true
			return fateBrokenAfter
		}
		return fateServed
	})
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Code != http.StatusOK || answer.Body.String() != eventsAfter(0) {
		t.Fatalf("answer %d %q", answer.Code, answer.Body.String())
	}
	if s.upstreams.arrivals["r"] != 3 {
		t.Fatalf("%d arrivals; two decodes and the second prefill are expected", s.upstreams.arrivals["r"])
	}
	left := 0
	for s.dispatcher.o.Retries.Take("model", s.dispatcher.o.Clock.Now()) {
		left++
	}
	full := retries.NewWindows(retries.Bound{Slack: retrySlack, WindowMs: 100 * clock.Second}, -100*clock.Second, func() int { return 1 })
	all := 0
	for full.Take("model", 0) {
		all++
	}
	if all-left != 2 {
		t.Errorf("%d retries taken for two repeats", all-left)
	}
}

// TestStreamGoesOnAtAnotherEngine cuts a stream in the middle of an event.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	sent := 0
	s := newSetup(func(name string, n int) int {
		switch name {
		case "fate of prefill":
			return 7
		case "fate of decode":
			if sent++; sent == 1 {
				return fateCutBody
			}
			return fateServed
		case "cut":
			return n / 2
		}
		return 0
	})
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("cut %v, answer %q", cut, answer.Body.String())
	}
}

func TestUnknownRouteAndShutdown(t *testing.T) {
	s := newSetup(func(string, int) int { return fateServed })
	if answer, _ := s.ask("a", "/nowhere/"); answer.Code != http.StatusNotFound {
		t.Errorf("status %d for an unknown route", answer.Code)
	}
	s.dispatcher.Drain(s.dispatcher.o.Clock.Now() + 100)
	if answer, _ := s.ask("s", "/once/x"); answer.Code != http.StatusServiceUnavailable || s.upstreams.runs["s"] != 0 {
		t.Errorf("a stream that would be cut by the shutdown: status %d, %d runs", answer.Code, s.upstreams.runs["s"])
	}
	answer, _ := s.ask("b", "/lookup/x")
	if answer.Code != http.StatusOK || answer.Header().Get("Connection") != "close" {
		t.Errorf("status %d, Connection %q while draining", answer.Code, answer.Header().Get("Connection"))
	}
}

// TestDecodeEngineReadsThePromptWhereNoOtherCan: the last prefill engine has left.
func TestDecodeEngineReadsThePromptWhereNoOtherCan(t *testing.T) {
	s := newSetup(func(string, int) int { return fateServed })
	dir := s.dispatcher.o.Directory.(*fakeDirectory)
	dir.upstreams["model"] = dir.upstreams["model"][2:]
	s.dispatcher.Refresh()
	answer, cut := s.ask("r", "/once/x")
	if cut || answer.Body.String() != eventsAfter(0) || len(s.upstreams.acceptedPrefills) != 0 {
		t.Errorf("cut %v, answer %q", cut, answer.Body.String())
	}
}

// crashCheckTime is enough for a check whether an upstream has crashed.
const crashCheckTime = 100 * time.Millisecond

// TestRequestThatCrashesUpstreamsIsRefused sends the same request again and again;
// each attempt has its own id.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	s := newSetup(func(string, int) int { return fateBrokenAfter })
	ask := func(id string) int {
		answer, _ := s.ask(id, "/order/x")
		time.Sleep(crashCheckTime)
		return answer.Code
	}
	s.upstreams.crashed = true
	for i := range 2 {
		if code := ask(fmt.Sprint("crash", i)); code != http.StatusBadGateway {
			t.Errorf("attempt %d: status %d", i, code)
		}
	}
	if code := ask("crash2"); code != http.StatusServiceUnavailable || s.upstreams.runs["crash2"] != 0 {
		t.Errorf("the third attempt: status %d, %d runs", code, s.upstreams.runs["crash2"])
	}
}

// TestLostAnswersMakeNoSuspect: the connection broke, and the upstream lives.
func TestLostAnswersMakeNoSuspect(t *testing.T) {
	s := newSetup(func(string, int) int { return fateBrokenAfter })
	for i := range 4 {
		if answer, _ := s.ask(fmt.Sprint("lost", i), "/order/x"); answer.Code != http.StatusBadGateway {
			t.Errorf("attempt %d: status %d", i, answer.Code)
		}
		time.Sleep(crashCheckTime)
	}
}
