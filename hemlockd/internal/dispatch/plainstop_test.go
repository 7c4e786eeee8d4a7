package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// TestPlainCallThatWaitedIsAskedAgainAtTheSignal guards against a plain call that is sent to a further upstream after the signal
// to stop although its answer may come after the exit, because the upstream before has refused it late.
func TestPlainCallThatWaitedIsAskedAgainAtTheSignal(t *testing.T) {
	for _, path := range []string{"/order/x", "/lookup/x"} {
		sent := 0
		s := newSetup(func(name string, _ int) int {
			if name == "fault in run" {
				return faultBusy
			}
			return noFaults(name, 0)
		})
		s.upstreams.send = func(*calls.Call, routing.Upstream, calls.Delivery) error {
			if sent++; sent == 1 {
				s.drainFor(500)
			}
			return nil
		}
		answer, _ := s.ask("waits", path)
		if answer.Code != http.StatusServiceUnavailable || sent != 1 || s.verdicts.all["waits"].Reason != reasonShutdown {
			t.Errorf("%s: status %d, reason %q, sent to %d upstreams", path, answer.Code, s.verdicts.all["waits"].Reason, sent)
		}
	}
}

// TestPlainCallThatIsOwedGoesOnDuringTheShutdown guards against giving up an idempotent call that a stopping daemon has begun:
// one upstream has broken off or is slow, another one answers in time.
func TestPlainCallThatIsOwedGoesOnDuringTheShutdown(t *testing.T) {
	for name, first := range map[string]int{"broken": faultLostAfterRun, "slow": faultNone} {
		var sent atomic.Int32
		s := newSetup(func(name string, _ int) int {
			if name == "fault in run" && sent.Load() == 1 {
				return first
			}
			return noFaults(name, 0)
		})
		s.upstreams.send = func(*calls.Call, routing.Upstream, calls.Delivery) error {
			if sent.Add(1) == 1 {
				s.drainFor(1000)
			}
			return nil
		}
		s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) {
			if sent.Load() == 1 {
				return slowPlain(ctx, 3*time.Second, "slow")
			}
			return slowPlain(ctx, time.Millisecond, "whole")
		}
		if answer, cut := s.ask("owed", "/lookup/x"); cut || answer.Body.String() != "whole" {
			t.Errorf("%s: status %d, cut %v, sent to %d upstreams", name, answer.Code, cut, sent.Load())
		}
	}
}

// lonelyPeers are peers of a daemon that is alone in its data centre.
type lonelyPeers struct{ fakePeers }

func (lonelyPeers) DaemonsIn(string) (serving, leaving int) { return 0, 1 }

// TestPlainCallsAreTakenWhileCallersHaveNoOtherDaemon checks until when a daemon that stops takes plain calls that may be too long:
// while callers have no other daemon to go to.
func TestPlainCallsAreTakenWhileCallersHaveNoOtherDaemon(t *testing.T) {
	for _, c := range []struct {
		peers  Peers
		since  clock.Millis // the signal
		status int
	}{
		{lonelyPeers{}, 0, http.StatusOK}, {lonelyPeers{}, balancerTime, http.StatusServiceUnavailable},
		{fakePeers{}, 0, http.StatusServiceUnavailable},
	} {
		for _, path := range []string{"/order/x", "/lookup/x"} {
			s := newSetup(noFaults)
			s.dispatcher.opts.Peers = c.peers
			now := s.dispatcher.opts.Clock.Now()
			s.dispatcher.shutdown.Store(&shutdown{beganMs: now - c.since, exitMs: now + 1000})
			if answer, _ := s.ask("r", path); answer.Code != c.status {
				t.Errorf("%T, %v after the signal, %s: status %d, want %d", c.peers, c.since, path, answer.Code, c.status)
			}
		}
	}
}
