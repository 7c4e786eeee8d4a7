package dispatch

import (
	"errors"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
)

// errLimited reports that a call was not sent because of the upstream's limit.
var errLimited = errors.New("this daemon's share of the upstream's limit is used up")

// wantUpstreams counts the request in the demand for the upstreams of its service.
func (x *exchange) wantUpstreams() {
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		x.d.opts.Limits.Want(u.ID, x.now())
	}
}

// allLimited reports whether the service has upstreams, and no call may be sent to any of them in the
// given role now because of their limits.
func (x *exchange) allLimited(role routing.Role) bool {
	found := false
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		if u.Role != role || x.d.health.isDown(u.ID) {
			continue
		}
		if x.d.opts.Limits.Ready(u.ID, x.now()) {
			return false
		}
		found = true
	}
	return found
}

// refuseLimited refuses the request because of the limits of its upstreams.
func (x *exchange) refuseLimited() {
	ids := x.upstreamIDs()
	x.refusalBasis = x.d.opts.Limits.Summary(ids, x.now())
	x.respondFailure(reasonLimited, x.d.opts.Limits.Retry(ids, x.now()))
}

func (x *exchange) upstreamIDs() []string {
	var ids []string
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		ids = append(ids, u.ID)
	}
	return ids
}

// limitedError is the result of a call that was not sent because of the upstream's limit.
func limitedError(upstream string, phase calls.Phase) *calls.Error {
	return &calls.Error{Upstream: upstream, Phase: phase, Cause: calls.CauseLimited, Outcome: calls.NotRun, Err: errLimited}
}
