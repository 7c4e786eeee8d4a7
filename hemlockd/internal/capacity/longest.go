package capacity

import "hemlockmux.example/common/clock"

const (
	// loadAllowance is the factor by which an engine may become slower while a run is there: other runs are placed
	// beside it.
	loadAllowance = 1.25
	// ownPrefillFactor is how much longer a decode engine takes for a prompt than a prefill engine.
	ownPrefillFactor = 2
)

// LongestDuration returns how long a run may take from now until it has generated all the tokens that it may. It assumes
// the engine where the run is placed or, before that, the slowest engine that the run may use. It returns false if
// that can't be told, because no such engine has been observed yet.
func (v *View) LongestDuration(r Run) (longest clock.Millis, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.durationLocked(r, r.MaxTokens)
}

// ExpectedDuration is LongestDuration for a run that generates as many tokens as are expected by its caller's guess.
func (v *View) ExpectedDuration(r Run) (expected clock.Millis, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.durationLocked(r, v.lengths.expect(r.ExpectedTokens, r.GeneratedTokens, r.MaxTokens))
}

// durationLocked returns how long a run of that many tokens may take.
func (v *View) durationLocked(r Run, tokens int) (longest clock.Millis, ok bool) {
	pace := v.slowestPaceLocked(r)
	if e := v.engines[r.Engine]; e != nil && e.observed {
		pace = e.msPerToken
	}
	if pace == 0 {
		return 0, false
	}
	decode := loadAllowance * pace * float64(tokens-r.GeneratedTokens)
	return clock.Millis(decode + v.longestPrefillLocked(r)), true
}

// slowestPaceLocked returns the decode time per token, in ms, of the slowest observed engine that the run may use; 0 if
// there is none.
func (v *View) slowestPaceLocked(r Run) float64 {
	slowest := 0.0
	for _, e := range v.engines {
		if e.observed && e.Service == r.Service && r.mayUse(e.Software) {
			slowest = max(slowest, e.msPerToken)
		}
	}
	return slowest
}

// longestPrefillLocked returns how long, in ms, it may take until the run's prompt has been processed.
func (v *View) longestPrefillLocked(r Run) float64 {
	if r.Decoding {
		return 0
	}
	pace := initialPrefillMsPerToken
	for _, p := range v.prefillEngines {
		if p.Service == r.Service {
			pace = max(pace, p.msPerToken)
		}
	}
	return v.limits.MaxPrefillBacklogMs + ownPrefillFactor*pace*float64(r.PromptTokens)
}
