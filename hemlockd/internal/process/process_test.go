package process

import (
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// TestDefaultIntervalsAddUpToTheLeavingGrace guards against intervals that are each short
// enough and whose sum is not: a leaving upstream then gets new work after leavingGraceMs.
func TestDefaultIntervalsAddUpToTheLeavingGrace(t *testing.T) {
	cfg, grace := DefaultConfig(), settings.DefaultSystem().Policy.LeavingGraceMs
	if delay := cfg.LeavingDelayMs(); delay > grace {
		t.Errorf("new work may reach a leaving upstream for %d ms, want at most %d", delay, grace)
	}
	for name, slow := range map[string]Config{
		"load reports": {LoadMs: 2 * clock.Second, VMListMs: clock.Second},
		"VM list":      {LoadMs: clock.Second, VMListMs: 3 * clock.Second},
	} {
		if delay := slow.LeavingDelayMs(); delay <= grace {
			t.Errorf("%s: a sum of %d ms is said to be within %d", name, delay, grace)
		}
	}
}
