// Package streamversions knows which version of the engines' software began a stream. What two versions
// write does not fit together, so a stream that a caller takes up may go on only at the version that began
// it, through any daemon, also after all daemons have been killed.
//
// What lasts is in the store: for each service the base version, and a record for each stream that
// another version began, written before its first event reaches the caller. So a stream without a
// record was begun by the base version. The base moves to another version once that has been the only
// one listed for longer than any stream lives. While this daemon is not sure of the base it records
// every stream. Where the store cannot tell, the answer is "unknown", never a guess. If a caller does not say
// which attempt began its stream, the version is known only where no stream of another one can be meant.
//
// # Usage
//
//	v, closeVersions := streamversions.New(options)
//	v.Observe(map[string][]string{"models": {"v1", "v2"}})
//	stream := streamversions.Stream{Service: "models", Attempt: attempt, Digest: digest}
//	v.Begin(stream, "v2")           // when the call is sent to the engine
//	err := v.Recorded(ctx, attempt) // before the first event is forwarded
//	v.End(attempt)                  // the caller has the whole stream
//	version, err := v.Lookup(ctx, stream)
package streamversions

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"fmt"
	"slices"
	"sync"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

const (
	// settleTime is how long the base must have been read after the last change of the listed
	// versions until this daemon relies on it: daemons learn of a change within seconds.
	settleTime = 5 * clock.Second
	// lifetimeMargin is added to the time that a stream may live.
	lifetimeMargin = 5 * clock.Second
	// tick is the time between two looks at what is due.
	tick = 250 * clock.Millisecond
	// maxRemembered bounds the streams that a daemon remembers.
	maxRemembered = 20_000
)

var metrics = expvar.NewMap("streamVersions")

// Store is the part of the store that keeps the base versions and the records.
type Store interface {
	// Entry returns one entry. Its version is 0 if it does not exist.
	Entry(ctx context.Context, topic directory.Topic, key string) (directory.Entry, error)
	// Write writes and removes entries in one transaction.
	Write(ctx context.Context, topic directory.Topic, entries []directory.Entry) (directory.Revision, error)
	// CompareAndSwap writes an entry if it has the expected version.
	CompareAndSwap(ctx context.Context, topic directory.Topic, key string, value []byte, expected directory.Revision) (directory.Revision, error)
	// Read returns all entries of a topic.
	Read(ctx context.Context, topic directory.Topic) (directory.Page, error)
}

// Options holds the dependencies.
type Options struct {
	Log   *zap.Logger
	Clock clock.Clock
	Store Store
	// Lifetime returns the longest time from the beginning of a stream to the last take-up of it.
	Lifetime func() clock.Millis
	// WriteInterval returns the shortest time between two of this daemon's writes of records.
	WriteInterval func() clock.Millis
	// StoreFails reports whether calls to the store have just failed.
	StoreFails func() bool
	// Cleans reports whether this daemon removes the records of daemons that are gone.
	Cleans func() bool
}

// UnknownError reports that it cannot be told which version began a stream.
type UnknownError struct {
	// Attempt is the ID of the attempt that began the stream; empty if the caller does not say.
	Attempt string
	// Err is the failure of the store, or nil if the store does not know either.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the version that began stream %s is not known: %v", e.Attempt, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Stream is a stream that a caller may take up.
type Stream struct {
	Service string
	// Attempt is the ID of the attempt that began it; empty if the caller that takes it up does not say.
	Attempt string
	// Digest is the same for all attempts of one request.
	Digest string
}

// stream is a stream that this daemon has begun lately.
type stream struct {
	service, digest, software string
	beganMs                   clock.Millis
	// record is the pending write of the record, or nil if none is needed or it is done.
	record *write
	// recorded is set once a record has been written or is about to be.
	recorded bool
}

// Versions tells the versions of streams. It is safe for concurrent use.
type Versions struct {
	o      Options
	writer *writer
	ctx    context.Context

	scans scans

	mu       sync.Mutex
	services map[string]*service
	streams  map[string]*stream
	// dead are records that no daemon may need any more if they are still there at the next cleaning.
	dead       map[string]bool
	cleanDueMs clock.Millis
}

// New returns a tracker without knowledge and the function that stops it.
func New(o Options) (*Versions, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	v := &Versions{o: o, ctx: ctx, services: map[string]*service{}, streams: map[string]*stream{}, dead: map[string]bool{}, cleanDueMs: o.Clock.Now() + cleanInterval}
	v.writer = newWriter(o)
	var running sync.WaitGroup
	running.Go(func() { v.writer.run(ctx) })
	running.Go(func() { v.run(ctx) })
	return v, func() {
		cancel()
		running.Wait()
	}
}

// lifetime is how long a stream may be taken up after it has begun.
func (v *Versions) lifetime() clock.Millis { return v.o.Lifetime() + lifetimeMargin }

// Observe records the versions of the engines that are listed now, by service. It must be called at
// intervals, and only while the list is known to be fresh.
func (v *Versions) Observe(listed map[string][]string) {
	now := v.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, versions := range listed {
		if len(versions) == 0 {
			continue
		}
		s, ok := v.services[name]
		if !ok {
			s = newService(name, now)
			v.services[name] = s
		}
		s.observe(versions, now)
	}
}

// Begin records that an engine with a version is about to begin a stream. If another one was about to
// before, and no event has been forwarded, that is replaced.
func (v *Versions) Begin(begun Stream, software string) {
	name, attempt := begun.Service, begun.Attempt
	now := v.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s, ok := v.services[name]
	st := &stream{service: name, digest: begun.Digest, software: software, beganMs: now}
	if before, again := v.streams[attempt]; again {
		st.recorded = before.recorded
	}
	if st.recorded || !ok || !s.impliesWithoutRecord(software) {
		st.recorded = true
		st.record = v.writer.add(st.entry(attempt))
	}
	v.streams[attempt] = st
	if len(v.streams) > maxRemembered {
		v.forgetOldestLocked()
	}
}

// Recorded waits until a daemon that knows nothing would find the version of a stream. It fails if
// ctx ends before.
func (v *Versions) Recorded(ctx context.Context, attempt string) error {
	v.mu.Lock()
	var pending *write
	if st := v.streams[attempt]; st != nil {
		pending = st.record
	}
	v.mu.Unlock()
	if pending == nil {
		return nil
	}
	select {
	case <-pending.done:
		return nil
	case <-ctx.Done():
		metrics.Add("unrecorded", 1)
		return ctx.Err()
	}
}

// OnlyWithoutRecord returns the version at which streams should begin while no records can be written:
// those of another one could not be told from its own. ok is false while that is not so.
func (v *Versions) OnlyWithoutRecord(name string) (software string, ok bool) {
	if !v.writer.isFailing() {
		return "", false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil || !s.settled() || !s.base.valid {
		return "", false
	}
	return s.base.software, true
}

// End records that the caller has the whole stream.
func (v *Versions) End(attempt string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	st := v.streams[attempt]
	delete(v.streams, attempt)
	if st != nil && st.recorded {
		v.writer.add(directory.Entry{Key: recordKey(attempt), Removed: true})
	}
}

// Lookup returns the version that began a stream. It fails with an *UnknownError.
func (v *Versions) Lookup(ctx context.Context, begun Stream) (string, error) {
	v.mu.Lock()
	st := v.streams[begun.Attempt]
	v.mu.Unlock()
	if st != nil {
		return st.software, nil
	}
	metrics.Add("lookups", 1)
	lookup := v.lookupStored
	if begun.Attempt == "" {
		lookup = v.lookupUnnamed
	}
	software, err := lookup(ctx, begun)
	if err != nil {
		metrics.Add("unknown", 1)
		return "", &UnknownError{Attempt: begun.Attempt, Err: err}
	}
	return software, nil
}

// maxKeyBytes is the longest key that the store takes.
const maxKeyBytes = 200

// recordKey returns the key of the record of a stream that an attempt began. Callers choose ids as long as a head may be,
// and the store refuses a whole transaction for one key that is too long.
func recordKey(attempt string) string {
	if len(attempt) <= maxKeyBytes {
		return attempt
	}
	digest := sha256.Sum256([]byte(attempt))
	return "sha256-" + hex.EncodeToString(digest[:])
}

// lookupStored returns what the store tells of a stream. The record is read after the base: it is written
// before the first event, and the base moves only when no stream of the one before is left.
func (v *Versions) lookupStored(ctx context.Context, begun Stream) (string, error) {
	b, err := v.readBase(ctx, begun.Service)
	if err != nil {
		return "", err
	}
	record, err := v.o.Store.Entry(ctx, directory.Streams, recordKey(begun.Attempt))
	if err != nil {
		return "", err
	}
	if record.Revision.Version != 0 {
		software, _ := parseRecord(record)
		return software, nil
	}
	if !b.valid || record.Revision.Era != b.revision.Era {
		return "", errNoBase
	}
	return b.software, nil
}

// Restored must be called when the store has come back from an older copy. The records of this daemon's
// streams are written again, and the bases count only once they have been.
func (v *Versions) Restored() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for attempt, st := range v.streams {
		if st.recorded {
			v.writer.add(st.entry(attempt))
		}
	}
	for _, s := range v.services {
		s.restored(v.o.Clock.Now())
	}
}

// forgetLocked forgets the streams that have begun before a time, with their records.
func (v *Versions) forgetLocked(before clock.Millis) {
	for attempt, st := range v.streams {
		if st.beganMs >= before {
			continue
		}
		delete(v.streams, attempt)
		if st.recorded {
			v.writer.add(directory.Entry{Key: recordKey(attempt), Removed: true})
		}
	}
}

// forgetOldestLocked makes room by forgetting a tenth of the streams; their records stay.
func (v *Versions) forgetOldestLocked() {
	began := make([]clock.Millis, 0, len(v.streams))
	for _, st := range v.streams {
		began = append(began, st.beganMs)
	}
	slices.Sort(began)
	limit := began[len(began)/10]
	for attempt, st := range v.streams {
		if st.beganMs <= limit {
			delete(v.streams, attempt)
		}
	}
}
