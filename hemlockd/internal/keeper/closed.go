package keeper

import (
	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// closedRefusal refuses a call if all engines of a kind that are up shut down or have told this daemon to
// wait, so that its prompt is not prefilled for nothing. It returns nil otherwise.
func (r *Run) closedRefusal() *problem.Problem {
	engines := map[string][]string{}
	r.group.withLock(func(a *admission.Group) {
		for _, e := range a.Engines() {
			if e.Up {
				engines[e.Kind] = append(engines[e.Kind], e.Name)
			}
		}
	})
	for _, kind := range []string{settings.KindDecode, settings.KindPrefill} {
		reason, retry := r.keeper.client.Closed(engines[kind])
		if reason == upstreamgate.Leaving || reason == upstreamgate.Paused {
			return problem.New(reason.ProblemReason(), "no %s engine for model %q takes requests now", kind, r.call.Model).WithRetryAfter(retry)
		}
	}
	return nil
}
