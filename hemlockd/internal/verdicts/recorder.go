// Package verdicts records one verdict for each request that this daemon took
// from a caller, so that it can be read later by request id: from this daemon,
// from the copy that another VM of the data centre holds, or from the object
// store.
//
// # Usage
//
//	r, closeRecorder := verdicts.New(common, store, peers, interval)
//	r.Open(v)           // a request was taken
//	r.Close(ctx, v)     // its verdict; returns when a copy is held elsewhere
package verdicts

import (
	"context"
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/shared"
)

var metrics = expvar.NewMap("verdicts")

const (
	// copyTimeout is the longest that an answer waits for its verdict's copy.
	copyTimeout = 100 * clock.Millisecond
	// openInterval is the time between two messages that tell of requests
	// taken but not ended.
	openInterval = 250 * clock.Millisecond
	// keepStored is how long a verdict stays in memory after it was stored.
	keepStored = 2 * clock.Minute
)

// Peers is the way to the daemons that hold copies.
type Peers interface {
	// CopyHolder names the daemon that holds this daemon's copies now, or "".
	CopyHolder() string
	CopyVerdicts(ctx context.Context, daemon string, req daemons.CopyRequest) error
}

// Recorder records verdicts.
type Recorder struct {
	common   shared.Common
	store    *platform.Objects
	peers    Peers
	interval func() clock.Millis

	mu   sync.Mutex
	open map[string]verdict.Verdict
	told map[string]bool // open requests that the holder knows
	// elsewhere holds the open requests whose copy is where they were handed to.
	elsewhere map[string]bool
	recent    map[string]verdict.Verdict // ended, in memory
	unstored  []verdict.Verdict          // not yet in a batch
	segments  []segment                  // batches not yet in the store
	copying   *copyBatch                 // gathers while a copy is under way
	holder    string
	copies    copies

	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// copyBatch is verdicts whose copies travel together.
type copyBatch struct {
	verdicts []verdict.Verdict
	held     bool          // another VM has a copy; set before sent is closed
	sent     chan struct{} // closed when a copy is held, or given up
}

// New starts a recorder and returns the function that ends it after a last try
// to store what it holds.
func New(common shared.Common, store *platform.Objects, peers Peers, interval func() clock.Millis) (*Recorder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		common: common, store: store, peers: peers, interval: interval,
		open: map[string]verdict.Verdict{}, told: map[string]bool{}, elsewhere: map[string]bool{}, recent: map[string]verdict.Verdict{},
		copying: newCopyBatch(), copies: newCopies(), wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
	r.done.Add(2)
	go r.runCopies()
	go r.runUploads()
	return r, r.close
}

func newCopyBatch() *copyBatch { return &copyBatch{sent: make(chan struct{})} }

func (r *Recorder) close() {
	r.cancel()
	r.done.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), (2 * r.common.Config.PlatformTimeoutMs).Duration())
	defer cancel()
	r.seal()
	r.upload(ctx)
}

// Open takes in that a request was taken; v holds what is known so far.
func (r *Recorder) Open(v verdict.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v.Outcome, v.Ran = verdict.Unknown, problem.RanUnknown
	r.open[v.RequestID] = v
	metrics.Add("opened", 1)
}

// SetCopiedElsewhere notes whether the daemon which an open request is handed to
// keeps the copy of its verdict, so that none needs to be sent.
func (r *Recorder) SetCopiedElsewhere(requestID string, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[requestID]; !open {
		return
	}
	if held {
		r.told[requestID], r.elsewhere[requestID] = true, true
		return
	}
	delete(r.told, requestID)
	delete(r.elsewhere, requestID)
}

// Close records the verdict of a request that was opened, and waits until
// another VM holds a copy, at most copyTimeout.
func (r *Recorder) Close(ctx context.Context, v verdict.Verdict) {
	r.mu.Lock()
	_, open := r.open[v.RequestID]
	r.common.Invariants.Check(invariant.OneVerdict, open, "requestId", v.RequestID)
	if !open {
		r.mu.Unlock()
		return
	}
	delete(r.open, v.RequestID)
	delete(r.told, v.RequestID)
	// Whoever it was handed to knows a run, but not what came of it here else.
	held := r.elsewhere[v.RequestID] && v.Outcome == verdict.Run
	delete(r.elsewhere, v.RequestID)
	r.recent[v.RequestID] = v
	r.unstored = append(r.unstored, v)
	batch := r.copying
	if !held {
		batch.verdicts = append(batch.verdicts, v)
	}
	r.mu.Unlock()
	metrics.Add(string(v.Outcome), 1)
	if v.Reason != "" {
		metrics.Add("reason:"+string(v.Reason), 1)
	}
	if held {
		metrics.Add("copyElsewhere", 1)
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(copyTimeout.Duration())
	defer timer.Stop()
	select {
	case <-batch.sent:
		if !batch.held {
			r.noteUncopied(v.RequestID, "no other VM took it")
		}
	case <-timer.C:
		metrics.Add("copyLate", 1)
		r.noteUncopied(v.RequestID, "late")
	case <-ctx.Done():
		r.noteUncopied(v.RequestID, "the caller is gone")
	}
}

// noteUncopied logs that a verdict is in this VM alone when its request ends: it
// is lost with the VM until the next batch is stored or copied.
func (r *Recorder) noteUncopied(requestID, why string) {
	r.common.Log.Info("verdict has no copy yet", zap.String("request", requestID), zap.String("cause", why))
}

// OpenCount returns the number of requests without a verdict.
func (r *Recorder) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// runCopies sends copies to the holder, one message at a time.
func (r *Recorder) runCopies() {
	defer r.done.Done()
	ticker := time.NewTicker(openInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			close(r.takeCopies().sent)
			return
		case <-r.wake:
			r.sendCopies(nil, nil)
		case <-ticker.C:
			opened := r.newlyOpen()
			r.sendCopies(opened, r.unheldBatch())
		}
	}
}

func (r *Recorder) takeCopies() *copyBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.copying
	r.copying = newCopyBatch()
	return batch
}

// newlyOpen returns the open requests that the holder has not been told of.
func (r *Recorder) newlyOpen() []verdict.Verdict {
	holder := r.peers.CopyHolder()
	r.mu.Lock()
	defer r.mu.Unlock()
	if holder != r.holder {
		// A new holder knows nothing: tell it everything that is not stored.
		r.holder = holder
		clear(r.told)
		r.copying.verdicts = append(r.copying.verdicts, r.unstored...)
	}
	var opened []verdict.Verdict
	for id, v := range r.open {
		if !r.told[id] {
			r.told[id] = true
			opened = append(opened, v)
		}
	}
	return opened
}

func (r *Recorder) sendCopies(opened []verdict.Verdict, batches []daemons.CopyBatch) {
	batch := r.takeCopies()
	defer close(batch.sent)
	holder := r.peers.CopyHolder()
	if holder == "" || len(batch.verdicts) == 0 && len(opened) == 0 && len(batches) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, (2 * copyTimeout).Duration())
	defer cancel()
	req := daemons.CopyRequest{
		From: r.common.RunID(), Opened: opened, Verdicts: batch.verdicts, Batches: batches, StoredUpToMs: r.StoredUpTo(),
	}
	if err := r.peers.CopyVerdicts(ctx, holder, req); err != nil {
		metrics.Add("copyFailures", 1)
		r.mu.Lock()
		r.holder = "" // whoever is next gets everything
		r.mu.Unlock()
		return
	}
	batch.held = true
	r.batchesHeld(batches, holder)
	metrics.Add("copied", int64(len(batch.verdicts)))
}

// StoredUpTo is the time before which every verdict that ended is stored.
func (r *Recorder) StoredUpTo() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	upTo := r.common.Clock.Now()
	for _, s := range r.segments {
		upTo = min(upTo, s.firstEndMs)
	}
	for _, v := range r.unstored {
		upTo = min(upTo, v.EndMs)
	}
	return upTo
}

// Find looks a verdict up in memory, as another daemon or an operator asks.
func (r *Recorder) Find(req daemons.FindRequest) daemons.FindAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.recent[req.RequestID]; ok {
		return daemons.FindAnswer{Found: true, Verdict: v}
	}
	if v, ok := r.open[req.RequestID]; ok {
		return daemons.FindAnswer{Found: true, Verdict: v}
	}
	for _, s := range r.segments {
		if v, ok := s.find(req.RequestID); ok {
			return daemons.FindAnswer{Found: true, Verdict: v}
		}
	}
	if v, ok := r.copies.find(req.RequestID); ok {
		return daemons.FindAnswer{Found: true, Copy: true, Verdict: v}
	}
	return daemons.FindAnswer{}
}
