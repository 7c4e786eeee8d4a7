package keeper

import (
	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/process"
)

// Bound tells the run that the daemon that received the request ends it after left, since it shuts down; 0 means that it
// does not. A run that has not been placed yet and may take longer is refused.
func (r *Run) Bound(left clock.Millis) {
	if left == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.neededByMs = r.keeper.env.Clock.Now() + left
}

// shutdownRefusal returns the refusal of a run that may take longer than this daemon or the one that received the request
// has left before it exits, or nil. What an engine may have begun is continued.
func (r *Run) shutdownRefusal() *problem.Problem {
	now := r.keeper.env.Clock.Now()
	left, bounded := r.keeper.env.Shutdown.Left(now)
	r.mu.Lock()
	neededBy := r.neededByMs
	r.mu.Unlock()
	if neededBy > 0 && (!bounded || neededBy-now < left) {
		left, bounded = neededBy-now, true
	}
	if !bounded || r.dispatched {
		return nil
	}
	var needed clock.Millis
	r.group.withLock(func(g *admission.Group) { needed = g.LongestMs(r.call.PromptTokens, r.call.OutputTokens, now) })
	if needed <= left {
		return nil
	}
	metrics.Add("refused:shutdown", 1)
	return process.ShutdownProblem(needed, left)
}
