// Package verdicts records one verdict for each request that this daemon accepted from
// a caller. A verdict can be looked up by request ID: in this daemon, in the copy that
// another daemon holds, or in the object store.
//
// # Usage
//
//	r, closeRecorder := verdicts.New(env, store, peers, interval)
//	r.Open(v)           // a request was accepted
//	r.Close(ctx, v)     // its verdict; returns when a copy is held elsewhere
package verdicts

import (
	"context"
	"expvar"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/process"
)

var metrics = expvar.NewMap("verdicts")

const (
	// copyTimeout bounds the time that a response waits for its verdict to be copied.
	copyTimeout = 100 * clock.Millisecond
	// openCopyInterval is the interval at which requests without a verdict and
	// batches not copied yet are sent to the holder of copies.
	openCopyInterval = 250 * clock.Millisecond
	// storedRetention is how long after its end a verdict stays in memory at least,
	// for lookups.
	storedRetention = 2 * clock.Minute
	// maxTextBytes is the longest text of a verdict that is kept as it is.
	maxTextBytes = 512
	// maxUnsealed is the number of verdicts after which a batch is made before the interval ends.
	maxUnsealed = 4096
	// maxRecent is the number of verdicts of ended requests that are kept for lookups. The others are found in their
	// batches.
	maxRecent = 8192
)

// Peers reaches the daemons that hold copies.
type Peers interface {
	// CopyHolder returns the name of the daemon that currently holds this daemon's
	// copies, or "" if there is none.
	CopyHolder() string
	// CopyVerdicts sends copies to a daemon.
	CopyVerdicts(ctx context.Context, daemon string, req daemons.CopyRequest) error
}

// Recorder records verdicts. It is safe for concurrent use.
type Recorder struct {
	env            process.Environment
	store          *platform.Objects
	peers          Peers
	uploadInterval func() clock.Millis

	mu           sync.Mutex
	open         map[string]verdict.Verdict // requests without a verdict
	sentToHolder map[string]bool            // open requests that need not be sent to the holder
	// copiedElsewhere holds the open requests whose verdicts are copied to the daemon
	// that they were handed off to.
	copiedElsewhere map[string]bool
	recent          map[string]verdict.Verdict // verdicts of ended requests, for lookups
	recentOrder     []string                   // the ids of those, in the order of their ends
	unstored        []verdict.Verdict          // verdicts not yet in a batch
	segments        []segment                  // batches not yet in the object store
	sealedBatches   int                        // batches made so far
	pendingCopies   *copyBatch                 // verdicts of the next message to the holder
	holder          string                     // the holder that was last sent copies, or ""
	copies          copies                     // copies held for other daemons

	wake   chan struct{} // signals that pendingCopies is not empty
	sealed chan struct{} // signals that a batch was made before the interval ended
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// copyBatch holds verdicts whose copies are sent in one message.
type copyBatch struct {
	verdicts []verdict.Verdict
	copied   bool          // another daemon has the copies; set before sent is closed
	sent     chan struct{} // closed when the attempt to copy has succeeded or failed
}

// New starts a recorder and returns the function that stops it after a last attempt to
// store its verdicts.
func New(env process.Environment, store *platform.Objects, peers Peers, interval func() clock.Millis) (*Recorder, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		env: env, store: store, peers: peers, uploadInterval: interval,
		open: map[string]verdict.Verdict{}, sentToHolder: map[string]bool{}, copiedElsewhere: map[string]bool{}, recent: map[string]verdict.Verdict{},
		pendingCopies: newCopyBatch(), copies: newCopies(env.Config.Name), wake: make(chan struct{}, 1), sealed: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
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
	ctx, cancel := context.WithTimeout(context.Background(), (2 * r.env.Config.PlatformTimeoutMs).Duration())
	defer cancel()
	r.seal()
	r.upload(ctx)
}

// Open records that a request has been accepted; v holds what is known so far.
func (r *Recorder) Open(v verdict.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v.Outcome, v.Ran = verdict.OutcomeUnknown, problem.RanUnknown
	r.open[v.RequestID] = v
	metrics.Add("opened", 1)
}

// SetCopiedElsewhere sets whether the daemon that an open request is handed off to
// keeps the copy of its verdict, so that none needs to be sent.
func (r *Recorder) SetCopiedElsewhere(requestID string, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, open := r.open[requestID]; !open {
		return
	}
	if held {
		r.sentToHolder[requestID], r.copiedElsewhere[requestID] = true, true
		return
	}
	delete(r.sentToHolder, requestID)
	delete(r.copiedElsewhere, requestID)
}

// Close records the verdict of an open request. It waits until another daemon holds a
// copy, at most copyTimeout.
func (r *Recorder) Close(ctx context.Context, v verdict.Verdict) {
	v = shortened(v)
	r.mu.Lock()
	_, open := r.open[v.RequestID]
	r.env.Invariants.Check(invariant.OneVerdict, open, "requestId", v.RequestID)
	if !open {
		r.mu.Unlock()
		return
	}
	delete(r.open, v.RequestID)
	delete(r.sentToHolder, v.RequestID)
	// The daemon that the request was handed off to knows of a run, but of no other
	// outcome here.
	held := r.copiedElsewhere[v.RequestID] && v.Outcome == verdict.OutcomeRun
	delete(r.copiedElsewhere, v.RequestID)
	r.recent[v.RequestID] = v
	r.recentOrder = append(r.recentOrder, v.RequestID)
	r.unstored = append(r.unstored, v)
	if len(r.unstored) >= maxUnsealed {
		r.sealLocked(r.env.Clock.Now())
		select {
		case r.sealed <- struct{}{}:
		default:
		}
	}
	batch := r.pendingCopies
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
		if !batch.copied {
			r.logUncopied(v.RequestID, "no other daemon accepted the copy")
		}
	case <-timer.C:
		metrics.Add("copyLate", 1)
		r.logUncopied(v.RequestID, "late")
	case <-ctx.Done():
		r.logUncopied(v.RequestID, "the caller disconnected")
	}
}

// shortened returns a verdict whose texts are no longer than maxTextBytes: they quote callers and upstreams.
func shortened(v verdict.Verdict) verdict.Verdict {
	v.Detail = shortText(v.Detail)
	v.Attempts = slices.Clone(v.Attempts)
	for i := range v.Attempts {
		v.Attempts[i].Cause = shortText(v.Attempts[i].Cause)
	}
	return v
}

func shortText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// logUncopied logs that only this VM has the verdict when its request ends: if the VM
// fails before the verdict is stored or copied, the verdict is lost.
func (r *Recorder) logUncopied(requestID, why string) {
	r.env.Log.Info("verdict has no copy yet", zap.String("request", requestID), zap.String("cause", why))
}

// OpenCount returns the number of accepted requests without a verdict.
func (r *Recorder) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// runCopies sends copies to the holder, one message at a time.
func (r *Recorder) runCopies() {
	defer r.done.Done()
	ticker := time.NewTicker(openCopyInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			close(r.takeCopies().sent)
			return
		case <-r.wake:
			r.sendCopies(nil, nil)
		case <-ticker.C:
			opened := r.unsentOpen()
			r.sendCopies(opened, r.uncopiedBatch())
		}
	}
}

// takeCopies returns the pending copies and starts a new batch of them.
func (r *Recorder) takeCopies() *copyBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.pendingCopies
	r.pendingCopies = newCopyBatch()
	return batch
}

// unsentOpen returns the open requests that have not been sent to the holder yet. For a
// new holder it also queues all verdicts that are not in a batch yet.
func (r *Recorder) unsentOpen() []verdict.Verdict {
	holder := r.peers.CopyHolder()
	r.mu.Lock()
	defer r.mu.Unlock()
	if holder != r.holder {
		// A new holder has no copies, so it must be sent everything that is not stored.
		r.holder = holder
		clear(r.sentToHolder)
		r.pendingCopies.verdicts = append(r.pendingCopies.verdicts, r.unstored...)
	}
	var opened []verdict.Verdict
	for id, v := range r.open {
		if !r.sentToHolder[id] {
			r.sentToHolder[id] = true
			opened = append(opened, v)
		}
	}
	return opened
}

// sendCopies sends the pending copies and the given ones to the holder.
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
		From: r.env.RunID(), Opened: opened, Verdicts: batch.verdicts, Batches: batches, StoredUpToMs: r.StoredUpTo(),
	}
	if err := r.peers.CopyVerdicts(ctx, holder, req); err != nil {
		metrics.Add("copyFailures", 1)
		r.mu.Lock()
		r.holder = "" // makes unsentOpen send everything to the next holder
		r.mu.Unlock()
		return
	}
	batch.copied = true
	r.markBatchesCopied(batches, holder)
	metrics.Add("copied", int64(len(batch.verdicts)))
}

// StoredUpTo returns the time before which all verdicts that ended are in the object
// store.
func (r *Recorder) StoredUpTo() clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	upTo := r.env.Clock.Now()
	for _, s := range r.segments {
		upTo = min(upTo, s.firstEndMs)
	}
	for _, v := range r.unstored {
		upTo = min(upTo, v.EndMs)
	}
	return upTo
}

// Find looks up a verdict in memory, for another daemon or an operator.
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
