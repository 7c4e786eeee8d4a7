package capacity

import (
	"maps"
	"slices"

	"hemlockmux.example/common/clock"
)

const (
	// initialReadMsPerToken is the pace at which a prefill engine reads where
	// nothing is known of it yet.
	initialReadMsPerToken = 0.02
	// fasterWeight and slowerWeight are the weights of an observation of that
	// pace. A prompt that took long may have waited behind one that this daemon
	// did not know of, so slowness is believed late.
	fasterWeight = 0.3
	slowerWeight = 0.03
	// farDecodePenaltyMs is what a prefill in another data centre than the
	// decode engine's costs in the choice.
	farDecodePenaltyMs = 5
	// backlogForDistance is the work ahead, for each ms on the way to a prefill
	// engine and back, that is left to the daemons near it: they book meanwhile.
	backlogForDistance = 1.5
	// failurePenaltyMs is what a prefill engine that always fails costs.
	failurePenaltyMs = 1000
)

// PrefillEngine is a prefill engine as the view needs to know it.
type PrefillEngine struct {
	ID         string
	Service    string
	DataCentre string
	// RoundTripMs is the time on the way there and back. A call takes twice as
	// long: it opens its own connection.
	RoundTripMs float64
	// FailureRate is the part of the calls to it that failed lately.
	FailureRate float64
}

// prefiller is a prefill engine with the work that it is known to have.
type prefiller struct {
	PrefillEngine
	readMsPerToken float64
	// freeMs is when it is thought to have read all that it was given.
	freeMs float64
	// booked holds the runs that were counted, with when each should be read.
	booked map[string]booking
}

type booking struct {
	startMs, endMs float64
	waited         bool // other work was ahead
}

// SetPrefillEngines takes over which prefill engines there are.
func (v *View) SetPrefillEngines(prefillers []PrefillEngine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	there := map[string]bool{}
	for _, p := range prefillers {
		there[p.ID] = true
		v.prefillerLocked(p.ID).PrefillEngine = p
	}
	maps.DeleteFunc(v.prefillers, func(id string, _ *prefiller) bool { return !there[id] })
}

func (v *View) prefillerLocked(id string) *prefiller {
	p, ok := v.prefillers[id]
	if !ok {
		p = &prefiller{PrefillEngine: PrefillEngine{ID: id}, readMsPerToken: initialReadMsPerToken, booked: map[string]booking{}}
		v.prefillers[id] = p
	}
	return p
}

// bookLocked counts a prompt that a prefill engine is given.
func (v *View) bookLocked(p *prefiller, r Run, now clock.Millis) {
	v.readingMs[p.Service] += p.book(r, now)
}

// book counts a prompt that the engine is given. It returns the time that reading
// it takes, 0 for one that was counted before.
func (p *prefiller) book(r Run, now clock.Millis) float64 {
	key := r.ID
	if _, ok := p.booked[key]; ok {
		return 0
	}
	arrival := float64(now) + p.arrivalMs()
	start := max(p.freeMs, arrival)
	reading := float64(r.PromptTokens) * p.readMsPerToken
	p.freeMs = start + reading
	p.expire(now)
	p.booked[key] = booking{startMs: start, endMs: p.freeMs, waited: start > arrival}
	return reading
}

// arrivalMs is the time until a call that begins now is there: the connection
// and half of the way there and back.
func (p *prefiller) arrivalMs() float64 { return 1.5 * p.RoundTripMs }

// backlog is the time until the engine is free.
func (p *prefiller) backlog(now clock.Millis) float64 { return max(0, p.freeMs-float64(now)) }

// expire forgets bookings that must be over.
func (p *prefiller) expire(now clock.Millis) {
	maps.DeleteFunc(p.booked, func(_ string, b booking) bool { return b.endMs+bookingKeptMs < float64(now) })
}

// bookingKeptMs is how long a booking is remembered after its predicted end, so
// that it is not counted twice.
const bookingKeptMs = 1500

// choosePrefillerLocked returns the engine that is thought to have read the
// prompt first, nil where each has more work ahead than it is given.
func (v *View) choosePrefillerLocked(decode *engine, not map[string]bool, now clock.Millis) *prefiller {
	var best *prefiller
	bestCost := 0.0
	for _, id := range slices.Sorted(maps.Keys(v.prefillers)) {
		p := v.prefillers[id]
		if p.Service != decode.Service || not[id] || p.backlog(now) > v.forecast.MaxPrefillBacklogMs-backlogForDistance*p.RoundTripMs {
			continue
		}
		cost := max(p.backlog(now), p.arrivalMs()) + p.RoundTripMs/2 + failurePenaltyMs*p.FailureRate
		if p.DataCentre != decode.DataCentre {
			cost += farDecodePenaltyMs
		}
		if best == nil || cost < bestCost {
			best, bestCost = p, cost
		}
	}
	return best
}

// PrefillEngineCount is the number of a service's prefill engines that take work.
func (v *View) PrefillEngineCount(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.prefillersLocked(service)
}

func (v *View) prefillersLocked(service string) int {
	n := 0
	for _, p := range v.prefillers {
		if p.Service == service {
			n++
		}
	}
	return n
}

// PlacePrefill chooses another prefill engine for one of this daemon's runs and
// returns the run; engines in not are passed over. It returns false where there
// is none.
func (v *View) PlacePrefill(id string, not map[string]bool, now clock.Millis) (Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, r, ok := v.ownLocked(id)
	if !ok {
		return Run{}, false
	}
	p := v.choosePrefillerLocked(e, not, now)
	if p == nil {
		return Run{}, false
	}
	v.bookLocked(p, r, now)
	r.Prefill, r.atMs = p.ID, now
	e.runs[own][id] = r
	return r, true
}

// PrefillRemainingMs is how long the prefill of one of this daemon's runs is thought to
// take from now on, with the way there and back.
func (v *View) PrefillRemainingMs(r Run, now clock.Millis) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.prefillers[r.Prefill]
	if !ok {
		return 0
	}
	return clock.Millis(max(0, p.booked[r.ID].endMs-float64(now)) + p.RoundTripMs/2)
}

// PrefillDone takes in that the prefill of one of this daemon's runs has ended,
// and whether it was read.
func (v *View) PrefillDone(id string, read bool, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, r, ok := v.ownLocked(id)
	if !ok {
		return
	}
	if p, there := v.prefillers[r.Prefill]; there && read {
		p.learn(r, now)
	}
	r.Prefill = ""
	e.runs[own][id] = r
}

// learn corrects what is known of the engine by when a prompt was read.
func (p *prefiller) learn(r Run, now clock.Millis) {
	b, ok := p.booked[r.ID]
	if !ok {
		return
	}
	ended := float64(now) - p.RoundTripMs/2
	if !b.waited && r.PromptTokens > 0 {
		pace := max(0, ended-b.startMs) / float64(r.PromptTokens)
		weight := slowerWeight
		if pace < p.readMsPerToken {
			weight = fasterWeight
		}
		p.readMsPerToken += weight * (pace - p.readMsPerToken)
	}
	// What is late or early shifts all that comes after it.
	late := ended - b.endMs
	delete(p.booked, r.ID)
	for id, other := range p.booked {
		if other.endMs > b.endMs {
			other.startMs, other.endMs = other.startMs+late, other.endMs+late
			p.booked[id] = other
		}
	}
	p.freeMs = max(float64(now), p.freeMs+late)
}

// PrefillWorkMs returns the time that a service's prefill engines need, together, for
// all prompts that they were ever given, as far as this daemon knows.
func (v *View) PrefillWorkMs(service string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readingMs[service]
}
