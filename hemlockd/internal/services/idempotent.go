package services

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/retries"
)

// idempotentRun runs an idempotent call, and repeats it on another instance after a failure while
// MaxAttempts and the retry budget allow it. An instance that is silent for its share of the time-out
// keeps its call while another one is asked as well; the first answer counts. All attempts together take
// at most the service's time-out.
type idempotentRun struct {
	services *Services
	ctx      context.Context
	tree     *settings.Tree
	service  settings.Service
	call     Call
	// excluded holds the instances that the call has been sent to.
	excluded map[string]bool
	deadline clock.Millis
	out      Outcome
	// started is the number of attempts so far, and running holds those without a result, by instance.
	started int
	running map[string]*attempt
	results chan attemptResult
	// hedgeRefused is set once the call could not be sent to another instance beside a silent one.
	hedgeRefused bool
	last         error
}

// attempt is one call at one instance.
type attempt struct {
	startMs clock.Millis
	cancel  context.CancelFunc
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	name    string
	answer  *placements.Answer
	attempt verdict.Attempt
	err     error
}

func (r *idempotentRun) serve() Outcome {
	s := r.services
	s.wantInstances(r.tree, r.call)
	s.budget.SetRatio(r.tree.System.Policy.RetryRatio)
	s.budget.RecordFirstAttempt()
	r.deadline = s.env.Clock.Now() + r.service.TimeoutMs
	for len(r.running) > 0 || r.startNext() {
		result, ok := r.await()
		if !ok {
			r.hedgeRefused = !s.budget.Take() || !r.start()
			continue
		}
		r.running[result.name].cancel()
		delete(r.running, result.name)
		r.out.Attempts = append(r.out.Attempts, result.attempt)
		if result.err == nil {
			r.out.Answer = result.answer
			r.abandon()
			return r.out
		}
		r.last = result.err
	}
	r.out.Problem = r.problem()
	return r.out
}

// startNext starts the first attempt, or the one after a failure.
func (r *idempotentRun) startNext() bool {
	if r.started == 0 {
		return r.start()
	}
	s := r.services
	if !r.mayStart() || !s.budget.Take() {
		return false
	}
	wait := retries.Backoff(r.started-1, rand.New(rand.NewPCG(rand.Uint64(), 0)))
	return clock.Sleep(r.ctx, wait) && r.start()
}

// mayStart reports whether one more attempt may be made.
func (r *idempotentRun) mayStart() bool {
	return r.ctx.Err() == nil && r.started < r.tree.System.Policy.MaxAttempts && r.services.env.Clock.Now() < r.deadline
}

// start makes an attempt at another instance in the background. It returns false if there is none.
func (r *idempotentRun) start() bool {
	s := r.services
	name, ok := s.choose(r.tree, r.call, r.excluded)
	if !ok || !r.mayStart() {
		return false
	}
	client := s.pooledClient
	if r.started > 0 {
		client = s.unpooledClient // the pooled connection may be dead
	}
	r.excluded[name] = true
	r.started++
	ctx, cancel := context.WithCancel(r.ctx)
	r.running[name] = &attempt{startMs: s.env.Clock.Now(), cancel: cancel}
	left := r.deadline - s.env.Clock.Now()
	go r.run(ctx, client, name, left)
	return true
}

// run makes an attempt within the time that is left.
func (r *idempotentRun) run(ctx context.Context, client *http.Client, name string, left clock.Millis) {
	answer, a, err := r.services.callOnce(ctx, client, name, r.tree, r.call, left)
	r.results <- attemptResult{name: name, answer: answer, attempt: a, err: err}
}

// await waits for the next result. It returns false if another instance is to be asked meanwhile, since the
// only one that has been is silent.
func (r *idempotentRun) await() (attemptResult, bool) {
	if len(r.running) > 1 || r.hedgeRefused || !r.mayStart() {
		return <-r.results, true
	}
	sinceMs := r.deadline
	for _, a := range r.running {
		sinceMs = a.startMs
	}
	share := r.service.TimeoutMs / clock.Millis(r.tree.System.Policy.MaxAttempts)
	timer := time.NewTimer(max(0, sinceMs+share-r.services.env.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case result := <-r.results:
		return result, true
	case <-timer.C:
	}
	if _, other := r.services.choose(r.tree, r.call, r.excluded); other && r.mayStart() {
		return attemptResult{}, false
	}
	return <-r.results, true
}

// abandon ends the attempts that are still running.
func (r *idempotentRun) abandon() {
	for name, a := range r.running {
		a.cancel()
		r.out.Attempts = append(r.out.Attempts, verdict.Attempt{
			Upstream: name, Phase: "call", Result: verdict.AttemptUnknown, Cause: "another instance has answered", StartMs: a.startMs, EndMs: r.services.env.Clock.Now(),
		})
	}
}

// problem returns the problem of a call that no instance has answered.
func (r *idempotentRun) problem() *problem.Problem {
	s := r.services
	ran := verdict.CombineRan(r.out.Attempts)
	if r.ctx.Err() != nil {
		return process.CutOff(r.ctx, problem.New(problem.CallerGone, "the caller disconnected before the service answered").WithRan(ran))
	}
	excluded := r.excluded
	if isClosed(r.last) {
		excluded = nil
	}
	if ran == problem.RanNo && (r.last == nil || isClosed(r.last)) {
		if held := s.heldBack(r.tree, r.call, excluded); len(held) > 0 {
			return s.closedProblem(r.call, held)
		}
	}
	if r.last == nil {
		return problem.New(problem.NoUpstream, "no instance of service %q is available in %s", r.call.Service, s.env.Config.DataCentre).WithRetryAfter(clock.Second)
	}
	return problem.New(problem.UpstreamFailed, "service %q did not answer: %v", r.call.Service, r.last).WithRan(ran).WithRetryAfter(clock.Second)
}
