package upstreamgate

import (
	"context"
	"fmt"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// Calls are all calls that daemons send to the servers of the users' platform.
type Calls interface {
	Send(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (*calls.Reply, error)
	Prefill(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (calls.KVSource, error)
	FreeResult(ctx context.Context, source calls.KVSource) error
	Reserve(ctx context.Context, to routing.Upstream, tokens int, span clock.Millis) (string, error)
	CancelReservation(ctx context.Context, at routing.Upstream, reservationID string) error
	Probe(ctx context.Context, to routing.Upstream, path string) error
	State(ctx context.Context, to routing.Upstream) (calls.EngineState, error)
	ChangeRole(ctx context.Context, to routing.Upstream, o calls.Order) error
}

// ClosedError reports that a call was not sent.
type ClosedError struct {
	// Upstream is the ID of the upstream.
	Upstream string
	// Reason is why it may not be called.
	Reason Reason
}

// Error implements error.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("nothing was sent to upstream %s: %s", e.Upstream, e.Reason)
}

// CallError returns the result of a request that was not sent.
func CallError(upstream string, phase calls.Phase, reason Reason) *calls.Error {
	return &calls.Error{
		Upstream: upstream, Phase: phase, Cause: calls.Cause(reason), Outcome: calls.NotRun,
		Err: &ClosedError{Upstream: upstream, Reason: reason},
	}
}

// Servers sends calls to servers, except those that the gate stops.
//
// A process that shuts down still gets the calls that release what it holds for this daemon: they are
// no new work. A paused one gets nothing; what it holds expires.
type Servers struct {
	calls Calls
	gate  *Gate
	clk   clock.Clock
}

// NewServers returns calls that pass the gate.
func NewServers(c Calls, gate *Gate, clk clock.Clock) *Servers {
	return &Servers{calls: c, gate: gate, clk: clk}
}

// stopped returns the reason for which the call must not be sent, or Open.
func (s *Servers) stopped(to routing.Upstream) Reason {
	reason := s.gate.CheckNotices(TargetOf(to), s.clk.Now())
	if reason != Open {
		metrics.Add("stopped "+string(reason), 1)
	}
	return reason
}

// stoppedRelease is stopped for calls that release what the process holds.
func (s *Servers) stoppedRelease(to routing.Upstream) Reason {
	if reason := s.stopped(to); reason != Leaving {
		return reason
	}
	return Open
}

// Send implements Calls.
func (s *Servers) Send(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (*calls.Reply, error) {
	if reason := s.stopped(to); reason != Open {
		return nil, CallError(to.ID, d.Phase, reason)
	}
	return s.calls.Send(ctx, call, to, d)
}

// Prefill implements Calls.
func (s *Servers) Prefill(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (calls.KVSource, error) {
	if reason := s.stopped(to); reason != Open {
		return calls.KVSource{}, CallError(to.ID, calls.PhasePrefill, reason)
	}
	return s.calls.Prefill(ctx, call, to, d)
}

// FreeResult implements Calls.
func (s *Servers) FreeResult(ctx context.Context, source calls.KVSource) error {
	holder := routing.Upstream{ID: source.Upstream, StartedMs: source.StartedMs}
	if reason := s.stoppedRelease(holder); reason != Open {
		return &ClosedError{Upstream: source.Upstream, Reason: reason}
	}
	return s.calls.FreeResult(ctx, source)
}

// Reserve implements Calls.
func (s *Servers) Reserve(ctx context.Context, to routing.Upstream, tokens int, span clock.Millis) (string, error) {
	if reason := s.stopped(to); reason != Open {
		return "", CallError(to.ID, calls.PhaseDecode, reason)
	}
	return s.calls.Reserve(ctx, to, tokens, span)
}

// CancelReservation implements Calls.
func (s *Servers) CancelReservation(ctx context.Context, at routing.Upstream, reservationID string) error {
	if reason := s.stoppedRelease(at); reason != Open {
		return &ClosedError{Upstream: at.ID, Reason: reason}
	}
	return s.calls.CancelReservation(ctx, at, reservationID)
}

// Probe implements Calls.
func (s *Servers) Probe(ctx context.Context, to routing.Upstream, path string) error {
	if reason := s.stopped(to); reason != Open {
		return &ClosedError{Upstream: to.ID, Reason: reason}
	}
	return s.calls.Probe(ctx, to, path)
}

// State implements Calls.
func (s *Servers) State(ctx context.Context, to routing.Upstream) (calls.EngineState, error) {
	if reason := s.stopped(to); reason != Open {
		return calls.EngineState{}, &ClosedError{Upstream: to.ID, Reason: reason}
	}
	return s.calls.State(ctx, to)
}

// ChangeRole implements Calls.
func (s *Servers) ChangeRole(ctx context.Context, to routing.Upstream, o calls.Order) error {
	if reason := s.stopped(to); reason != Open {
		return &ClosedError{Upstream: to.ID, Reason: reason}
	}
	return s.calls.ChangeRole(ctx, to, o)
}
