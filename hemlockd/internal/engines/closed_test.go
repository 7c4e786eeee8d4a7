package engines

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// kindsOfCalls makes each kind of call to an engine. whileLeaving is set for those that an engine which
// shuts down still gets: they are no new work.
var kindsOfCalls = map[string]struct {
	whileLeaving bool
	send         func(context.Context, *Client, Engine) error
}{
	"prefill": {false, func(ctx context.Context, c *Client, e Engine) error {
		_, err := c.Prefill(ctx, e, Call{Path: "/v1/completions"})
		return err
	}},
	"stream": {false, func(ctx context.Context, c *Client, e Engine) (err error) {
		for _, err = range c.Stream(ctx, e, Call{Path: "/v1/completions"}, Fresh) {
			break
		}
		return err
	}},
	"resumption": {false, func(ctx context.Context, c *Client, e Engine) (err error) {
		for _, err = range c.Stream(ctx, e, Call{Path: "/v1/completions"}, 5) {
			break
		}
		return err
	}},
	"load report": {true, func(ctx context.Context, c *Client, e Engine) error {
		_, err := c.Load(ctx, e, true)
		return err
	}},
	"abort": {true, func(ctx context.Context, c *Client, e Engine) error { return c.Abort(ctx, e, "a") }},
	"cache events": {true, func(ctx context.Context, c *Client, e Engine) (err error) {
		for _, err = range c.CacheEvents(ctx, e) {
			break
		}
		return err
	}},
}

// TestEachKindOfCallPassesTheGate closes an engine by each kind of call and then tries all others.
func TestEachKindOfCallPassesTheGate(t *testing.T) {
	for _, reason := range []upstreamgate.Reason{upstreamgate.Leaving, upstreamgate.Paused} {
		for closing, first := range kindsOfCalls {
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				if reason == upstreamgate.Leaving {
					w.Header().Set("Upstream-Leaving", "1")
					return
				}
				w.Header().Set("Retry-After", "30")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			gate := upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {})
			c, closeClient := NewClient(gate, clock.System(), zap.NewNop())
			e := Engine{Name: "e", Address: server.Listener.Addr().String()}
			_ = first.send(t.Context(), c, e)
			if got := gate.CheckNotices(upstreamgate.Target{Upstream: "e"}, clock.System().Now()); got != reason {
				t.Errorf("%s: %q after an answer, want %q", closing, got, reason)
			}
			for name, kind := range kindsOfCalls {
				before := arrived.Load()
				err := kind.send(t.Context(), c, e)
				passes := reason == upstreamgate.Leaving && kind.whileLeaving
				if passes != (arrived.Load() > before) {
					t.Errorf("%s to an engine with %q: %d arrived, %v", name, reason, arrived.Load()-before, err)
				}
				var failed *CallError
				if !passes && (!errors.As(err, &failed) || failed.Closed != reason || failed.Result != verdict.AttemptNotRun) {
					t.Errorf("%s: %v", name, err)
				}
			}
			closeClient()
			server.Close()
		}
	}
}
