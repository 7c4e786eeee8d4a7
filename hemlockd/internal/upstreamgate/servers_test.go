package upstreamgate

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// countingCalls counts the calls that are sent.
type countingCalls struct{ sent int }

func (c *countingCalls) Send(context.Context, *calls.Call, routing.Upstream, calls.Delivery) (*calls.Reply, error) {
	c.sent++
	return &calls.Reply{}, nil
}

func (c *countingCalls) Prefill(context.Context, *calls.Call, routing.Upstream, calls.Delivery) (calls.KVSource, error) {
	c.sent++
	return calls.KVSource{}, nil
}

func (c *countingCalls) FreeResult(context.Context, calls.KVSource) error { c.sent++; return nil }

func (c *countingCalls) Reserve(context.Context, routing.Upstream, int, clock.Millis) (string, error) {
	c.sent++
	return "", nil
}

func (c *countingCalls) CancelReservation(context.Context, routing.Upstream, string) error {
	c.sent++
	return nil
}

func (c *countingCalls) Probe(context.Context, routing.Upstream, string) error { c.sent++; return nil }

func (c *countingCalls) State(context.Context, routing.Upstream) (calls.EngineState, error) {
	c.sent++
	return calls.EngineState{}, nil
}

func (c *countingCalls) ChangeRole(context.Context, routing.Upstream, calls.Order) error {
	c.sent++
	return nil
}

// kindsOfCalls makes each kind of call to an upstream. release is set for those that a process which
// shuts down still gets.
var kindsOfCalls = map[string]struct {
	release bool
	send    func(context.Context, Calls, routing.Upstream) error
}{
	"Send": {false, func(ctx context.Context, c Calls, u routing.Upstream) error {
		_, err := c.Send(ctx, &calls.Call{}, u, calls.Delivery{Phase: calls.PhaseDecode})
		return err
	}},
	"Prefill": {false, func(ctx context.Context, c Calls, u routing.Upstream) error {
		_, err := c.Prefill(ctx, &calls.Call{}, u, calls.Delivery{})
		return err
	}},
	"FreeResult": {true, func(ctx context.Context, c Calls, u routing.Upstream) error {
		return c.FreeResult(ctx, calls.KVSource{Upstream: u.ID, StartedMs: u.StartedMs})
	}},
	"Reserve": {false, func(ctx context.Context, c Calls, u routing.Upstream) error {
		_, err := c.Reserve(ctx, u, 1, 1)
		return err
	}},
	"CancelReservation": {true, func(ctx context.Context, c Calls, u routing.Upstream) error { return c.CancelReservation(ctx, u, "r") }},
	"Probe":             {false, func(ctx context.Context, c Calls, u routing.Upstream) error { return c.Probe(ctx, u, "/health") }},
	"State": {false, func(ctx context.Context, c Calls, u routing.Upstream) error {
		_, err := c.State(ctx, u)
		return err
	}},
	"ChangeRole": {false, func(ctx context.Context, c Calls, u routing.Upstream) error {
		return c.ChangeRole(ctx, u, calls.Order{})
	}},
}

// TestEachKindOfCallPassesTheGate fails for a kind of call that is added without the gate.
func TestEachKindOfCallPassesTheGate(t *testing.T) {
	kinds := reflect.TypeFor[Calls]()
	for i := range kinds.NumMethod() {
		if _, ok := kindsOfCalls[kinds.Method(i).Name]; !ok {
			t.Errorf("%s is not tested", kinds.Method(i).Name)
		}
	}
	u := routing.Upstream{ID: "u", StartedMs: 5}
	for name, kind := range kindsOfCalls {
		for _, reason := range []Reason{Open, Leaving, Paused} {
			sent := &countingCalls{}
			g := newGate(func(Notice) {})
			switch reason {
			case Leaving:
				g.Observe(Notice{Target: TargetOf(u), Leaving: true}, clock.System().Now())
			case Paused:
				g.Observe(Notice{Target: TargetOf(u), PauseMs: clock.Minute}, clock.System().Now())
			}
			err := kind.send(t.Context(), NewServers(sent, g, clock.System()), u)
			passes := reason == Open || reason == Leaving && kind.release
			if passes != (sent.sent == 1) || passes != (err == nil) {
				t.Errorf("%s to a process with %q: %d sent, %v", name, reason, sent.sent, err)
			}
			var closed *ClosedError
			if err != nil && (!errors.As(err, &closed) || closed.Reason != reason || closed.Upstream != "u") {
				t.Errorf("%s: %v", name, err)
			}
			var failed *calls.Error
			if errors.As(err, &failed) && (failed.Outcome != calls.NotRun || !failed.Cause.NotSent()) {
				t.Errorf("%s: %v is not told as not sent", name, failed)
			}
		}
	}
}
