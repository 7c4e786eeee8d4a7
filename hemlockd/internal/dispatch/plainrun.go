package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// errOvertaken reports that a call was ended because another upstream has answered it.
var errOvertaken = errors.New("another upstream has answered the call")

// plainRun serves one call of a plain service. An idempotent call that one upstream does not answer
// soon is sent to another as well; the first answer counts, and the slow upstream keeps its call
// until then, since the other one may fail.
type plainRun struct {
	*exchange
	ctx     context.Context
	results chan plainResult
	// running holds the attempts that have brought no result yet, by upstream.
	running map[string]*plainAttempt
	tried   map[string]bool
	// runs counts the ended attempts that ran the call or may have.
	runs int
	// reached is set once an upstream has received the call: each further one is a retry.
	reached bool
	// noHedge is set once the call could not be sent to another upstream beside the first.
	noHedge bool
	// reason is told to the caller if no upstream answers.
	reason string
	// fallback is an answer that is forwarded if no better one comes.
	fallback *bufferedReply
}

// plainAttempt is one call at one upstream.
type plainAttempt struct {
	upstream routing.Upstream
	startMs  clock.Millis
	cancel   context.CancelFunc
}

// plainResult is the result of an attempt.
type plainResult struct {
	attempt *plainAttempt
	answer  *bufferedReply
	err     error
	// panicked is what the attempt panicked with, if it did.
	panicked any
}

// servePlain sends the call to one upstream after another, as far as it may be
// repeated, until one brings an answer that can be forwarded.
func (x *exchange) servePlain(ctx context.Context) {
	r := &plainRun{
		exchange: x, ctx: ctx, results: make(chan plainResult, maxUpstreamsTried), running: map[string]*plainAttempt{},
		tried: map[string]bool{}, reason: reasonNoUpstream,
	}
	r.wantUpstreams()
	r.serve()
}

func (r *plainRun) serve() {
	defer r.abandon()
	for {
		if len(r.running) == 0 {
			if r.refuseAtShutdown() { // again after each upstream that has refused: that may have taken long
				return
			}
			if !r.start() {
				r.fail()
				return
			}
		}
		result, ok := r.await()
		if !ok {
			r.noHedge = !r.start()
			continue
		}
		if answer := r.finish(result); answer != nil {
			r.deliver(answer)
			return
		}
	}
}

// await waits for the next result. It returns false if the call should be sent to another upstream
// meanwhile.
func (r *plainRun) await() (plainResult, bool) {
	hedgeMs := clock.Millis(hedgeFactor * float64(r.route.TargetLatencyMs))
	if r.route.Kind != routing.Idempotent || hedgeMs <= 0 || r.noHedge || len(r.running) > 1 || !r.mayStart() {
		return <-r.results, true
	}
	sinceMs := r.now()
	for _, a := range r.running {
		sinceMs = a.startMs
	}
	timer := time.NewTimer(max(0, sinceMs+hedgeMs-r.now()).Duration())
	defer timer.Stop()
	select {
	case result := <-r.results:
		return result, true
	case <-timer.C:
	}
	if _, ok := r.chooseUpstream(r.tried); ok && r.d.opts.Retries.Has(r.service, 1, r.now()) {
		return plainResult{}, false
	}
	return <-r.results, true
}

// mayStart reports whether the call may be sent to one more upstream, if there is one.
func (r *plainRun) mayStart() bool {
	repeatable := r.outcome == calls.NotRun && len(r.running) == 0 || r.route.Repeatable()
	return repeatable && len(r.tried) < maxUpstreamsTried && r.runs+len(r.running) < r.route.MaxAttempts && r.remainingMs() > 0 && !r.callerGone()
}

// start sends the call to the best upstream that it has not been sent to. It returns false if there is
// none, or the call may not be sent again.
func (r *plainRun) start() bool {
	for paid := false; r.mayStart(); {
		u, ok := r.chooseUpstream(r.tried)
		if !ok {
			return false
		}
		if !paid && (r.reached || len(r.running) > 0) && !r.d.opts.Retries.Take(r.service, r.now()) {
			return false
		}
		paid = true // whichever upstream takes the call
		if r.take(u) != upstreamgate.Open {
			continue
		}
		r.tried[u.ID] = true
		ctx, cancel := context.WithCancel(r.ctx)
		a := &plainAttempt{upstream: u, startMs: r.now(), cancel: cancel}
		r.running[u.ID] = a
		go r.run(ctx, a)
		return true
	}
	return false
}

// run makes an attempt.
func (r *plainRun) run(ctx context.Context, a *plainAttempt) {
	defer r.d.health.beginCall(a.upstream.ID)()
	defer func() {
		if cause := recover(); cause != nil {
			r.results <- plainResult{attempt: a, panicked: cause}
		}
	}()
	answer, err := r.sendAndBuffer(ctx, a.upstream)
	if err != nil || !answer.partial {
		a.cancel()
	} else {
		answer.cancel = a.cancel
	}
	r.results <- plainResult{attempt: a, answer: answer, err: err}
}

// finish records a result. It returns the answer if it is to be forwarded.
func (r *plainRun) finish(result plainResult) *bufferedReply {
	u := result.attempt.upstream
	delete(r.running, u.ID)
	if result.panicked != nil {
		panic(result.panicked)
	}
	r.recordResult(u, result.err)
	failed := r.recordAttempt(u.ID, calls.PhaseRun, result.attempt.startMs, result.err)
	if failed == nil {
		if result.answer.reply.Status < http.StatusInternalServerError || !r.route.Repeatable() {
			return result.answer
		}
		if r.fallback != nil {
			r.fallback.close()
		}
		r.fallback = result.answer
		r.reached, r.runs = true, r.runs+1
		return nil
	}
	switch {
	case failed.Cause == calls.CauseUnreachable:
		r.reason = reasonUnreachable
	case failed.Cause.NotSent():
		r.closedSkipped = true
	default:
		r.reached, r.reason = true, reasonBusy
	}
	if failed.Outcome != calls.NotRun {
		r.runs++
	}
	return nil
}

// fail answers the caller after all attempts have failed.
func (r *plainRun) fail() {
	if r.fallback != nil && !r.callerGone() {
		answer := r.fallback
		r.fallback = nil
		r.deliver(answer)
		return
	}
	if r.outcome == calls.NotRun && (r.reason == reasonNoUpstream || r.allClosed("")) && r.refuseClosed("") {
		return
	}
	retry := busyRetryAfter
	if r.reason != reasonBusy {
		retry = unreachableRetryAfter
	}
	r.respondFailure(r.reason, retry+jitter(retry))
}

// abandon ends the attempts that are still running and an answer that is not needed.
func (r *plainRun) abandon() {
	if r.fallback != nil {
		r.fallback.close()
	}
	overtaken := len(r.running)
	for _, a := range r.running {
		a.cancel()
		err := &calls.Error{Upstream: a.upstream.ID, Phase: calls.PhaseRun, Cause: calls.CauseTimeout, Outcome: calls.Unknown, Err: errOvertaken}
		if r.now()-a.startMs >= clock.Millis(hedgeFactor*float64(r.route.TargetLatencyMs)) {
			r.recordResult(a.upstream, err)
			r.startCrashCheck(a.upstream)
		}
		r.recordAttempt(a.upstream.ID, calls.PhaseRun, a.startMs, err)
	}
	if overtaken > 0 {
		go r.discard(overtaken)
	}
}

// discard closes the answers of attempts that were overtaken.
func (r *plainRun) discard(n int) {
	for range n {
		if result := <-r.results; result.answer != nil {
			result.answer.close()
		}
	}
}
