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
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// ran reports whether an engine ran the call, judged by its problem p and its attempts.
func (r *Run) ran(p *problem.Problem) problem.Ran {
	if p == nil {
		return problem.RanYes
	}
	return verdict.CombineRan(r.attempts)
}

// recordAttempt appends the outcome of one attempt. If the connection broke during the attempt,
// the request is recorded as a crash suspect; if the engine was unreachable, it is marked as down.
func (r *Run) recordAttempt(upstream, phase string, started clock.Millis, err error) {
	now := r.keeper.env.Clock.Now()
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
		// The engine counts as down until its next successful load report.
		r.group.withLock(func(g *admission.Group) { g.SetUp(upstream, false) })
	}
	r.attempts = append(r.attempts, a)
}

// crashSuspectRefusal returns the refusal of a request during which two upstreams crashed, or nil
// if the request may be retried.
func (r *Run) crashSuspectRefusal() *problem.Problem {
	now := r.keeper.env.Clock.Now()
	until, refused := r.keeper.suspects.Refused(r.call.Digest, now)
	if !refused {
		return nil
	}
	return CrashSuspectProblem(until - now)
}

// CrashSuspectProblem returns the refusal of a request during which two upstreams crashed. The
// refusal expires after left.
func CrashSuspectProblem(left clock.Millis) *problem.Problem {
	return problem.New(problem.CrashSuspect, "two upstreams crashed while running this request; it is refused until the retry time").WithRetryAfter(left)
}

// backoff waits before the next attempt; it returns a problem if the run is cancelled meanwhile.
func (r *Run) backoff(attempt int) *problem.Problem {
	wait := retries.Backoff(attempt, rand.New(rand.NewPCG(uint64(r.keeper.env.Clock.Now()), uint64(attempt))))
	if !clock.Sleep(r.ctx, wait) {
		return r.callerGone()
	}
	return nil
}

// phaseProblem converts the last error of a phase (prefill or decode) to the caller's problem; a
// nil error means that no engine was available for it.
func (r *Run) phaseProblem(phase string, err error) *problem.Problem {
	if err == nil {
		return problem.New(problem.NoUpstream, "no engine is available for the %s", phase).WithRetryAfter(clock.Second)
	}
	var call *engines.CallError
	if errors.As(err, &call) && call.Closed != upstreamgate.Open {
		_, retry := r.keeper.client.Closed([]string{call.Engine})
		return problem.New(call.Closed.ProblemReason(), "the engines for the %s take no more requests now: %v", phase, err).WithRetryAfter(retry)
	}
	if errors.Is(err, errStalled) {
		return problem.New(problem.UpstreamSilent, "the %s stream stalled: no chunk arrived within the stall time-out", phase).WithRetryAfter(clock.Second)
	}
	return problem.New(problem.UpstreamFailed, "the %s failed: %v", phase, err).WithRetryAfter(clock.Second)
}

// abortFailed frees the memory that a failed attempt may hold at its engine. An attempt that never
// ran holds none.
func (r *Run) abortFailed(e engines.Engine, attemptID string, err error) {
	var call *engines.CallError
	if errors.As(err, &call) && call.Result == verdict.AttemptNotRun {
		return
	}
	r.keeper.abortAttempt(e, attemptID)
}

// abortAttempt aborts an attempt at an engine in the background. If the abort does not arrive, the
// watcher's sweep finds the attempt, since it is no longer claimed.
func (k *Keeper) abortAttempt(e engines.Engine, attemptID string) {
	k.claims.remove(attemptID)
	k.done.Add(1)
	go k.runAbort(e, attemptID)
}

func (k *Keeper) runAbort(e engines.Engine, attemptID string) {
	defer k.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout.Duration())
	defer cancel()
	if err := k.client.Abort(ctx, e, attemptID); err != nil {
		metrics.Add("abortFailures", 1)
	}
}

// checkNotLeaving asserts that an upstream gets no new work once the grace period after the first
// signal that it is leaving has passed.
func (k *Keeper) checkNotLeaving(name string) {
	k.mu.Lock()
	since, leaving := k.leavingSince[name]
	k.mu.Unlock()
	grace := k.configuration.Tree().System.Policy.LeavingGraceMs
	late := leaving && k.env.Clock.Now()-since > grace
	k.env.Invariants.Check(invariant.NoWorkToLeaving, !late, "upstream", name)
}
