package capacity

import (
	"maps"
	"slices"

	"hemlockmux.example/common/clock"
)

const (
	// initialPrefillMsPerToken is the assumed prefill time per token of an engine that
	// has not been observed yet.
	initialPrefillMsPerToken = 0.02
	// fasterWeight and slowerWeight are the weights of a new sample in the moving
	// average of an engine's prefill time per token. A slow prefill may have queued
	// behind one that this daemon did not know of, so slower samples weigh less.
	fasterWeight = 0.3
	slowerWeight = 0.03
	// farDecodePenaltyMs is added to the cost of a prefill engine in another data
	// centre than the decode engine.
	farDecodePenaltyMs = 5
	// backlogPerRoundTrip lowers the permitted backlog by this many ms for each ms of
	// round-trip time, which leaves capacity to daemons near the engine: they make
	// reservations while the call is in transit.
	backlogPerRoundTrip = 1.5
	// foreignPrefillSpreadMs is the range of the random cost, in ms, by which daemons spread
	// over prefill engines whose work they do not know.
	foreignPrefillSpreadMs = 150
	// failurePenaltyMs is added to the cost of a prefill engine at a failure rate of 1.
	failurePenaltyMs = 1000
)

// PrefillEngine describes a prefill engine.
type PrefillEngine struct {
	// ID is the engine's upstream id.
	ID string
	// Service is the name of the service that the engine belongs to.
	Service string
	// DataCentre is the name of the engine's data centre.
	DataCentre string
	// Software is the version of the engine's software.
	Software string
	// RoundTripMs is the network round-trip time to the engine, in ms. A call takes two
	// round trips, since it opens its own connection.
	RoundTripMs float64
	// FailureRate is the fraction of recent calls to the engine that failed.
	FailureRate float64
	// Foreign is set if daemons whose runs are not known here give the engine work, too. It is
	// chosen only if no other engine will do.
	Foreign bool
}

// prefillEngine is a prefill engine with its known work.
type prefillEngine struct {
	PrefillEngine
	// msPerToken is the moving average of the prefill time per token.
	msPerToken float64
	// freeMs is the predicted time at which the engine has finished all known work.
	freeMs float64
	// reservations holds the reserved prefills by run id.
	reservations map[string]reservation
}

// reservation is one prefill that the engine was given.
type reservation struct {
	// startMs and endMs are the predicted start and end of the prefill.
	startMs, endMs float64
	queued         bool // other known work was ahead of it
}

// SetPrefillEngines sets the prefill engines that accept work and forgets all others.
func (v *View) SetPrefillEngines(engines []PrefillEngine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := map[string]bool{}
	for _, p := range engines {
		listed[p.ID] = true
		v.prefillEngineLocked(p.ID).PrefillEngine = p
	}
	maps.DeleteFunc(v.prefillEngines, func(id string, _ *prefillEngine) bool { return !listed[id] })
}

func (v *View) prefillEngineLocked(id string) *prefillEngine {
	p, ok := v.prefillEngines[id]
	if !ok {
		p = &prefillEngine{PrefillEngine: PrefillEngine{ID: id}, msPerToken: initialPrefillMsPerToken, reservations: map[string]reservation{}}
		v.prefillEngines[id] = p
	}
	return p
}

// reservePrefillLocked reserves time at a prefill engine for a run's prompt and adds
// it to the service's cumulative work.
func (v *View) reservePrefillLocked(p *prefillEngine, r Run, now clock.Millis) {
	v.prefillWorkMs[p.Service] += p.reserve(r, now)
}

// reserve adds the run's prompt to the engine's known work. It returns the predicted
// prefill time in ms, or 0 if the run has a reservation already.
func (p *prefillEngine) reserve(r Run, now clock.Millis) float64 {
	key := r.ID
	if _, ok := p.reservations[key]; ok {
		return 0
	}
	arrival := float64(now) + p.arrivalMs()
	start := max(p.freeMs, arrival)
	workMs := float64(r.PromptTokens) * p.msPerToken
	p.freeMs = start + workMs
	p.expire(now)
	p.reservations[key] = reservation{startMs: start, endMs: p.freeMs, queued: start > arrival}
	return workMs
}

// arrivalMs is the time until a call that starts now reaches the engine: one round
// trip to connect and half a round trip for the request.
func (p *prefillEngine) arrivalMs() float64 { return 1.5 * p.RoundTripMs }

// backlog is the predicted time, in ms, until the engine has finished its known work.
func (p *prefillEngine) backlog(now clock.Millis) float64 { return max(0, p.freeMs-float64(now)) }

// expire removes reservations whose retention period has passed.
func (p *prefillEngine) expire(now clock.Millis) {
	maps.DeleteFunc(p.reservations, func(_ string, b reservation) bool { return b.endMs+reservationRetentionMs < float64(now) })
}

// reservationRetentionMs is how long a reservation is kept after its predicted end,
// so that the same prefill is not counted twice.
const reservationRetentionMs = 1500

// choosePrefillLocked returns the engine with the lowest cost, which is the predicted
// delay of the prefill plus penalties. It returns nil if no engine's backlog is
// within the limit.
func (v *View) choosePrefillLocked(decode *engine, exclude map[string]bool, now clock.Millis) *prefillEngine {
	if p := v.choosePrefillAmongLocked(decode, exclude, false, now); p != nil {
		return p
	}
	return v.choosePrefillAmongLocked(decode, exclude, true, now)
}

// choosePrefillAmongLocked is choosePrefillLocked for the engines that have work which is not known
// here, or for the others. Daemons that know little of the same engines spread their choices.
func (v *View) choosePrefillAmongLocked(decode *engine, exclude map[string]bool, foreign bool, now clock.Millis) *prefillEngine {
	var best *prefillEngine
	bestCost := 0.0
	for _, id := range slices.Sorted(maps.Keys(v.prefillEngines)) {
		p := v.prefillEngines[id]
		if p.Service != decode.Service || p.Software != decode.Software || exclude[id] || p.Foreign != foreign || p.backlog(now) > v.limits.MaxPrefillBacklogMs-backlogPerRoundTrip*p.RoundTripMs {
			continue
		}
		cost := max(p.backlog(now), p.arrivalMs()) + p.RoundTripMs/2 + failurePenaltyMs*p.FailureRate
		if p.DataCentre != decode.DataCentre {
			cost += farDecodePenaltyMs
		}
		if foreign {
			cost += foreignPrefillSpreadMs * v.random()
		}
		if best == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// PrefillEngineCount returns the number of a service's prefill engines that accept work and have a
// version of the software. What another version has prefilled can't be decoded.
func (v *View) PrefillEngineCount(service, software string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.prefillEngineCountLocked(service, software)
}

func (v *View) prefillEngineCountLocked(service, software string) int {
	n := 0
	for _, p := range v.prefillEngines {
		if p.Service == service && p.Software == software {
			n++
		}
	}
	return n
}

// PlacePrefill reserves a prefill engine, other than those in exclude, for one of
// this daemon's runs and returns the updated run. It returns false if there is none.
func (v *View) PlacePrefill(id string, exclude map[string]bool, now clock.Millis) (Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, r, ok := v.localRunLocked(id)
	if !ok {
		return Run{}, false
	}
	p := v.choosePrefillLocked(e, exclude, now)
	if p == nil {
		return Run{}, false
	}
	v.reservePrefillLocked(p, r, now)
	r.Prefill, r.observedMs = p.ID, now
	e.runs[localOwner][id] = r
	return r, true
}

// PrefillRemainingMs returns the predicted time until the prefill of one of this
// daemon's runs has finished and its result has arrived here.
func (v *View) PrefillRemainingMs(r Run, now clock.Millis) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.prefillEngines[r.Prefill]
	if !ok {
		return 0
	}
	return clock.Millis(max(0, p.reservations[r.ID].endMs-float64(now)) + p.RoundTripMs/2)
}

// PrefillDone records that the prefill attempt of one of this daemon's runs has
// ended, and whether it succeeded.
func (v *View) PrefillDone(id string, succeeded bool, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, r, ok := v.localRunLocked(id)
	if !ok {
		return
	}
	if p, listed := v.prefillEngines[r.Prefill]; listed && succeeded {
		p.observe(r, now)
	}
	r.Prefill = ""
	e.runs[localOwner][id] = r
}

// observe corrects the engine's estimates from the actual end of a prefill.
func (p *prefillEngine) observe(r Run, now clock.Millis) {
	b, ok := p.reservations[r.ID]
	if !ok {
		return
	}
	ended := float64(now) - p.RoundTripMs/2
	if !b.queued && r.PromptTokens > 0 {
		pace := max(0, ended-b.startMs) / float64(r.PromptTokens)
		weight := slowerWeight
		if pace < p.msPerToken {
			weight = fasterWeight
		}
		p.msPerToken += weight * (pace - p.msPerToken)
	}
	// The difference from the predicted end shifts all later reservations.
	shift := ended - b.endMs
	delete(p.reservations, r.ID)
	for id, other := range p.reservations {
		if other.endMs > b.endMs {
			other.startMs, other.endMs = other.startMs+shift, other.endMs+shift
			p.reservations[id] = other
		}
	}
	p.freeMs = max(float64(now), p.freeMs+shift)
}

// PrefillWorkMs returns the cumulative predicted prefill time, in ms, of all prompts
// given to a service's prefill engines, as far as this daemon knows.
func (v *View) PrefillWorkMs(service string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.prefillWorkMs[service]
}
