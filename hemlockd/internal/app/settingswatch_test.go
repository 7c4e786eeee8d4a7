package app

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/platform"
)

// writeSettings writes a settings file with a grace period.
func writeSettings(t *testing.T, path string, graceS int) {
	t.Helper()
	text := fmt.Sprintf("NodeName = \"d\"\nInternalPorts = [1, 2]\n[Listen]\nFront = \"127.0.0.1:1\"\nReady = \"127.0.0.1:2\"\nControl = \"127.0.0.1:3\"\n[Platform]\nAddress = \"127.0.0.1:4\"\n[Bounds]\nGraceS = %d\n", graceS)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// watchedGrace starts to watch a settings file and returns the grace periods that are applied.
func watchedGrace(t *testing.T, path string, started platform.Settings) <-chan clock.Millis {
	t.Helper()
	applied := make(chan clock.Millis, 9)
	t.Cleanup(watchSettings(zap.NewNop(), path, make(chan os.Signal), started, func(s platform.Settings) { applied <- s.ShutdownGraceMs }))
	return applied
}

func awaitGrace(t *testing.T, applied <-chan clock.Millis, want clock.Millis) {
	t.Helper()
	select {
	case got := <-applied:
		if got != want {
			t.Errorf("applied %d ms, want %d", got, want)
		}
	case <-time.After(3 * time.Second):
		t.Error("the changed file is not read")
	}
}

// Guards against settings that change while the daemon starts, after they have been read and before the file is watched,
// and are then never in force.
func TestSettingsThatChangeDuringTheStartAreRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d.toml")
	writeSettings(t, path, 8)
	started, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	writeSettings(t, path, 14)
	awaitGrace(t, watchedGrace(t, path, started), 14*clock.Second)
}

// Guards against a change that is read while the file is being written, and whose rest is not seen because the file
// system's clock has not moved between.
func TestSettingsReadWhileTheyAreWrittenAreReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d.toml")
	writeSettings(t, path, 8)
	started, err := platform.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	applied := watchedGrace(t, path, started)
	at := time.Now().Add(-time.Minute)
	if err := os.Truncate(path, 0); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // the empty file is read
	writeSettings(t, path, 14)
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
	awaitGrace(t, applied, 14*clock.Second)
}
