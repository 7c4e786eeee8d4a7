// Package roles decides which engines prefill and which decode, and ensures that only
// one daemon of a data centre sends orders to change roles.
//
// The right to send orders is a lease, an entry in the platform's store that is
// renewed before each order; its version is the order's fencing token. A daemon that
// takes the lease over from another waits until it has expired and then until the
// minimum separation of orders has passed, so that orders of two daemons are never
// close together.
//
// # Usage
//
//	controller := roles.NewController(options)
//	go controller.Run(ctx)
package roles

import "hemlockmux.example/common/clock"

// Load is the load of the engines of one service. Engines of all data centres serve
// the requests of all. An engine that is changing its role is counted in its new role.
type Load struct {
	// Prefillers is the number of prefill engines of this data centre that could
	// change their role.
	Prefillers int
	// Decoders is the number of decode engines of this data centre that could change
	// their role.
	Decoders int
	// AllPrefillers is the number of prefill engines of all data centres.
	AllPrefillers int
	// AllDecoders is the number of decode engines of all data centres.
	AllDecoders int
	// PrefillWork is the mean number of busy prefill engines that the load requires.
	PrefillWork float64
	// DecodeWork is the memory that runs need, in units of one decode engine's memory.
	DecodeWork float64
	// Rank is the number of data centres that take their turn before this one when
	// all of them want a change.
	Rank int
}

// Change is a decision about the roles of a data centre's engines.
type Change int

// The changes.
const (
	// Stay changes no role.
	Stay Change = iota
	// ToDecode turns one prefill engine into a decode engine.
	ToDecode
	// ToPrefill turns one decode engine into a prefill engine.
	ToPrefill
)

// Policy holds the thresholds for role changes.
type Policy struct {
	// UsablePrefill is the fraction of the prefill engines' time that can be used
	// before requests wait long.
	UsablePrefill float64
	// UsableDecode is the fraction of the decode engines' memory that can be used
	// before requests wait long.
	UsableDecode float64
	// MinPressure is the pressure, as a fraction of the usable capacity, from which
	// roles are changed.
	MinPressure float64
	// MinGain is the reduction of the pressure that a change must exceed.
	MinGain float64
	// SustainMs is how long a change must be wanted before it is made.
	SustainMs clock.Millis
	// StaggerMs is the pause after a change in any data centre. It is added once more
	// for each data centre that takes its turn before this one.
	StaggerMs clock.Millis
	// CooldownMs is the pause after a change in this data centre.
	CooldownMs clock.Millis
}

// DefaultPolicy returns the thresholds that daemons use.
func DefaultPolicy() Policy {
	return Policy{
		UsablePrefill: 0.9, UsableDecode: 0.92, MinPressure: 0.3, MinGain: 0.01,
		SustainMs: 750 * clock.Millisecond, StaggerMs: 400 * clock.Millisecond, CooldownMs: 9 * clock.Second,
	}
}

// pressure returns the load as a fraction of the usable capacity of the given numbers
// of engines, for the role where it is higher.
func (p Policy) pressure(l Load, prefillers, decoders int) float64 {
	return max(l.PrefillWork/(p.UsablePrefill*float64(prefillers)), l.DecodeWork/(p.UsableDecode*float64(decoders)))
}

// Wanted returns the change that would reduce the pressure of the given load.
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
	threshold := p.pressure(l, l.AllPrefillers, l.AllDecoders) - p.MinGain
	if threshold+p.MinGain < p.MinPressure {
		return Stay
	}
	if l.Prefillers > 1 && p.pressure(l, l.AllPrefillers-1, l.AllDecoders+1) < threshold {
		return ToDecode
	}
	if l.Decoders > 1 && p.pressure(l, l.AllPrefillers+1, l.AllDecoders-1) < threshold {
		return ToPrefill
	}
	return Stay
}

// Debouncer delays changes until the load has called for them for some time.
type Debouncer struct {
	policy Policy
	// wanted is the change that the load last called for.
	wanted Change
	// sinceMs is the time since which wanted has been the same.
	sinceMs clock.Millis
	// cooldownUntilMs is the end of the pause after the last change.
	cooldownUntilMs clock.Millis
	// prefillers is the number of prefill engines of all data centres in the last
	// sample.
	prefillers int
	// prefillersSinceMs is the time since which prefillers has been the same.
	prefillersSinceMs clock.Millis
}

// NewDebouncer returns a debouncer without any load samples.
func NewDebouncer(p Policy) *Debouncer { return &Debouncer{policy: p} }

// Decide records the load and returns the change to make now.
func (d *Debouncer) Decide(l Load, now clock.Millis) Change {
	wanted := d.policy.Wanted(l)
	if wanted != d.wanted {
		d.wanted, d.sinceMs = wanted, now
	}
	if l.AllPrefillers != d.prefillers {
		d.prefillers, d.prefillersSinceMs = l.AllPrefillers, now
	}
	staggerMs := d.policy.StaggerMs * clock.Millis(1+l.Rank)
	if wanted == Stay || now < d.cooldownUntilMs || now-d.sinceMs < d.policy.SustainMs+staggerMs || now-d.prefillersSinceMs < staggerMs {
		return Stay
	}
	return wanted
}

// Ordered records that a change has been decided, which starts the pause after it.
func (d *Debouncer) Ordered(now clock.Millis) { d.cooldownUntilMs = now + d.policy.CooldownMs }
