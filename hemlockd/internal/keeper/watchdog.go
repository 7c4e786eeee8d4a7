package keeper

import (
	"sync"
	"sync/atomic"
	"time"
)

// watchdog calls a function when nothing has made progress for a while. Noting
// progress is one atomic store: the timer is not moved, but looks for itself
// when it fires.
type watchdog struct {
	deadline atomic.Int64 // nanoseconds since start
	start    time.Time
	expired  func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newWatchdog(limit time.Duration, expired func()) *watchdog {
	w := &watchdog{start: time.Now(), expired: expired}
	w.deadline.Store(int64(limit))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.look)
	return w
}

// progress gives the next step limit from now.
func (w *watchdog) progress(limit time.Duration) {
	w.deadline.Store(int64(time.Since(w.start) + limit))
}

func (w *watchdog) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if left := time.Duration(w.deadline.Load()) - time.Since(w.start); left > 0 {
		w.timer.Reset(left)
		return
	}
	w.expired()
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
