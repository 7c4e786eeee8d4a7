// Package archive keeps verdicts beyond the daemon that gave them: batches of
// JSON lines, compressed, as few objects in the platform's object store. It
// never stands in a request's way. What a daemon that is killed has not stored
// yet, at most one interval, is lost.
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

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
)

const (
	// storeInterval is the time between two objects of a daemon.
	storeInterval = 10 * clock.Second
	// storeTimeout bounds one attempt to store an object.
	storeTimeout = 3 * clock.Second
	// maxHeld bounds the compressed verdicts that wait while the store is out of
	// reach, in bytes; the oldest are dropped and counted.
	maxHeld = 8 << 20
	// maxBatch is the size at which a batch is closed before its time, in bytes
	// before compression.
	maxBatch = 2 << 20
)

var metrics = expvar.NewMap("archive")

// Objects stores objects.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
}

// Options is what an archive works with.
type Options struct {
	Log       *zap.Logger
	Clock     clock.Clock
	Objects   Objects
	Daemon    string
	StartedMs clock.Millis
}

// Archive gathers verdicts and stores them. It is safe for concurrent use.
type Archive struct {
	o    Options
	mu   sync.Mutex
	open bytes.Buffer // JSON lines
	held []object     // the oldest first
	size int          // of held, in bytes
	next int
	done chan struct{}
}

type object struct {
	name string
	data []byte
}

// New starts an archive and returns the function that stores what is left.
func New(o Options) (*Archive, func()) {
	a := &Archive{o: o, done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go a.run(ctx)
	return a, func() {
		cancel()
		<-a.done
	}
}

// Record takes in one verdict.
func (a *Archive) Record(v verdict.Verdict) {
	line, err := json.Marshal(v)
	if err != nil {
		a.o.Log.Error("verdict can't be encoded", zap.String("request", v.RequestID), zap.Error(err))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open.Write(line)
	a.open.WriteByte('\n')
	if a.open.Len() >= maxBatch {
		a.closeBatchLocked()
	}
}

func (a *Archive) run(ctx context.Context) {
	defer close(a.done)
	for clock.Pause(ctx, storeInterval) {
		a.store(ctx)
	}
	last, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	a.store(last)
}

// closeBatchLocked compresses the open batch.
func (a *Archive) closeBatchLocked() {
	if a.open.Len() == 0 {
		return
	}
	var data bytes.Buffer
	z := gzip.NewWriter(&data)
	if _, err := z.Write(a.open.Bytes()); err != nil {
		a.o.Log.Error("verdicts can't be compressed", zap.Error(err))
		return
	}
	if err := z.Close(); err != nil {
		a.o.Log.Error("verdicts can't be compressed", zap.Error(err))
		return
	}
	a.open.Reset()
	a.next++
	name := fmt.Sprintf("%s%s~%d~%d", verdict.BatchPrefix, a.o.Daemon, a.o.StartedMs, a.next)
	a.held = append(a.held, object{name: name, data: data.Bytes()})
	a.size += data.Len()
	for a.size > maxHeld && len(a.held) > 1 {
		a.size -= len(a.held[0].data)
		a.held = a.held[1:]
		metrics.Add("droppedBatches", 1)
	}
}

// store stores the batches that are held, the oldest first, until one fails.
func (a *Archive) store(ctx context.Context) {
	a.mu.Lock()
	a.closeBatchLocked()
	a.mu.Unlock()
	for {
		a.mu.Lock()
		if len(a.held) == 0 {
			a.mu.Unlock()
			return
		}
		first := a.held[0]
		a.mu.Unlock()
		attempt, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
		err := a.o.Objects.PutObject(attempt, first.name, first.data)
		cancel()
		if err != nil {
			metrics.Add("failedStores", 1)
			return
		}
		metrics.Add("storedBatches", 1)
		a.mu.Lock()
		if len(a.held) > 0 && a.held[0].name == first.name {
			a.size -= len(first.data)
			a.held = a.held[1:]
		}
		a.mu.Unlock()
	}
}
