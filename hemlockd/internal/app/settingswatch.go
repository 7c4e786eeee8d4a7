package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/platform"
)

// settingsInterval is the interval at which the settings file's modification time is
// checked: the file may change without a signal.
const settingsInterval = clock.Second

// settingsWatch reloads the settings file after a signal or a change of the file.
type settingsWatch struct {
	log      *zap.Logger
	path     string
	signals  chan os.Signal
	modified time.Time
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
func watchSettings(log *zap.Logger, path string, signals chan os.Signal, apply func(platform.Settings)) func() {
	w := &settingsWatch{log: log, path: path, signals: signals, apply: apply}
	if info, err := os.Stat(path); err == nil {
		w.modified = info.ModTime()
	}
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
			w.reload("signal")
		case <-ticker.C:
			if info, err := os.Stat(w.path); err == nil && !info.ModTime().Equal(w.modified) {
				w.modified = info.ModTime()
				w.reload("file")
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
	w.apply(settings)
	w.log.Info("settings are read again", zap.String("cause", cause))
}
