package dispatch

import (
	"context"
	"errors"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

const (
	// reserveAboveUse is the forecast memory use, as a fraction of the engine's memory,
	// from which a placement needs a reservation at the engine.
	reserveAboveUse = 0.7
	// reserveMaxRTTMs is the longest round-trip time, in ms, at which a reservation is
	// worth the additional call.
	reserveMaxRTTMs = 10
	// reservedEvents is the number of output events for which a reservation includes
	// memory, in addition to the prompt.
	reservedEvents = 4
	// reservationTTL is how long a reservation lasts, unless the engine allows less.
	reservationTTL = 1500 * clock.Millisecond
	// reserveTimeout limits the call that makes a reservation.
	reserveTimeout = 250 * clock.Millisecond
	// maxReservationRefusals limits the engines that may refuse a reservation before
	// the request is refused.
	maxReservationRefusals = 4
)

// placeAndReserve places the run at an engine, waiting for capacity up to
// queueTimeout. If the engine is nearly full, it also reserves memory there before
// the prefill, because other daemons may have placed runs there at the same moment.
func (m *modelRun) placeAndReserve(queueTimeout clock.Millis) bool {
	end := m.now() + queueTimeout
	for m.place(end - m.now()) {
		if m.reserve() {
			return true
		}
		m.refusedReservations++
		m.releasePlacement()
		if m.refusedReservations >= maxReservationRefusals || m.remainingMs() <= 0 || m.callerGone() {
			return false
		}
	}
	return false
}

// reserve makes a reservation at the run's engine if the engine is nearly full, or if the
// state of other daemons that use it is stale or not known here. It returns false if the engine refuses it for lack
// of capacity.
func (m *modelRun) reserve() bool {
	u, ok := m.upstream(m.run.Engine)
	if !ok || m.spec.MaxReservationMs <= 0 || m.d.opts.Gate.Limits.Limited(u.ID, m.now()) {
		return true // a limited engine is spared the additional call
	}
	tokens := m.run.PromptTokens + reservedEvents*m.spec.EventTokens
	if m.d.opts.Peers.ViewStale() || !m.d.opts.Peers.InCell(u.DataCentre) {
		// The forecast lacks the runs of other daemons, and only the engine knows its
		// load, so memory is reserved for the whole expected output.
		tokens = m.run.PromptTokens + min(m.run.ExpectedTokens, m.run.MaxTokens)
	} else if m.run.MemoryUse < reserveAboveUse || m.d.rttMs(u.DataCentre) > reserveMaxRTTMs {
		return true
	}
	ctx, cancel := context.WithTimeout(m.ctx, reserveTimeout.Duration())
	defer cancel()
	id, err := m.d.opts.Upstreams.Reserve(ctx, u, tokens, min(reservationTTL, m.spec.MaxReservationMs))
	var failed *calls.Error
	if errors.As(err, &failed) && failed.Cause == calls.CauseBusy {
		metrics.Add("holdsRefused", 1)
		return false
	}
	if err != nil {
		metrics.Add("holdsFailed", 1)
		return true // the engine accepts or refuses the run itself
	}
	m.reservation = &reservation{d: m.d, engine: u, id: id}
	return true
}

// reservation is a reservation of memory at an engine that has not been used yet.
type reservation struct {
	d      *Dispatcher
	engine routing.Upstream
	id     string
}

// cancel releases the reservation at the engine.
func (r *reservation) cancel() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout.Duration())
	defer cancel()
	if err := r.d.opts.Upstreams.CancelReservation(ctx, r.engine, r.id); err != nil {
		metrics.Add("dropFailed", 1)
	}
}

// takeReservationID returns the id of the reservation at the run's engine, or "" if
// there is none. The reservation counts as used from then on.
func (m *modelRun) takeReservationID() string {
	r := m.reservation
	m.reservation = nil
	if r == nil {
		return ""
	}
	return r.id
}
