package dispatch

import (
	"math"
	"sync"

	"hemlockmux.example/common/clock"
)

const (
	// downFor is how long an upstream that could not be reached is passed over.
	downFor = clock.Second
	// failureWeight is the weight of one result in an upstream's failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which a failure rate halves by itself, so
	// that an upstream that is passed over is tried again.
	failureHalfLife = 4 * clock.Second
)

// health is what this daemon has seen of upstreams.
type health struct {
	clk       clock.Clock
	mu        sync.Mutex
	upstreams map[string]*upstreamHealth
}

type upstreamHealth struct {
	inFlight    int
	failureRate float64
	changedMs   clock.Millis
	downUntilMs clock.Millis
}

func newHealth(clk clock.Clock) *health {
	return &health{clk: clk, upstreams: map[string]*upstreamHealth{}}
}

func (h *health) getLocked(id string) *upstreamHealth {
	u, ok := h.upstreams[id]
	if !ok {
		u = &upstreamHealth{}
		h.upstreams[id] = u
	}
	return u
}

// begin counts a call in flight; the function that is returned ends it.
func (h *health) begin(id string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getLocked(id).inFlight++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.upstreams[id].inFlight--
	}
}

// result takes in whether a call brought an answer.
func (h *health) result(id string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, now := h.getLocked(id), h.clk.Now()
	failed := 1.0
	if ok {
		failed = 0
		u.downUntilMs = 0
	}
	rate := u.rate(now)
	u.failureRate, u.changedMs = rate+failureWeight*(failed-rate), now
}

// setDown takes in that the upstream could not be reached.
func (h *health) setDown(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getLocked(id).downUntilMs = h.clk.Now() + downFor
}

func (h *health) down(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.upstreams[id]
	return ok && h.clk.Now() < u.downUntilMs
}

// state returns the calls in flight and the failure rate.
func (h *health) state(id string) (inFlight int, failureRate float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.upstreams[id]
	if !ok {
		return 0, 0
	}
	return u.inFlight, u.rate(h.clk.Now())
}

func (u *upstreamHealth) rate(now clock.Millis) float64 {
	return u.failureRate * math.Exp2(-float64(now-u.changedMs)/float64(failureHalfLife))
}
