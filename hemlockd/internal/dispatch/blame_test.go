package dispatch

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// askParts sends a request whose prompt has the parts.
func (s *setup) askParts(id, path, parts string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := newRequest(id, path)
	r.Header.Set("Parts", parts)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(id)), int64(len(id)) // no two are alike
	func() {
		defer func() { _ = recover() }() // a cut connection
		s.dispatcher.ServeHTTP(w, r)
	}()
	return w
}

// crashingPart is the id of the part on which engines crash in these tests.
const crashingPart = "bad"

// crashOnPart lets each engine crash that begins to answer a request with the part.
func (s *setup) crashOnPart() {
	s.upstreams.failProbes = true
	s.upstreams.send = func(call *calls.Call, to routing.Upstream, d calls.Delivery) error {
		if d.Phase != calls.PhaseDecode {
			return nil
		}
		for _, part := range call.Prompt.SharedParts() {
			if part == crashingPart {
				return &calls.Error{Upstream: to.ID, Phase: d.Phase, Cause: calls.CauseConnectionLost, Outcome: calls.Unknown, Err: errors.New("crashed")}
			}
		}
		return nil
	}
}

// restartEngines replaces all decode engines by new processes that are up.
func (s *setup) restartEngines(generation int) {
	dir := s.dispatcher.opts.Directory.(*fakeDirectory)
	engines := slices.Clone(dir.Upstreams("model"))
	for i := range engines {
		if engines[i].Role == routing.RoleDecode {
			engines[i].ID = fmt.Sprintf("d%d-%d", i, generation)
		}
	}
	dir.mu.Lock()
	dir.upstreams["model"] = engines
	dir.mu.Unlock()
	s.dispatcher.RefreshEngines()
}

// blamePart crashes engines by requests with the part until it is refused.
func (s *setup) blamePart(t *testing.T) {
	t.Helper()
	for i := range 6 {
		s.restartEngines(i)
		answer := s.askParts(fmt.Sprint("crash", i), "/once/x", fmt.Sprintf("first,%s,own%d", crashingPart, i))
		time.Sleep(crashCheckTime)
		if answer.Code == http.StatusServiceUnavailable {
			s.restartEngines(6)
			return
		}
	}
	t.Fatal("the part was never refused")
}

// TestPartThatCrashesEnginesIsRefused guards against requests that share one part of their
// prompt, no two alike, and end one engine after another.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	s := newSetup(noFaults)
	s.crashOnPart()
	s.blamePart(t)
	answer := s.askParts("r", "/once/x", "other,bad,own")
	if answer.Code != http.StatusServiceUnavailable || answer.Header().Get("Retry-After") == "" || !strings.Contains(answer.Body.String(), reasonPart) {
		t.Errorf("status %d, %v, %s", answer.Code, answer.Header(), answer.Body)
	}
	if runs := s.upstreams.runs["r"] + s.upstreams.acceptedPrefills["r"]; runs != 0 {
		t.Errorf("%d calls for a refused request", runs)
	}
	for _, parts := range []string{"first,own", "first,other,own", "bad"} { // the last part is the request's own
		if answer := s.askParts(parts, "/once/x", parts); answer.Code != http.StatusOK {
			t.Errorf("prompt %s: status %d, want 200", parts, answer.Code)
		}
	}
}

// TestRequestIsAskedAgainBeforeEachSend guards against requests that had arrived before a
// part was blamed, and reach engines after it: while they wait, are prefilled, or are about
// to be repeated.
func TestRequestIsAskedAgainBeforeEachSend(t *testing.T) {
	s := newSetup(noFaults)
	s.crashOnPart()
	blame := func() {
		for i := range 3 {
			s.dispatcher.opts.Prompts.RecordCrash("model", fmt.Sprint("e", i), []string{"first", crashingPart}, s.dispatcher.opts.Clock.Now())
		}
	}
	send := s.upstreams.send
	var sends atomic.Int32
	s.upstreams.send = func(call *calls.Call, to routing.Upstream, d calls.Delivery) error {
		sends.Add(1)
		if d.Phase == calls.PhasePrefill {
			blame() // while the prompt is prefilled
		}
		return send(call, to, d)
	}
	answer := s.askParts("r", "/resumable/x", "first,bad,own")
	if answer.Code != http.StatusServiceUnavailable || sends.Load() != 1 {
		t.Errorf("blamed during the prefill: status %d after %d sends, want 503 after 1", answer.Code, sends.Load())
	}

	s = newSetup(noFaults)
	s.crashOnPart()
	send = s.upstreams.send
	sends.Store(0)
	s.upstreams.send = func(call *calls.Call, to routing.Upstream, d calls.Delivery) error {
		sends.Add(1)
		err := send(call, to, d)
		if d.Phase == calls.PhaseDecode {
			blame() // as the engine crashes
		}
		return err
	}
	answer = s.askParts("r", "/resumable/x", "first,bad,own")
	if answer.Code != http.StatusBadGateway || sends.Load() != 2 {
		t.Errorf("blamed before the repeat: status %d after %d sends, want 502 after 2", answer.Code, sends.Load())
	}
}

// TestOneDaemonTriesABlamedPartAgain checks that the responsible daemon sends one request
// with a blamed part when a try is due, and that its completion ends the refusal.
func TestOneDaemonTriesABlamedPartAgain(t *testing.T) {
	s := newSetup(noFaults)
	before := s.dispatcher.opts.Clock.Now() - 5*clock.Minute
	for i := range 3 {
		s.dispatcher.opts.Prompts.RecordCrash("model", fmt.Sprint("e", i), []string{"first", crashingPart}, before)
	}
	if answer := s.askParts("a", "/once/x", "first,bad,own"); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d at a daemon that may not try, want 503", answer.Code)
	}
	s.dispatcher.opts.MayTryPart = func(part string) bool { return part == crashingPart }
	if answer := s.askParts("b", "/once/x", "first,bad,own"); answer.Code != http.StatusOK {
		t.Errorf("status %d of the try, want 200", answer.Code)
	}
	s.dispatcher.opts.MayTryPart = func(string) bool { return false }
	if answer := s.askParts("c", "/once/x", "first,bad,own"); answer.Code != http.StatusOK {
		t.Errorf("status %d after the try, want 200", answer.Code)
	}
}

// TestTryIsNotRepeated checks that a try whose engine crashes is not sent to another one.
func TestTryIsNotRepeated(t *testing.T) {
	s := newSetup(noFaults)
	s.crashOnPart()
	before := s.dispatcher.opts.Clock.Now() - 5*clock.Minute
	for i := range 3 {
		s.dispatcher.opts.Prompts.RecordCrash("model", fmt.Sprint("e", i), []string{"first", crashingPart}, before)
	}
	s.dispatcher.opts.MayTryPart = func(string) bool { return true }
	answer := s.askParts("a", "/resumable/x", "first,bad,own")
	time.Sleep(crashCheckTime)
	if answer.Code != http.StatusBadGateway || s.upstreams.decodes.Load() != 1 {
		t.Errorf("status %d, %d decodes, want 502 and 1", answer.Code, s.upstreams.decodes.Load())
	}
	if answer := s.askParts("b", "/resumable/x", "first,bad,own"); answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d right after a try that failed, want 503", answer.Code)
	}
}
