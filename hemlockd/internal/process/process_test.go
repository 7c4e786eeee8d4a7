package process

import (
	"os"
	"path/filepath"
	"strings"
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

// TestLimitsOfCallersAreChecked gives the limits on callers values that are no use.
func TestLimitsOfCallersAreChecked(t *testing.T) {
	write := func(lines string) string {
		path := filepath.Join(t.TempDir(), "hemlockd.toml")
		text := "name = \"vm-1\"\ndataCentre = \"a\"\ntable = \"t\"\nobjects = \"o\"\nvms = \"v\"\ncallers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n" +
			"daemons = \"127.0.0.1:3\"\ndaemonKey = \"process-test-daemons-key\"\n" + lines
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for lines, says := range map[string]string{
		"":                                  "",
		"memoryMb = 134\nmaxFds = 4100":     "",
		"memoryMb = 10":                     "memoryMb",
		"memoryMb = -1":                     "memoryMb",
		"maxFds = 10":                       "maxFds",
		"maxHeaderBytes = 100":              "maxHeaderBytes",
		"maxHeaderBytes = 100000000":        "maxHeaderBytes",
		"headerTimeoutMs = 0":               "headerTimeoutMs",
		"bodyTimeoutMs = 0":                 "bodyTimeoutMs",
		"unreadAnswerMs = 100000000":        "unreadAnswerMs",
		"maxHeaderBytes = 16384\nmaxFd = 1": "unknown key",
	} {
		_, err := LoadConfig(write(lines))
		if (err == nil) != (says == "") || err != nil && !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, want %q", lines, err, says)
		}
	}
}
