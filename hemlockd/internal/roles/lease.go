package roles

import (
	"context"
	"encoding/json"
	"errors"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// Store is what the lease needs of the store.
type Store interface {
	CompareAndSwap(ctx context.Context, topic directory.Topic, key string, value []byte, expected int64) (int64, error)
}

// Lease is the right to give orders. It is not safe for concurrent use.
type Lease struct {
	store  Store
	key    string
	holder string
	// spanMs is the time that must lie between orders of two holders.
	spanMs clock.Millis
	// version is the version of the entry as last seen, seenMs when it was first
	// seen; mine says that this daemon wrote it.
	version int64
	seenMs  clock.Millis
	mine    bool
	// quietUntilMs is when the orders of an earlier holder are long past.
	quietUntilMs clock.Millis
}

// lapsedSpans times the span is how long an entry must stand unchanged before
// another daemon takes the right over.
const lapsedSpans = 2

// entry is what the store holds.
type entry struct {
	Holder string `json:"holder"`
}

// NewLease returns a lease that is not held. key names what it is for.
func NewLease(store Store, key, holder string, span clock.Millis) *Lease {
	return &Lease{store: store, key: key, holder: holder, spanMs: span}
}

// wrote tells whether an entry names this daemon.
func (l *Lease) wrote(value []byte) bool {
	var e entry
	return json.Unmarshal(value, &e) == nil && e.Holder == l.holder
}

// Renew tries to take or renew the right. It returns the fencing number for one
// order, to be sent at once, or 0 where no order may be sent now.
//
// now must go on while the VM is suspended.
func (l *Lease) Renew(ctx context.Context, now func() clock.Millis) (int64, error) {
	if !l.mine && l.version != 0 && now()-l.seenMs < lapsedSpans*l.spanMs {
		return 0, nil
	}
	value, err := json.Marshal(entry{Holder: l.holder})
	if err != nil {
		return 0, err
	}
	version, err := l.store.CompareAndSwap(ctx, directory.Roles, l.key, value, l.version)
	var conflict *directory.ConflictError
	if errors.As(err, &conflict) {
		l.version, l.seenMs = conflict.Current.Version, now()
		// What an earlier run of this daemon wrote is as good as its own.
		l.mine = l.wrote(conflict.Current.Value)
		return 0, nil
	}
	if err != nil {
		// The write may have been done, or may be done later.
		l.mine = false
		l.seenMs = now()
		return 0, err
	}
	takenOver := !l.mine && l.version != 0
	l.mine, l.version, l.seenMs = true, version, now()
	if takenOver {
		l.quietUntilMs = now() + l.spanMs + l.spanMs/lapsedSpans
	}
	if now() < l.quietUntilMs {
		return 0, nil
	}
	return version, nil
}
