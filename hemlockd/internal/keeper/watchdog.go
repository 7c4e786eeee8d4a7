package keeper

import (
	"sync"
	"sync/atomic"
	"time"
)

// watchdog calls onExpire once no progress has been reported before the deadline. Reporting
// progress is only an atomic store: the timer is not reset then, but checks the deadline when it
// fires and restarts itself for the rest.
type watchdog struct {
	deadline atomic.Int64 // nanoseconds since start
	start    time.Time
	onExpire func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newWatchdog(limit time.Duration, onExpire func()) *watchdog {
	w := &watchdog{start: time.Now(), onExpire: onExpire}
	w.deadline.Store(int64(limit))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.onTimer)
	return w
}

// progress moves the deadline to limit from now.
func (w *watchdog) progress(limit time.Duration) {
	w.deadline.Store(int64(time.Since(w.start) + limit))
}

func (w *watchdog) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if left := time.Duration(w.deadline.Load()) - time.Since(w.start); left > 0 {
		w.timer.Reset(left)
		return
	}
	w.onExpire()
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
