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
	// lateAnswer is how long after a service's timeout its answer is still
	// waited for, to be recorded.
	lateAnswer = clock.Minute
)

// place runs a non-idempotent call at most once: whoever wins the record
// dispatches, once; everyone else gets the recorded answer.
func (s *Services) place(ctx context.Context, tree *settings.Tree, service settings.Service, call Call) Outcome {
	if !s.Available(tree, call) {
		return s.replayOrRefuse(ctx, service, call)
	}
	key := placements.Key(call.Team, call.Service, call.Key)
	claim, err := s.ledger.Claim(ctx, key, placements.Record{
		Digest: call.Digest, Daemon: s.common.RunID(), RequestID: call.RequestID, ClaimedMs: s.common.Clock.Now(),
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

// dispatch is one call under a claim that was won.
type dispatch struct {
	services *Services
	tree     *settings.Tree
	service  settings.Service
	call     Call
	claim    placements.Claim
	out      Outcome
	done     chan struct{} // closed when out is complete
}

// dispatch runs the call and waits for its outcome up to the service's timeout.
// The call goes on when the caller goes away or the timeout passes, so that a
// late answer is recorded and there for a repeat.
func (s *Services) dispatch(tree *settings.Tree, service settings.Service, call Call, claim placements.Claim) Outcome {
	d := &dispatch{services: s, tree: tree, service: service, call: call, claim: claim, done: make(chan struct{})}
	started := s.common.Clock.Now()
	go d.run()
	timer := time.NewTimer(service.TimeoutMs.Duration())
	defer timer.Stop()
	select {
	case <-d.done:
		return d.out
	case <-timer.C:
	}
	select {
	case <-d.done: // both came while this process was paused
		return d.out
	default:
	}
	late := verdict.Attempt{
		Phase: "call", Upstream: call.Service, Result: verdict.AttemptUnknown, Cause: "no answer in time",
		StartMs: started, EndMs: s.common.Clock.Now(),
	}
	return Outcome{Problem: s.undecided(call, nil), Attempts: []verdict.Attempt{late}}
}

// run sends the call to one instance, and to another only where it is known
// that the first never got it.
func (d *dispatch) run() {
	defer close(d.done)
	s, not := d.services, map[string]bool{}
	for range d.tree.System.Policy.MaxAttempts {
		name, ok := s.choose(s.configuration.Tree(), d.call, not)
		if !ok {
			break
		}
		s.common.Invariants.Check(invariant.AtMostOnce, verdict.RanOf(d.out.Attempts) == problem.RanNo, "requestId", d.call.RequestID)
		answer, err := s.callOnce(context.Background(), s.fresh, name, d.tree, d.call, d.service.TimeoutMs+lateAnswer, &d.out)
		if err == nil {
			s.ledger.Finish(d.claim, answer.LimitBody(d.service.MaxAnswerBytes))
			d.out.Answer = answer
			return
		}
		var failed *callError
		if !errors.As(err, &failed) || failed.result != verdict.AttemptNotRun {
			d.out.Problem = s.undecided(d.call, failed)
			return
		}
		not[name] = true // it never got the call: another instance may
	}
	s.ledger.Release(d.claim)
	d.out.Problem = problem.New(problem.NoUpstream, "no instance of service %q could be reached in %s", d.call.Service, s.common.Config.DataCentre).RetryIn(clock.Second)
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
	case record.State == placements.Finished && record.Answer != nil && !record.Answer.BodyOmitted:
		metrics.Add("replayed", 1)
		return Outcome{Answer: record.Answer, Replayed: true}
	case record.State == placements.Finished:
		return Outcome{Problem: problem.New(problem.OutcomeUnknown, "the earlier call with this key ran; its answer was too long to be kept").WithRan(problem.RanYes)}
	}
	metrics.Add("outcomeUnknown", 1)
	return Outcome{Problem: problem.New(problem.OutcomeUnknown,
		"an earlier call with this key (request %s) was started and its outcome is not known; it will not be run again", record.RequestID).WithRan(problem.RanUnknown)}
}
