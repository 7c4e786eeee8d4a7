package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/intake"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered before it is
	// forwarded, if there is memory for it. If the connection is lost before that, the call can be retried at
	// another upstream.
	maxBufferedBytes = 256 << 10
	// maxUpstreamsTried limits the upstreams that one call is sent to, including those
	// that refuse it or can't be reached.
	maxUpstreamsTried = 4
	// hedgeFactor times the target latency is the time after which an idempotent call is sent
	// to a second upstream as well, if the first has not answered.
	hedgeFactor = 1.75
	// failureRateCostMs is the cost of a failure rate of 1 when upstreams are compared,
	// in ms of round-trip time.
	failureRateCostMs = 400
	// downCostMs is the cost of an upstream that is marked down. It is so high that
	// the upstream is chosen only if all others are down or have been tried.
	downCostMs = 10000
	// inFlightCostMs is the cost of each call in flight at an upstream with one slot;
	// it is divided by the number of slots.
	inFlightCostMs = 15
	// busyRetryAfter is the minimum Retry-After if upstreams are busy, and also the
	// range of the random time added to it.
	busyRetryAfter = 300 * clock.Millisecond
	// unreachableRetryAfter is the same if there is no upstream or none can be reached.
	unreachableRetryAfter = 600 * clock.Millisecond
)

// bufferedReply is an answer with the body, or its first part, in memory.
type bufferedReply struct {
	reply   *calls.Reply
	body    []byte
	partial bool // the rest of the body is still to be read from reply
	// cancel ends the call of a partial answer; nil if it ends otherwise.
	cancel context.CancelFunc
}

// chooseUpstream returns the untried upstream with the lowest cost: the sum of the
// round-trip time, the load and the failure rate. It returns false if there is none. Upstreams
// that may not be called now are skipped.
func (x *exchange) chooseUpstream(tried map[string]bool) (routing.Upstream, bool) {
	var best routing.Upstream
	bestCost, found := 0.0, false
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		if tried[u.ID] {
			continue
		}
		if !x.open(u) {
			continue
		}
		inFlight, failureRate := x.d.health.stats(u.ID)
		cost := x.d.rttMs(u.DataCentre) + inFlightCostMs*float64(inFlight)/float64(max(1, u.Slots)) + failureRateCostMs*failureRate
		if x.d.health.isDown(u.ID) {
			cost += downCostMs
		}
		if !found || cost < bestCost {
			best, bestCost, found = u, cost, true
		}
	}
	return best, found
}

// recordResult updates the upstream's health with the result of a call. It ignores
// calls whose caller has gone, because they may have failed for that reason.
func (x *exchange) recordResult(u routing.Upstream, err error) {
	if x.callerGone() {
		return
	}
	var failed *calls.Error
	if !errors.As(err, &failed) {
		x.d.health.recordResult(u.ID, true)
		return
	}
	if failed.Cause != calls.CauseBusy && (failed.Cause == calls.CauseUnreachable || !failed.Cause.NotSent()) {
		x.d.health.recordResult(u.ID, false)
	}
	if failed.Cause == calls.CauseUnreachable || failed.Cause == calls.CauseTargetChanged {
		x.d.reportDown(u.ID)
	}
	if failed.Cause == calls.CauseConnectionLost && failed.Outcome == calls.Unknown && failed.Phase != calls.PhasePrefill {
		x.startCrashCheck(u)
	}
}

// sendAndBuffer sends the call and reads up to maxBufferedBytes of the answer. It
// rejects answers that must not be forwarded.
func (x *exchange) sendAndBuffer(ctx context.Context, u routing.Upstream) (*bufferedReply, error) {
	reply, err := x.d.opts.Upstreams.Send(ctx, x.call, u, calls.Delivery{Phase: calls.PhaseRun, RemainingMs: max(1, x.remainingMs())})
	if err != nil {
		return nil, err
	}
	failure := func(cause calls.Cause, err error) error {
		return &calls.Error{Upstream: u.ID, Phase: calls.PhaseRun, Cause: cause, Outcome: calls.Unknown, Err: err}
	}
	if !validStatus(reply.Status) {
		_ = reply.Body.Close()
		return nil, failure(calls.CauseMismatchedReply, fmt.Errorf("status %d is not that of an answer", reply.Status))
	}
	body, whole, err := intake.ReadAnswer(x.r.Context(), reply.Body, maxBufferedBytes)
	partial := !whole
	if !partial || err != nil {
		_ = reply.Body.Close()
	}
	if err != nil {
		return nil, failure(calls.CauseConnectionLost, err)
	}
	if !partial && isEventStream(reply.Header) && !endsWithEvent(body) {
		return nil, failure(calls.CauseTruncated, errPartialEvent)
	}
	if !reply.Sealed && reply.Status < http.StatusMultipleChoices {
		return nil, failure(calls.CauseMismatchedReply, errors.New("answer is not sealed by the upstream"))
	}
	if impliesNotRun(reply.Status) {
		// The status would tell the caller that the call was not run, which the upstream
		// did not confirm.
		return nil, failure(calls.CauseUpstreamError, errors.New("status implies that the call was not run, but the upstream did not confirm it"))
	}
	return &bufferedReply{reply: reply, body: body, partial: partial}, nil
}

// validStatus reports whether an upstream's status can be that of a final answer. Others
// can't be sent to a caller.
func validStatus(status int) bool { return status >= http.StatusOK && status < 600 }

// impliesNotRun reports whether a caller may conclude from the status that its request
// was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// lastBytes keeps the last bytes that are written through it.
type lastBytes struct {
	w    io.Writer
	last []byte
}

// lastBytesKept suffices to tell whether a stream ends with a blank line.
const lastBytesKept = 4

// Write implements [io.Writer].
func (l *lastBytes) Write(b []byte) (int, error) {
	n, err := l.w.Write(b)
	l.last = append(l.last, b[max(0, n-lastBytesKept):n]...)
	l.last = l.last[max(0, len(l.last)-lastBytesKept):]
	return n, err
}

// endsWithEvent reports whether a stream of events is empty or ends with a blank line.
func endsWithEvent(stream []byte) bool {
	return len(stream) == 0 || bytes.HasSuffix(stream, []byte("\n\n")) || bytes.HasSuffix(stream, []byte("\n\r\n"))
}

// close ends the call of a partial answer.
func (b *bufferedReply) close() {
	if !b.partial {
		return
	}
	_ = b.reply.Body.Close()
	if b.cancel != nil {
		b.cancel()
	}
}

// deliver forwards an answer to the caller.
func (x *exchange) deliver(answer *bufferedReply) {
	x.outcome = calls.Ran
	x.writeHeader(answer.reply)
	if _, err := x.w.Write(answer.body); err != nil {
		if x.cutByShutdown() {
			x.abort(reasonStreamCut)
		}
		x.reason = reasonCallerGone
		return
	}
	if !answer.partial {
		return
	}
	defer answer.close()
	rest := &lastBytes{w: x.w, last: answer.body[max(0, len(answer.body)-lastBytesKept):]}
	_, err := io.Copy(rest, answer.reply.Body)
	if err != nil || isEventStream(answer.reply.Header) && !endsWithEvent(rest.last) {
		x.abort(reasonStreamCut)
	}
}
