package roles

import (
	"context"
	"encoding/json"
	"errors"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// Store is the part of the store that a lease needs. CompareAndSwap writes an entry if
// its version is the expected one and returns the new revision.
type Store interface {
	CompareAndSwap(ctx context.Context, topic directory.Topic, key string, value []byte, expected directory.Revision) (directory.Revision, error)
}

// Lease is the exclusive right to send orders to the engines of a data centre. It is
// not safe for concurrent use.
//
// A store that comes back from an older copy may name an earlier holder, or none. So no order is
// sent until the era has been known for as long as orders of two holders must keep apart: whoever
// held the lease before can't have renewed it since.
type Lease struct {
	store  Store
	key    string
	holder string
	// era returns what this daemon knows of the store's era.
	era func() Era
	// separationMs is the minimum time between orders of two holders.
	separationMs clock.Millis
	// revision is the last known revision of the entry.
	revision directory.Revision
	// observedMs is the time at which this revision became known, or of the last
	// write with an unknown outcome.
	observedMs clock.Millis
	// held says that this daemon wrote this revision.
	held bool
	// waitUntilMs is the time, after a takeover, from which orders keep the minimum
	// separation from those of the previous holder.
	waitUntilMs clock.Millis
}

// Era is what a daemon knows of the era of the store.
type Era struct {
	// Number is the era, see [directory.Revision].
	Number int64
	// SinceMs is when the daemon learned of it.
	SinceMs clock.Millis
	// Known is set once the daemon has learned of any.
	Known bool
}

// expirySeparations is the number of separations for which an entry must stay
// unchanged before another daemon may take the lease over.
const expirySeparations = 2

// entry is the content of the lease's entry in the store.
type entry struct {
	Holder string `json:"holder"`
}

// NewLease returns a lease that is not held. key is the lease's key in the store.
func NewLease(store Store, key, holder string, separation clock.Millis, era func() Era) *Lease {
	return &Lease{store: store, key: key, holder: holder, separationMs: separation, era: era}
}

// takeoverWait is how long orders wait after a change of the holder, or of the era.
func (l *Lease) takeoverWait() clock.Millis { return l.separationMs + l.separationMs/expirySeparations }

// namesHolder reports whether a stored entry names this daemon as the holder.
func (l *Lease) namesHolder(value []byte) bool {
	var e entry
	return json.Unmarshal(value, &e) == nil && e.Holder == l.holder
}

// Renew tries to acquire or renew the lease. It returns the fencing token for one
// order, to be sent immediately, or 0 if no order may be sent now.
//
// now must return a time that keeps running while the VM is suspended.
func (l *Lease) Renew(ctx context.Context, now func() clock.Millis) (int64, error) {
	era := l.era()
	if !era.Known || now()-era.SinceMs < l.takeoverWait() {
		return 0, nil
	}
	if l.revision.Era != era.Number { // known from another history
		l.held, l.revision = false, directory.Revision{}
	}
	if !l.held && l.revision.Version != 0 && now()-l.observedMs < expirySeparations*l.separationMs {
		return 0, nil
	}
	value, err := json.Marshal(entry{Holder: l.holder})
	if err != nil {
		return 0, err
	}
	revision, err := l.store.CompareAndSwap(ctx, directory.Roles, l.key, value, l.revision)
	var conflict *directory.ConflictError
	if errors.As(err, &conflict) {
		l.revision, l.observedMs = conflict.Current.Revision, now()
		// An entry that an earlier process of this daemon wrote counts as its own.
		l.held = l.namesHolder(conflict.Current.Value)
		return 0, nil
	}
	if err != nil {
		// The write may have been applied or may still be applied later.
		l.held = false
		l.observedMs = now()
		return 0, err
	}
	if revision.Era != era.Number { // the entry that was replaced may be another daemon's
		l.held, l.revision, l.observedMs = false, revision, now()
		return 0, nil
	}
	takenOver := !l.held && l.revision.Version != 0
	l.held, l.revision, l.observedMs = true, revision, now()
	if takenOver {
		l.waitUntilMs = now() + l.takeoverWait()
	}
	if now() < l.waitUntilMs {
		return 0, nil
	}
	return revision.Ordinal(), nil
}
