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
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// errStalled reports that no chunk of a stream arrived within the stall time-out.
var errStalled = errors.New("stream stalled: no chunk within the stall time-out")

// stallError reports a stream on which no chunk arrived within the stall time-out. It wraps
// errStalled.
type stallError struct {
	// accepted is true if the engine had accepted the call on this connection.
	accepted bool
}

// Error implements error.
func (*stallError) Error() string { return errStalled.Error() }

// Unwrap returns errStalled.
func (*stallError) Unwrap() error { return errStalled }

// decode streams the answer from the reserved decode engine, or from another one if that engine
// is leaving, refuses the call or is unreachable. retryPrefill reports whether the call may be started again
// with a new prefill: no chunk has been published yet.
func (r *Run) decode(kv completions.KVTransferParams) (retryPrefill bool, p *problem.Problem) {
	excluded := map[string]bool{}
	name := r.grant.Decode
	if name != "" && r.leaving(name) { // since the admission: the prefill may have taken long
		excluded[name] = true
		name = ""
	}
	if name == "" {
		name = r.nextDecode(excluded)
	}
	var last error
	for name != "" {
		if p := r.crashingPartRefusal(); p != nil {
			return false, p
		}
		err := r.decodeOn(name, kv)
		if err == nil {
			return false, nil
		}
		last = err
		if r.ctx.Err() != nil {
			return false, r.callerGone()
		}
		if p := r.crashSuspectRefusal(); p != nil {
			return false, p
		}
		var call *engines.CallError
		if !errors.As(err, &call) || !call.Refused && !call.Unreachable {
			break
		}
		excluded[name] = true
		name = r.nextDecode(excluded)
	}
	r.grant.Decode = ""
	var call *engines.CallError
	if errors.As(last, &call) && call.Expired {
		r.reportResultLate()
	}
	r.mu.Lock()
	delivered := len(r.chunks)
	r.mu.Unlock()
	return delivered == 0, r.phaseProblem("decode", last)
}

// leaving reports whether an engine is known to be leaving.
func (r *Run) leaving(name string) (leaving bool) {
	r.group.withLock(func(a *admission.Group) { leaving = a.Leaving(name) })
	return leaving
}

// nextDecode returns the engine to try next, without those in excluded, or "" if there is none.
func (r *Run) nextDecode(excluded map[string]bool) (name string) {
	r.group.withLock(func(a *admission.Group) {
		name = a.DecodeFailed(r.call.RequestID, excluded, r.keeper.env.Clock.Now())
	})
	return name
}

// decodeOn streams the answer from one engine to its end. If the stream stalls, breaks or has a
// gap, it is resumed on a new connection, at most MaxAttempts times in a row without a new chunk, or
// longer if mustAwait.
func (r *Run) decodeOn(name string, kv completions.KVTransferParams) error {
	k := r.keeper
	call, err := r.newEngineCall(map[string]any{"stream": true, "kv_transfer_params": kv})
	if err != nil {
		return err
	}
	r.resetOutput()
	k.claims.add(call.AttemptID)
	defer k.claims.remove(call.AttemptID)
	started := k.env.Clock.Now()
	k.checkNotLeaving(name)
	assembler := streams.NewAssembler(0)
	e := r.engine(name) // one address for all resumptions
	err = r.streamOnce(e, call, engines.Fresh, assembler)
	for resumes := 0; resumable(err) && r.ctx.Err() == nil; resumes++ {
		if resumes >= r.tree.System.Policy.MaxAttempts && !r.mustAwait(err) {
			break
		}
		metrics.Add("resumes", 1)
		before := assembler.Next()
		assembler = streams.NewAssembler(before)
		broken := k.env.Clock.Now()
		resumed := r.streamOnce(e, call, before, assembler)
		if notRun(resumed) {
			if isBroken(err) && isUnreachable(resumed) {
				r.recordCrash(name, started, broken)
			}
			break // it is unreachable or does not know the stream: keep the earlier error
		}
		err = resumed
		if assembler.Next() > before {
			resumes = 0
		}
	}
	r.recordAttempt(name, settings.KindDecode, started, err)
	if err != nil {
		r.abortFailed(e, call.AttemptID, err)
	} else {
		r.recordPace(assembler.Next() - 1) // the last chunk holds no token
		k.parts.RecordCompletion(r.call.Model, r.call.SharedParts, k.env.Clock.Now())
	}
	return err
}

// mustAwait reports whether a stalled stream is to be resumed again: the engine still accepts that,
// so that it is slow rather than lost, and the answer can't be generated again elsewhere. A MaxAttempts of
// 1 forbids that.
func (r *Run) mustAwait(err error) bool {
	var stalled *stallError
	if !errors.As(err, &stalled) || !stalled.accepted || r.tree.System.Policy.MaxAttempts == 1 {
		return false
	}
	r.mu.Lock()
	published := len(r.chunks) > 0
	r.mu.Unlock()
	if !published && r.takeRetry() {
		return false
	}
	metrics.Add("slowAwaited", 1)
	return true
}

// resetOutput drops the chunks of a buffered answer that an earlier attempt left.
func (r *Run) resetOutput() {
	r.buffered = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstChunkSeen = len(r.chunks) > 0
}

// resumable reports whether the engine may still be generating the stream.
func resumable(err error) bool {
	if errors.Is(err, errStalled) {
		return true
	}
	var gap *streams.GapError
	if errors.As(err, &gap) {
		return true
	}
	return isBroken(err)
}

// isBroken reports whether the connection to the engine ended during the call.
func isBroken(err error) bool {
	var call *engines.CallError
	return errors.As(err, &call) && call.Broken
}

// isClosed reports whether the call was not sent because of what the engine has announced.
func isClosed(err error) bool {
	var call *engines.CallError
	return errors.As(err, &call) && call.Closed != upstreamgate.Open
}

// isUnreachable reports whether no connection to the engine could be opened.
func isUnreachable(err error) bool {
	var call *engines.CallError
	return errors.As(err, &call) && call.Unreachable
}

// notRun reports whether the call did not reach the engine or the engine refused it, as it does on
// a resumption if it does not know the stream.
func notRun(err error) bool {
	var call *engines.CallError
	return errors.As(err, &call) && call.Result == verdict.AttemptNotRun
}

// streamOnce reads the stream on one connection, from an offset on.
func (r *Run) streamOnce(e engines.Engine, call engines.Call, from int, assembler *streams.Assembler) error {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	stall := r.tree.System.Policy.StallMs.Duration()
	if from == engines.Fresh {
		late := time.AfterFunc(r.firstTokenTimeout().Duration(), r.reportResultLate)
		defer late.Stop()
		// The first chunk also waits for the transfer of the KV cache.
		stall += time.Duration(r.transferMs()) * time.Millisecond
	}
	watchdog := newWatchdog(stall, func() { cancel(errStalled) })
	defer watchdog.stop()
	for chunk, err := range r.keeper.client.Stream(ctx, e, call, from) {
		if err != nil {
			if errors.Is(context.Cause(ctx), errStalled) {
				var call *engines.CallError
				return &stallError{accepted: errors.As(err, &call) && call.Accepted}
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

// recordPace records how fast the engine has decoded so many tokens.
func (r *Run) recordPace(tokens int) {
	took := r.keeper.env.Clock.Now() - r.firstTokenMs
	r.group.withLock(func(a *admission.Group) { a.Decoded(r.call.RequestID, tokens-1, took) })
}

// reportResultLate reports to admission that the prefill's result is late or lost, unless decoding
// has started.
func (r *Run) reportResultLate() {
	r.mu.Lock()
	started := r.firstChunkSeen
	r.mu.Unlock()
	if !started {
		metrics.Add("resultsLate", 1)
		r.group.withLock(func(a *admission.Group) { a.MarkResultLate(r.call.RequestID, r.keeper.env.Clock.Now()) })
	}
}

// firstTokenTimeout returns the time after which the prefill's result counts as late if decoding has
// not started.
func (r *Run) firstTokenTimeout() (timeout clock.Millis) {
	r.group.withLock(func(a *admission.Group) { timeout = a.FirstTokenTimeout(r.call.RequestID, r.keeper.env.Clock.Now()) })
	return timeout
}

// transferMs estimates the transfer time of the prompt's KV cache, in ms.
func (r *Run) transferMs() float64 {
	m := r.tree.System.Models[r.call.Model]
	return float64(r.call.PromptTokens) * m.KVTokenKB / m.TransferMBps
}

// deliver publishes chunks; those of a buffered answer are held back until its last chunk.
func (r *Run) deliver(ready []streams.Chunk) {
	r.mu.Lock()
	first := !r.firstChunkSeen
	r.firstChunkSeen = true
	r.mu.Unlock()
	if first {
		r.firstTokenMs = r.keeper.env.Clock.Now()
		r.group.withLock(func(a *admission.Group) { a.FirstToken(r.call.RequestID, r.keeper.env.Clock.Now()) })
	}
	if !r.call.Buffered {
		r.publish(ready, nil)
		return
	}
	r.buffered = append(r.buffered, ready...)
	if ready[len(ready)-1].Last {
		r.publish(r.buffered, nil)
		r.buffered = nil
	}
}
