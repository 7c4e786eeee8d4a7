package dispatch

import (
	"math"
	"sync"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

const (
	// probeInterval is the time between two probes of an upstream that is marked down.
	probeInterval = 300 * clock.Millisecond
	// probeTimeout limits one probe.
	probeTimeout = 600 * clock.Millisecond
	// failureWeight is the weight of the newest result in the moving average of an
	// upstream's failure rate.
	failureWeight = 0.15
	// failureHalfLife is the half-life of a failure rate in the absence of results. The
	// decay lets an upstream that is avoided for its failures be tried again.
	failureHalfLife = 4 * clock.Second
)

// health holds the state of upstreams as this daemon knows it from its own calls and
// from the reports of other daemons.
type health struct {
	clk       clock.Clock
	mu        sync.Mutex
	upstreams map[string]*upstreamHealth
}

// upstreamHealth is the state of one upstream.
type upstreamHealth struct {
	inFlight int // calls of this daemon
	// failureRate is the moving average of failed calls, from 0 to 1, as of
	// rateUpdatedMs.
	failureRate   float64
	rateUpdatedMs clock.Millis
	// down is true from when the upstream was found unreachable or crashed until it
	// answers a call or a probe.
	down bool
	// outgoingRole is the role that the engine is about to give up. It gets no work in
	// that role before outgoingUntilMs.
	outgoingRole    routing.Role
	outgoingUntilMs clock.Millis
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

// beginCall counts a call as in flight until the returned function is called.
func (h *health) beginCall(id string) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getLocked(id).inFlight++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.upstreams[id].inFlight--
	}
}

// recordResult updates the failure rate with the result of a call; ok is true if the
// call brought an answer, which also shows that the upstream is not down.
func (h *health) recordResult(id string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, now := h.getLocked(id), h.clk.Now()
	failed := 1.0
	if ok {
		failed = 0
		u.down = false
	}
	rate := u.decayedFailureRate(now)
	u.failureRate, u.rateUpdatedMs = rate+failureWeight*(failed-rate), now
}

// markDown marks the upstream down. It reports whether it was not down before.
func (h *health) markDown(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.getLocked(id)
	changed := !u.down
	u.down = true
	return changed
}

// markUp records that the upstream answers again.
func (h *health) markUp(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getLocked(id).down = false
}

// markRoleChanging records that an engine is giving up the role, which takes until
// untilMs at the latest. It reports whether that was not known before.
func (h *health) markRoleChanging(id string, role routing.Role, untilMs clock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.getLocked(id)
	changed := u.outgoingRole != role || u.outgoingUntilMs < h.clk.Now()
	u.outgoingRole, u.outgoingUntilMs = role, untilMs
	return changed
}

// usable reports whether an upstream can be given work in its listed role: it is not
// marked down and not giving up the role.
func (h *health) usable(u routing.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.upstreams[u.ID]
	if !ok {
		return true
	}
	return !s.down && !s.isChangingRole(u.Role, h.clk.Now())
}

// isChangingRole reports whether the upstream is about to give up its listed role.
func (h *health) isChangingRole(u routing.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.upstreams[u.ID]
	return ok && s.isChangingRole(u.Role, h.clk.Now())
}

func (u *upstreamHealth) isChangingRole(listed routing.Role, now clock.Millis) bool {
	return u.outgoingRole != "" && u.outgoingRole == listed && now < u.outgoingUntilMs
}

func (h *health) isDown(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.upstreams[id]
	return ok && u.down
}

// stats returns the upstream's calls in flight and its failure rate.
func (h *health) stats(id string) (inFlight int, failureRate float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.upstreams[id]
	if !ok {
		return 0, 0
	}
	return u.inFlight, u.decayedFailureRate(h.clk.Now())
}

// decayedFailureRate returns the failure rate after its decay until now.
func (u *upstreamHealth) decayedFailureRate(now clock.Millis) float64 {
	return u.failureRate * math.Exp2(-float64(now-u.rateUpdatedMs)/float64(failureHalfLife))
}
