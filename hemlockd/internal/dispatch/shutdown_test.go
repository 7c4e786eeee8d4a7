package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// slowEngines lets each event of the fake engines take a pause.
func (s *setup) slowEngines(pause time.Duration) {
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, d calls.Delivery) *calls.Reply {
		return pauses(pause).newReply(ctx)
	}
}

// observeLog returns what the dispatcher logs from now on.
func (s *setup) observeLog() *observer.ObservedLogs {
	core, lines := observer.New(zapcore.InfoLevel)
	s.dispatcher.opts.Log = zap.New(core)
	return lines
}

// drainFor begins a shutdown that ends after a time.
func (s *setup) drainFor(span clock.Millis) {
	s.dispatcher.Drain(s.dispatcher.opts.Clock.Now() + span)
}

// TestLogTellsHowARequestMetTheShutdown guards against a stream that the exit cuts off and whose log line does not
// say so: when it came, what was expected of it, and that neither its deadline nor its engine ended it.
func TestLogTellsHowARequestMetTheShutdown(t *testing.T) {
	s := newSetup(noFaults)
	lines := s.observeLog()
	s.slowEngines(100 * time.Millisecond)
	time.AfterFunc(150*time.Millisecond, func() { s.drainFor(200) })
	if _, cut := s.ask("before", "/once/x"); !cut {
		t.Fatal("the stream was not cut off")
	}
	if answer, _ := s.ask("after", "/once/x"); answer.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d after the exit", answer.Code)
	}
	byID := map[string]map[string]any{}
	for _, line := range lines.FilterMessage("request").All() {
		fields := line.ContextMap()
		byID[fields["request"].(string)] = fields
	}
	if since, ok := byID["before"]["afterStopMs"].(int64); !ok || since >= 0 {
		t.Errorf("line of the stream that came before the shutdown: %v", byID["before"])
	}
	attempts := s.verdicts.all["before"].Attempts
	if last := attempts[len(attempts)-1]; last.Cause != string(calls.CauseShutdown) {
		t.Errorf("last attempt %+v, want cause %q", last, calls.CauseShutdown)
	}
	refused := byID["after"]
	needed, _ := refused["neededMs"].(int64)
	left, known := refused["leftMs"].(int64)
	if since, _ := refused["afterStopMs"].(int64); since <= 0 || !known || needed <= left {
		t.Errorf("line of the stream that came after it: %v", refused)
	}
}

// TestRequestsOpenAtTheExitAreNamed guards against a request that the daemon's exit overtakes and that no line names.
func TestRequestsOpenAtTheExitAreNamed(t *testing.T) {
	s := newSetup(noFaults)
	lines := s.observeLog()
	s.slowEngines(50 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.ask("open", "/once/x")
	}()
	time.Sleep(60 * time.Millisecond)
	s.dispatcher.LogOpenRequests()
	if named := lines.FilterField(zap.String("request", "open")).Len(); named != 1 {
		t.Errorf("%d lines name the open request, want 1", named)
	}
	<-done
	s.dispatcher.LogOpenRequests()
	if named := lines.FilterMessageSnippet("exits before").Len(); named != 1 || s.dispatcher.OpenRequests() != 0 {
		t.Errorf("%d lines of open requests once it has ended, %d open", named, s.dispatcher.OpenRequests())
	}
}

// TestWaitingStreamIsAskedAgainAtTheSignal guards against a stream that is sent to an engine after the signal to stop
// although it may not be whole by the exit, because it had come before the signal and waited for its prefill.
func TestWaitingStreamIsAskedAgainAtTheSignal(t *testing.T) {
	s := newSetup(noFaults)
	s.upstreams.send = func(_ *calls.Call, _ routing.Upstream, d calls.Delivery) error {
		if d.Phase == calls.PhasePrefill {
			s.drainFor(300)
		}
		return nil
	}
	answer, _ := s.ask("waits", "/once/x")
	if answer.Code != http.StatusServiceUnavailable || s.upstreams.runs["waits"] != 0 {
		t.Errorf("status %d, %d runs", answer.Code, s.upstreams.runs["waits"])
	}
}

// TestShortStreamIsServedDuringTheShutdown guards against refusing streams that surely end before the exit.
func TestShortStreamIsServedDuringTheShutdown(t *testing.T) {
	s := newSetup(noFaults)
	s.slowEngines(5 * time.Millisecond)
	for range 6 { // until every engine's pace has been seen
		s.ask("pace", "/once/x")
	}
	s.drainFor(1000)
	if answer, cut := s.ask("short", "/once/x"); cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("status %d, cut %v", answer.Code, cut)
	}
}

// TestBrokenStreamGoesOnDuringTheShutdown guards against giving up a stream that a stopping daemon has accepted: what is
// left of it may be too long for a new request, but it is owed.
func TestBrokenStreamGoesOnDuringTheShutdown(t *testing.T) {
	sent := 0
	s := newSetup(breakFirstStream(&sent))
	s.upstreams.send = func(_ *calls.Call, _ routing.Upstream, d calls.Delivery) error {
		if d.Phase == calls.PhaseDecode && sent == 0 {
			s.drainFor(800)
		}
		return nil
	}
	if answer, cut := s.ask("broken", "/resumable/x"); cut || answer.Body.String() != eventsAfter(0) {
		t.Errorf("status %d, cut %v, answer %q", answer.Code, cut, answer.Body.String())
	}
}

// TestExitMayBePutOffAndBroughtForward guards against streams that end at the time of the exit that was set first: they must
// end at the time that was set last, and not again once they have been ended.
func TestExitMayBePutOffAndBroughtForward(t *testing.T) {
	for name, c := range map[string]struct {
		first, then clock.Millis
		whole       bool
	}{"put off": {200, 5000, true}, "brought forward": {5000, 200, false}} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(noFaults)
			s.slowEngines(100 * time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() {
				s.drainFor(c.first)
				if !s.dispatcher.Drain(s.dispatcher.opts.Clock.Now() + c.then) {
					t.Error("the exit can't be moved")
				}
			})
			if _, cut := s.ask("r", "/once/x"); cut == c.whole {
				t.Errorf("cut off: %v", cut)
			}
			if !c.whole && s.dispatcher.Drain(s.dispatcher.opts.Clock.Now()+c.first) {
				t.Error("the exit is put off after it has ended the requests")
			}
		})
	}
}
