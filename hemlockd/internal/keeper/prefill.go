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

func (r *Run) engine(name string) engines.Engine {
	return engines.Engine{Name: name, Address: r.tree.System.Upstreams[name].Address}
}

// enginesCall is the body of a call to an engine.
func (r *Run) enginesCall(replace map[string]any) (engines.Call, error) {
	replace["priority"] = r.call.Priority
	body, err := completions.Forward(r.call.Body, replace)
	return engines.Call{
		Path: r.call.Path, AttemptID: r.keeper.rid(), RequestID: r.call.RequestID, Body: body,
	}, err
}

// prefill has the prompt prefilled, on another engine where one fails.
func (r *Run) prefill() (completions.KVTransferParams, *problem.Problem) {
	k, policy := r.keeper, r.tree.System.Policy
	not := map[string]bool{}
	name := r.grant.Prefill
	if name == "" {
		name = r.nextPrefill(not)
	}
	r.grant.Prefill = ""
	var last error
	for attempt := 0; name != ""; attempt++ {
		result, err := r.prefillOn(name)
		if err == nil {
			r.group.decide(func(a *admission.Group) []admission.Decision {
				return a.PrefillDone(r.call.RequestID, result.CachedTokens, k.common.Clock.Now())
			})
			return result.KV, nil
		}
		last = err
		if r.ctx.Err() != nil {
			return completions.KVTransferParams{}, r.gone()
		}
		if p := r.suspectRefused(); p != nil {
			return completions.KVTransferParams{}, p
		}
		if attempt+1 >= policy.MaxAttempts || !k.budget.Take() {
			break
		}
		not[name] = true
		name = r.nextPrefill(not)
	}
	return completions.KVTransferParams{}, r.failed("prefill", last)
}

func (r *Run) nextPrefill(not map[string]bool) (name string) {
	r.group.with(func(a *admission.Group) {
		name = a.PrefillFailed(r.call.RequestID, not, r.keeper.common.Clock.Now())
	})
	return name
}

// prefillOn runs one prefill, bounded by its predicted time and a reserve.
func (r *Run) prefillOn(name string) (engines.PrefillResult, error) {
	k := r.keeper
	call, err := r.enginesCall(map[string]any{
		"max_tokens": 1, "stream": false, "kv_transfer_params": completions.KVTransferParams{DoRemoteDecode: true},
	})
	if err != nil {
		return engines.PrefillResult{}, err
	}
	model := r.tree.System.Models[r.call.Model]
	own := model.PrefillBaseMs + clock.Millis(int64(r.call.PromptTokens)*model.PrefillTokenUs/1000)
	ctx, cancel := context.WithTimeout(r.ctx, (r.grant.PrefillMs + own + r.tree.System.Policy.PrefillTimeoutMs).Duration())
	defer cancel()
	k.claims.add(call.AttemptID)
	defer k.claims.remove(call.AttemptID)
	started := k.common.Clock.Now()
	k.checkNotLeaving(name)
	result, err := k.client.Prefill(ctx, r.engine(name), call)
	r.attempt(name, settings.KindPrefill, started, err)
	if err != nil {
		r.abort(name, call.AttemptID, err)
	}
	return result, err
}
