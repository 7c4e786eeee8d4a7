package dispatch

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// take takes one call from what an upstream allows. The call must not be sent unless the result is
// [upstreamgate.Open].
func (d *Dispatcher) take(u routing.Upstream) upstreamgate.Reason {
	return d.opts.Gate.Take(upstreamgate.TargetOf(u), d.opts.Clock.Now())
}

// take is [Dispatcher.take]. It records that an upstream was passed over.
func (x *exchange) take(u routing.Upstream) upstreamgate.Reason {
	reason := x.d.take(u)
	x.closedSkipped = x.closedSkipped || reason != upstreamgate.Open
	return reason
}

// open reports whether a call may be sent to an upstream now, and records if it is passed over.
func (x *exchange) open(u routing.Upstream) bool {
	if x.d.opts.Gate.Check(upstreamgate.TargetOf(u), x.now()) == upstreamgate.Open {
		return true
	}
	x.closedSkipped = true
	return false
}

// wantUpstreams counts the request in the demand for the upstreams of its service.
func (x *exchange) wantUpstreams() {
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		x.d.opts.Gate.Limits.Want(u.ID, x.now())
	}
}

// closed returns why none of the service's upstreams in a role may be called now, and when callers
// should come back; [upstreamgate.Open] if one may be called or none is listed. Those that are marked
// down are left aside if others are listed.
func (x *exchange) closed(role routing.Role) (upstreamgate.Reason, clock.Millis) {
	return x.d.opts.Gate.Closed(x.targets(role), x.now())
}

func (x *exchange) targets(role routing.Role) []upstreamgate.Target {
	var up, all []upstreamgate.Target
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		if u.Role != role {
			continue
		}
		all = append(all, upstreamgate.TargetOf(u))
		if !x.d.health.isDown(u.ID) {
			up = append(up, upstreamgate.TargetOf(u))
		}
	}
	if len(up) == 0 {
		return all
	}
	return up
}

// allClosed reports whether no upstream of the service in a role may be called now.
func (x *exchange) allClosed(role routing.Role) bool {
	reason, _ := x.closed(role)
	return reason != upstreamgate.Open
}

// refuseClosed refuses the request if no upstream of its service in a role may be called now, or if the
// only ones left for it may not. It returns false if that is not so.
func (x *exchange) refuseClosed(role routing.Role) bool {
	reason, retryMs := x.closed(role)
	if reason == upstreamgate.Open && x.closedSkipped {
		reason, retryMs = x.closedLeft(role)
	}
	if reason == upstreamgate.Open {
		return false
	}
	x.refusalBasis = x.d.opts.Gate.Summary(x.targets(role), x.now())
	x.respondFailure(string(reason.ProblemReason()), retryMs)
	return true
}

// closedLeft is closed for the upstreams that may not be called now, if there are any.
func (x *exchange) closedLeft(role routing.Role) (upstreamgate.Reason, clock.Millis) {
	var left []upstreamgate.Target
	for _, t := range x.targets(role) {
		if x.d.opts.Gate.Check(t, x.now()) != upstreamgate.Open {
			left = append(left, t)
		}
	}
	return x.d.opts.Gate.Closed(left, x.now())
}
