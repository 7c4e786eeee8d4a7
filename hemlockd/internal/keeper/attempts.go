package keeper

import (
	"context"
	"errors"
	"math/rand/v2"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/engines"
	"hemlockmux.example/hemlockd/internal/retries"
)

// ran says whether the call was run, by its end and its attempts.
func (r *Run) ran(p *problem.Problem) problem.Ran {
	if p == nil {
		return problem.RanYes
	}
	return verdict.RanOf(r.attempts)
}

// attempt notes the outcome of one attempt and learns from a death.
func (r *Run) attempt(upstream, phase string, started clock.Millis, err error) {
	now := r.keeper.common.Clock.Now()
	a := verdict.Attempt{Upstream: upstream, Phase: phase, Result: verdict.AttemptRan, StartMs: started, EndMs: now}
	var call *engines.CallError
	if errors.As(err, &call) {
		a.Result, a.Cause = call.Result, call.Err.Error()
	} else if err != nil {
		a.Result, a.Cause = verdict.AttemptUnknown, err.Error()
	}
	r.dispatched = r.dispatched || a.Result != verdict.AttemptNotRun
	if call != nil && call.Broken {
		metrics.Add("brokenAttempts", 1)
		r.keeper.suspects.RecordDeath(r.call.Digest, now, now+r.tree.System.Policy.SuspectMs)
	}
	if call != nil && call.Unreachable {
		// It counts as down until it gives its next load report.
		r.group.with(func(g *admission.Group) { g.SetUp(upstream, false) })
	}
	r.attempts = append(r.attempts, a)
}

// suspectRefused returns the refusal of a request that two upstreams died of.
func (r *Run) suspectRefused() *problem.Problem {
	now := r.keeper.common.Clock.Now()
	until, refused := r.keeper.suspects.Refused(r.call.Digest, now)
	if !refused {
		return nil
	}
	return CrashSuspectProblem(until - now)
}

// CrashSuspectProblem is the refusal of a request that upstreams died of.
func CrashSuspectProblem(left clock.Millis) *problem.Problem {
	return problem.New(problem.CrashSuspect, "two upstreams died while they ran this request; it is refused for a while").RetryIn(left)
}

func (r *Run) backoff(attempt int) *problem.Problem {
	wait := retries.Backoff(attempt, rand.New(rand.NewPCG(uint64(r.keeper.common.Clock.Now()), uint64(attempt))))
	if !clock.Pause(r.ctx, wait) {
		return r.gone()
	}
	return nil
}

func (r *Run) failed(phase string, err error) *problem.Problem {
	if err == nil {
		return problem.New(problem.NoUpstream, "no engine is left for the %s", phase).RetryIn(clock.Second)
	}
	if errors.Is(err, errStalled) {
		return problem.New(problem.UpstreamSilent, "the %s made no progress in time", phase).RetryIn(clock.Second)
	}
	return problem.New(problem.UpstreamFailed, "the %s failed: %v", phase, err).RetryIn(clock.Second)
}

// abort frees what a failed attempt may hold.
func (r *Run) abort(name, rid string, err error) {
	var call *engines.CallError
	if errors.As(err, &call) && call.Result == verdict.AttemptNotRun {
		return
	}
	r.keeper.abort(r.engine(name), rid)
}

// abort ends an attempt at an engine, in the background; what is lost on the
// way is found by the sweep, since the attempt is no longer claimed.
func (k *Keeper) abort(e engines.Engine, rid string) {
	k.claims.remove(rid)
	k.done.Add(1)
	go k.runAbort(e, rid)
}

func (k *Keeper) runAbort(e engines.Engine, rid string) {
	defer k.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout.Duration())
	defer cancel()
	if err := k.client.Abort(ctx, e, rid); err != nil {
		metrics.Add("abortFailures", 1)
	}
}

// checkNotLeaving asserts that no new work goes to an upstream after the grace
// period from the first signal that it leaves.
func (k *Keeper) checkNotLeaving(name string) {
	k.mu.Lock()
	since, leaving := k.leavingSince[name]
	k.mu.Unlock()
	grace := k.configuration.Tree().System.Policy.LeavingGraceMs
	late := leaving && k.common.Clock.Now()-since > grace
	k.common.Invariants.Check(invariant.NoWorkToLeaving, !late, "upstream", name)
}
