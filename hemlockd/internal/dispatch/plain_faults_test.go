package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/capacity"
)

// TestSlowAnswerIsNotGivenUpForOneThatFails guards against an idempotent call that is ended at
// a slow upstream for others that then refuse it or can't be reached: its answer was on its way.
func TestSlowAnswerIsNotGivenUpForOneThatFails(t *testing.T) {
	for name, fault := range map[string]int{"busy": faultBusy, "unreachable": faultUnreachable} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sends := 0
			s := newSetup(func(name string, n int) int {
				if name == "fault in run" || strings.HasPrefix(name, "fault in "+string(calls.PhaseRun)) {
					if sends++; sends > 1 {
						return fault
					}
				}
				return noFaults(name, n)
			})
			s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) { return slowPlain(ctx, 800*time.Millisecond, "whole") }
			answer, cut := s.ask("r", "/lookup/x")
			if cut || answer.Code != http.StatusOK || answer.Body.String() != "whole" {
				t.Errorf("cut %v, status %d, answer %q, attempts %+v", cut, answer.Code, answer.Body.String(), s.verdicts.all["r"].Attempts)
			}
		})
	}
}

// TestPlainStreamThatEndsInsideAnEventIsBroken guards against an answer of events that ends
// inside one and is passed on as whole because it goes through no engine's run.
func TestPlainStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	s := newSetup(noFaults)
	s.upstreams.plain = func(context.Context) (*calls.Reply, error) {
		header := http.Header{"Content-Type": {"text/event-stream"}}
		return &calls.Reply{Status: http.StatusOK, Header: header, Sealed: true, Body: io.NopCloser(strings.NewReader("data: 1\n\ndata: 2"))}, nil
	}
	answer, cut := s.ask("r", "/order/x")
	if !cut && answer.Code == http.StatusOK {
		t.Errorf("cut %v, status %d, answer %q", cut, answer.Code, answer.Body.String())
	}
}

// TestQueuedRequestIsAnsweredBeforeTheExit guards against a request that waits for an engine
// until the daemon exits: it has not been run, and its caller gets a closed connection.
func TestQueuedRequestIsAnsweredBeforeTheExit(t *testing.T) {
	s := newSetup(noFaults)
	s.waitUpTo(10 * clock.Second)
	s.route("resumable").TargetLatencyMs = 4 * clock.Second
	now := s.dispatcher.opts.Clock.Now()
	for _, engine := range []string{"d1", "d2", "d3"} {
		s.dispatcher.opts.View.Add("other", capacity.Run{ID: engine, Engine: engine, PromptTokens: 9000, ExpectedTokens: 900, MaxTokens: 900}, now)
	}
	exit := time.Now().Add(500 * time.Millisecond)
	time.AfterFunc(50*time.Millisecond, func() { s.dispatcher.Drain(now + 500) })
	answer, _ := s.ask("r", "/resumable/x")
	if late := time.Since(exit); late > 0 || answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v after the daemon's exit", answer.Code, late)
	}
}

// TestLateRequestIsAnsweredBeforeTheExit guards against a request that comes late in a drain and
// whose upstream takes longer than the daemon has left: its caller gets a closed connection. It
// is to be refused at once, or told before the exit that its outcome is unknown.
func TestLateRequestIsAnsweredBeforeTheExit(t *testing.T) {
	for _, path := range []string{"/order/x", "/lookup/x"} {
		s := newSetup(noFaults)
		s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) { return slowPlain(ctx, time.Second, "whole") }
		exit := time.Now().Add(500 * time.Millisecond)
		s.dispatcher.Drain(s.dispatcher.opts.Clock.Now() + 500)
		answer, cut := s.ask("r", path)
		if late := time.Since(exit); late > 0 || cut {
			t.Errorf("%s: cut %v, status %d, %v after the daemon's exit", path, cut, answer.Code, late)
		}
	}
}
