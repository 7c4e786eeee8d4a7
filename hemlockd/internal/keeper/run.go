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

// reattachWindow is how long a call goes on after its reader is gone, so that
// the reader can come back on a new connection.
const reattachWindow = 1500 * clock.Millisecond

// abortTimeout bounds the abort of an attempt; what it misses the sweep finds.
const abortTimeout = clock.Second

// Run is one call under way. Its chunks are kept until it ends, so that a
// reader can come back.
type Run struct {
	keeper *Keeper
	call   Call
	tree   *settings.Tree
	group  *group
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	chunks   []streams.Chunk // passed on
	begun    bool            // the engine at work has made its first chunk
	result   *Result
	changed  chan struct{} // closed and replaced when there is news and a reader waits
	waiting  bool
	readers  int
	detached *time.Timer

	// Only the run's own goroutine uses what follows.
	attempts   []verdict.Attempt
	dispatched bool // any engine may have run any part of it
	grant      admission.Grant
	held       []streams.Chunk // of a whole answer, until its end
}

// Begin starts a call, or returns the run of that request that is under way.
func (k *Keeper) Begin(call Call) (*Run, *problem.Problem) {
	tree := k.configuration.Tree()
	if tree == nil {
		return nil, problem.New(problem.NotReady, "this daemon has no settings yet").RetryIn(clock.Second)
	}
	if _, ok := tree.System.Models[call.Model]; !ok {
		return nil, problem.New(problem.UnknownModel, "there is no model %q", call.Model)
	}
	call.AllowedEngines = allowed(tree.Teams[call.Team])
	name := GroupName(tree, k.common.Config.DataCentre, call.Model, call.PrefixHashes)
	g := k.group(name, call.Model, tree)
	k.mu.Lock()
	defer k.mu.Unlock()
	if run, ok := k.runs[call.RequestID]; ok {
		return run, nil
	}
	ctx, cancel := context.WithCancel(k.ctx)
	r := &Run{keeper: k, call: call, tree: tree, group: g, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	k.runs[call.RequestID] = r
	k.done.Add(1)
	go r.run()
	return r, nil
}

// allowed is the set of engines that a team is held to; nil means all.
func allowed(team settings.Team) map[string]bool {
	if len(team.Upstreams) == 0 {
		return nil
	}
	set := map[string]bool{}
	for _, name := range team.Upstreams {
		set[name] = true
	}
	return set
}

// Active returns the number of runs under way.
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

// CancelRunsOf ends the calls that a daemon which is dead took from its callers:
// a frozen daemon's connections stay open, so nothing else would tell.
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

// Find returns a run that is under way.
func (k *Keeper) Find(requestID string) (*Run, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.runs[requestID]
	return r, ok
}

// Cancel ends a call whose caller is gone.
func (r *Run) Cancel() { r.cancel() }

// Result returns the end of the call, or nil while it is under way.
func (r *Run) Result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.result
}

// Chunks yields the call's chunks in order from an offset on, as many at a time
// as there are. It ends when the call has ended or ctx does. While no reader is
// there the call goes on for reattachWindow only.
func (r *Run) Chunks(ctx context.Context, from int) iter.Seq[[]streams.Chunk] {
	return func(yield func([]streams.Chunk) bool) {
		r.attach()
		defer r.detach()
		for {
			r.mu.Lock()
			ready := r.chunks[min(from, len(r.chunks)):]
			ended, changed := r.result != nil, r.changed
			r.waiting = r.waiting || len(ready) == 0
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
	if r.detached != nil {
		r.detached.Stop()
		r.detached = nil
	}
}

func (r *Run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && r.result == nil {
		r.detached = time.AfterFunc(reattachWindow.Duration(), r.cancel)
	}
}

func (r *Run) publish(chunks []streams.Chunk, result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, chunks...)
	if result != nil {
		r.result = result
	}
	if r.waiting {
		r.waiting = false
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// run carries the call out.
func (r *Run) run() {
	k := r.keeper
	defer k.done.Done()
	defer r.cancel()
	p := r.serve()
	r.group.decide(func(a *admission.Group) []admission.Decision { return a.Done(r.call.RequestID, k.common.Clock.Now()) })
	result := &Result{Problem: p, Ran: r.ran(p), Attempts: r.attempts}
	if p != nil {
		p.Ran = result.Ran
		k.common.Invariants.Check(invariant.RefusedNotRun, p.Ran != problem.RanNo || !r.dispatched, "requestId", r.call.RequestID)
	}
	r.publish(nil, result)
	time.AfterFunc(reattachWindow.Duration(), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.runs, r.call.RequestID)
	})
}

// serve admits the call and runs it; nil means that the whole answer was made.
func (r *Run) serve() *problem.Problem {
	k := r.keeper
	if p := r.admit(); p != nil {
		return p
	}
	k.budget.RecordFirstAttempt()
	policy := r.tree.System.Policy
	for attempt := 0; ; attempt++ {
		kv, p := r.prefill()
		if p != nil {
			return p
		}
		again, p := r.decode(kv)
		if p == nil {
			k.suspects.RecordCompletion(r.call.Digest)
			return nil
		}
		if !again || attempt+1 >= policy.MaxAttempts || !k.budget.Take() {
			return p
		}
		metrics.Add("repeatedPrefills", 1)
		if p := r.backoff(attempt); p != nil {
			return p
		}
	}
}

// admit waits until the group starts or refuses the call.
func (r *Run) admit() *problem.Problem {
	k, now := r.keeper, r.keeper.common.Clock.Now()
	decided := make(chan admission.Decision, 1)
	work := admission.Work{
		ID: r.call.RequestID, Priority: r.call.Priority, PromptTokens: r.call.PromptTokens,
		OutputTokens: r.call.OutputTokens, Hashes: r.call.PrefixHashes, ArrivedMs: r.call.ArrivedMs,
		Suspect: k.suspects.Suspected(r.call.Digest, now), Allowed: r.call.AllowedEngines,
	}
	r.group.mu.Lock()
	r.group.waiting[r.call.RequestID] = decided
	r.group.mu.Unlock()
	r.group.decide(func(a *admission.Group) []admission.Decision { return a.Submit(work, now) })
	k.wakePump()
	select {
	case d := <-decided:
		return r.decision(d)
	case <-r.ctx.Done():
		r.group.mu.Lock()
		delete(r.group.waiting, r.call.RequestID)
		r.group.mu.Unlock()
		return r.gone()
	}
}

func (r *Run) decision(d admission.Decision) *problem.Problem {
	if d.Grant != nil {
		r.grant = *d.Grant
		return nil
	}
	metrics.Add("refused:"+string(d.Cause), 1)
	switch d.Cause {
	case admission.CauseTooLarge:
		return problem.New(problem.BadRequest, "prompt and max_tokens together need more memory than one engine has; shorten the prompt or lower max_tokens")
	case admission.CauseNoEngine:
		return problem.New(problem.NoUpstream, "no engine for model %q is up in %s", r.call.Model, r.keeper.common.Config.DataCentre).RetryIn(d.RetryAfterMs)
	}
	return problem.New(problem.Overloaded, "the first token would come later than %d ms", r.tree.System.Policy.FirstTokenMs).RetryIn(d.RetryAfterMs)
}

func (r *Run) gone() *problem.Problem {
	return problem.New(problem.CallerGone, "the caller went away before the answer was whole")
}
