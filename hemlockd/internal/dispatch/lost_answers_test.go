package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/capacity"
)

// slowStream is an engine's answer that comes in pieces with pauses between them. It
// ends early when the call is cancelled.
type slowStream struct {
	pieces []string
	pause  time.Duration // before each piece but the first
	writer *io.PipeWriter
	// canceled is set if the call was cancelled before the last piece.
	canceled atomic.Bool
}

func (s *slowStream) run(ctx context.Context) {
	for i, piece := range s.pieces {
		if i > 0 {
			select {
			case <-ctx.Done():
				s.canceled.Store(true)
				_ = s.writer.CloseWithError(ctx.Err())
				return
			case <-time.After(s.pause):
			}
		}
		_, _ = io.WriteString(s.writer, piece)
	}
	_ = s.writer.Close()
}

// newReply starts a stream and returns it as an answer.
func (s *slowStream) newReply(ctx context.Context) *calls.Reply {
	reader, writer := io.Pipe()
	s.writer = writer
	go s.run(ctx)
	return &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true, Body: reader}
}

// noFaults lets all calls succeed.
func noFaults(name string, _ int) int {
	if name == "fault in prefill" || name == "fault in reservation" {
		return 2 + 5*strings.Count(name, "prefill") // neither fails
	}
	return faultNone
}

// onlyEngine leaves the service "model" with one decode engine.
func (s *setup) onlyEngine() {
	dir := s.dispatcher.opts.Directory.(*fakeDirectory)
	dir.upstreams["model"] = dir.upstreams["model"][:3]
	s.dispatcher.RefreshEngines()
}

// silence is longer than the time after which a stream may move to another engine, and
// shorter than callers wait.
const silence = 2300 * time.Millisecond

// silentOnce is an answer that pauses in the middle.
func silentOnce() *slowStream {
	all := eventsAfter(0)
	half := len(all) / 2
	half += strings.Index(all[half:], "\n\n") + 2
	return &slowStream{pieces: []string{all[:half], all[half:]}, pause: silence}
}

// longWait makes a request's time limit longer than any pause in these tests.
func (s *setup) longWait() {
	for i := range s.dispatcher.opts.Directory.Table().Config.Routes {
		s.dispatcher.opts.Directory.Table().Config.Routes[i].TimeoutMs = 10_000
	}
	read := s.dispatcher.opts.ReadCall
	s.dispatcher.opts.ReadCall = func(r *http.Request) *calls.Call {
		call := read(r)
		call.TimeoutMs = 10_000
		return call
	}
}

// TestSilentStreamIsKeptIfNothingElseCanContinueIt guards against a stream that is ended
// for its engine's silence although the request can't go on anywhere else: the engine was
// only slow, and the caller lost an answer that was on its way.
func TestSilentStreamIsKeptIfNothingElseCanContinueIt(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*setup)
	}{
		{"no other engine", (*setup).onlyEngine},
		{"no attempt left", func(s *setup) { s.route("resumable").MaxAttempts = 1 }},
		{"retry budget used up", func(s *setup) {
			for s.dispatcher.opts.Retries.Take("model", s.dispatcher.opts.Clock.Now()) {
				continue
			}
		}},
		{"other engines are full", func(s *setup) {
			now := s.dispatcher.opts.Clock.Now()
			for _, engine := range []string{"d2", "d3"} {
				s.dispatcher.opts.View.Add("other", capacity.Run{ID: engine, Engine: engine, PromptTokens: 9000, ExpectedTokens: 900, MaxTokens: 900}, now)
			}
		}},
		{"prefill engines fail", func(s *setup) {
			prefills := 0
			s.upstreams.choose = func(name string, n int) int {
				if name == "fault in prefill" {
					if prefills++; prefills > 1 {
						return 1 // busy
					}
				}
				return noFaults(name, n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSetup(noFaults)
			s.longWait()
			s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
				return silentOnce().newReply(ctx)
			}
			c.prepare(s)
			answer, cut := s.ask("r", "/resumable/x")
			if cut || answer.Body.String() != eventsAfter(0) || s.upstreams.runs["r"] != 1 {
				t.Errorf("cut %v, %d runs, answer %q", cut, s.upstreams.runs["r"], answer.Body.String())
			}
			for _, e := range s.dispatcher.opts.View.LocalRuns(s.dispatcher.opts.Clock.Now()) {
				t.Errorf("run %+v is still placed", e)
			}
		})
	}
}

// TestSilentStreamMovesOnceTheContinuationIsReady checks that a stream whose engine is
// silent for good goes on at another one, and that the first call is cancelled then.
func TestSilentStreamMovesOnceTheContinuationIsReady(t *testing.T) {
	s := newSetup(noFaults)
	s.longWait()
	first := silentOnce()
	first.pause = time.Minute
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, d calls.Delivery) *calls.Reply {
		if d.ResumeAfter == "" {
			return first.newReply(ctx)
		}
		return (&slowStream{pieces: []string{eventsAfter(eventsUpTo(d.ResumeAfter))}}).newReply(ctx)
	}
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Body.String() != eventsAfter(0) || s.upstreams.runs["r"] != 2 {
		t.Errorf("cut %v, %d runs, answer %q", cut, s.upstreams.runs["r"], answer.Body.String())
	}
	time.Sleep(20 * time.Millisecond)
	if !first.canceled.Load() {
		t.Error("the silent engine's call was not cancelled")
	}
}

// TestStreamThatSpeaksAgainStaysWhereItIs checks that a stream that goes on by itself while
// its continuation is being prepared stays at its engine, and that what was prepared is
// freed.
func TestStreamThatSpeaksAgainStaysWhereItIs(t *testing.T) {
	s := newSetup(noFaults)
	s.longWait()
	s.upstreams.prefillTime = 2 * (silence - stallTimeout.Duration())
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
		return silentOnce().newReply(ctx)
	}
	answer, cut := s.ask("r", "/resumable/x")
	time.Sleep(20 * time.Millisecond)
	if cut || answer.Body.String() != eventsAfter(0) || s.upstreams.runs["r"] != 1 {
		t.Errorf("cut %v, %d runs, answer %q", cut, s.upstreams.runs["r"], answer.Body.String())
	}
	s.upstreams.mu.Lock()
	defer s.upstreams.mu.Unlock()
	if s.upstreams.results != 2 || s.upstreams.freedResults != 1 {
		t.Errorf("%d prefill results, %d freed, want 2 and 1", s.upstreams.results, s.upstreams.freedResults)
	}
}

// TestSlowCallerDoesNotMakeAStreamSilent guards against a stream that is taken for silent
// because its caller reads slowly.
func TestSlowCallerDoesNotMakeAStreamSilent(t *testing.T) {
	s := newSetup(noFaults)
	s.longWait()
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
		return (&slowStream{pieces: strings.SplitAfter(eventsAfter(0), "\n\n")}).newReply(ctx)
	}
	r := newRequest("r", "/resumable/x")
	w := &slowCaller{header: http.Header{}}
	s.dispatcher.ServeHTTP(w, r)
	if w.body.String() != eventsAfter(0) || s.upstreams.runs["r"] != 1 {
		t.Errorf("%d runs, answer %q", s.upstreams.runs["r"], w.body.String())
	}
}

// slowCaller blocks the first event's write for longer than a stream may be silent.
type slowCaller struct {
	header  http.Header
	body    strings.Builder
	blocked bool
}

func (w *slowCaller) Header() http.Header { return w.header }
func (w *slowCaller) WriteHeader(int)     {}
func (w *slowCaller) Flush()              {}

func (w *slowCaller) Write(b []byte) (int, error) {
	if !w.blocked {
		w.blocked = true
		time.Sleep(silence)
	}
	return w.body.Write(b)
}

// TestStreamThatFailsBeforeItsFirstEventIsAnswered guards against a status that is written
// before the first event: when the stream then failed, the caller's connection was closed
// with nothing sent.
func TestStreamThatFailsBeforeItsFirstEventIsAnswered(t *testing.T) {
	s := newSetup(func(name string, n int) int {
		if name == "fault in decode" {
			return faultTruncatedBody
		}
		return noFaults(name, n) // cut at 0: nothing of the first event comes
	})
	for _, route := range []string{"once", "resumable"} {
		answer, cut := s.ask(route, "/"+route+"/x")
		if cut || answer.Code != http.StatusBadGateway {
			t.Errorf("%s: cut %v, status %d, want an answer with status 502", route, cut, answer.Code)
		}
	}
}

// TestStreamThatEndsInsideAnEventIsBroken guards against a stream that ends in the middle
// of an event and is passed on as complete because its end was marked.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	whole := eventsAfter(0)
	// All but the blank line; in the middle of the last event; in the middle of another.
	for _, end := range []int{len(whole) - 1, len(whole) - 5, len(whole)/2 + 3} {
		s := newSetup(noFaults)
		s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, d calls.Delivery) *calls.Reply {
			rest := eventsAfter(eventsUpTo(d.ResumeAfter))
			if d.ResumeAfter == "" {
				rest = rest[:end]
			}
			return (&slowStream{pieces: []string{rest}}).newReply(ctx)
		}
		answer, cut := s.ask("r", "/resumable/x")
		if cut || answer.Body.String() != whole {
			t.Errorf("ends after %d bytes: cut %v, answer %q", end, cut, answer.Body.String())
		}
		if _, cut := s.ask("once", "/once/x"); !cut {
			t.Errorf("ends after %d bytes: a stream that may not be resumed looks complete", end)
		}
	}
}

// TestLongAnswerOfAnotherStatusIsWhole guards against an answer to a streaming request with
// a status other than 200 that is cut at the size of the buffer.
func TestLongAnswerOfAnotherStatusIsWhole(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBytes+1)
	s := newSetup(noFaults)
	s.upstreams.decode = func(context.Context, routing.Upstream, calls.Delivery) *calls.Reply {
		return &calls.Reply{Status: http.StatusBadRequest, Header: http.Header{}, Sealed: true, Body: io.NopCloser(strings.NewReader(long))}
	}
	if answer, cut := s.ask("r", "/once/x"); cut || answer.Body.String() != long {
		t.Errorf("cut %v, %d bytes of %d", cut, answer.Body.Len(), len(long))
	}
}

// TestInvalidStatusIsAFailure guards against an upstream's status that net/http refuses to
// send: it ended the request with a panic, without an answer and without a verdict's reason.
func TestInvalidStatusIsAFailure(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		s := newSetup(noFaults)
		s.upstreams.decode = func(context.Context, routing.Upstream, calls.Delivery) *calls.Reply {
			return &calls.Reply{Status: status, Header: http.Header{}, Sealed: true, Body: io.NopCloser(strings.NewReader("x"))}
		}
		answer, cut := s.ask("r", "/once/x")
		if cut || answer.Code != http.StatusBadGateway || s.verdicts.all["r"].Outcome != verdict.OutcomeUnknown {
			t.Errorf("status %d: cut %v, answered with status %d", status, cut, answer.Code)
		}
	}
}

// TestSlowAnswerIsAwaitedIfNoOtherUpstreamMayBeTried guards against an idempotent call that
// is given up at a slow upstream although it may go to no other one.
func TestSlowAnswerIsAwaitedIfNoOtherUpstreamMayBeTried(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*setup)
	}{
		{"no attempt left", func(s *setup) { s.route("lookup").MaxAttempts = 1 }},
		{"no other upstream", func(s *setup) {
			dir := s.dispatcher.opts.Directory.(*fakeDirectory)
			dir.upstreams["plain"] = dir.upstreams["plain"][:1]
		}},
		{"retry budget used up", func(s *setup) {
			for s.dispatcher.opts.Retries.Take("plain", s.dispatcher.opts.Clock.Now()) {
				continue
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSetup(noFaults)
			s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) { return slowPlain(ctx, 800*time.Millisecond, "whole") }
			c.prepare(s)
			answer, cut := s.ask("r", "/lookup/x")
			if cut || answer.Code != http.StatusOK || answer.Body.String() != "whole" {
				t.Errorf("cut %v, status %d, answer %q", cut, answer.Code, answer.Body.String())
			}
		})
	}
}

// TestSlowUpstreamIsLeftForAnother checks that an idempotent call goes to another upstream
// if the first one is slow and it may.
func TestSlowUpstreamIsLeftForAnother(t *testing.T) {
	s := newSetup(noFaults)
	var first atomic.Bool
	s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) {
		if first.CompareAndSwap(false, true) {
			return slowPlain(ctx, time.Minute, "late")
		}
		return slowPlain(ctx, 0, "whole")
	}
	answer, cut := s.ask("r", "/lookup/x")
	if cut || answer.Body.String() != "whole" || s.upstreams.arrivals["r"] != 2 {
		t.Errorf("cut %v, %d arrivals, answer %q", cut, s.upstreams.arrivals["r"], answer.Body.String())
	}
}

// TestLongAnswerIsNotBoundByTheAttemptsTimeout guards against an answer that is longer than
// the buffer and is cut when the time for one attempt is over, midway to the caller.
func TestLongAnswerIsNotBoundByTheAttemptsTimeout(t *testing.T) {
	half := strings.Repeat("x", maxBufferedBytes+1)
	s := newSetup(noFaults)
	s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) {
		return (&slowStream{pieces: []string{half, half}, pause: 800 * time.Millisecond}).newReply(ctx), nil
	}
	if answer, cut := s.ask("r", "/lookup/x"); cut || answer.Body.Len() != 2*len(half) {
		t.Errorf("cut %v, %d bytes of %d", cut, answer.Body.Len(), 2*len(half))
	}
}

// slowPlain answers a plain call after a time, or fails when the call is cancelled.
func slowPlain(ctx context.Context, after time.Duration, body string) (*calls.Reply, error) {
	select {
	case <-ctx.Done():
		return nil, &calls.Error{Phase: calls.PhaseRun, Cause: calls.CauseConnectionLost, Outcome: calls.Unknown, Err: ctx.Err()}
	case <-time.After(after):
	}
	return &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// TestPanicIsAnswered guards against a bug that ends a request with a closed connection and
// no answer, although none of the answer has been sent.
func TestPanicIsAnswered(t *testing.T) {
	s := newSetup(noFaults)
	s.upstreams.plain = func(context.Context) (*calls.Reply, error) { panic("injected") }
	answer, cut := s.ask("r", "/order/x")
	if cut || answer.Code != http.StatusInternalServerError || s.verdicts.all["r"].Reason != reasonInternal {
		t.Errorf("cut %v, status %d, verdict %+v", cut, answer.Code, s.verdicts.all["r"])
	}
}
