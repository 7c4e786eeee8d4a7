package dispatch

import (
	"errors"
	"fmt"
	"time"
)

// errSilent reports that a stream ended because it goes on at another engine.
var errSilent = errors.New("engine is silent; the stream goes on at another one")

// nextEvent returns the stream's next event. If none comes within stallTimeout and the
// stream may be resumed, it is prepared to go on at another engine, and ends with
// errSilent once that is ready. Until then the silent engine keeps the stream: it may only
// be slow, and what it has done would be lost.
func (m *modelRun) nextEvent(events <-chan streamEvent) streamEvent {
	if !m.route.Repeatable() {
		return <-events
	}
	timer := time.NewTimer(stallTimeout.Duration())
	defer timer.Stop()
	for {
		select {
		case e := <-events:
			return e
		case <-timer.C:
		}
		next := m.prepareContinuation()
		select {
		case e := <-events: // the engine speaks again
			m.discard(next)
			return e
		default:
		}
		if next != nil {
			m.continuation = next
			return streamEvent{err: errSilent}
		}
		timer.Reset(moveInterval.Duration())
	}
}

// prepareContinuation places the rest of the stream at another engine and has its prompt
// prefilled for it, while the current engine keeps the stream. It returns nil if the
// request may not, or can't, go on elsewhere now.
func (m *modelRun) prepareContinuation() *placement {
	if m.callerGone() || m.remainingMs() <= 0 || m.possibleRuns >= m.route.MaxAttempts || m.tryingPart || m.blamed() {
		return nil
	}
	current := m.placement
	m.excluded[current.run.Engine] = true
	m.placement = placement{run: m.restOfRun()}
	// The current run stays placed until the stream moves.
	m.run.ID = fmt.Sprintf("%s.%d", m.call.ID, m.possibleRuns)
	m.run.Engine, m.run.Prefill = "", ""
	ready := m.placeAndReserve(0) && m.d.opts.Retries.Take(m.service, m.now()) && m.prefill()
	prepared := m.placement
	m.placement = current
	if !ready {
		m.discard(&prepared)
		return nil
	}
	return &prepared
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

// moveToContinuation ends the placement of a silent stream; the next attempt is at the
// engine that has been prepared.
func (m *modelRun) moveToContinuation() {
	m.releasePlacement()
	m.placement, m.continuation = *m.continuation, nil
}
