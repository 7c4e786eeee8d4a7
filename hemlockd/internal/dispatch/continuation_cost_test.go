package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// waitUpTo sets the time limit of resumable requests.
func (s *setup) waitUpTo(limit clock.Millis) {
	s.longWait()
	s.route("resumable").TimeoutMs = limit
	read := s.dispatcher.opts.ReadCall
	s.dispatcher.opts.ReadCall = readCallWithLimit(read, limit)
}

// TestPausesDoNotUseUpTheWayOut guards against a slow stream for which continuations were
// prepared in vain, and which then can't go on elsewhere when its engine is lost: what was
// prepared counted as calls of the request.
func TestPausesDoNotUseUpTheWayOut(t *testing.T) {
	s := newSetup(noFaults)
	s.waitUpTo(30 * clock.Second)
	s.upstreams.prefillTime = 700 * time.Millisecond
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, d calls.Delivery) *calls.Reply {
		if d.ResumeAfter != "" {
			return (&slowStream{pieces: []string{eventsAfter(eventsUpTo(d.ResumeAfter))}}).newReply(ctx)
		}
		first := pauses(2500 * time.Millisecond)
		first.pieces = first.pieces[:4] // three pauses, then the connection is lost
		reply := first.newReply(ctx)
		reply.Body = io.NopCloser(brokenBody{reply.Body})
		return reply
	}
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("cut %v, answer %q, attempts %+v", cut, answer.Body.String(), s.verdicts.all["r"].Attempts)
	}
}

// TestContinuationInVainCostsNoRetries guards against a budget that one slow stream uses up:
// while its prefill engines are busy, each try to move it takes a retry for a decode call that
// is not sent.
func TestContinuationInVainCostsNoRetries(t *testing.T) {
	prefills := 0
	s := newSetup(func(name string, n int) int {
		if name == "fault in prefill" {
			if prefills++; prefills > 1 {
				return 1 // busy
			}
		}
		return noFaults(name, n)
	})
	s.waitUpTo(30 * clock.Second)
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
		once := silentOnce()
		once.pause = 7 * time.Second
		return once.newReply(ctx)
	}
	answer, cut := s.ask("r", "/resumable/x")
	if cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("cut %v, answer %q", cut, answer.Body.String())
	}
	left := 0
	for s.dispatcher.opts.Retries.Take("model", s.dispatcher.opts.Clock.Now()) {
		left++
	}
	sent := s.upstreams.arrivals["r"] - 1 // calls after the first one that reached an upstream
	if want := retrySlack*9/10 - sent; left < want {
		t.Errorf("%d retries left after one slow stream and %d repeated calls, want %d", left, sent, want)
	}
}

func readCallWithLimit(read func(*http.Request) *calls.Call, limit clock.Millis) func(*http.Request) *calls.Call {
	return func(r *http.Request) *calls.Call {
		call := read(r)
		call.TimeoutMs = limit
		return call
	}
}

// TestContinuationInVainClaimsNoPrefillTime guards against prefill engines that look busy, to
// this daemon and all others, with prompts that were never sent to them: each try to move a slow
// stream claimed time for its prompt before it was known whether a retry may be made.
func TestContinuationInVainClaimsNoPrefillTime(t *testing.T) {
	s := newSetup(noFaults)
	s.waitUpTo(30 * clock.Second)
	for s.dispatcher.opts.Retries.Take("model", s.dispatcher.opts.Clock.Now()) {
		continue
	}
	var work float64
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
		work = s.dispatcher.opts.View.PrefillWorkMs("model")
		once := silentOnce()
		once.pause = 6 * time.Second
		return once.newReply(ctx)
	}
	if answer, cut := s.ask("r", "/resumable/x"); cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("cut %v, answer %q", cut, answer.Body.String())
	}
	if more := s.dispatcher.opts.View.PrefillWorkMs("model") - work; more > 0 {
		t.Errorf("%.1f ms of prefill claimed in addition to %.1f ms, and none sent", more, work)
	}
}
