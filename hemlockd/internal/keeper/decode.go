package keeper

import (
	"context"
	"errors"
	"time"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/engines"
	"hemlockmux.example/hemlockd/internal/streams"
)

// errStalled reports that a stream made no progress in time.
var errStalled = errors.New("no progress in time")

// decode runs the answer on the reserved decode engine, on another where it
// refuses or can't be reached. again says that a new prefill can help: nothing of the answer has
// been passed on yet.
func (r *Run) decode(kv completions.KVTransferParams) (again bool, p *problem.Problem) {
	not := map[string]bool{}
	name := r.grant.Decode
	if name == "" {
		name = r.nextDecode(not)
	}
	var last error
	for name != "" {
		err := r.decodeOn(name, kv)
		if err == nil {
			return false, nil
		}
		last = err
		if r.ctx.Err() != nil {
			return false, r.gone()
		}
		if p := r.suspectRefused(); p != nil {
			return false, p
		}
		var call *engines.CallError
		if !errors.As(err, &call) || !call.Refused && !call.Unreachable {
			break
		}
		not[name] = true
		name = r.nextDecode(not)
	}
	r.grant.Decode = ""
	var call *engines.CallError
	if errors.As(last, &call) && call.Expired {
		r.resultLate()
	}
	r.mu.Lock()
	delivered := len(r.chunks)
	r.mu.Unlock()
	return delivered == 0, r.failed("decode", last)
}

func (r *Run) nextDecode(not map[string]bool) (name string) {
	r.group.with(func(a *admission.Group) {
		name = a.DecodeFailed(r.call.RequestID, not, r.keeper.common.Clock.Now())
	})
	return name
}

// decodeOn streams the answer from one engine to its end, and comes back for
// it on a new connection where the stream stalls, breaks or leaves chunks out.
func (r *Run) decodeOn(name string, kv completions.KVTransferParams) error {
	k := r.keeper
	call, err := r.enginesCall(map[string]any{"stream": true, "kv_transfer_params": kv})
	if err != nil {
		return err
	}
	r.begin()
	k.claims.add(call.AttemptID)
	defer k.claims.remove(call.AttemptID)
	started := k.common.Clock.Now()
	k.checkNotLeaving(name)
	assembler := streams.NewAssembler(0)
	err = r.streamOnce(name, call, engines.Fresh, assembler)
	for resumes := 0; resumable(err) && resumes < r.tree.System.Policy.MaxAttempts && r.ctx.Err() == nil; resumes++ {
		metrics.Add("resumes", 1)
		before := assembler.Next()
		assembler = streams.NewAssembler(before)
		resumed := r.streamOnce(name, call, before, assembler)
		if lost(resumed) {
			break // the engine knows nothing of it: the first error counts
		}
		err = resumed
		if assembler.Next() > before {
			resumes = 0
		}
	}
	r.attempt(name, settings.KindDecode, started, err)
	if err != nil {
		r.abort(name, call.AttemptID, err)
	}
	return err
}

// begin forgets what an engine before has made of a whole answer.
func (r *Run) begin() {
	r.held = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = len(r.chunks) > 0
}

// resumable tells whether the engine may still be at work on the stream.
func resumable(err error) bool {
	if errors.Is(err, errStalled) {
		return true
	}
	var gap *streams.GapError
	if errors.As(err, &gap) {
		return true
	}
	var call *engines.CallError
	return errors.As(err, &call) && call.Broken
}

// lost tells whether the engine can't be reached or does not know the stream.
func lost(err error) bool {
	var call *engines.CallError
	return errors.As(err, &call) && call.Result == verdict.AttemptNotRun
}

// streamOnce reads one connection's worth of the stream.
func (r *Run) streamOnce(name string, call engines.Call, from int, assembler *streams.Assembler) error {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	stall := r.tree.System.Policy.StallMs.Duration()
	if from == engines.Fresh {
		late := time.AfterFunc(r.lateAfter().Duration(), r.resultLate)
		defer late.Stop()
		// The first chunk waits for the transfer as well.
		stall += time.Duration(r.transferMs()) * time.Millisecond
	}
	watchdog := newWatchdog(stall, func() { cancel(errStalled) })
	defer watchdog.stop()
	for chunk, err := range r.keeper.client.Stream(ctx, r.engine(name), call, from) {
		if err != nil {
			if errors.Is(context.Cause(ctx), errStalled) {
				return errStalled
			}
			return err
		}
		ready, err := assembler.Add(chunk)
		if err != nil {
			return err
		}
		if len(ready) == 0 {
			continue
		}
		watchdog.progress(r.tree.System.Policy.StallMs.Duration())
		r.deliver(ready)
	}
	if !assembler.Done() {
		return &streams.GapError{Next: assembler.Next()}
	}
	return nil
}

// resultLate tells admission that the prefill's result is late or lost.
func (r *Run) resultLate() {
	r.mu.Lock()
	begun := r.begun
	r.mu.Unlock()
	if !begun {
		metrics.Add("resultsLate", 1)
		r.group.with(func(a *admission.Group) { a.MarkResultLate(r.call.RequestID, r.keeper.common.Clock.Now()) })
	}
}

func (r *Run) lateAfter() (after clock.Millis) {
	r.group.with(func(a *admission.Group) { after = a.FirstTokenTimeout(r.call.RequestID, r.keeper.common.Clock.Now()) })
	return after
}

func (r *Run) transferMs() float64 {
	m := r.tree.System.Models[r.call.Model]
	return float64(r.call.PromptTokens) * m.KVTokenKB / m.TransferMBps
}

// deliver passes chunks on in order, those of a whole answer at its end.
func (r *Run) deliver(ready []streams.Chunk) {
	r.mu.Lock()
	first := !r.begun
	r.begun = true
	r.mu.Unlock()
	if first {
		r.group.with(func(a *admission.Group) { a.FirstToken(r.call.RequestID, r.keeper.common.Clock.Now()) })
	}
	if !r.call.Buffered {
		r.publish(ready, nil)
		return
	}
	r.held = append(r.held, ready...)
	if ready[len(ready)-1].Last {
		r.publish(r.held, nil)
		r.held = nil
	}
}
