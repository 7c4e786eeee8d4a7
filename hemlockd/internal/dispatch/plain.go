package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

const (
	// wholeAnswerBytes is the size up to which an answer is read whole before it
	// is handed on, so that one that breaks off can be had elsewhere.
	wholeAnswerBytes = 256 << 10
	// maxTries bounds the upstreams that one call is tried at, also where none
	// of them takes it.
	maxTries = 4
	// silenceFactor times the target latency is how long a repeatable call
	// waits for one upstream before another is asked.
	silenceFactor = 1.75
	// failurePenaltyMs is what an upstream that fails every call costs in the
	// choice, as time on the way.
	failurePenaltyMs = 400
	// downPenaltyMs is what an upstream that is down costs in the choice; it is
	// tried only where all are.
	downPenaltyMs = 10000
	// queuedMs is what a call in flight at an upstream costs in the choice,
	// divided by the upstream's slots.
	queuedMs = 15
	// busyRetry is when a caller may come back to upstreams that take no more.
	busyRetry = 300 * clock.Millisecond
	// unreachableRetry is the same where none can be reached.
	unreachableRetry = 600 * clock.Millisecond
)

// wholeAnswer is an answer whose body has been read, or its beginning.
type wholeAnswer struct {
	reply *calls.Reply
	body  []byte
	more  bool // the body goes on
}

// servePlain sends the call to one upstream after the other until one brings an
// answer to hand on.
func (x *exchange) servePlain(ctx context.Context) {
	tried := map[string]bool{}
	var fallback *wholeAnswer
	runs, sent, reason := 0, false, reasonNoUpstream
	for len(tried) < maxTries && x.leftMs() > 0 && !x.callerGone() {
		u, ok := x.choosePlain(tried)
		if !ok || runs >= x.route.MaxAttempts || sent && !x.d.o.Retries.Take(x.service, x.now()) {
			break
		}
		tried[u.ID] = true
		start := x.now()
		answer, err := x.sendPlain(ctx, u)
		failed := x.record(u.ID, calls.PhaseRun, start, err)
		if failed == nil && !(answer.reply.Status >= http.StatusInternalServerError && x.route.Repeatable()) {
			x.deliver(answer)
			return
		}
		if failed == nil {
			fallback = answer
			sent, runs = true, runs+1
			continue
		}
		switch failed.Cause {
		case calls.CauseUnreachable:
			reason = reasonUnreachable
		default:
			sent, reason = true, reasonBusy
		}
		if failed.Outcome != calls.NotRun {
			runs++
		}
		if x.outcome != calls.NotRun && !x.route.Repeatable() {
			break
		}
	}
	if fallback != nil && !x.callerGone() {
		x.deliver(fallback)
		return
	}
	retry := busyRetry
	if reason != reasonBusy {
		retry = unreachableRetry
	}
	x.fail(reason, retry+jitter(retry))
}

// choosePlain returns the upstream that is thought to answer first.
func (x *exchange) choosePlain(tried map[string]bool) (routing.Upstream, bool) {
	var best routing.Upstream
	bestCost, found := 0.0, false
	for _, u := range x.d.o.Directory.Upstreams(x.service) {
		if tried[u.ID] {
			continue
		}
		inFlight, failureRate := x.d.health.state(u.ID)
		cost := x.d.distance(u.DataCentre) + queuedMs*float64(inFlight)/float64(max(1, u.Slots)) + failurePenaltyMs*failureRate
		if x.d.health.down(u.ID) {
			cost += downPenaltyMs
		}
		if !found || cost < bestCost {
			best, bestCost, found = u, cost, true
		}
	}
	return best, found
}

// sendPlain sends the call to one upstream and reads its answer.
func (x *exchange) sendPlain(ctx context.Context, u routing.Upstream) (*wholeAnswer, error) {
	defer x.d.health.begin(u.ID)()
	attemptCtx, cancel := context.WithCancel(ctx)
	if x.route.Kind == routing.Idempotent {
		silence := clock.Millis(silenceFactor * float64(x.route.TargetLatencyMs))
		if silence > 0 && silence < x.leftMs() {
			attemptCtx, cancel = context.WithTimeout(ctx, silence.Duration())
		}
	}
	answer, err := x.readWhole(attemptCtx, u)
	if err != nil || !answer.more {
		cancel()
	} else {
		context.AfterFunc(ctx, cancel)
	}
	x.noteResult(u, err)
	return answer, err
}

// noteResult takes in how a call ended, for later choices. That a caller left
// says nothing about the upstream.
func (x *exchange) noteResult(u routing.Upstream, err error) {
	if x.callerGone() {
		return
	}
	var failed *calls.Error
	if !errors.As(err, &failed) {
		x.d.health.result(u.ID, true)
		return
	}
	if failed.Cause != calls.CauseBusy {
		x.d.health.result(u.ID, false)
	}
	if failed.Cause == calls.CauseUnreachable || failed.Cause == calls.CauseTargetChanged {
		x.d.setDown(u.ID)
	}
	if failed.Cause == calls.CauseConnectionLost && failed.Outcome == calls.Unknown && failed.Phase != calls.PhasePrefill {
		x.checkCrash(u)
	}
}

func (x *exchange) readWhole(ctx context.Context, u routing.Upstream) (*wholeAnswer, error) {
	reply, err := x.d.o.Upstreams.Send(ctx, x.call, u, calls.Delivery{Phase: calls.PhaseRun, RemainingMs: max(1, x.leftMs())})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeAnswerBytes))
	more := len(body) == wholeAnswerBytes
	if !more || err != nil {
		_ = reply.Body.Close()
	}
	fault := func(cause calls.Cause, err error) error {
		return &calls.Error{Upstream: u.ID, Phase: calls.PhaseRun, Cause: cause, Outcome: calls.Unknown, Err: err}
	}
	if err != nil {
		return nil, fault(calls.CauseConnectionLost, err)
	}
	if !reply.Sealed && reply.Status < http.StatusMultipleChoices {
		return nil, fault(calls.CauseMismatchedReply, errors.New("the answer bears no mark of the upstream"))
	}
	if promises(reply.Status) {
		// The status would tell the caller that the call has not run, which the
		// upstream did not say.
		return nil, fault(calls.CauseUpstreamError, errors.New("a status that promises too much"))
	}
	return &wholeAnswer{reply: reply, body: body, more: more}, nil
}

// promises tells whether a status tells a caller that its request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// deliver hands an answer on.
func (x *exchange) deliver(answer *wholeAnswer) {
	x.outcome = calls.Ran
	x.writeHead(answer.reply)
	if _, err := x.w.Write(answer.body); err != nil {
		x.reason = reasonCallerGone
		return
	}
	if !answer.more {
		return
	}
	defer func() { _ = answer.reply.Body.Close() }()
	if _, err := io.Copy(x.w, answer.reply.Body); err != nil {
		x.cut(reasonStreamCut)
	}
}
