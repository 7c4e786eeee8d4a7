package capacity

import (
	"math"

	"hemlockmux.example/common/clock"
)

const (
	// fullSlowdown is how many times as long a token takes at an engine that is full as at one that is empty.
	fullSlowdown = 1.6
	// maxFill is the share of an engine that others may take while a run is there.
	maxFill = 0.5
	// minAllowance is the least factor by which an engine may become slower while a run is there.
	minAllowance = 1.05
	// slownessHalfLife is the time in which the slowest pace of an engine comes half as near to its mean pace.
	slownessHalfLife = 10 * clock.Second
	// ownPrefillFactor is how much longer a decode engine takes for a prompt than a prefill engine.
	ownPrefillFactor = 2
	// fetchAllowanceMs is how long, in ms, it may take until an engine has fetched the prefill result and its first event
	// arrives here.
	fetchAllowanceMs = 100
)

// slowness is the greatest of the values observed lately; older ones count less.
type slowness struct {
	value float64
	atMs  clock.Millis
}

// observe records a value. mean is what older values are taken to converge to.
func (s *slowness) observe(value, mean float64, now clock.Millis) {
	*s = slowness{value: max(value, s.at(mean, now)), atMs: now}
}

// at returns what counts now.
func (s *slowness) at(mean float64, now clock.Millis) float64 {
	if s.value <= mean {
		return mean
	}
	age := float64(now-s.atMs) / float64(slownessHalfLife)
	return mean + (s.value-mean)*math.Exp2(-max(0, age))
}

// usedLocked returns the share of an engine that is in use: of its slots or of its memory, whichever is less.
func (v *View) usedLocked(e *engine, now clock.Millis) float64 {
	if e.MemoryTokens <= 0 || e.Slots <= 0 {
		return 0
	}
	held := 0
	for _, runs := range e.runs {
		for _, r := range runs {
			held += r.PromptTokens + r.generatedBy(now, e.msPerToken)
		}
	}
	if e.Foreign != nil {
		held += e.Foreign.Tokens
	}
	return min(1, float64(held)/float64(e.MemoryTokens), float64(e.count())/float64(e.Slots))
}

// slowdown returns how many times as long a token takes at an engine of which a share is used as at one that is empty.
func slowdown(used float64) float64 { return 1 + (fullSlowdown-1)*used }

// slowestPaceOfLocked returns the decode time per token, in ms, that an observed engine may come to have while others are
// placed beside a run there.
func (v *View) slowestPaceOfLocked(e *engine, now clock.Millis) float64 {
	used := v.usedLocked(e, now)
	allowance := slowdown(min(1, used+maxFill)) / slowdown(used)
	return max(max(minAllowance, allowance)*e.msPerToken, e.slowest.at(e.msPerToken, now))
}

// LongestDuration returns how long a run may take from now until it has generated all the tokens that it may. It assumes
// the engine where the run is placed or, before that, the slowest engine that the run may use. It returns false if
// that can't be told, because no such engine has been observed yet.
func (v *View) LongestDuration(r Run, now clock.Millis) (longest clock.Millis, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.durationLocked(r, r.MaxTokens, now)
}

// ExpectedDuration is LongestDuration for a run that generates as many tokens as are expected by its caller's guess.
func (v *View) ExpectedDuration(r Run, now clock.Millis) (expected clock.Millis, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.durationLocked(r, v.lengths.expect(r.ExpectedTokens, r.GeneratedTokens, r.MaxTokens), now)
}

// durationLocked returns how long a run of that many tokens may take.
func (v *View) durationLocked(r Run, tokens int, now clock.Millis) (longest clock.Millis, ok bool) {
	pace := v.slowestPaceLocked(r, now)
	if e := v.engines[r.Engine]; e != nil && e.observed() {
		pace = v.slowestPaceOfLocked(e, now)
	}
	if pace == 0 {
		return 0, false
	}
	decode := pace * float64(tokens-r.GeneratedTokens)
	return clock.Millis(decode + v.longestPrefillLocked(r, now)), true
}

// slowestPaceLocked returns the decode time per token, in ms, of the slowest observed engine that the run may use; 0 if
// there is none.
func (v *View) slowestPaceLocked(r Run, now clock.Millis) float64 {
	slowest := 0.0
	for _, e := range v.engines {
		if e.observed() && e.Service == r.Service && r.mayUse(e.Software) {
			slowest = max(slowest, v.slowestPaceOfLocked(e, now))
		}
	}
	return slowest
}

// longestPrefillLocked returns how long, in ms, it may take until the run's prompt has been processed.
func (v *View) longestPrefillLocked(r Run, now clock.Millis) float64 {
	if r.Decoding {
		return 0
	}
	if e := v.engines[r.Engine]; e != nil && r.Prefill == "" && v.prefillEngineCountLocked(e.Service, e.Software) > 0 {
		return fetchAllowanceMs // it has been processed
	}
	pace := initialPrefillMsPerToken
	for _, p := range v.prefillEngines {
		if p.Service == r.Service {
			pace = max(pace, p.msPerToken)
		}
	}
	longest := v.limits.MaxPrefillBacklogMs + ownPrefillFactor*pace*float64(r.PromptTokens)
	for _, e := range v.engines { // those without prefill engines of their version read prompts themselves, one after another
		if e.Service == r.Service && r.mayUse(e.Software) && (r.Engine == "" || r.Engine == e.ID) && v.prefillEngineCountLocked(e.Service, e.Software) == 0 {
			longest = max(longest, e.slowestStart.at(0, now))
		}
	}
	return longest
}
