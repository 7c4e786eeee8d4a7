package capacity

import (
	"context"
	"sync"

	"hemlockmux.example/common/clock"
)

// Queue holds the runs that wait for room at some engine, the first to come
// first; a run that finds no room is passed by later ones that do.
type Queue struct {
	clk  clock.Clock
	view *View

	mu      sync.Mutex
	waiting []*waiter
}

type waiter struct {
	run    Run
	not    map[string]bool
	placed chan string // receives at most one engine
}

// NewQueue returns an empty queue for the engines of a view.
func NewQueue(clk clock.Clock, view *View) *Queue { return &Queue{clk: clk, view: view} }

// Place books a place for the run, waiting for one until ctx ends.
func (q *Queue) Place(ctx context.Context, r Run, not map[string]bool) (string, bool) {
	w := &waiter{run: r, not: not, placed: make(chan string, 1)}
	q.mu.Lock()
	if engine, ok := q.view.Place(r, not, q.clk.Now()); ok {
		q.mu.Unlock()
		return engine, true
	}
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	select {
	case engine := <-w.placed:
		return engine, true
	case <-ctx.Done():
		return q.giveUp(w)
	}
}

// giveUp takes a waiter out of the queue. It may have been placed meanwhile.
func (q *Queue) giveUp(w *waiter) (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return "", false
		}
	}
	return <-w.placed, true
}

// Wake looks for room for those that wait; it is called when some run ends or
// an engine comes.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return
	}
	now := q.clk.Now()
	still := q.waiting[:0]
	for _, w := range q.waiting {
		if engine, ok := q.view.Place(w.run, w.not, now); ok {
			w.placed <- engine
			continue
		}
		still = append(still, w)
	}
	clear(q.waiting[len(still):])
	q.waiting = still
}

// Waiting is the number of runs that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}
