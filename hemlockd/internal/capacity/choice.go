package capacity

import (
	"math"

	"hemlockmux.example/common/clock"
)

// PlaceOptions restricts and informs the choice of engines for a run.
type PlaceOptions struct {
	// SkipPrefill says that the run needs no prefill engine because its prompt has
	// already been prefilled.
	SkipPrefill bool
	// Exclude holds the ids of engines that must not be chosen.
	Exclude map[string]bool
	// CompetingRuns is the estimated number of runs of other daemons that wait for
	// a placement; 0 turns random admission off.
	CompetingRuns float64
	// RetryIntervalMs is the mean time, in ms, between two placement attempts of
	// each competing run.
	RetryIntervalMs float64
}

// Place chooses a decode engine with sufficient capacity for the run and, unless
// SkipPrefill is set, a prefill engine with a short backlog, and reserves both. It
// returns the run with its engines, or false if no placement is possible.
func (v *View) Place(r Run, o PlaceOptions, now clock.Millis) (Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best, need := v.chooseDecodeLocked(r, o, now)
	if best == nil {
		return r, false
	}
	r.Engine, r.DataCentre, r.observedMs, r.Prefill = best.ID, best.DataCentre, now, ""
	r.MemoryUse = float64(need) / float64(best.MemoryTokens)
	if !o.SkipPrefill {
		p := v.choosePrefillLocked(best, o.Exclude, now)
		if p == nil && v.prefillEngineCountLocked(r.Service, best.Software) > 0 {
			return r, false
		}
		if p != nil { // otherwise the decode engine prefills the prompt itself
			v.reservePrefillLocked(p, r, now)
			r.Prefill = p.ID
		}
	}
	best.runs[localOwner][r.ID] = r
	v.engineOf[r.ID] = best.ID
	return r, true
}

// chooseDecodeLocked returns the decode engine with the lowest cost among those with
// sufficient capacity, and the peak memory that its runs will need with this one. It
// returns nil if there is none.
func (v *View) chooseDecodeLocked(r Run, o PlaceOptions, now clock.Millis) (best *engine, need int) {
	best, need = v.chooseAmongLocked(r, o, false, now)
	if best == nil {
		best, need = v.chooseAmongLocked(r, o, true, now)
	}
	return best, need
}

// chooseAmongLocked is chooseDecodeLocked for the engines that have runs which are not known here,
// or for the others. Daemons that know little of the same engines spread their choices.
func (v *View) chooseAmongLocked(r Run, o PlaceOptions, foreign bool, now clock.Millis) (best *engine, need int) {
	bestCost := 0.0
	for _, e := range v.sortedLocked() {
		if e.Service != r.Service || !r.mayUse(e.Software) || o.Exclude[e.ID] || e.MemoryTokens == 0 || (e.Foreign != nil) != foreign || e.count() >= e.Slots {
			continue
		}
		n := v.peakLocked(e, &r, now)
		free := (v.limits.MaxMemoryUse-e.Margin)*float64(e.MemoryTokens) - float64(n)
		if free < 0 || !v.mayReserveLocked(e, o, 1+math.Floor(free/float64(r.PromptTokens+r.ExpectedTokens+1))) {
			continue
		}
		cost := float64(n)/float64(e.MemoryTokens) + e.Cost
		if foreign {
			cost += foreignSpread * v.random()
		}
		if best == nil || cost < bestCost {
			best, bestCost, need = e, cost, n
		}
	}
	return best, need
}

// mayReserveLocked decides at random whether this daemon may reserve part of an
// engine's remaining capacity, given in runs. Other daemons try at the same time and
// their updates are still in transit, so each daemon reserves with a probability at
// which all of them together stay within the capacity.
func (v *View) mayReserveLocked(e *engine, o PlaceOptions, capacity float64) bool {
	if o.CompetingRuns == 0 {
		return true
	}
	// staleness is the fraction of competing attempts that are not reported yet.
	staleness := min(1, e.UpdateDelayMs/o.RetryIntervalMs)
	unseen, share := o.CompetingRuns*staleness, capacity*max(minFarShare, 1-staleness)
	return unseen <= share || v.random()*unseen < share
}

// Fits reports whether any engine of the run's service is large enough to hold the
// run's prompt while nothing else runs there.
func (v *View) Fits(r Run) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.engines {
		if e.Service == r.Service && r.mayUse(e.Software) && r.PromptTokens < e.MemoryTokens {
			return true
		}
	}
	return false
}
