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
	"hemlockmux.example/hemlockd/internal/process"
)

const (
	// minPollInterval and maxPollInterval bound the time between two reads of the record of a call
	// that another request is running.
	minPollInterval = 50 * clock.Millisecond
	maxPollInterval = 800 * clock.Millisecond
	// lateAnswerTimeout is how long after a service's time-out its answer is still awaited, so that it
	// can be recorded.
	lateAnswerTimeout = clock.Minute
)

// runAtMostOnce runs a non-idempotent call at most once: the request that wins the claim of the
// placement record dispatches the call, and the others get the recorded answer.
func (s *Services) runAtMostOnce(ctx context.Context, tree *settings.Tree, service settings.Service, call Call) Outcome {
	if !s.Available(tree, call) {
		return s.replayOrRefuse(ctx, service, call)
	}
	key := placements.Key(call.Team, call.Service, call.Key)
	claim, err := s.ledger.Claim(ctx, key, placements.Record{
		Digest: call.Digest, Daemon: s.env.RunID(), RequestID: call.RequestID, ClaimedMs: s.env.Clock.Now(),
	})
	if err != nil {
		metrics.Add("recordUnavailable", 1)
		return Outcome{Problem: problem.New(problem.PlatformUnavailable,
			"the placement record that prevents this call from running twice can't be written now; the call was not run").WithRetryAfter(2 * clock.Second)}
	}
	if !claim.Won {
		return s.replay(ctx, service, call, claim.Record)
	}
	return s.dispatch(tree, service, call, claim)
}

// replayOrRefuse serves a call while no instance is available: an earlier call may have recorded its
// answer.
func (s *Services) replayOrRefuse(ctx context.Context, service settings.Service, call Call) Outcome {
	record, found, err := s.ledger.Lookup(ctx, placements.Key(call.Team, call.Service, call.Key))
	if err == nil && found && record.State != placements.Released {
		return s.replay(ctx, service, call, record)
	}
	p := problem.New(problem.NoUpstream, "no instance of service %q is available in %s", call.Service, s.env.Config.DataCentre)
	if err != nil {
		// An earlier call with this key may have run.
		p.Detail += ", and it can't be read now whether an earlier call with this key was run; this call was not run"
	}
	return Outcome{Problem: p.WithRetryAfter(clock.Second)}
}

// dispatchedCall is one call that is dispatched under a won claim.
type dispatchedCall struct {
	services *Services
	tree     *settings.Tree
	service  settings.Service
	call     Call
	claim    placements.Claim
	out      Outcome
	done     chan struct{} // closed when out is complete
}

// dispatch runs the call and waits for its outcome up to the service's time-out. The call continues
// when the caller disconnects or the time-out passes, so that a late answer is recorded and can be
// replayed to a repeat.
func (s *Services) dispatch(tree *settings.Tree, service settings.Service, call Call, claim placements.Claim) Outcome {
	d := &dispatchedCall{services: s, tree: tree, service: service, call: call, claim: claim, done: make(chan struct{})}
	late := verdict.Attempt{
		Phase: "call", Upstream: call.Service, Result: verdict.AttemptUnknown, Cause: "no answer within the service's time-out",
		StartMs: s.env.Clock.Now(),
	}
	s.dispatched.Add(1)
	go d.run()
	timer := time.NewTimer(service.TimeoutMs.Duration())
	defer timer.Stop()
	select {
	case <-d.done:
		return d.out
	case <-timer.C:
	case <-s.env.Shutdown.Ended().Done():
		late.Cause = process.ErrShutdown.Error()
	}
	select {
	case <-d.done: // both are ready if this process was paused
		return d.out
	default:
	}
	late.EndMs = s.env.Clock.Now()
	return Outcome{Problem: s.outcomeUnknown(call, nil), Attempts: []verdict.Attempt{late}}
}

// InFlight returns the number of calls under a claim that have not ended, also of those whose
// callers have left or were told that the outcome is unknown.
func (s *Services) InFlight() int { return int(s.dispatched.Load()) }

// run sends the call to one instance, and to another one only if it is certain that the first did
// not run it.
func (d *dispatchedCall) run() {
	s, excluded := d.services, map[string]bool{}
	defer s.dispatched.Add(-1)
	defer close(d.done)
	s.wantInstances(d.tree, d.call)
	closed := false // a call was not sent because of what its instance has announced
	for range d.tree.System.Policy.MaxAttempts {
		name, ok := s.choose(s.configuration.Tree(), d.call, excluded)
		if !ok {
			break
		}
		s.env.Invariants.Check(invariant.AtMostOnce, verdict.CombineRan(d.out.Attempts) == problem.RanNo, "requestId", d.call.RequestID)
		answer, a, err := s.callOnce(context.Background(), s.unpooledClient, name, d.tree, d.call, d.service.TimeoutMs+lateAnswerTimeout)
		d.out.Attempts = append(d.out.Attempts, a)
		if err == nil {
			s.ledger.Finish(d.claim, answer.LimitBody(d.service.MaxAnswerBytes))
			d.out.Answer = answer
			return
		}
		var failed *callError
		if !errors.As(err, &failed) || failed.result != verdict.AttemptNotRun {
			d.out.Problem = s.outcomeUnknown(d.call, failed)
			return
		}
		closed = closed || isClosed(err)
		excluded[name] = true // the instance never received the call
	}
	s.ledger.Release(d.claim)
	if closed {
		excluded = nil
	}
	if held := s.heldBack(d.tree, d.call, excluded); len(held) > 0 {
		d.out.Problem = s.closedProblem(d.call, held)
		return
	}
	d.out.Problem = problem.New(problem.NoUpstream, "no instance of service %q could be reached in %s", d.call.Service, s.env.Config.DataCentre).WithRetryAfter(clock.Second)
}

// outcomeUnknown returns the problem of a call that was dispatched and has no answer. A repeat does
// not run it again.
func (s *Services) outcomeUnknown(call Call, failed *callError) *problem.Problem {
	metrics.Add("outcomeUnknown", 1)
	p := problem.New(problem.OutcomeUnknown, "service %q was called but returned no complete answer; the call will not be run again under this key", call.Service)
	if failed != nil && failed.result == verdict.AttemptRan {
		return p.WithRan(problem.RanYes)
	}
	return p.WithRan(problem.RanUnknown)
}

// replay answers from the record of an earlier call with the same key. While that call runs, it
// polls the record up to the service's time-out.
func (s *Services) replay(ctx context.Context, service settings.Service, call Call, record placements.Record) Outcome {
	if record.Digest != call.Digest {
		return Outcome{Problem: problem.New(problem.IdempotencyKeyReused, "this idempotency key was used for a different request before; use a new key for a new request")}
	}
	deadline := s.env.Clock.Now() + service.TimeoutMs
	wait := minPollInterval
	for record.State == placements.Started && s.env.Clock.Now() < deadline {
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			p := problem.New(problem.CallerGone, "the caller disconnected before the answer was recorded").WithRan(problem.RanUnknown)
			return Outcome{Problem: process.CutOff(ctx, p)}
		case <-timer.C:
		}
		wait = min(2*wait, maxPollInterval)
		found, ok, err := s.ledger.Lookup(ctx, placements.Key(call.Team, call.Service, call.Key))
		if err == nil && ok {
			record = found
		}
	}
	return s.recordedOutcome(call, record)
}

// recordedOutcome returns the outcome that a record holds.
func (s *Services) recordedOutcome(call Call, record placements.Record) Outcome {
	switch {
	case record.State == placements.Released:
		return Outcome{Problem: problem.New(problem.UpstreamFailed, "the earlier call with this key was not run; send it again").WithRetryAfter(100 * clock.Millisecond)}
	case record.State == placements.Finished && record.Answer != nil && !record.Answer.BodyOmitted:
		metrics.Add("replayed", 1)
		return Outcome{Answer: record.Answer, Replayed: true}
	case record.State == placements.Finished:
		return Outcome{Problem: problem.New(problem.OutcomeUnknown, "the earlier call with this key ran, but its answer was too long to be recorded").WithRan(problem.RanYes)}
	}
	metrics.Add("outcomeUnknown", 1)
	return Outcome{Problem: problem.New(problem.OutcomeUnknown,
		"an earlier call with this key (request %s) was started, but its outcome is not known; it will not be run again", record.RequestID).WithRan(problem.RanUnknown)}
}
