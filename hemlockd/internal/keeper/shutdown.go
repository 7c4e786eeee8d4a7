package keeper

import (
	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
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

// Longest returns how long a call may take once it has been placed, by the settings and by what has been observed of the
// engines of its group here, whoever is their keeper now.
func (k *Keeper) Longest(tree *settings.Tree, call Call) clock.Millis {
	name := GroupName(tree, k.env.Config.DataCentre, call.Model, call.PrefixHashes)
	k.mu.Lock()
	g, ok := k.groups[name]
	k.mu.Unlock()
	if !ok {
		g = &group{admission: admission.NewGroup(admission.DefaultOptions(), tree.System.Models[call.Model], tree.System.Policy, nil)}
	}
	return g.longest(call, k.env.Clock.Now())
}

func (g *group) longest(call Call, now clock.Millis) (needed clock.Millis) {
	g.withLock(func(a *admission.Group) { needed = a.LongestMs(call.PromptTokens, call.OutputTokens, now) })
	return needed
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
	needed := r.group.longest(r.call, now)
	if needed <= left {
		return nil
	}
	metrics.Add("refused:shutdown", 1)
	return process.ShutdownProblem(needed, left)
}
