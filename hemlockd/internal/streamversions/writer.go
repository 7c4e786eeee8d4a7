package streamversions

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

const (
	// maxBatch is the number of entries that one transaction of the store may hold.
	maxBatch = 100
	// maxPending bounds the entries that wait while the store is away; those beyond it are left out.
	maxPending = 5_000
	// writeTimeout limits one write.
	writeTimeout = clock.Second
	// writePause is the time after a failed write.
	writePause = 200 * clock.Millisecond
)

// write is an entry that waits to be written.
type write struct {
	entry directory.Entry
	// done is closed when the store has acknowledged the entry.
	done chan struct{}
}

// writer writes records in batches, in the order in which they were added. It is safe for concurrent
// use.
type writer struct {
	o    Options
	wake chan struct{}

	mu      sync.Mutex
	pending []*write
	failing bool
}

func newWriter(o Options) *writer { return &writer{o: o, wake: make(chan struct{}, 1)} }

// add adds an entry to be written.
func (w *writer) add(e directory.Entry) *write {
	added := &write{entry: e, done: make(chan struct{})}
	w.mu.Lock()
	if len(w.pending) >= maxPending {
		w.mu.Unlock()
		metrics.Add("entriesLeftOut", 1)
		return added
	}
	w.pending = append(w.pending, added)
	w.mu.Unlock()
	if e.Removed {
		return added // goes with the next record, or the next tick
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return added
}

// removalDelay is how long removals wait for a record with which they can be written.
const removalDelay = 5 * clock.Second

// isFailing reports whether a record would not be written now.
func (w *writer) isFailing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failing || w.o.StoreFails()
}

func (w *writer) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, removalDelay.Duration())
		select {
		case <-w.wake:
		case <-wait.Done():
		}
		cancel()
		for w.writeBatch(ctx) && clock.Sleep(ctx, w.o.WriteInterval()) {
		}
	}
}

// next returns the entries for the next transaction.
func (w *writer) next() []*write {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending[:min(len(w.pending), maxBatch)]
}

// writeBatch writes the oldest entries and reports whether more are left.
func (w *writer) writeBatch(ctx context.Context) bool {
	batch := w.next()
	if len(batch) == 0 {
		return false
	}
	last := map[string]directory.Entry{}
	for _, one := range batch {
		last[one.entry.Key] = one.entry
	}
	entries := make([]directory.Entry, 0, len(last))
	for _, e := range last {
		entries = append(entries, e)
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	_, err := w.o.Store.Write(callCtx, directory.Streams, entries)
	cancel()
	w.logState(ctx, err)
	if err != nil {
		metrics.Add("writeFailures", 1)
		return clock.Sleep(ctx, writePause)
	}
	metrics.Add("writes", 1)
	w.mu.Lock()
	w.pending = w.pending[len(batch):]
	left := len(w.pending) > 0
	w.mu.Unlock()
	for _, one := range batch {
		close(one.done)
	}
	return left
}

// logState logs that writes begin to fail, or work again.
func (w *writer) logState(ctx context.Context, err error) {
	failing := err != nil
	w.mu.Lock()
	changed := failing != w.failing && ctx.Err() == nil
	if changed {
		w.failing = failing
	}
	w.mu.Unlock()
	if changed {
		w.o.Log.Info("the store changed state", zap.String("topic", string(directory.Streams)), zap.Bool("reachable", !failing), zap.Error(err))
	}
}
