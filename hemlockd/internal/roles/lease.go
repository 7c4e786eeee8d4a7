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
type Lease struct {
	store  Store
	key    string
	holder string
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

// expirySeparations is the number of separations for which an entry must stay
// unchanged before another daemon may take the lease over.
const expirySeparations = 2

// entry is the content of the lease's entry in the store.
type entry struct {
	Holder string `json:"holder"`
}

// NewLease returns a lease that is not held. key is the lease's key in the store.
func NewLease(store Store, key, holder string, separation clock.Millis) *Lease {
	return &Lease{store: store, key: key, holder: holder, separationMs: separation}
}

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
	takenOver := !l.held && l.revision.Version != 0
	l.held, l.revision, l.observedMs = true, revision, now()
	if takenOver {
		l.waitUntilMs = now() + l.separationMs + l.separationMs/expirySeparations
	}
	if now() < l.waitUntilMs {
		return 0, nil
	}
	return revision.Version, nil
}
