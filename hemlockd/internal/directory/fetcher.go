package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/peers"
)

const (
	// maxFetches is the number of daemons that are asked for one topic at the same time.
	maxFetches = 2
	// secondFetchDelay is how long a fetch may take until a second daemon is asked as well.
	secondFetchDelay = 600 * clock.Millisecond
	// remoteDelay is the shortest time for which news of another data centre waits for a
	// daemon of this one to have it, and also the range of the random time added to it.
	remoteDelay = 200 * clock.Millisecond
	// fetchPause is the time between two looks for a daemon to ask.
	fetchPause = 20 * clock.Millisecond
	// sourceLifetime is how long a daemon that has said that it has a newer version may be
	// asked for it.
	sourceLifetime = 5 * clock.Second
	// failedSourcePause is how long a daemon is not asked again after a failed fetch.
	failedSourcePause = 2 * clock.Second
)

// errNothingNewer reports that a daemon that said it had a newer version has none, which may be
// since it has restarted.
var errNothingNewer = errors.New("the daemon has nothing newer")

// source is another daemon that has a newer version of a topic.
type source struct {
	revision directory.Revision
	// local is set if it is in this daemon's data centre.
	local bool
	// firstMs is when its newer version was first heard of, and heardMs when it was last.
	firstMs, heardMs clock.Millis
	// notBeforeMs is when it may be asked, the next time.
	notBeforeMs clock.Millis
	// asked is set while it is being asked.
	asked bool
}

// fetcher fetches newer versions of a topic from other daemons. It draws one of those that are
// known to have a newer version, first among those of the same data centre; whoever has it
// serves on. A daemon that is busy or fails is left for another.
type fetcher struct {
	d     *Directory
	topic directory.Topic
	// inForce returns the revision in force here.
	inForce func() directory.Revision
	wake    chan struct{}

	mu      sync.Mutex
	sources map[string]*source // by control address
	running int
	// startedMs is when the last fetch began.
	startedMs clock.Millis
}

func newFetcher(d *Directory, topic directory.Topic, inForce func() directory.Revision) *fetcher {
	return &fetcher{d: d, topic: topic, inForce: inForce, wake: make(chan struct{}, 1), sources: map[string]*source{}}
}

// heard records that the daemon at a control address has a revision.
func (f *fetcher) heard(control string, revision directory.Revision, local bool) {
	if !f.inForce().Before(revision) {
		return
	}
	now := f.d.o.Clock.Now()
	f.mu.Lock()
	s, ok := f.sources[control]
	if !ok {
		s = &source{firstMs: now}
		if !local {
			s.notBeforeMs = now + remoteDelay + randomUpTo(remoteDelay)
		}
		f.sources[control] = s
	}
	if s.revision.Before(revision) {
		s.revision = revision
	}
	s.local, s.heardMs = local, now
	f.mu.Unlock()
	f.signal()
}

// signal wakes the fetcher if it waits.
func (f *fetcher) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *fetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		for f.start(ctx) {
		}
		if !f.wait(ctx) {
			return
		}
	}
}

// wait waits until there may be a daemon to ask. It returns false if ctx has ended.
func (f *fetcher) wait(ctx context.Context) bool {
	f.mu.Lock()
	idle := len(f.sources) == 0
	f.mu.Unlock()
	if !idle {
		return clock.Sleep(ctx, fetchPause)
	}
	select {
	case <-f.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// start begins a fetch if one is due, and reports whether it did.
func (f *fetcher) start(ctx context.Context) bool {
	now, have := f.d.o.Clock.Now(), f.inForce()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pruneLocked(have, now)
	if f.running >= maxFetches || f.running > 0 && now-f.startedMs < secondFetchDelay {
		return false
	}
	control, s := f.chooseLocked(now)
	if s == nil {
		return false
	}
	s.asked = true
	f.running++
	f.startedMs = now
	go f.runFetch(ctx, control, s, have)
	return true
}

// pruneLocked forgets the daemons that have nothing newer and those that have not said so
// lately.
func (f *fetcher) pruneLocked(have directory.Revision, now clock.Millis) {
	for control, s := range f.sources {
		if !s.asked && (!have.Before(s.revision) || now-s.heardMs > sourceLifetime) {
			delete(f.sources, control)
		}
	}
}

// chooseLocked draws a daemon that may be asked now, one of this data centre if there is any.
func (f *fetcher) chooseLocked(now clock.Millis) (control string, s *source) {
	var local, remote []string
	for control, s := range f.sources {
		switch {
		case s.asked || now < s.notBeforeMs:
		case s.local:
			local = append(local, control)
		default:
			remote = append(remote, control)
		}
	}
	from := local
	if len(from) == 0 {
		from = remote
	}
	if len(from) == 0 {
		return "", nil
	}
	control = from[rand.IntN(len(from))]
	return control, f.sources[control]
}

// runFetch fetches the snapshot of a daemon and applies it.
func (f *fetcher) runFetch(ctx context.Context, control string, s *source, have directory.Revision) {
	snapshot, err := f.d.o.Fetch(ctx, control, peers.SnapshotRequest{Topic: f.topic, Have: have})
	if err == nil && len(snapshot.Content) == 0 {
		err = errNothingNewer
	}
	if err == nil {
		err = f.d.applySnapshot(f.topic, snapshot, control)
	}
	f.finish(s, err)
	var busy *peers.BusyError
	if err != nil && !errors.As(err, &busy) && ctx.Err() == nil {
		f.d.logFailedFetch(f.topic, control, err)
	}
	f.signal()
}

// finish records the end of a fetch.
func (f *fetcher) finish(s *source, err error) {
	now := f.d.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s.asked = false
	f.running--
	var busy *peers.BusyError
	switch {
	case errors.As(err, &busy):
		s.notBeforeMs = now + busy.RetryMs/2 + randomUpTo(busy.RetryMs)
	case err != nil:
		s.notBeforeMs = now + failedSourcePause
	}
}

// randomUpTo returns a random time between 0 and span.
func randomUpTo(span clock.Millis) clock.Millis { return clock.Millis(rand.Int64N(int64(span) + 1)) }
