// Package roles decides which engines read prompts and which generate, and sees
// to it that only one daemon of a data centre gives its engines orders.
//
// The right to give orders is an entry in the platform's store, renewed just
// before each order; its version is the order's fencing number. A daemon that
// takes the right over from another first lets it lapse and then waits for the
// lease, so that orders of two daemons never come close together.
//
// # Usage
//
//	controller := roles.NewController(options)
//	go controller.Run(ctx)
package roles

import "hemlockmux.example/common/clock"

// Load is how busy the engines of one service are. Engines of all data centres
// serve the requests of all; one that is changing its role counts in the role
// that it will have.
type Load struct {
	// Prefillers and Decoders count the engines of the own data centre that could
	// change their role.
	Prefillers, Decoders int
	// AllPrefillers and AllDecoders count the engines of all data centres.
	AllPrefillers, AllDecoders int
	// PrefillWork is the number of prefill engines that read prompts at the same
	// time; DecodeWork the memory that runs need, in decode engines.
	PrefillWork, DecodeWork float64
	// Rank is the number of data centres that come first with a change.
	Rank int
}

// Change is what to do about the roles of a data centre's engines.
type Change int

// The changes.
const (
	Stay Change = iota
	// ToDecode makes one prefill engine decode.
	ToDecode
	// ToPrefill makes one decode engine read prompts.
	ToPrefill
)

// Policy holds the thresholds of a decision.
type Policy struct {
	// UsablePrefill is the part of the prefill engines' time, UsableDecode the part
	// of the decode engines' memory, that can be used before requests wait long.
	UsablePrefill, UsableDecode float64
	// MinPressure is the pressure from which roles are changed, MinGain the relief
	// that a change has to bring.
	MinPressure, MinGain float64
	// SustainMs is how long a change must be wanted before it is made, CooldownMs the
	// pause after a change in the same data centre. StaggerMs is the pause after a
	// change in any data centre, once more for each data centre that comes first.
	SustainMs, StaggerMs, CooldownMs clock.Millis
}

// DefaultPolicy returns the thresholds that daemons run with.
func DefaultPolicy() Policy {
	return Policy{
		UsablePrefill: 0.9, UsableDecode: 0.92, MinPressure: 0.3, MinGain: 0.01,
		SustainMs: 750 * clock.Millisecond, StaggerMs: 400 * clock.Millisecond, CooldownMs: 9 * clock.Second,
	}
}

// pressure is how much of what so many engines can do the load asks of them, in
// the role where it is more.
func (p Policy) pressure(l Load, prefillers, decoders int) float64 {
	return max(l.PrefillWork/(p.UsablePrefill*float64(prefillers)), l.DecodeWork/(p.UsableDecode*float64(decoders)))
}

// Wanted returns the change that the load calls for at this moment.
func (p Policy) Wanted(l Load) Change {
	if l.AllPrefillers == 0 {
		if l.Decoders > 1 {
			return ToPrefill
		}
		return Stay
	}
	if l.AllDecoders == 0 {
		return Stay
	}
	least := p.pressure(l, l.AllPrefillers, l.AllDecoders) - p.MinGain
	if least+p.MinGain < p.MinPressure {
		return Stay
	}
	if l.Prefillers > 1 && p.pressure(l, l.AllPrefillers-1, l.AllDecoders+1) < least {
		return ToDecode
	}
	if l.Decoders > 1 && p.pressure(l, l.AllPrefillers+1, l.AllDecoders-1) < least {
		return ToPrefill
	}
	return Stay
}

// Debouncer makes decisions that last out of momentary ones.
type Debouncer struct {
	policy  Policy
	wanted  Change
	sinceMs clock.Millis
	// quietUntilMs is the end of the pause after the last change.
	quietUntilMs clock.Millis
	// prefillers is the number of prefill engines of all data centres at the last
	// look, and sinceTheseMs since when there have been so many.
	prefillers   int
	sinceTheseMs clock.Millis
}

// NewDebouncer returns a decider that has seen nothing yet.
func NewDebouncer(p Policy) *Debouncer { return &Debouncer{policy: p} }

// Decide takes in the load and returns the change to make now.
func (s *Debouncer) Decide(l Load, now clock.Millis) Change {
	wanted := s.policy.Wanted(l)
	if wanted != s.wanted {
		s.wanted, s.sinceMs = wanted, now
	}
	if l.AllPrefillers != s.prefillers {
		s.prefillers, s.sinceTheseMs = l.AllPrefillers, now
	}
	turnMs := s.policy.StaggerMs * clock.Millis(1+l.Rank)
	if wanted == Stay || now < s.quietUntilMs || now-s.sinceMs < s.policy.SustainMs+turnMs || now-s.sinceTheseMs < turnMs {
		return Stay
	}
	return wanted
}

// Ordered takes in that a change has been ordered.
func (s *Debouncer) Ordered(now clock.Millis) { s.quietUntilMs = now + s.policy.CooldownMs }
