package streamversions

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

const testLifetime = 14 * clock.Second

// fakeStore keeps entries in memory and fails while down is set.
type fakeStore struct {
	mu      sync.Mutex
	era     int64
	version int64
	entries map[string]directory.Entry
	down    bool
	writes  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{version: 1, entries: map[string]directory.Entry{}}
}

func key(topic directory.Topic, name string) string { return string(topic) + "/" + name }

var errDown = errors.New("down")

func (f *fakeStore) Entry(_ context.Context, topic directory.Topic, name string) (directory.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return directory.Entry{}, errDown
	}
	if e, ok := f.entries[key(topic, name)]; ok {
		e.Revision.Era = f.era
		return e, nil
	}
	return directory.Entry{Key: name, Revision: directory.Revision{Era: f.era}}, nil
}

func (f *fakeStore) Write(_ context.Context, topic directory.Topic, entries []directory.Entry) (directory.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return directory.Revision{}, errDown
	}
	for _, e := range entries {
		if len(e.Key) > 200 { // as the platform's store
			return directory.Revision{}, &directory.StatusError{Call: "rows-tx", Status: 400}
		}
	}
	f.writes++
	for _, e := range entries {
		f.putLocked(topic, e)
	}
	return directory.Revision{Era: f.era, Version: f.version}, nil
}

func (f *fakeStore) putLocked(topic directory.Topic, e directory.Entry) {
	f.version++
	e.Revision = directory.Revision{Era: f.era, Version: f.version}
	if e.Removed {
		delete(f.entries, key(topic, e.Key))
		return
	}
	f.entries[key(topic, e.Key)] = e
}

func (f *fakeStore) CompareAndSwap(_ context.Context, topic directory.Topic, name string, value []byte, expected directory.Revision) (directory.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return directory.Revision{}, errDown
	}
	if current := f.entries[key(topic, name)]; current.Revision.Version != expected.Version {
		return directory.Revision{}, &directory.ConflictError{Current: current}
	}
	f.putLocked(topic, directory.Entry{Key: name, Value: value})
	return directory.Revision{Era: f.era, Version: f.version}, nil
}

func (f *fakeStore) Read(context.Context, directory.Topic) (directory.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return directory.Page{}, errDown
	}
	page := directory.Page{Revision: directory.Revision{Era: f.era, Version: f.version}}
	for k, e := range f.entries {
		if k == key(directory.Streams, e.Key) {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// fleet is a few daemons in virtual time that share a store.
type fleet struct {
	t       interface{ Helper() }
	store   *fakeStore
	time    *clock.Manual
	daemons []*Versions
	stops   []func()
	listed  []string
}

func newFleet(t interface{ Helper() }, daemons int) *fleet {
	f := &fleet{t: t, store: newFakeStore(), time: clock.NewManual(clock.Minute), daemons: make([]*Versions, daemons), stops: make([]func(), daemons), listed: []string{"v1"}}
	for i := range daemons {
		f.start(i)
	}
	return f
}

// start starts a daemon, with no memory.
func (f *fleet) start(i int) {
	if f.stops[i] != nil {
		f.stops[i]()
	}
	f.daemons[i], f.stops[i] = New(Options{
		Log: zap.NewNop(), Clock: f.time.Clock(), Store: f.store, Lifetime: func() clock.Millis { return testLifetime },
		WriteInterval: func() clock.Millis { return 10 * clock.Millisecond }, Cleans: func() bool { return i == 0 },
		StoreFails: func() bool { return false },
	})
	f.daemons[i].Observe(map[string][]string{"models": f.listed})
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// pass lets time pass, during which all daemons see what is listed.
func (f *fleet) pass(span clock.Millis) {
	const step = 250 * clock.Millisecond
	for ; span > 0; span -= step {
		time.Sleep(min(span, step).Duration())
		f.time.Advance(min(span, step))
		for _, d := range f.daemons {
			d.Observe(map[string][]string{"models": f.listed})
		}
		synctest.Wait()
	}
}

// begin lets a daemon begin a stream, and reports whether its first event may be forwarded in time.
func (f *fleet) begin(daemon int, attempt, software string) bool {
	f.daemons[daemon].Begin(Stream{Service: "models", Attempt: attempt, Digest: digestOf(attempt)}, software)
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	return f.daemons[daemon].Recorded(ctx, attempt) == nil
}

func (f *fleet) lookup(daemon int, attempt string) (string, error) {
	return f.daemons[daemon].Lookup(context.Background(), Stream{Service: "models", Attempt: attempt, Digest: digestOf(attempt)})
}

// lookupUnnamed is lookup by a caller that does not say which attempt began its stream.
func (f *fleet) lookupUnnamed(daemon int, attempt string) (string, error) {
	return f.daemons[daemon].Lookup(context.Background(), Stream{Service: "models", Digest: digestOf(attempt)})
}

// digestOf returns the digest of an attempt's request. Some attempts have the same one.
func digestOf(attempt string) string { return "of *" + attempt[len(attempt)-1:] }

// TestVersionOutlivesAllDaemons guards against a stream that is taken up at another version, or refused, since
// no daemon that knew it is left.
func TestVersionOutlivesAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.begin(0, "before", "v1")
		f.listed = []string{"v1", "v2"}
		f.pass(8 * clock.Second)
		writes := f.store.writes
		f.begin(0, "base", "v1")
		if f.store.writes != writes {
			t.Error("a stream of the base version was recorded")
		}
		f.begin(1, "other", "v2")
		f.start(0)
		f.start(1)
		for attempt, want := range map[string]string{"before": "v1", "base": "v1", "other": "v2"} {
			for daemon := range 2 {
				if got, err := f.lookup(daemon, attempt); got != want || err != nil {
					t.Errorf("%s at daemon %d: %q, %v, want %q", attempt, daemon, got, err, want)
				}
			}
		}
	})
}

// TestBaseMovesWhenNoStreamOfItIsLeft checks that records end after a release, and that no stream is taken for one of
// the version that has left.
func TestBaseMovesWhenNoStreamOfItIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.listed = []string{"v2"}
		f.pass(10 * clock.Second)
		f.begin(0, "soon", "v2")
		f.start(1)
		if got, err := f.lookup(1, "soon"); got != "v2" || err != nil {
			t.Errorf("soon after the change: %q, %v", got, err)
		}
		f.pass(30 * clock.Second)
		writes := f.store.writes
		f.begin(0, "later", "v2")
		if f.store.writes != writes {
			t.Error("streams are still recorded long after the change")
		}
		f.start(1)
		if got, err := f.lookup(1, "later"); got != "v2" || err != nil {
			t.Errorf("long after the change: %q, %v", got, err)
		}
	})
}

// TestNothingIsGuessed checks that a daemon without memory does not tell a version while the store cannot.
func TestNothingIsGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.listed = []string{"v1", "v2"}
		f.pass(8 * clock.Second)
		f.begin(0, "other", "v2")
		f.store.set(func() { f.store.down = true })
		f.start(1)
		var unknown *UnknownError
		if got, err := f.lookup(1, "other"); !errors.As(err, &unknown) {
			t.Errorf("the store is down: %q, %v", got, err)
		}
		f.store.set(func() { // restored from an older copy, which has the base and not the record
			f.store.down = false
			f.store.era++
			delete(f.store.entries, key(directory.Streams, "other"))
		})
		f.start(1)
		if got, err := f.lookup(1, "other"); !errors.As(err, &unknown) {
			t.Errorf("the store was restored: %q, %v", got, err)
		}
		f.daemons[0].Restored()
		f.pass(clock.Second)
		if got, err := f.lookup(1, "other"); got != "v2" || err != nil {
			t.Errorf("written again: %q, %v", got, err)
		}
		if got, err := f.lookupUnnamed(1, "any"); !errors.As(err, &unknown) {
			t.Errorf("a stream that the caller does not name: %q, %v", got, err)
		}
	})
}

// TestStreamsShouldBeginAtTheBaseWhileRecordsFail guards against streams of another version whose version nobody can
// tell: they were begun while the store failed.
func TestStreamsShouldBeginAtTheBaseWhileRecordsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.listed = []string{"v1", "v2"}
		f.pass(8 * clock.Second)
		if software, ok := f.daemons[0].OnlyWithoutRecord("models"); ok {
			t.Errorf("%q while the store is well", software)
		}
		f.store.set(func() { f.store.down = true })
		f.begin(0, "other", "v2")
		if software, ok := f.daemons[0].OnlyWithoutRecord("models"); !ok || software != "v1" {
			t.Errorf("%q, %t while records fail, want v1", software, ok)
		}
		f.store.set(func() { f.store.down = false })
		f.pass(2 * clock.Second)
		if software, ok := f.daemons[0].OnlyWithoutRecord("models"); ok {
			t.Errorf("%q after the store is back", software)
		}
	})
}

// TestRecordsAreRemoved checks that records end with their streams, and those of daemons that are gone later.
func TestRecordsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.listed = []string{"v1", "v2"}
		f.pass(clock.Second)
		for i := range 250 {
			f.begin(1, fmt.Sprint("ended-", i), "v2")
			f.daemons[1].End(fmt.Sprint("ended-", i))
		}
		f.begin(1, "broken", "v2")
		f.begin(1, "left", "v2")
		f.pass(10 * clock.Second)
		if n := len(f.store.entries); n != 2 {
			t.Errorf("%d records are left of streams that have ended, want 0 and the two others", n)
		}
		f.start(1)
		f.pass(25 * clock.Minute)
		if n := len(f.store.entries); n != 0 {
			t.Errorf("%d records of a daemon that is gone are left", n)
		}
	})
}

// step is one event of a random run.
type step struct {
	Kind, Daemon, Seconds, Version int
	Listed                         []string
}

func drawSteps(t *rapid.T) []step {
	var steps []step
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		steps = append(steps, step{
			Kind: rapid.IntRange(0, 6).Draw(t, "kind"), Daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
			Seconds: rapid.IntRange(1, 12).Draw(t, "seconds"), Version: rapid.IntRange(0, 1).Draw(t, "version"),
			Listed: rapid.SampledFrom([][]string{{"v1"}, {"v2"}, {"v1", "v2"}, {"v2", "v3"}, {"v3"}}).Draw(t, "listed"),
		})
	}
	return steps
}

// TestVersionsAreNeverMistaken lets versions come and go, daemons start anew and the store fail, and looks up
// streams at all daemons. A version that is told is always the right one, unless the stream's first event was
// forwarded although it could not be recorded.
func TestVersionsAreNeverMistaken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before, steps, mistake := rapid.IntRange(0, 30).Draw(rt, "seconds before"), drawSteps(rt), ""
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			defer f.stop()
			began, beganMs := map[string]string{}, map[string]clock.Millis{}
			f.pass(clock.Millis(before) * clock.Second)
			for i, s := range steps {
				f.run(s, fmt.Sprint("s", i), began, beganMs)
				if mistake = f.mistake(began, beganMs); mistake != "" {
					return
				}
			}
		})
		if mistake != "" {
			rt.Fatal(mistake)
		}
	})
}

// run carries out a step; attempt is the ID of the stream that it may begin.
func (f *fleet) run(s step, attempt string, began map[string]string, beganMs map[string]clock.Millis) {
	switch s.Kind {
	case 0:
		f.listed = s.Listed
		f.pass(250)
	case 1:
		f.start(s.Daemon)
	case 2:
		f.store.set(func() { f.store.down = !f.store.down })
	case 3, 4:
		f.pass(clock.Millis(s.Seconds) * clock.Second)
	default:
		software := f.listed[s.Version%len(f.listed)]
		if f.begin(s.Daemon, attempt, software) {
			began[attempt], beganMs[attempt] = software, f.time.Clock().Now()
		}
	}
}

// mistake returns a version that a daemon mistakes, or "".
func (f *fleet) mistake(began map[string]string, beganMs map[string]clock.Millis) string {
	for attempt, want := range began {
		for daemon := range f.daemons {
			if f.time.Clock().Now()-beganMs[attempt] > testLifetime {
				continue
			}
			if got, err := f.lookup(daemon, attempt); err == nil && got != want {
				return fmt.Sprintf("%s at daemon %d: %q, want %q", attempt, daemon, got, want)
			}
			if got, err := f.lookupUnnamed(daemon, attempt); err == nil && got != want {
				return fmt.Sprintf("%s, not named, at daemon %d: %q, want %q", attempt, daemon, got, want)
			}
		}
	}
	return ""
}
