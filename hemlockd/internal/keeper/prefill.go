package keeper

import (
	"context"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/engines"
)

// engine returns the name and address of an engine under the settings in force, or under the run's
// if it has been removed since. The run may be granted an engine that was added after its begin.
func (r *Run) engine(name string) engines.Engine {
	u, ok := r.keeper.configuration.Tree().System.Upstreams[name]
	if !ok {
		u = r.tree.System.Upstreams[name]
	}
	return engines.Engine{Name: name, Address: u.Address}
}

// newEngineCall returns an engine call with a new attempt id. Its body is the caller's, with the
// fields of replace and the priority set.
func (r *Run) newEngineCall(replace map[string]any) (engines.Call, error) {
	replace["priority"] = r.call.Priority
	body, err := completions.ReplaceMembers(r.call.Body, replace)
	return engines.Call{
		Path: r.call.Path, AttemptID: r.keeper.newAttemptID(), RequestID: r.call.RequestID, Body: body,
	}, err
}

// prefill runs the prefill, and repeats it on another engine after a failure while MaxAttempts and
// the retry budget allow it.
func (r *Run) prefill() (completions.KVTransferParams, *problem.Problem) {
	k, policy := r.keeper, r.tree.System.Policy
	excluded := map[string]bool{}
	name := r.grant.Prefill
	if name == "" {
		name = r.nextPrefill(excluded)
	}
	r.grant.Prefill = ""
	var last error
	for attempt := 0; name != ""; attempt++ {
		if p := r.crashingPartRefusal(); p != nil {
			return completions.KVTransferParams{}, p
		}
		result, err := r.prefillOn(name)
		if err == nil {
			r.group.decide(func(a *admission.Group) []admission.Decision {
				return a.PrefillDone(r.call.RequestID, result.CachedTokens, k.env.Clock.Now())
			})
			return result.KV, nil
		}
		last = err
		if r.ctx.Err() != nil {
			return completions.KVTransferParams{}, r.callerGone()
		}
		if p := r.crashSuspectRefusal(); p != nil {
			return completions.KVTransferParams{}, p
		}
		if isClosed(err) {
			attempt-- // nothing was sent
		} else if attempt+1 >= policy.MaxAttempts || r.call.TryingPart && r.dispatched || !k.budget.Take() {
			break
		}
		excluded[name] = true
		name = r.nextPrefill(excluded)
	}
	return completions.KVTransferParams{}, r.phaseProblem("prefill", last)
}

// nextPrefill returns the engine to try next, without those in excluded, or "" if there is none.
func (r *Run) nextPrefill(excluded map[string]bool) (name string) {
	r.group.withLock(func(a *admission.Group) {
		name = a.PrefillFailed(r.call.RequestID, excluded, r.keeper.env.Clock.Now())
	})
	return name
}

// prefillOn runs one prefill at an engine. Its time-out is the sum of the time to the end of the
// prefill that was predicted at admission, the model's time for a prefill of this length, and the
// policy's PrefillTimeoutMs as a reserve.
func (r *Run) prefillOn(name string) (engines.PrefillResult, error) {
	k := r.keeper
	call, err := r.newEngineCall(map[string]any{
		"max_tokens": 1, "stream": false, "kv_transfer_params": completions.KVTransferParams{DoRemoteDecode: true},
	})
	if err != nil {
		return engines.PrefillResult{}, err
	}
	model := r.tree.System.Models[r.call.Model]
	prefillMs := model.PrefillBaseMs + clock.Millis(int64(r.call.PromptTokens)*model.PrefillTokenUs/1000)
	ctx, cancel := context.WithTimeout(r.ctx, (r.grant.PrefillMs + prefillMs + r.tree.System.Policy.PrefillTimeoutMs).Duration())
	defer cancel()
	k.claims.add(call.AttemptID)
	defer k.claims.remove(call.AttemptID)
	started := k.env.Clock.Now()
	k.checkNotLeaving(name)
	e := r.engine(name)
	result, err := k.client.Prefill(ctx, e, call)
	r.recordAttempt(name, settings.KindPrefill, started, err)
	if err != nil {
		r.abortFailed(e, call.AttemptID, err)
	}
	return result, err
}
