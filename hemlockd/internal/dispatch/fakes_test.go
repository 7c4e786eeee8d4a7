package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// fakeDirectory holds one configuration and its upstreams.
type fakeDirectory struct {
	table     *routing.Table
	mu        sync.Mutex
	upstreams map[string][]routing.Upstream
}

func (d *fakeDirectory) Table() *routing.Table { return d.table }
func (d *fakeDirectory) Ready() bool           { return true }

func (d *fakeDirectory) Upstreams(service string) []routing.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[service]
}

type fakePeers struct{}

func (fakePeers) Broadcast(peers.Update) {}
func (fakePeers) ViewStale() bool        { return false }
func (fakePeers) InCell(string) bool     { return true }

func (fakePeers) DaemonsIn(string) (serving, leaving int) { return 1, 0 }

func (fakePeers) LoadOf(string) (peers.EngineLoad, bool) { return peers.EngineLoad{}, false }

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

// Faults that a fake upstream injects into a call.
const (
	faultNone = iota
	faultUnreachable
	faultBusy
	faultTargetChanged
	faultLostBeforeRun   // the connection was lost, and the upstream did not run the call
	faultLostAfterRun    // the connection was lost after the upstream had run the call
	faultTruncatedBody   // the connection was lost in the middle of the answer
	faultUnsealed        // the answer carries no seal
	faultServerError     // the upstream ran the call and answered with status 500
	faultUnprovenRefusal // the upstream ran the call and answered with status 503
	faultCount
)

// events is the number of events in the fake engines' answers.
const events = 6

// fakeUpstreams injects faults into calls and counts the calls.
type fakeUpstreams struct {
	mu sync.Mutex
	// choose returns a number below n for the choice with the name.
	choose func(name string, n int) int
	// arrivals counts, by request id, the calls that reached an upstream, without the
	// first prefill that was accepted.
	arrivals map[string]int
	// runs counts, by request id, the calls that were run.
	runs             map[string]int
	acceptedPrefills map[string]int
	// results counts the prefill results handed out, freedResults those released.
	results, freedResults int
	// prefillTime is how long all prefills but the first take.
	prefillTime time.Duration
	// reservations counts the reservations made, canceledReservations those released.
	reservations, canceledReservations int
	failProbes                         bool
	// decode, if set, makes the answers of decode calls without a fault.
	decode func(ctx context.Context, to routing.Upstream, d calls.Delivery) *calls.Reply
	// send, if set, is called for each call and can let it fail.
	send func(call *calls.Call, to routing.Upstream, d calls.Delivery) error
	// decodes counts the decode calls.
	decodes atomic.Int32
	// plain, if set, answers plain calls without a fault.
	plain func(ctx context.Context) (*calls.Reply, error)
}

func newFakeUpstreams(choose func(string, int) int) *fakeUpstreams {
	return &fakeUpstreams{choose: choose, arrivals: map[string]int{}, runs: map[string]int{}, acceptedPrefills: map[string]int{}}
}

// brokenBody is a body that ends with an error instead of io.EOF.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("connection reset")
	}
	return n, err
}

func (f *fakeUpstreams) Send(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (*calls.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Phase == calls.PhaseDecode {
		f.decodes.Add(1)
	}
	if f.send != nil {
		if err := f.send(call, to, d); err != nil {
			f.runs[call.ID]++
			return nil, err
		}
	}
	fault := f.choose("fault in "+string(d.Phase), faultCount)
	fail := func(cause calls.Cause, outcome calls.Outcome) (*calls.Reply, error) {
		return nil, &calls.Error{Upstream: to.ID, Phase: d.Phase, Cause: cause, Outcome: outcome, Err: errors.New("injected fault")}
	}
	if fault == faultUnreachable {
		return fail(calls.CauseUnreachable, calls.NotRun)
	}
	f.arrivals[call.ID]++
	switch fault {
	case faultBusy:
		return fail(calls.CauseBusy, calls.NotRun)
	case faultTargetChanged:
		return fail(calls.CauseTargetChanged, calls.NotRun)
	case faultLostBeforeRun:
		return fail(calls.CauseConnectionLost, calls.Unknown)
	}
	f.runs[call.ID]++
	if fault == faultLostAfterRun {
		return fail(calls.CauseConnectionLost, calls.Unknown)
	}
	if f.decode != nil && d.Phase == calls.PhaseDecode && fault == faultNone {
		return f.decode(ctx, to, d), nil
	}
	if f.plain != nil && d.Phase == calls.PhaseRun && fault == faultNone {
		f.mu.Unlock()
		defer f.mu.Lock()
		return f.plain(ctx)
	}
	body := "whole"
	if d.Phase == calls.PhaseDecode {
		body = eventsAfter(eventsUpTo(d.ResumeAfter))
	}
	reply := &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true}
	reply.Body = io.NopCloser(strings.NewReader(body))
	switch fault {
	case faultTruncatedBody:
		reply.Body = io.NopCloser(brokenBody{strings.NewReader(body[:f.choose("cut", len(body))])})
	case faultUnsealed:
		reply.Sealed = false
	case faultServerError:
		reply.Status = http.StatusInternalServerError
	case faultUnprovenRefusal:
		reply.Status = http.StatusServiceUnavailable
	}
	return reply, nil
}

// eventsAfter returns the events that follow the one with the id n.
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
	if f.send != nil {
		if err := f.send(call, to, calls.Delivery{Phase: calls.PhasePrefill}); err != nil {
			return calls.KVSource{}, err
		}
	}
	if f.results > 0 && f.prefillTime > 0 {
		f.mu.Unlock()
		time.Sleep(f.prefillTime)
		f.mu.Lock()
	}
	fail := func(cause calls.Cause) (calls.KVSource, error) {
		return calls.KVSource{}, &calls.Error{
			Upstream: to.ID, Phase: calls.PhasePrefill, Cause: cause, Outcome: calls.NotRun, Err: errors.New("injected fault"),
		}
	}
	switch f.choose("fault in prefill", 8) {
	case 0:
		return fail(calls.CauseUnreachable)
	case 1:
		f.arrivals[call.ID]++
		return fail(calls.CauseBusy)
	case 2:
		f.arrivals[call.ID]++
		return fail(calls.CauseConnectionLost)
	}
	if f.acceptedPrefills[call.ID]++; f.acceptedPrefills[call.ID] > 1 {
		f.arrivals[call.ID]++
	}
	f.results++
	return calls.KVSource{Address: to.Address, Handle: "h"}, nil
}

func (f *fakeUpstreams) FreeResult(context.Context, calls.KVSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freedResults++
	return nil
}

func (f *fakeUpstreams) Reserve(_ context.Context, to routing.Upstream, _ int, _ clock.Millis) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cause := calls.CauseBusy
	switch f.choose("fault in reservation", 4) {
	case 0:
		cause = calls.CauseUnreachable
	case 1:
	default:
		f.reservations++
		return "hold", nil
	}
	return "", &calls.Error{Upstream: to.ID, Phase: calls.PhaseDecode, Cause: cause, Outcome: calls.NotRun, Err: errors.New("injected fault")}
}

func (f *fakeUpstreams) CancelReservation(context.Context, routing.Upstream, string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceledReservations++
	return nil
}

func (f *fakeUpstreams) Probe(context.Context, routing.Upstream, string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failProbes {
		return errors.New("injected probe failure")
	}
	return nil
}

// setup is a dispatcher with fake upstreams.
type setup struct {
	dispatcher *Dispatcher
	upstreams  *fakeUpstreams
	verdicts   *fakeVerdicts
	versions   *fakeVersions
}

// retrySlack is the retry budget of the fake deployment.
const retrySlack = 12

func newSetup(choose func(string, int) int) *setup {
	route := func(name string, kind routing.Kind, service string, attempts int, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 2000, TargetLatencyMs: 300, MaxAttempts: attempts,
			Targets: []routing.Target{{Service: service, Weight: 1}}, HasPrompt: service == "model", Resumable: resumable,
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
				"model": {Name: "model", Engine: &routing.EngineSpec{Slots: 8, KVCacheTokens: 10000, EventTokens: 10, PrefillResultTTLMs: 500, MaxReservationMs: 2000}},
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
	view := capacity.NewView(capacity.DefaultLimits())
	s := &setup{upstreams: newFakeUpstreams(choose), verdicts: &fakeVerdicts{all: map[string]verdict.Verdict{}}, versions: &fakeVersions{software: map[string]string{}, ended: map[string]bool{}}}
	bound := retries.Bound{Slack: retrySlack, WindowMs: 100 * clock.Second}
	s.dispatcher = New(Options{
		Log: zap.NewNop(), Clock: clk, Directory: dir, Upstreams: s.upstreams, View: view, Queue: capacity.NewQueue(clk, view, func() int { return 1 }),
		Peers: fakePeers{}, Verdicts: s.verdicts, StreamVersions: s.versions, Retries: retries.NewServiceBudgets(bound, clk.Now()-bound.WindowMs, func() int { return 1 }),
		Suspects: suspects.New(), Prompts: prompts.New(), Gate: upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), MayTryPart: func(string) bool { return false }, ReadCall: readCall, Name: "d", DataCentre: "a",
	})
	s.dispatcher.RefreshEngines()
	return s
}

func readCall(r *http.Request) *calls.Call {
	call := &calls.Call{
		ID: r.Header.Get("Id"), ResumeAfter: r.Header.Get("After"), Resumed: r.Header.Get("Resumed"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Path: r.URL.Path, Header: http.Header{}, TimeoutMs: 1500,
	}
	if r.Method == http.MethodPost {
		call.Prompt = &calls.Prompt{Tokens: 100, MaxOutputTokens: 10 * events, ExpectedOutputTokens: 10 * events}
		if parts := r.Header.Get("Parts"); parts != "" {
			call.Prompt.Parts = strings.Split(parts, ",")
		}
	}
	return call
}

// newRequest returns a caller's request.
func newRequest(id, path string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	r.Header.Set("Id", id)
	return r
}

// route returns the route with the name, to be changed by a test.
func (s *setup) route(name string) *routing.Route {
	routes := s.dispatcher.opts.Directory.Table().Config.Routes
	return &routes[slices.IndexFunc(routes, func(r routing.Route) bool { return r.Name == name })]
}

// ask sends one request and returns the answer, and whether the connection was closed
// before the answer was complete.
func (s *setup) ask(id, path string) (recorder *httptest.ResponseRecorder, cut bool) {
	return s.askAfter(id, path, "", "")
}

// askAfter is ask for a request that goes on after an event of a stream that an attempt began.
func (s *setup) askAfter(id, path, after, began string) (recorder *httptest.ResponseRecorder, cut bool) {
	recorder = httptest.NewRecorder()
	r := newRequest(id, path)
	r.Header.Set("After", after)
	r.Header.Set("Resumed", began)
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

// breakFirstStream chooses faults that break the first stream in the middle of an event. sent counts the decode calls.
func breakFirstStream(sent *int) func(string, int) int {
	return func(name string, n int) int {
		switch name {
		case "fault in prefill":
			return 7
		case "fault in decode":
			if *sent++; *sent == 1 {
				return faultTruncatedBody
			}
			return faultNone
		case "cut":
			return n / 2
		}
		return 0
	}
}
