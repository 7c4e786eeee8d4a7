package roles

import (
	"context"
	"encoding/json"
	"errors"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// Store is the part of the store that a lease needs. CompareAndSwap writes an entry if
// its version is the expected one and returns the new version.
type Store interface {
	CompareAndSwap(ctx context.Context, topic directory.Topic, key string, value []byte, expected int64) (int64, error)
}

// Lease is the exclusive right to send orders to the engines of a data centre. It is
// not safe for concurrent use.
type Lease struct {
	store  Store
	key    string
	holder string
	// separationMs is the minimum time between orders of two holders.
	separationMs clock.Millis
	// version is the last known version of the entry.
	version int64
	// observedMs is the time at which this version became known, or of the last
	// write with an unknown outcome.
	observedMs clock.Millis
	// held says that this daemon wrote this version.
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
// now must continue while the VM is suspended.
func (l *Lease) Renew(ctx context.Context, now func() clock.Millis) (int64, error) {
	if !l.held && l.version != 0 && now()-l.observedMs < expirySeparations*l.separationMs {
		return 0, nil
	}
	value, err := json.Marshal(entry{Holder: l.holder})
	if err != nil {
		return 0, err
	}
	version, err := l.store.CompareAndSwap(ctx, directory.Roles, l.key, value, l.version)
	var conflict *directory.ConflictError
	if errors.As(err, &conflict) {
		l.version, l.observedMs = conflict.Current.Version, now()
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
	takenOver := !l.held && l.version != 0
	l.held, l.version, l.observedMs = true, version, now()
	if takenOver {
		l.waitUntilMs = now() + l.separationMs + l.separationMs/expirySeparations
	}
	if now() < l.waitUntilMs {
		return 0, nil
	}
	return version, nil
}
