package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// leavingLimit is DrainMs of the users' smaller deployments.
const leavingLimit = 3 * clock.Second

// feedStore is a store with a feed, as the platform's: calls wait for changes. Those that
// wait when it falls silent get no answer, and new ones none while it is unreachable.
type feedStore struct {
	mu          sync.Mutex
	rows        map[string]directory.Entry
	history     []directory.Entry
	version     int64
	era         int64
	config      string // the configuration; "1" if empty
	configAt    int64  // the version of its row
	changed     chan struct{}
	silenced    chan struct{} // closed when the calls that wait lose their connections
	unreachable bool
	historyLost bool // for calls of Changes
	reads       int
	configReads int
	changeCalls int
}

func newFeedStore(ids ...string) *feedStore {
	s := &feedStore{rows: map[string]directory.Entry{}, changed: make(chan struct{}), silenced: make(chan struct{})}
	for _, id := range ids {
		s.set(id, false)
	}
	return s
}

// set writes the row of an upstream, or removes it.
func (s *feedStore) set(id string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	e := directory.Entry{Key: id, Value: []byte("ready"), Revision: s.revisionLocked(), Removed: removed}
	s.history = append(s.history, e)
	s.rows[id] = e
	if removed {
		delete(s.rows, id)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// revisionLocked returns the store's revision.
func (s *feedStore) revisionLocked() directory.Revision {
	return directory.Revision{Era: s.era, Version: s.version}
}

// setConfig writes a configuration.
func (s *feedStore) setConfig(config string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.config, s.configAt = config, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// configLocked returns the row of the configuration.
func (s *feedStore) configLocked() directory.Entry {
	value := s.config
	if value == "" {
		value = "1"
	}
	return directory.Entry{Key: "config", Value: []byte(value), Revision: directory.Revision{Era: s.era, Version: s.configAt}}
}

// restore brings the store back from an older copy, at a version and with the rows of some
// upstreams and a configuration. Calls that wait get no answer.
func (s *feedStore) restore(version int64, config string, ids ...string) {
	s.silence()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.version, s.history, s.rows = s.era+1, version, nil, map[string]directory.Entry{}
	s.config, s.configAt = config, version
	for _, id := range ids {
		s.rows[id] = directory.Entry{Key: id, Value: []byte("ready"), Revision: s.revisionLocked()}
	}
}

// silence makes the connections of all waiting calls fall silent for good.
func (s *feedStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silenced)
	s.silenced = make(chan struct{})
}

func (s *feedStore) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *feedStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.changeCalls
}

func (s *feedStore) Read(ctx context.Context, topic directory.Topic) (directory.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unreachable {
		return directory.Page{}, &directory.StatusError{Call: "read", Status: 503}
	}
	page := directory.Page{Revision: s.revisionLocked()}
	switch topic {
	case directory.Routes:
		s.configReads++
		page.Entries = []directory.Entry{s.configLocked()}
	case directory.Upstreams:
		for _, e := range s.rows {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

func (s *feedStore) Follow(ctx context.Context, topic directory.Topic, after directory.Revision, wait clock.Millis) (directory.Page, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	s.mu.Lock()
	silenced := s.silenced
	s.mu.Unlock()
	for {
		s.mu.Lock()
		page, changed, unreachable := directory.Page{Revision: s.revisionLocked()}, s.changed, s.unreachable
		for _, e := range s.history {
			if topic == directory.Upstreams && after.Before(e.Revision) {
				page.Entries = append(page.Entries, e)
			}
		}
		if topic == directory.Routes && after.Version < s.configAt {
			page.Entries = append(page.Entries, s.configLocked())
		}
		lost := after.Era != s.era || after.Version > s.version
		s.mu.Unlock()
		if unreachable {
			return directory.Page{}, &directory.StatusError{Call: "follow", Status: 503}
		}
		if lost {
			return directory.Page{}, &directory.HistoryLostError{Topic: topic, After: after}
		}
		if len(page.Entries) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-silenced:
			<-ctx.Done()
			return directory.Page{}, ctx.Err()
		case <-ctx.Done():
			return directory.Page{}, ctx.Err()
		}
	}
}

func (s *feedStore) Changes(ctx context.Context, topic directory.Topic, after directory.Revision) (directory.Page, error) {
	s.mu.Lock()
	s.changeCalls++
	lost := s.historyLost
	s.mu.Unlock()
	if lost {
		return directory.Page{}, &directory.HistoryLostError{Topic: topic, After: after}
	}
	return s.Follow(ctx, topic, after, 0)
}

func (s *feedStore) Put(context.Context, directory.Topic, string, []byte) error { return nil }

func (s *feedStore) CompareAndSwap(context.Context, directory.Topic, string, []byte, directory.Revision) (directory.Revision, error) {
	return directory.Revision{}, nil
}

// bubble is a directory that runs in virtual time.
type bubble struct {
	*Directory
	time *clock.Manual
	// followsStore is what the directory is told about following the store.
	followsStore atomic.Bool
}

// inVirtualTime runs a test with a directory that has loaded the list of upstreams a and b
// and follows the store.
func inVirtualTime(t *testing.T, test func(b *bubble, store *feedStore)) {
	synctest.Test(t, func(t *testing.T) {
		store := newFeedStore("a", "b")
		b := &bubble{time: clock.NewManual(clock.Minute)}
		b.followsStore.Store(true)
		ctx, stopTime := context.WithCancel(context.Background())
		go b.runTime(ctx)
		b.Directory = newTestDirectory(store)
		b.o.Clock = b.time.Clock()
		b.o.ShouldFollowStore = func() bool { return b.followsStore.Load() }
		stop := b.Start()
		b.pass(100)
		test(b, store)
		stop()
		stopTime()
	})
}

// runTime advances the clock of decisions with the virtual time.
func (b *bubble) runTime(ctx context.Context) {
	for clock.Sleep(ctx, clock.Millisecond) {
		b.time.Advance(clock.Millisecond)
	}
}

// pass lets time pass, during which the directory is refreshed as the daemon does.
func (b *bubble) pass(span clock.Millis) {
	const refresh = 50 * clock.Millisecond
	for ; span > 0; span -= refresh {
		time.Sleep(min(span, refresh).Duration())
		b.Settle()
		synctest.Wait()
	}
}

// timeUntilUnused returns how long it takes until an upstream is no longer used, or
// limit if it still is then.
func (b *bubble) timeUntilUnused(id string, limit clock.Millis) clock.Millis {
	const step = 10 * clock.Millisecond
	var passed clock.Millis
	for ; b.has(id) && passed < limit; passed += step {
		b.pass(step)
	}
	return passed
}

// expectUnusedInTime fails the test if an upstream that has just left is still used when
// a call might reach it after the limit.
func (b *bubble) expectUnusedInTime(t *testing.T, id string) {
	t.Helper()
	if took := b.timeUntilUnused(id, 10*clock.Second); took > leavingLimit-CallReach {
		t.Errorf("%s is used for %d ms after it has left, want at most %d", id, took, leavingLimit-CallReach)
	}
}

// TestDaemonThatHearsNothingLearnsInTimeThatAnUpstreamLeaves guards against a daemon that
// leaves following the store to others, which are paused: they count as alive for seconds,
// 6 s in a data centre of 28 daemons, and it knows nothing new all the while.
func TestDaemonThatHearsNothingLearnsInTimeThatAnUpstreamLeaves(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		b.followsStore.Store(false)
		b.pass(10 * clock.Second)
		store.set("a", true)
		b.expectUnusedInTime(t, "a")
		if !b.has("b") {
			t.Error("an upstream that stays is no longer used")
		}
	})
}

// TestSilentFeedDelaysALeavingUpstreamWithinTheLimit guards against a connection to the
// store that is silent when an upstream leaves: the call ended after 2.9 s only, which
// left nothing of a limit of 3 s for the way to other daemons and to the upstream.
func TestSilentFeedDelaysALeavingUpstreamWithinTheLimit(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		store.set("c", false) // all calls start anew
		b.pass(20)
		store.silence()
		store.set("a", true)
		b.expectUnusedInTime(t, "a")
	})
}

// TestUpstreamsLostInAnOutageAreUsedUntilTheyAreBack lets the store lose two entries in an
// outage, of which one comes back.
func TestUpstreamsLostInAnOutageAreUsedUntilTheyAreBack(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		b.pass(5 * clock.Second)
		store.setUnreachable(true)
		b.pass(4 * clock.Second)
		store.set("a", true)
		store.set("b", true)
		store.setUnreachable(false)
		b.pass(1500)
		if !b.has("a") || !b.has("b") {
			t.Errorf("in use 1.5 s after the outage: a %t, b %t, want both", b.has("a"), b.has("b"))
		}
		store.set("a", false)
		b.pass(1500)
		if !b.has("a") || b.has("b") {
			t.Errorf("in use 3 s after the outage: a, which is back, %t, want true; b %t, want false", b.has("a"), b.has("b"))
		}
	})
}
