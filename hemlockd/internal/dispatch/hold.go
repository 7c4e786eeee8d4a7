package dispatch

import (
	"context"
	"errors"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

const (
	// holdFrom is the forecast part of an engine's memory from which a place is
	// confirmed by the engine, holdWithinMs the longest way there and back at
	// which that pays.
	holdFrom     = 0.7
	holdWithinMs = 10
	// holdOutput is the number of events that a reservation has room for, beside
	// the prompt.
	holdOutput = 4
	// holdSpan is how long a reservation lasts, holdTimeout bounds the call.
	holdSpan    = 1500 * clock.Millisecond
	holdTimeout = 250 * clock.Millisecond
	// maxHoldRefusals bounds the engines that are asked.
	maxHoldRefusals = 4
)

// placeAndHold books a place and, at an engine that is nearly full, has the
// engine itself confirm it before the prompt is read: other daemons may have
// booked the same room at the same moment.
func (m *modelRun) placeAndHold(wait clock.Millis) bool {
	end := m.now() + wait
	for m.place(end - m.now()) {
		if m.hold() {
			return true
		}
		m.refusals++
		m.releasePlace()
		if m.refusals >= maxHoldRefusals || m.leftMs() <= 0 || m.callerGone() {
			return false
		}
	}
	return false
}

// hold reserves the run's memory at its engine where that pays. It returns false
// where the engine has no room.
func (m *modelRun) hold() bool {
	u, ok := m.upstream(m.run.Engine)
	if !ok || m.spec.MaxReservationMs <= 0 {
		return true
	}
	tokens := m.run.PromptTokens + holdOutput*m.spec.EventTokens
	if m.d.o.Peers.ViewStale() {
		// Only the engine knows what else it has to hold.
		tokens = m.run.PromptTokens + min(m.run.ExpectedTokens, m.run.MaxTokens)
	} else if m.run.MemoryUse < holdFrom || m.d.distance(u.DataCentre) > holdWithinMs {
		return true
	}
	ctx, cancel := context.WithTimeout(m.ctx, holdTimeout.Duration())
	defer cancel()
	id, err := m.d.o.Upstreams.Reserve(ctx, u, tokens, min(holdSpan, m.spec.MaxReservationMs))
	var failed *calls.Error
	if errors.As(err, &failed) && failed.Cause == calls.CauseBusy {
		metrics.Add("holdsRefused", 1)
		return false
	}
	if err != nil {
		metrics.Add("holdsFailed", 1)
		return true // the engine decides when the run is sent there
	}
	m.held = &held{d: m.d, at: u, id: id}
	return true
}

// held is a reservation that has not been used yet.
type held struct {
	d  *Dispatcher
	at routing.Upstream
	id string
}

// run gives the reservation back.
func (h *held) run() {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout.Duration())
	defer cancel()
	if err := h.d.o.Upstreams.CancelReservation(ctx, h.at, h.id); err != nil {
		metrics.Add("dropFailed", 1)
	}
}

// takeHold returns the reservation at the run's engine, "" where there is none.
func (m *modelRun) takeHold() string {
	h := m.held
	m.held = nil
	if h == nil {
		return ""
	}
	return h.id
}
