package app

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/platform"
)

// settingsInterval is the interval at which the settings file's modification time is
// checked: the file may change without a signal.
const settingsInterval = clock.Second

// Causes of a reload.
const (
	causeSignal = "signal"
	causeFile   = "file"
)

// settingsWatch reloads the settings file after a signal or a change of the file.
type settingsWatch struct {
	log      *zap.Logger
	path     string
	signals  chan os.Signal
	inForce  platform.Settings
	modified time.Time // modification time and size of the file as it was last read; zero: not yet
	size     int64
	// apply applies the settings that can change while the daemon runs.
	apply func(platform.Settings)
}

// catchReloadSignals starts to catch SIGHUP, the signal to reload the settings. It
// must be called first: an uncaught SIGHUP ends the process.
func catchReloadSignals() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings starts to watch the settings file and returns the function that
// stops the watch. The signals stay caught: an uncaught one would end the process while it shuts down.
//
// The file is read at the first check in any case: it may have changed since the settings in force were read.
func watchSettings(log *zap.Logger, path string, signals chan os.Signal, inForce platform.Settings, apply func(platform.Settings)) func() {
	w := &settingsWatch{log: log, path: path, signals: signals, inForce: inForce, apply: apply}
	ctx, cancel := context.WithCancel(context.Background())
	go w.run(ctx)
	return cancel
}

func (w *settingsWatch) run(ctx context.Context) {
	ticker := time.NewTicker(settingsInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.signals:
			w.reload(causeSignal)
		case <-ticker.C:
			if info, err := os.Stat(w.path); err == nil && (!info.ModTime().Equal(w.modified) || info.Size() != w.size) {
				w.modified, w.size = info.ModTime(), info.Size()
				w.reload(causeFile)
			}
		}
	}
}

// reload reads the settings file and applies it. If the file is invalid, the previous
// settings stay in force.
func (w *settingsWatch) reload(cause string) {
	settings, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Error("settings are wrong; the old ones stay in force", zap.String("cause", cause), zap.Error(err))
		return
	}
	if cause == causeFile && reflect.DeepEqual(settings, w.inForce) {
		return
	}
	w.inForce = settings
	w.apply(settings)
	w.log.Info("settings are read again", zap.String("cause", cause))
}
