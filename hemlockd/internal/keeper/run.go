package keeper

import (
	"context"
	"iter"
	"sync"
	"time"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/streams"
)

// reattachWindow is how long a call continues without a reader, so that its reader can reattach on
// a new connection.
const reattachWindow = 1500 * clock.Millisecond

// abortTimeout bounds the abort of an attempt. The watcher's sweep finds attempts that were not
// aborted within it.
const abortTimeout = clock.Second

// Run is one call in progress. Its chunks are kept until reattachWindow after its end, so that a
// reader can reattach.
type Run struct {
	keeper *Keeper
	call   Call
	tree   *settings.Tree
	group  *group
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields up to detachTimer.
	mu             sync.Mutex
	neededByMs     clock.Millis    // when the front daemon ends its requests; 0: not known
	chunks         []streams.Chunk // published to readers
	firstChunkSeen bool            // from the current decode attempt, or chunks is not empty
	result         *Result
	changed        chan struct{} // closed and replaced by publish if readerWaiting
	readerWaiting  bool
	readers        int
	detachTimer    *time.Timer // runs while no reader is attached

	// The following fields are used by the run's own goroutine only.
	attempts     []verdict.Attempt
	firstTokenMs clock.Millis // of the current decode attempt
	dispatched   bool         // an engine ran or may have run a part of the call
	grant        admission.Grant
	buffered     []streams.Chunk // chunks of a buffered answer, not yet published
	// lastAttempt is true if the attempt that runs can't be followed by another prefill.
	lastAttempt bool
	retryTaken  bool // the budget has granted a retry after the attempt that runs
}

// Begin starts a call, or returns the run of the same request if there is one already.
func (k *Keeper) Begin(call Call) (*Run, *problem.Problem) {
	tree := k.configuration.Tree()
	if tree == nil {
		return nil, problem.New(problem.NotReady, "this daemon has no settings yet").WithRetryAfter(clock.Second)
	}
	if _, ok := tree.System.Models[call.Model]; !ok {
		return nil, problem.New(problem.UnknownModel, "there is no model %q", call.Model)
	}
	call.AllowedEngines = allowedEngines(tree.Teams[call.Team])
	name := GroupName(tree, k.env.Config.DataCentre, call.Model, call.PrefixHashes)
	g := k.group(name, call.Model, tree)
	r := &Run{keeper: k, call: call, tree: tree, group: g, changed: make(chan struct{})}
	r.Bound(call.LeftMs)
	refusal := r.shutdownRefusal()
	k.mu.Lock()
	defer k.mu.Unlock()
	if run, ok := k.runs[call.RequestID]; ok {
		return run, nil
	}
	if refusal != nil {
		return nil, refusal
	}
	r.ctx, r.cancel = context.WithCancel(k.ctx)
	k.runs[call.RequestID] = r
	k.done.Add(1)
	go r.run()
	return r, nil
}

// allowedEngines returns the set of engines that a team is restricted to; nil means all.
func allowedEngines(team settings.Team) map[string]bool {
	if len(team.Upstreams) == 0 {
		return nil
	}
	set := map[string]bool{}
	for _, name := range team.Upstreams {
		set[name] = true
	}
	return set
}

// Active returns the number of runs that have not ended.
func (k *Keeper) Active() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	active := 0
	for _, r := range k.runs {
		if r.Result() == nil {
			active++
		}
	}
	return active
}

// CancelRunsOf cancels the runs of the calls that a dead daemon received from its callers. A frozen
// daemon's connections stay open, so they don't reveal its death.
func (k *Keeper) CancelRunsOf(front string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.runs {
		if r.call.Front == front && r.Result() == nil {
			metrics.Add("frontsDied", 1)
			r.cancel()
		}
	}
}

// Find returns the run of a request that is in progress or ended less than reattachWindow ago.
func (k *Keeper) Find(requestID string) (*Run, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.runs[requestID]
	return r, ok
}

// Cancel cancels the run, because its caller has disconnected.
func (r *Run) Cancel() { r.cancel() }

// Result returns the result of the call, or nil while it is in progress.
func (r *Run) Result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// Chunks yields the call's chunks in order from an offset on, as many at a time as are available.
// It returns after the last chunk of an ended call, or when ctx is done. Once its last reader has
// returned, a call is cancelled unless another reader attaches within reattachWindow.
func (r *Run) Chunks(ctx context.Context, from int) iter.Seq[[]streams.Chunk] {
	return func(yield func([]streams.Chunk) bool) {
		r.attach()
		defer r.detach()
		for {
			r.mu.Lock()
			ready := r.chunks[min(from, len(r.chunks)):]
			ended, changed := r.result != nil, r.changed
			r.readerWaiting = r.readerWaiting || len(ready) == 0
			r.mu.Unlock()
			if len(ready) > 0 {
				if !yield(ready) {
					return
				}
				from += len(ready)
				continue
			}
			if ended {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (r *Run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.detachTimer != nil {
		r.detachTimer.Stop()
		r.detachTimer = nil
	}
}

func (r *Run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && r.result == nil {
		r.detachTimer = time.AfterFunc(reattachWindow.Duration(), r.cancel)
	}
}

// publish appends chunks, sets the result if there is one, and wakes the waiting readers.
func (r *Run) publish(chunks []streams.Chunk, result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, chunks...)
	if result != nil {
		r.result = result
	}
	if r.readerWaiting {
		r.readerWaiting = false
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// run serves the call, publishes its result and removes it after reattachWindow.
func (r *Run) run() {
	k := r.keeper
	defer k.done.Done()
	defer r.cancel()
	p := r.serve()
	r.group.decide(func(a *admission.Group) []admission.Decision { return a.Done(r.call.RequestID, k.env.Clock.Now()) })
	result := &Result{Problem: p, Ran: r.ran(p), Attempts: r.attempts}
	if p != nil {
		p.Ran = result.Ran
		k.env.Invariants.Check(invariant.RefusedNotRun, p.Ran != problem.RanNo || !r.dispatched, "requestId", r.call.RequestID)
	}
	r.publish(nil, result)
	time.AfterFunc(reattachWindow.Duration(), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.runs, r.call.RequestID)
	})
}

// serve admits the call, then prefills and decodes it, with retries. It returns nil if the answer
// is complete.
func (r *Run) serve() *problem.Problem {
	k := r.keeper
	if p := r.closedRefusal(); p != nil {
		return p
	}
	if p := r.admit(r.call.ArrivedMs); p != nil {
		return p
	}
	if p := r.shutdownRefusal(); p != nil {
		return p
	}
	k.budget.RecordFirstAttempt()
	for attempt := 0; ; attempt++ {
		r.lastAttempt, r.retryTaken = attempt+1 >= r.tree.System.Policy.MaxAttempts, false
		kv, p := r.prefill()
		if p != nil {
			return p
		}
		retryPrefill, p := r.decode(kv)
		if p == nil {
			k.suspects.RecordCompletion(r.call.Digest)
			return nil
		}
		if !retryPrefill || !r.takeRetry() {
			return p
		}
		metrics.Add("repeatedPrefills", 1)
		if gone := r.backoff(attempt); gone != nil {
			return gone
		}
		if !r.readmitSuspect() {
			return p
		}
	}
}

// takeRetry reports whether the call may be started again with a new prefill, and takes that from the
// retry budget, once for each attempt. A call that tries a part again is not repeated.
func (r *Run) takeRetry() bool {
	r.retryTaken = r.retryTaken || !r.lastAttempt && !r.call.TryingPart && r.keeper.budget.Take()
	return r.retryTaken
}

// readmitSuspect queues a request anew if an engine crashed during it, so that the next attempt
// shares its engines with no other suspect. It returns false if the request is not admitted.
func (r *Run) readmitSuspect() bool {
	k := r.keeper
	now := k.env.Clock.Now()
	if !k.suspects.Suspected(r.call.Digest, now) {
		return true
	}
	r.group.decide(func(a *admission.Group) []admission.Decision { return a.Done(r.call.RequestID, now) })
	return r.admit(now) == nil
}

// admit queues the call, which arrived at the given time, in its group and waits until the group
// admits or refuses it.
func (r *Run) admit(arrivedMs clock.Millis) *problem.Problem {
	k, now := r.keeper, r.keeper.env.Clock.Now()
	decided := make(chan admission.Decision, 1)
	work := admission.Work{
		ID: r.call.RequestID, Priority: r.call.Priority, PromptTokens: r.call.PromptTokens,
		OutputTokens: r.call.OutputTokens, Hashes: r.call.PrefixHashes, ArrivedMs: arrivedMs,
		Suspect: k.suspects.Suspected(r.call.Digest, now), Allowed: r.call.AllowedEngines,
	}
	r.group.mu.Lock()
	r.group.waiting[r.call.RequestID] = decided
	r.group.mu.Unlock()
	r.group.decide(func(a *admission.Group) []admission.Decision { return a.Submit(work, now) })
	k.wakeQueues()
	select {
	case d := <-decided:
		return r.applyDecision(d)
	case <-r.ctx.Done():
		r.group.mu.Lock()
		delete(r.group.waiting, r.call.RequestID)
		r.group.mu.Unlock()
		return r.callerGone()
	}
}

// applyDecision stores the grant of an admitted call, or returns the problem of a refused one.
func (r *Run) applyDecision(d admission.Decision) *problem.Problem {
	if d.Grant != nil {
		r.grant = *d.Grant
		return nil
	}
	metrics.Add("refused:"+string(d.Cause), 1)
	switch d.Cause {
	case admission.CauseTooLarge:
		return problem.New(problem.BadRequest, "the prompt and max_tokens together need more KV cache than one engine has; shorten the prompt or lower max_tokens")
	case admission.CauseNoEngine:
		return problem.New(problem.NoUpstream, "no engine for model %q is up in %s", r.call.Model, r.keeper.env.Config.DataCentre).WithRetryAfter(d.RetryAfterMs)
	}
	return problem.New(problem.Overloaded, "the estimated time to the first token exceeds the target of %d ms", r.tree.System.Policy.FirstTokenMs).WithRetryAfter(d.RetryAfterMs)
}

// callerGone returns the problem of a run that was cancelled: by its caller, unless this daemon stops.
func (r *Run) callerGone() *problem.Problem {
	if r.keeper.ctx.Err() != nil || r.keeper.env.Shutdown.Ended().Err() != nil {
		return problem.New(problem.DaemonLost, "the daemon that ran the request has stopped").WithRetryAfter(clock.Second)
	}
	return problem.New(problem.CallerGone, "the caller disconnected before the answer was complete")
}
