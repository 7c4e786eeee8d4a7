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

// settingsInterval is the time between two looks at whether the settings file
// has changed: it may change without a signal.
const settingsInterval = clock.Second

// settingsWatch reads the settings file again after a signal or a change.
type settingsWatch struct {
	log     *zap.Logger
	path    string
	signals chan os.Signal
	changed time.Time
	// apply takes over what can change while the daemon runs.
	apply func(platform.Settings)
}

// catchHangups begins to catch the signal that the settings have changed. It is
// called before all else: uncaught, the signal ends the process.
func catchHangups() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings starts a watch and returns the function that ends it.
func watchSettings(log *zap.Logger, path string, signals chan os.Signal, apply func(platform.Settings)) func() {
	w := &settingsWatch{log: log, path: path, signals: signals, apply: apply}
	if info, err := os.Stat(path); err == nil {
		w.changed = info.ModTime()
	}
	ctx, cancel := context.WithCancel(context.Background())
	go w.run(ctx)
	return func() {
		signal.Stop(w.signals)
		cancel()
	}
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
			if info, err := os.Stat(w.path); err == nil && !info.ModTime().Equal(w.changed) {
				w.changed = info.ModTime()
				w.reload("file")
			}
		}
	}
}

// reload applies the settings; settings that are wrong leave the old ones in
// force.
func (w *settingsWatch) reload(cause string) {
	own, err := platform.LoadSettings(w.path)
	if err != nil {
		w.log.Error("settings are wrong; the old ones stay in force", zap.String("cause", cause), zap.Error(err))
		return
	}
	w.apply(own)
	w.log.Info("settings are read again", zap.String("cause", cause))
}
