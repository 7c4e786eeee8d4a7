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
	version int64
	value   []byte
	late    []write
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
		return directory.Revision{}, &directory.ConflictError{Current: directory.Entry{Key: key, Value: s.value, Revision: directory.Revision{Version: s.version}}}
	}
	return directory.Revision{Version: s.version}, nil
}

func (s *fakeStore) apply(w write) bool {
	if w.expected != s.version {
		return false
	}
	s.version++
	s.value = w.value
	return true
}

// TestOrdersOfTwoHoldersNeverComeClose checks that orders of two daemons keep the
// minimum separation and that fencing tokens increase, while daemons pause and
// restart and the store loses or delays writes.
func TestOrdersOfTwoHoldersNeverComeClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 3 * clock.Second
		store := &fakeStore{t: t}
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, n := range names {
			leases[n] = NewLease(store, "dc", n, span)
		}
		lastHolder, lastAt, lastFence := "", clock.Millis(-1), int64(0)
		now := clock.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 4000).Draw(t, "pause"))
			if len(store.late) > 0 && rapid.Bool().Draw(t, "late write") {
				store.apply(store.late[0])
				store.late = store.late[1:]
			}
			n := rapid.SampledFrom(names).Draw(t, "daemon")
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				leases[n] = NewLease(store, "dc", n, span)
			}
			fence, _ := leases[n].Renew(context.Background(), func() clock.Millis { return now })
			if fence == 0 {
				continue
			}
			if fence <= lastFence {
				t.Fatalf("fencing token %d issued after %d", fence, lastFence)
			}
			if lastHolder != "" && lastHolder != n && now-lastAt < span {
				t.Fatalf("%s may send orders %d ms after %s", n, now-lastAt, lastHolder)
			}
			lastHolder, lastAt, lastFence = n, now, fence
		}
	})
}
