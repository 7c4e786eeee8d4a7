package roles

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// fakeStore holds one entry. A write may be lost, applied without an answer, or
// applied later if its condition still holds.
type fakeStore struct {
	t       *rapid.T
	era     int64
	version int64
	value   []byte
	// writtenAt is the version of the value.
	writtenAt int64
	late      []write
	// copied is an earlier state of the store.
	copied *fakeStore
}

type write struct {
	value    []byte
	expected int64
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ directory.Topic, key string, value []byte, expected directory.Revision) (directory.Revision, error) {
	switch rapid.IntRange(0, 5).Draw(s.t, "fate") {
	case 0:
		return directory.Revision{}, errors.New("write lost")
	case 1:
		s.late = append(s.late, write{value, expected.Version})
		return directory.Revision{}, errors.New("write delayed")
	case 2:
		s.apply(write{value, expected.Version})
		return directory.Revision{}, errors.New("answer lost")
	}
	if !s.apply(write{value, expected.Version}) {
		return directory.Revision{}, &directory.ConflictError{Current: directory.Entry{Key: key, Value: s.value, Revision: s.revision()}}
	}
	return s.revision(), nil
}

// revision returns the revision of the entry.
func (s *fakeStore) revision() directory.Revision {
	return directory.Revision{Era: s.era, Version: s.writtenAt}
}

func (s *fakeStore) apply(w write) bool {
	if w.expected != s.writtenAt {
		return false
	}
	s.version++
	s.value, s.writtenAt = w.value, s.version
	return true
}

// restore brings the store back from its copy.
func (s *fakeStore) restore() {
	if c := s.copied; c != nil {
		s.era++
		s.version, s.value, s.writtenAt = c.version, c.value, c.writtenAt
	}
}

// TestOrdersOfTwoHoldersNeverComeClose checks that orders of two daemons keep the
// minimum separation and that fencing tokens increase, while daemons pause and
// restart and the store loses or delays writes.
func TestOrdersOfTwoHoldersNeverComeClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 3 * clock.Second
		store := &fakeStore{t: t}
		f := newLeaseFleet(store, span)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now += clock.Millis(rapid.IntRange(1, 4000).Draw(t, "pause"))
			if len(store.late) > 0 && rapid.Bool().Draw(t, "late write") {
				store.apply(store.late[0])
				store.late = store.late[1:]
			}
			n := rapid.SampledFrom(f.names).Draw(t, "daemon")
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				f.start(n)
			}
			fence, _ := f.leases[n].Renew(context.Background(), func() clock.Millis { return f.now })
			f.checkOrder(t, n, fence)
		}
	})
}

// TestOrdersKeepApartAcrossRestores guards against two daemons that order at the same time, and against
// a fencing token that is lower than an earlier one: the store came back from an older copy, whose
// entry named an earlier holder, and gave out versions again.
func TestOrdersKeepApartAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 3 * clock.Second
		store := &fakeStore{t: t, era: 1}
		f := newLeaseFleet(store, span)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now += clock.Millis(rapid.IntRange(1, 2000).Draw(t, "pause"))
			switch rapid.IntRange(0, 15).Draw(t, "event") {
			case 0:
				store.copied = &fakeStore{version: store.version, value: store.value, writtenAt: store.writtenAt}
			case 1:
				store.restore()
			case 2:
				store.version++ // another row is written
			}
			n := rapid.SampledFrom(f.names).Draw(t, "daemon")
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				f.start(n)
			}
			if rapid.IntRange(0, 3).Draw(t, "answer about another topic") > 0 {
				f.observe(n)
			}
			fence, _ := f.leases[n].Renew(context.Background(), func() clock.Millis { return f.now })
			f.checkOrder(t, n, fence)
		}
	})
}

// leaseFleet is a few daemons that share a lease.
type leaseFleet struct {
	store  *fakeStore
	span   clock.Millis
	names  []string
	now    clock.Millis
	leases map[string]*Lease
	// eras is what each daemon knows of the store's era.
	eras map[string]Era
	// lastHolder sent the last order, at lastAtMs and with lastFence.
	lastHolder string
	lastAtMs   clock.Millis
	lastFence  int64
}

func newLeaseFleet(store *fakeStore, span clock.Millis) *leaseFleet {
	f := &leaseFleet{store: store, span: span, names: []string{"a", "b", "c"}, leases: map[string]*Lease{}, eras: map[string]Era{}}
	for _, n := range f.names {
		f.start(n)
	}
	return f
}

// checkOrder fails the test if a daemon may send an order, by its fencing token, and should not: too soon after
// another one, or with a token that is not higher than all before.
func (f *leaseFleet) checkOrder(t *rapid.T, holder string, fence int64) {
	if fence == 0 {
		return
	}
	if fence <= f.lastFence {
		t.Fatalf("fencing token %d issued after %d", fence, f.lastFence)
	}
	if f.lastHolder != "" && f.lastHolder != holder && f.now-f.lastAtMs < f.span {
		t.Fatalf("%s may send orders %d ms after %s", holder, f.now-f.lastAtMs, f.lastHolder)
	}
	f.lastHolder, f.lastAtMs, f.lastFence = holder, f.now, fence
}

// start starts a daemon anew.
func (f *leaseFleet) start(name string) {
	f.eras[name] = Era{}
	f.leases[name] = NewLease(f.store, "dc", name, f.span, func() Era { return f.eras[name] })
	f.observe(name)
}

// observe lets a daemon learn of the store's era.
func (f *leaseFleet) observe(name string) {
	if e := f.eras[name]; !e.Known || e.Number < f.store.era {
		f.eras[name] = Era{Number: f.store.era, SinceMs: f.now, Known: true}
	}
}
