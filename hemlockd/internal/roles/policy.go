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
//	keeper := roles.NewKeeper(options)
//	go keeper.Run(ctx)
package roles

import "hemlockmux.example/common/clock"

// Load is how busy the engines of one service are.
type Load struct {
	// Prefillers and Decoders count the engines of each role in the data centre.
	Prefillers, Decoders int
	// PrefillUse is the part of the prefill engines, in all data centres, that
	// read prompts; DecodeUse the part of the decode engines' memory that runs
	// need. AllPrefillers counts the prefill engines of all data centres.
	PrefillUse, DecodeUse float64
	AllPrefillers         int
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
	// BusyDecode is the DecodeUse from which another decode engine is wanted,
	// BusyPrefill the PrefillUse from which another prefill engine is.
	BusyDecode, BusyPrefill float64
	// LeastPrefillSpare is the part of the prefill engines' time that must stay
	// free after one of them has gone.
	LeastPrefillSpare float64
	// SustainMs is how long a change must be wanted before it is made, SettleMs
	// the pause after a change.
	SustainMs, SettleMs clock.Millis
}

// DefaultPolicy returns the thresholds that daemons run with.
func DefaultPolicy() Policy {
	return Policy{
		BusyDecode: 0.35, BusyPrefill: 0.85, LeastPrefillSpare: 0.4,
		SustainMs: 1500 * clock.Millisecond, SettleMs: 9 * clock.Second,
	}
}

// Wanted returns the change that the load calls for at this moment.
func (p Policy) Wanted(l Load) Change {
	switch {
	case l.Prefillers > 1 && l.DecodeUse >= p.BusyDecode &&
		l.PrefillUse*float64(l.AllPrefillers) <= (1-p.LeastPrefillSpare)*float64(l.AllPrefillers-1):
		return ToDecode
	case l.Decoders > 1 && l.AllPrefillers == 0:
		return ToPrefill
	case l.Decoders > 1 && l.PrefillUse >= p.BusyPrefill && l.DecodeUse < p.BusyDecode:
		return ToPrefill
	}
	return Stay
}

// Sustained makes decisions that last out of momentary ones.
type Sustained struct {
	policy  Policy
	wanted  Change
	sinceMs clock.Millis
	// quietUntilMs is the end of the pause after the last change.
	quietUntilMs clock.Millis
}

// NewSustained returns a decider that has seen nothing yet.
func NewSustained(p Policy) *Sustained { return &Sustained{policy: p} }

// Decide takes in the load and returns the change to make now.
func (s *Sustained) Decide(l Load, now clock.Millis) Change {
	wanted := s.policy.Wanted(l)
	if wanted != s.wanted {
		s.wanted, s.sinceMs = wanted, now
	}
	if wanted == Stay || now < s.quietUntilMs || now-s.sinceMs < s.policy.SustainMs {
		return Stay
	}
	return wanted
}

// Changed takes in that a change has been ordered.
func (s *Sustained) Changed(now clock.Millis) { s.quietUntilMs = now + s.policy.SettleMs }
