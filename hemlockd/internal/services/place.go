package services

import (
	"context"
	"errors"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/placements"
)

const (
	// firstLook and maxLook bound the time between two looks at the record of
	// a call that another request is running.
	firstLook = 50 * clock.Millisecond
	maxLook   = 800 * clock.Millisecond
)

// place runs a non-idempotent call at most once: whoever wins the record
// dispatches, once; everyone else gets the recorded answer.
func (s *Services) place(ctx context.Context, tree *settings.Tree, service settings.Service, call Call) Outcome {
	if !s.Usable(tree, call) {
		return s.replayOrRefuse(ctx, service, call)
	}
	key := placements.Key(call.Team, call.Service, call.Key)
	claim, err := s.ledger.Claim(ctx, key, placements.Record{
		Digest: call.Digest, Daemon: s.common.Self(), RequestID: call.RequestID, AtMs: s.common.Clock.Now(),
	})
	if err != nil {
		metrics.Add("recordUnavailable", 1)
		return Outcome{Problem: problem.New(problem.PlatformUnavailable,
			"the record that keeps this call from running twice can't be written now; it was not run").RetryIn(2 * clock.Second)}
	}
	if !claim.Won {
		return s.replay(ctx, service, call, claim.Record)
	}
	return s.dispatch(tree, service, call, claim)
}

// replayOrRefuse serves a call while no instance is up: the record may hold
// its answer from before.
func (s *Services) replayOrRefuse(ctx context.Context, service settings.Service, call Call) Outcome {
	record, found, err := s.ledger.Lookup(ctx, placements.Key(call.Team, call.Service, call.Key))
	if err == nil && found && record.State != placements.Released {
		return s.replay(ctx, service, call, record)
	}
	p := problem.New(problem.NoUpstream, "no instance of service %q is up in %s", call.Service, s.common.Config.DataCentre)
	if err != nil {
		// An earlier call with this key may have run.
		p.Detail += ", and whether an earlier call with this key ran can't be read now; this one was not run"
	}
	return Outcome{Problem: p.RetryIn(clock.Second)}
}

// dispatch runs the call under a claim that was won. It goes on when the caller
// goes away, so that the answer is there for a repeat.
func (s *Services) dispatch(tree *settings.Tree, service settings.Service, call Call, claim placements.Claim) Outcome {
	var out Outcome
	not := map[string]bool{}
	for range tree.System.Policy.MaxAttempts {
		name, ok := s.choose(s.configuration.Tree(), call, not)
		if !ok {
			break
		}
		s.common.Invariants.Check(invariant.AtMostOnce, ranOf(out.Attempts) == problem.RanNo, "requestId", call.RequestID)
		answer, err := s.callOnce(context.Background(), s.fresh, name, tree, service, call, service.TimeoutMs, &out)
		if err == nil {
			s.ledger.Finish(claim, *answer)
			out.Answer = answer
			return out
		}
		var failed *callError
		if !errors.As(err, &failed) || failed.result != verdict.AttemptNotRun {
			out.Problem = s.undecided(call, failed)
			return out
		}
		not[name] = true // it never got the call: another instance may
	}
	s.ledger.Release(claim)
	out.Problem = problem.New(problem.NoUpstream, "no instance of service %q could be reached in %s", call.Service, s.common.Config.DataCentre).RetryIn(clock.Second)
	return out
}

// undecided is the answer where the call was dispatched and its answer is
// missing: a repeat will not run it.
func (s *Services) undecided(call Call, failed *callError) *problem.Problem {
	metrics.Add("outcomeUnknown", 1)
	p := problem.New(problem.OutcomeUnknown, "service %q was called and gave no whole answer; the call will not be run again under this key", call.Service)
	if failed != nil && failed.result == verdict.AttemptRan {
		return p.WithRan(problem.RanYes)
	}
	return p.WithRan(problem.RanUnknown)
}

// replay answers from the record of an earlier call with the same key, and
// waits for it while that call runs.
func (s *Services) replay(ctx context.Context, service settings.Service, call Call, record placements.Record) Outcome {
	if record.Digest != call.Digest {
		return Outcome{Problem: problem.New(problem.KeyReused, "this idempotency key came with another request before; use a new key for a new request")}
	}
	deadline := s.common.Clock.Now() + service.TimeoutMs
	wait := firstLook
	for record.State == placements.Started && s.common.Clock.Now() < deadline {
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return Outcome{Problem: problem.New(problem.CallerGone, "the caller went away").WithRan(problem.RanUnknown)}
		case <-timer.C:
		}
		wait = min(2*wait, maxLook)
		found, ok, err := s.ledger.Lookup(ctx, placements.Key(call.Team, call.Service, call.Key))
		if err == nil && ok {
			record = found
		}
	}
	return s.recorded(call, record)
}

// recorded turns a record into an outcome.
func (s *Services) recorded(call Call, record placements.Record) Outcome {
	switch {
	case record.State == placements.Released:
		return Outcome{Problem: problem.New(problem.UpstreamFailed, "the earlier call with this key was not run; send it again").RetryIn(100 * clock.Millisecond)}
	case record.State == placements.Finished && record.Answer != nil && !record.Answer.Omitted:
		metrics.Add("replayed", 1)
		return Outcome{Answer: record.Answer, Replayed: true}
	case record.State == placements.Finished:
		return Outcome{Problem: problem.New(problem.OutcomeUnknown, "the earlier call with this key ran; its answer was too long to be kept").WithRan(problem.RanYes)}
	}
	metrics.Add("outcomeUnknown", 1)
	return Outcome{Problem: problem.New(problem.OutcomeUnknown,
		"an earlier call with this key (request %s) was started and its outcome is not known; it will not be run again", record.RequestID).WithRan(problem.RanUnknown)}
}
