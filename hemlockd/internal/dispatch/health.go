package dispatch

import (
	"math"
	"sync"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

const (
	// probeInterval is the time between two probes of an upstream that is down.
	probeInterval = 300 * clock.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 600 * clock.Millisecond
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
	// down is set when the upstream could not be reached or broke off, until a
	// probe is answered.
	down bool
	// leavingRole is the role that the engine is about to give up; it gets no
	// work in that role until changedByMs.
	leavingRole routing.Role
	changedByMs clock.Millis
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
		u.down = false
	}
	rate := u.rate(now)
	u.failureRate, u.changedMs = rate+failureWeight*(failed-rate), now
}

// setDown takes in that the upstream could not be reached or broke off. It tells
// whether that is news.
func (h *health) setDown(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.getLocked(id)
	news := !u.down
	u.down = true
	return news
}

// setUp takes in that the upstream answers again.
func (h *health) setUp(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getLocked(id).down = false
}

// setChanging takes in that an engine is giving its role up. It tells whether
// that is news.
func (h *health) setChanging(id string, role routing.Role, untilMs clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.getLocked(id)
	news := u.leavingRole != role || u.changedByMs < h.clk.Now()
	u.leavingRole, u.changedByMs = role, untilMs
	return news
}

// usable tells whether an upstream is thought to take work in the role that it
// is listed with.
func (h *health) usable(u routing.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.upstreams[u.ID]
	if !ok {
		return true
	}
	return !s.down && !s.changing(u.Role, h.clk.Now())
}

// changing tells whether the upstream is about to give up the role that it is
// listed with.
func (h *health) changing(u routing.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.upstreams[u.ID]
	return ok && s.changing(u.Role, h.clk.Now())
}

func (u *upstreamHealth) changing(listed routing.Role, now clock.Millis) bool {
	return u.leavingRole != "" && u.leavingRole == listed && now < u.changedByMs
}

func (h *health) down(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.upstreams[id]
	return ok && u.down
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
