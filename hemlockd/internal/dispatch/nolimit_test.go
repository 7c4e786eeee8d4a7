package dispatch

import (
	"net/http"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
)

// TestStreamOfUnknownLengthIsRefusedAtTheShutdown guards against a stream whose caller names no output limit, which a stopping daemon
// takes for one of a single token.
func TestStreamOfUnknownLengthIsRefusedAtTheShutdown(t *testing.T) {
	s := newSetup(noFaults)
	s.slowEngines(5 * time.Millisecond)
	for range 6 { // until every engine's pace has been seen
		s.ask("pace", "/once/x")
	}
	s.slowEngines(200 * time.Millisecond)
	read := s.dispatcher.opts.ReadCall
	s.dispatcher.opts.ReadCall = func(r *http.Request) *calls.Call {
		call := read(r)
		call.Prompt.MaxOutputTokens, call.Prompt.ExpectedOutputTokens = 0, 0 // not given
		return call
	}
	s.drainFor(1000)
	if answer, cut := s.ask("unknown", "/once/x"); cut || answer.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, cut %v", answer.Code, cut)
	}
}
