// Package archive stores verdicts in the platform's object store, so that they outlive
// the daemon that gave them. Each object is a compressed batch of JSON lines, to keep
// the number of objects low. Requests never wait for the store. If a daemon is killed,
// the verdicts that it has not stored yet are lost: those of at most one interval while
// the store is available.
//
// # Usage
//
//	a, closeArchive := archive.New(options)
//	a.Record(v)
package archive

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
)

const (
	// storeInterval is the shortest interval at which batches are stored.
	storeInterval = 10 * clock.Second
	// drainInterval is the same while the daemon shuts down.
	drainInterval = clock.Second
	// objectsPerSecond is the number of objects that all daemons together may store in a
	// second; with more daemons than that allows, the interval is longer.
	objectsPerSecond = 10
	// storeTimeout bounds one attempt to store an object.
	storeTimeout = 3 * clock.Second
	// maxWaitingBytes bounds the size of the compressed batches that wait while the
	// store is unavailable. The oldest are dropped and counted.
	maxWaitingBytes = 8 << 20
	// keptSpan is how long stored batches are kept: a store that comes back from a copy may have
	// lost those that were stored within that time.
	keptSpan = clock.Minute
	// maxKeptBytes bounds the size of the kept batches.
	maxKeptBytes = 2 << 20
	// maxBatchBytes is the size before compression at which a batch is closed before
	// the interval ends.
	maxBatchBytes = 2 << 20
)

var metrics = expvar.NewMap("archive")

// Objects is the object store.
type Objects interface {
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, data []byte) error
}

// Options holds the dependencies of an archive.
type Options struct {
	// Log is the daemon's log.
	Log *zap.Logger
	// Clock is the source of the time.
	Clock clock.Clock
	// Objects is the object store.
	Objects Objects
	// Daemon is the name of the daemon.
	Daemon string
	// Daemons returns the number of daemons, which share the object store.
	Daemons func() int
	// StartedMs is the start time of the daemon, in Unix ms. It keeps the names of
	// objects unique across restarts.
	StartedMs clock.Millis
}

// Archive collects verdicts and stores them in batches. It is safe for concurrent use.
type Archive struct {
	o            Options
	mu           sync.Mutex
	batch        bytes.Buffer // JSON lines of the open batch
	waiting      []object     // closed batches, the oldest first
	waitingBytes int          // total size of waiting
	kept         []object     // stored batches, the oldest first
	sequence     int          // number of closed batches
	draining     atomic.Bool
	drain        chan struct{} // closed when the daemon begins to shut down
	done         chan struct{}
}

// object is a closed batch.
type object struct {
	name string
	data []byte
	// storedMs is when the store acknowledged it.
	storedMs clock.Millis
}

// New starts an archive. The returned function makes a last attempt to store the
// remaining verdicts and stops the archive.
func New(o Options) (*Archive, func()) {
	a := &Archive{o: o, drain: make(chan struct{}), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go a.run(ctx)
	return a, func() {
		cancel()
		<-a.done
	}
}

// Record adds a verdict to the open batch.
func (a *Archive) Record(v verdict.Verdict) {
	line, err := json.Marshal(v)
	if err != nil {
		a.o.Log.Error("verdict can't be encoded", zap.String("request", v.RequestID), zap.Error(err))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.batch.Write(line)
	a.batch.WriteByte('\n')
	if a.batch.Len() >= maxBatchBytes {
		a.closeBatchLocked()
	}
}

func (a *Archive) run(ctx context.Context) {
	defer close(a.done)
	for a.await(ctx) {
		a.store(ctx)
	}
	lastCtx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	a.store(lastCtx)
}

// Drain prepares for the daemon's exit: batches are stored at once and then at short intervals, so that little is left for
// the last attempt. It must be called once.
func (a *Archive) Drain() {
	a.draining.Store(true)
	close(a.drain)
}

// await waits until batches are to be stored. It returns false if ctx is done first.
func (a *Archive) await(ctx context.Context) bool {
	if a.draining.Load() {
		return clock.Sleep(ctx, a.interval())
	}
	wait, cancel := context.WithTimeout(ctx, a.interval().Duration())
	defer cancel()
	select {
	case <-a.drain:
	case <-wait.Done():
	}
	return ctx.Err() == nil
}

// interval returns the time until the next batch is stored.
func (a *Archive) interval() clock.Millis {
	shortest := storeInterval
	if a.draining.Load() {
		shortest = drainInterval
	}
	return max(shortest, clock.Millis(a.o.Daemons())*clock.Second/objectsPerSecond)
}

// closeBatchLocked compresses the open batch and appends it to the waiting ones. It drops
// the oldest of them if they exceed maxWaitingBytes, but always keeps the newest.
func (a *Archive) closeBatchLocked() {
	if a.batch.Len() == 0 {
		return
	}
	var data bytes.Buffer
	z := gzip.NewWriter(&data)
	if _, err := z.Write(a.batch.Bytes()); err != nil {
		a.o.Log.Error("verdicts can't be compressed", zap.Error(err))
		return
	}
	if err := z.Close(); err != nil {
		a.o.Log.Error("verdicts can't be compressed", zap.Error(err))
		return
	}
	a.batch.Reset()
	a.sequence++
	name := fmt.Sprintf("%s%s~%d~%d", verdict.BatchPrefix, a.o.Daemon, a.o.StartedMs, a.sequence)
	a.waiting = append(a.waiting, object{name: name, data: data.Bytes()})
	a.waitingBytes += data.Len()
	for a.waitingBytes > maxWaitingBytes && len(a.waiting) > 1 {
		a.waitingBytes -= len(a.waiting[0].data)
		a.waiting = a.waiting[1:]
		metrics.Add("droppedBatches", 1)
	}
}

// store closes the open batch and stores the waiting batches, the oldest first, until
// one fails.
func (a *Archive) store(ctx context.Context) {
	a.mu.Lock()
	a.closeBatchLocked()
	a.mu.Unlock()
	for {
		a.mu.Lock()
		if len(a.waiting) == 0 {
			a.mu.Unlock()
			return
		}
		first := a.waiting[0]
		a.mu.Unlock()
		attemptCtx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
		err := a.o.Objects.PutObject(attemptCtx, first.name, first.data)
		cancel()
		if err != nil {
			metrics.Add("failedStores", 1)
			return
		}
		metrics.Add("storedBatches", 1)
		a.mu.Lock()
		if len(a.waiting) > 0 && a.waiting[0].name == first.name {
			a.waitingBytes -= len(first.data)
			a.waiting = a.waiting[1:]
			a.keepLocked(first)
		}
		a.mu.Unlock()
	}
}

// keepLocked keeps a stored batch for Restored and drops the oldest of those that are kept.
func (a *Archive) keepLocked(stored object) {
	stored.storedMs = a.o.Clock.Now()
	a.kept = append(a.kept, stored)
	total := 0
	for _, o := range a.kept {
		total += len(o.data)
	}
	for len(a.kept) > 1 && (total > maxKeptBytes || stored.storedMs-a.kept[0].storedMs > keptSpan) {
		total -= len(a.kept[0].data)
		a.kept = a.kept[1:]
	}
}

// Restored must be called when the object store has come back from an older copy. The batches that
// it may have lost are stored again with the next ones. Their names stay, so that none is kept twice.
func (a *Archive) Restored() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.kept) == 0 {
		return
	}
	for _, o := range a.kept {
		a.waitingBytes += len(o.data)
	}
	a.o.Log.Info("storing batches of verdicts again", zap.Int("batches", len(a.kept)), zap.String("first", a.kept[0].name))
	a.waiting = append(a.kept, a.waiting...)
	a.kept = nil
}
