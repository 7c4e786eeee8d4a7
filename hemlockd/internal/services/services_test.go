package services

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform/memory"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// noSignals reports no upstream as leaving.
type noSignals struct{}

func (noSignals) Leaving(string) bool { return false }

// newTestServices returns the services of a daemon with instances of service s that are
// served by the handlers. Calls may be repeated and time out after 900 ms.
func newTestServices(t *testing.T, policy string, instances ...http.HandlerFunc) *Services {
	cfg := process.DefaultConfig()
	cfg.Name, cfg.DataCentre = "vm-1", "a"
	log := zap.NewNop()
	env := process.Environment{Log: log, Clock: clock.System(), Config: cfg, Invariants: invariant.New(log), Incarnation: 1}
	var text strings.Builder
	fmt.Fprintf(&text, "[policy]\n%s\n[services.s]\nrepeatable = true\ntimeoutMs = 900\n[dataCentres.a]\n[operators.ops]\nkeyHash = %q\n", policy, settings.HashKey("operator"))
	for i, serve := range instances {
		mux := http.NewServeMux()
		mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("/", serve)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		fmt.Fprintf(&text, "[upstreams.s%d]\nkind = \"service\"\nservice = \"s\"\naddress = %q\ndataCentre = \"a\"\n", i, server.Listener.Addr())
	}
	c := configuration.New(env)
	_, err := c.Apply(configuration.Delta{Version: 1, Nodes: []settings.Node{
		{Path: settings.SystemPath, Version: 1, Text: text.String()},
		{Path: settings.TeamsPrefix + "t", Version: 1, Text: "services = [\"s\"]\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	ledger, closeLedger := placements.New(env, memory.New(), func() clock.Millis { return 1 })
	t.Cleanup(closeLedger)
	s, closeServices := New(env, c, ledger, noSignals{}, upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}))
	t.Cleanup(closeServices)
	return s
}

func get() Call {
	return Call{RequestID: "r", Team: "t", Service: "s", Method: http.MethodGet, Path: "/x", Header: http.Header{}}
}

// after returns a handler that answers after a delay.
func after(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
		_, _ = fmt.Fprint(w, "ok")
	}
}

// TestSlowInstanceIsAwaited guards against a call that fails after a part of the service's
// time-out although no other instance goes on with it.
func TestSlowInstanceIsAwaited(t *testing.T) {
	for name, test := range map[string]struct {
		policy    string
		instances []http.HandlerFunc
	}{
		"the only instance": {"", []http.HandlerFunc{after(600 * time.Millisecond)}},
		"the last instance": {"retryRatio = 1.0", []http.HandlerFunc{after(5 * time.Second), after(500 * time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			out := newTestServices(t, test.policy, test.instances...).Run(t.Context(), get())
			if out.Problem != nil {
				t.Errorf("%v", out.Problem)
			}
		})
	}
}

// TestSilentInstanceIsLeft guards against a call that waits for a silent instance for the whole
// time-out although another one can go on with it, or waits longer than the time-out.
func TestSilentInstanceIsLeft(t *testing.T) {
	started := time.Now()
	out := newTestServices(t, "", after(time.Minute), after(0)).Run(t.Context(), get())
	if elapsed := time.Since(started); out.Problem != nil || elapsed > 700*time.Millisecond {
		t.Errorf("problem %v after %v", out.Problem, elapsed)
	}
	started = time.Now()
	out = newTestServices(t, "", after(time.Minute)).Run(t.Context(), get())
	if elapsed := time.Since(started); out.Problem == nil || out.Problem.Reason != problem.UpstreamFailed || elapsed > 1300*time.Millisecond {
		t.Errorf("problem %v after %v", out.Problem, elapsed)
	}
}

// TestCallerGoneDuringBackoff guards against a call whose caller has disconnected and that is
// recorded as failed by its service. The wait has a random length, hence the tries.
func TestCallerGoneDuringBackoff(t *testing.T) {
	aborted := make(chan struct{}, 1)
	s := newTestServices(t, "retryRatio = 1.0", func(http.ResponseWriter, *http.Request) {
		aborted <- struct{}{}
		panic(http.ErrAbortHandler)
	})
	try := func() Outcome {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var caller sync.WaitGroup
		defer caller.Wait()
		caller.Go(func() {
			<-aborted
			time.Sleep(2 * time.Millisecond)
			cancel()
		})
		return s.Run(ctx, get())
	}
	for range 100 {
		if p := try().Problem; p != nil && p.Reason == problem.CallerGone && p.Ran == problem.RanUnknown {
			return
		}
	}
	t.Errorf("no call was recorded as %s", problem.CallerGone)
}

// TestSlowInstanceIsNotLeftForOneThatFails guards against a call that is ended at a slow instance
// for another one that then fails: its answer was on its way.
func TestSlowInstanceIsNotLeftForOneThatFails(t *testing.T) {
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	out := newTestServices(t, "retryRatio = 1.0", after(600*time.Millisecond), broken).Run(t.Context(), get())
	if out.Problem != nil {
		t.Errorf("%v, attempts %+v", out.Problem, out.Attempts)
	}
}

// TestRefusalForALimitIsTrue guards a caller who is told that a call was not run since the last
// instance's limit held it back, though an instance before may have run it.
func TestRefusalForALimitIsTrue(t *testing.T) {
	lost := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	s := newTestServices(t, "retryRatio = 1.0", lost, after(0))
	now := s.env.Clock.Now()
	s.gate.Limits.Observe(upstreamlimits.Answer{Upstream: "s1", PerSecond: 1, SentMs: now}, now)
	if out := s.Run(t.Context(), get()); out.Problem == nil || out.Problem.Ran != problem.RanUnknown {
		t.Errorf("%v after %+v", out.Problem, out.Attempts)
	}
	s.gate.Limits.Observe(upstreamlimits.Answer{Upstream: "s0", PerSecond: 1, SentMs: now}, now)
	if out := s.Run(t.Context(), get()); out.Problem == nil || out.Problem.Reason != problem.UpstreamLimited || out.Problem.Ran != problem.RanNo || out.Problem.RetryAfterMs <= 0 {
		t.Errorf("%v after %+v", out.Problem, out.Attempts)
	}
}
