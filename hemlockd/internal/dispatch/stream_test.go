package dispatch

import (
	"testing"

	"hemlockmux.example/common/calls"
)

// TestVerdictNamesWhyAStreamEnded guards against a cut stream whose record does not say
// why it ended: the engine's connection, its silence, the caller or the time limit.
func TestVerdictNamesWhyAStreamEnded(t *testing.T) {
	s := newSetup(func(name string, n int) int {
		switch name {
		case "fault in prefill":
			return 7
		case "fault in decode":
			return faultTruncatedBody
		case "cut":
			return n / 2
		}
		return 0
	})
	s.ask("r", "/once/x")
	attempts := s.verdicts.all["r"].Attempts
	if last := attempts[len(attempts)-1]; last.Cause != string(calls.CauseConnectionLost) {
		t.Errorf("last attempt %+v, want cause %q", last, calls.CauseConnectionLost)
	}
}
