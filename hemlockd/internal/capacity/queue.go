package capacity

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
)

// Queue holds runs that wait for engine capacity, in order of arrival. Later runs
// may overtake one that cannot be placed.
type Queue struct {
	clk  clock.Clock
	view *View
	// daemons returns the number of daemons that place runs at the same engines.
	daemons func() int

	mu             sync.Mutex
	waiting        []*waiter
	retryScheduled bool // a call of scheduledRetry is pending
}

const (
	// retrySpreadPerDaemon is the time by which each further daemon widens the interval
	// over which daemons spread their placement attempts, so that the update about the
	// first one's placement reaches the next one in time.
	retrySpreadPerDaemon = 600 * time.Microsecond
	// maxRetrySpread bounds that interval.
	maxRetrySpread = 60 * time.Millisecond
)

// waiter is a run that waits in the queue.
type waiter struct {
	run     Run
	options PlaceOptions
	placed  chan Run // receives the run at most once
}

// retryInterval is the base interval between two placement attempts for waiting runs.
// The attempts are needed because a prefill engine may become free without an update.
const retryInterval = 20 * clock.Millisecond

// NewQueue returns an empty queue for the engines of a view. daemons returns the
// number of daemons that place runs at the same engines.
func NewQueue(clk clock.Clock, view *View, daemons func() int) *Queue {
	return &Queue{clk: clk, view: view, daemons: daemons}
}

// Place reserves engines for the run, waiting for capacity until ctx ends, and returns
// the run with its engines. It returns false if ctx ended first. It never chooses
// engines in exclude. skipPrefill says that the prompt needs no prefill.
func (q *Queue) Place(ctx context.Context, r Run, skipPrefill bool, exclude map[string]bool) (Run, bool) {
	w := &waiter{run: r, options: PlaceOptions{SkipPrefill: skipPrefill, Exclude: exclude}, placed: make(chan Run, 1)}
	q.mu.Lock()
	w.options.CompetingRuns, w.options.RetryIntervalMs = q.competitionLocked()
	if r.Continues || !q.continuesLocked() {
		if placed, ok := q.view.Place(r, w.options, q.clk.Now()); ok {
			q.mu.Unlock()
			return placed, true
		}
	}
	q.addLocked(w)
	q.mu.Unlock()
	ticker := time.NewTicker(retryInterval.Duration() + q.randomDelay())
	defer ticker.Stop()
	for {
		select {
		case placed := <-w.placed:
			return placed, true
		case <-ctx.Done():
			return q.withdraw(w)
		case <-ticker.C:
			q.Retry()
		}
	}
}

// continuesLocked reports whether a run that goes on with a stream waits.
func (q *Queue) continuesLocked() bool { return len(q.waiting) > 0 && q.waiting[0].run.Continues }

// addLocked adds a run to those that wait. Those that go on with a stream come first: their callers have
// waited for it before, and what has been generated would be lost.
func (q *Queue) addLocked(w *waiter) {
	i := len(q.waiting)
	if w.run.Continues {
		i = slices.IndexFunc(q.waiting, func(other *waiter) bool { return !other.run.Continues })
		if i < 0 {
			i = len(q.waiting)
		}
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

// withdraw removes a waiter from the queue, or returns its placement if it was placed
// in the meantime.
func (q *Queue) withdraw(w *waiter) (Run, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return w.run, false
		}
	}
	return <-w.placed, true
}

// competitionLocked returns the estimated number of runs that wait at other daemons,
// assuming that as many wait at each of them as here, and the mean time in ms between
// two placement attempts of a run.
func (q *Queue) competitionLocked() (runs, intervalMs float64) {
	others := q.daemons() - 1
	return float64(len(q.waiting) * others), float64(retryInterval) + float64(retrySpread(others).Milliseconds())/2
}

// retrySpread returns the interval over which this daemon and the given number of
// others spread their placement attempts.
func retrySpread(others int) time.Duration {
	return max(0, min(maxRetrySpread, time.Duration(others)*retrySpreadPerDaemon))
}

// randomDelay returns a random part of the interval over which daemons spread their
// placement attempts.
func (q *Queue) randomDelay() time.Duration {
	return time.Duration(rand.Int64N(int64(retrySpread(q.daemons()-1)) + 1))
}

// RetrySoon schedules a placement attempt for the waiting runs after a random delay,
// since other daemons learn of the same capacity at the same time.
func (q *Queue) RetrySoon() {
	q.mu.Lock()
	due := !q.retryScheduled && len(q.waiting) > 0
	q.retryScheduled = q.retryScheduled || due
	q.mu.Unlock()
	if due {
		time.AfterFunc(q.randomDelay(), q.scheduledRetry)
	}
}

func (q *Queue) scheduledRetry() {
	q.mu.Lock()
	q.retryScheduled = false
	q.mu.Unlock()
	q.Retry()
}

// Retry tries to place the waiting runs. It is called when one of this daemon's runs
// ends or an engine becomes available.
func (q *Queue) Retry() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return
	}
	now := q.clk.Now()
	runs, intervalMs := q.competitionLocked()
	still := q.waiting[:0]
	for _, w := range q.waiting {
		w.options.CompetingRuns, w.options.RetryIntervalMs = runs, intervalMs
		if placed, ok := q.view.Place(w.run, w.options, now); ok {
			w.placed <- placed
			continue
		}
		still = append(still, w)
	}
	clear(q.waiting[len(still):])
	q.waiting = still
}
