package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
)

const (
	// maxContinuations limits how often it is tried to move one request to another engine
	// because its engine is silent.
	maxContinuations = 4
	// continuationRetries is the number of repeated calls that moving a stream takes: a
	// prefill and a decode call.
	continuationRetries = 2
	// maxOverlap is how long a silent engine keeps its call while another one has been
	// asked for the rest of the stream and has not answered.
	maxOverlap = 300 * clock.Millisecond
)

// errSilent reports that a stream ended because it goes on at another engine.
var errSilent = errors.New("engine is silent; the stream goes on at another one")

// continuation is the rest of a silent stream, which another engine has begun to answer.
type continuation struct {
	placement
	stream streamState
	reply  *calls.Reply
}

// nextEvent returns the stream's next event. If none comes within stallTimeout and the
// stream may be resumed, another engine is asked for the rest, and the stream ends with
// errSilent once that engine answers. Until then the silent engine keeps the stream: it may
// only be slow, and what it has done would be lost.
func (m *modelRun) nextEvent(events <-chan streamEvent) streamEvent {
	if !m.route.Repeatable() {
		e, ok := <-events
		return received(e, ok)
	}
	timer := time.NewTimer(stallTimeout.Duration())
	defer timer.Stop()
	for {
		select {
		case e, ok := <-events:
			return received(e, ok)
		case <-timer.C:
		}
		prepared := m.prepareContinuation()
		select {
		case e, ok := <-events: // the engine speaks again
			m.discard(prepared)
			return received(e, ok)
		default:
		}
		if m.openContinuation(prepared) {
			return streamEvent{err: errSilent}
		}
		timer.Reset(moveInterval.Duration())
	}
}

// prepareContinuation places the rest of the stream at another engine and has its prompt
// prefilled for it, while the current engine keeps the stream. It returns nil if the
// request may not, or can't, go on elsewhere now. What is tried in vain uses up none of the
// engines and calls that the request has left for when its engine is lost.
func (m *modelRun) prepareContinuation() *placement {
	if m.callerGone() || m.remainingMs() <= 0 || !m.versionServed() || m.possibleRuns >= m.route.MaxAttempts || m.continuations >= maxContinuations ||
		m.tryingPart || m.blamed() || !m.d.opts.Retries.Has(m.service, continuationRetries, m.now()) {
		return nil
	}
	m.continuations++
	current, excluded, prefillCalls, refused := m.placement, m.excluded, m.prefillCalls, m.refusedReservations
	m.excluded = maps.Clone(excluded)
	m.excluded[current.run.Engine] = true
	m.placement = placement{run: m.restOfRun()}
	// The current run stays placed until the stream moves.
	m.run.ID = fmt.Sprintf("%s.%d", runID(m.call.ID), m.continuations)
	m.run.Engine, m.run.Prefill = "", ""
	m.prefillCalls, m.refusedReservations = min(prefillCalls, 1), 0 // one prefill is no repeat
	ready := m.placeAndReserve(0) && m.prefill()
	prepared := m.placement
	m.placement, m.excluded, m.prefillCalls, m.refusedReservations = current, excluded, max(1, prefillCalls), refused
	if !ready {
		m.discard(&prepared)
		return nil
	}
	return &prepared
}

// openContinuation asks the prepared engine for the rest of the stream. It returns true if
// the engine answers; until then, but for maxOverlap at most, the silent engine keeps its
// call. Otherwise it releases what was prepared.
func (m *modelRun) openContinuation(prepared *placement) bool {
	if prepared == nil {
		return false
	}
	if m.callerGone() || !m.d.opts.Retries.Take(m.service, m.now()) {
		m.discard(prepared)
		return false
	}
	current, silent, decodeCalls := m.placement, m.stream, m.decodeCalls
	m.placement, m.stream = *prepared, streamState{lastEventID: silent.lastEventID}
	leave := time.AfterFunc(maxOverlap.Duration(), silent.cancel)
	reply, failed := m.decode()
	leave.Stop()
	opened := &continuation{placement: m.placement, stream: m.stream, reply: reply}
	m.placement, m.stream, m.decodeCalls = current, silent, decodeCalls
	if failed == nil && reply.Status == http.StatusOK && reply.Sealed {
		m.continuation = opened
		return true
	}
	if failed == nil || failed.Outcome != calls.NotRun {
		m.possibleRuns++
	}
	m.drop(opened)
	return false
}

// drop ends a continuation that will not be used.
func (m *modelRun) drop(c *continuation) {
	if c == nil {
		return
	}
	c.stream.stop()
	if c.reply != nil {
		_ = c.reply.Body.Close()
	}
	m.discard(&c.placement)
}

// discard releases what was prepared for a run that will not take place.
func (m *modelRun) discard(prepared *placement) {
	if prepared == nil {
		return
	}
	current := m.placement
	m.placement = *prepared
	m.releaseAll()
	m.placement = current
}

// moveToContinuation ends the placement of a silent stream; the next attempt forwards what
// the other engine answers.
func (m *modelRun) moveToContinuation() {
	m.releasePlacement()
	m.placement, m.stream = m.continuation.placement, m.continuation.stream
	m.accepted, m.continuation = m.continuation.reply, nil
}
