package capacity

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
)

// Queue holds the runs that wait for room at some engine, the first to come
// first; a run that finds no room is passed by later ones that do.
type Queue struct {
	clk  clock.Clock
	view *View
	// daemons tells how many daemons look for room at the same engines.
	daemons func() int

	mu      sync.Mutex
	waiting []*waiter
	soon    bool // a look for room is due
}

const (
	// spreadForDaemon is the time over which daemons spread their looks for the
	// same room, for each of them, so that the first one's news reaches the next
	// in time.
	spreadForDaemon = 600 * time.Microsecond
	// mostLookSpread bounds that time.
	mostLookSpread = 60 * time.Millisecond
)

type waiter struct {
	run    Run
	search PlaceOptions
	placed chan Run // receives the run at most once
}

// recheck is the time between two looks for room while some wait: a prefill
// engine gets free without news.
const recheck = 20 * clock.Millisecond

// NewQueue returns an empty queue for the engines of a view. daemons tells how
// many daemons look for room at the same engines.
func NewQueue(clk clock.Clock, view *View, daemons func() int) *Queue {
	return &Queue{clk: clk, view: view, daemons: daemons}
}

// Place books a place for the run, waiting for one until ctx ends. read says that
// its prompt needs no prefill.
func (q *Queue) Place(ctx context.Context, r Run, read bool, not map[string]bool) (Run, bool) {
	w := &waiter{run: r, search: PlaceOptions{SkipPrefill: read, Exclude: not}, placed: make(chan Run, 1)}
	q.mu.Lock()
	w.search.CompetingRuns, w.search.RetryIntervalMs = q.crowdLocked()
	if placed, ok := q.view.Place(r, w.search, q.clk.Now()); ok {
		q.mu.Unlock()
		return placed, true
	}
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	ticker := time.NewTicker(recheck.Duration() + q.spread())
	defer ticker.Stop()
	for {
		select {
		case placed := <-w.placed:
			return placed, true
		case <-ctx.Done():
			return q.giveUp(w)
		case <-ticker.C:
			q.Retry()
		}
	}
}

// giveUp takes a waiter out of the queue. It may have been placed meanwhile.
func (q *Queue) giveUp(w *waiter) (Run, bool) {
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

// crowdLocked returns how many other runs are thought to look for a place, as many
// at each of the other daemons as wait here, and the time in which each looks once.
func (q *Queue) crowdLocked() (runs, lookMs float64) {
	others := q.daemons() - 1
	return float64(len(q.waiting) * others), float64(recheck) + float64(spreadOf(others).Milliseconds())/2
}

// spreadOf is the time over which this daemon and so many others spread their looks.
func spreadOf(others int) time.Duration {
	return max(0, min(mostLookSpread, time.Duration(others)*spreadForDaemon))
}

// spread is a random part of the time over which daemons spread their looks.
func (q *Queue) spread() time.Duration {
	return time.Duration(rand.Int64N(int64(spreadOf(q.daemons()-1)) + 1))
}

// RetrySoon looks for room at a random time soon: other daemons heard of the same
// room at the same time.
func (q *Queue) RetrySoon() {
	q.mu.Lock()
	due := !q.soon && len(q.waiting) > 0
	q.soon = q.soon || due
	q.mu.Unlock()
	if due {
		time.AfterFunc(q.spread(), q.wakeDue)
	}
}

func (q *Queue) wakeDue() {
	q.mu.Lock()
	q.soon = false
	q.mu.Unlock()
	q.Retry()
}

// Retry looks for room for those that wait; it is called when one of this
// daemon's runs ends or an engine comes.
func (q *Queue) Retry() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return
	}
	now := q.clk.Now()
	crowd, lookMs := q.crowdLocked()
	still := q.waiting[:0]
	for _, w := range q.waiting {
		w.search.CompetingRuns, w.search.RetryIntervalMs = crowd, lookMs
		if placed, ok := q.view.Place(w.run, w.search, now); ok {
			w.placed <- placed
			continue
		}
		still = append(still, w)
	}
	clear(q.waiting[len(still):])
	q.waiting = still
}
