package streamversions

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// contextStore is a store whose reads end with their contexts.
type contextStore struct{ *fakeStore }

// Read implements [Store].
func (s contextStore) Read(ctx context.Context, topic directory.Topic) (directory.Page, error) {
	if err := ctx.Err(); err != nil {
		return directory.Page{}, err
	}
	return s.fakeStore.Read(ctx, topic)
}

// TestScanOfACallerThatLeavesIsNotShared guards against streams that are refused because the caller whose lookup read the records for
// all that waited has left meanwhile.
func TestScanOfACallerThatLeavesIsNotShared(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	o := Options{Clock: now.Clock(), Store: contextStore{newFakeStore()}}
	asked := now.Clock().Now() // both lookups wait for a scan since then
	now.Advance(10)
	left, leave := context.WithCancel(context.Background())
	leave()
	var s scans
	if _, _, err := s.since(left, o, asked); err == nil {
		t.Fatal("the scan of the caller that has left succeeded")
	}
	if _, _, err := s.since(context.Background(), o, asked); err != nil {
		t.Errorf("the other lookup fails: %v", err)
	}
}

// rejecting is a store that rejects the writes of one daemon.
type rejecting struct{ *fakeStore }

// Write implements [Store].
func (rejecting) Write(context.Context, directory.Topic, []directory.Entry) (directory.Revision, error) {
	return directory.Revision{}, errDown
}

// TestUnnamedStreamWithoutItsRecordIsNotTakenForTheBase guards against a stream that is joined from two versions: its record could not
// be written, its caller got events all the same after recordTimeout (package dispatch), and a daemon that has just started
// has not seen its version.
func TestUnnamedStreamWithoutItsRecordIsNotTakenForTheBase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.list("v1", "v2")
		f.daemons[0].writer.o.Store = rejecting{f.store}
		f.begin(0, "other", "v2")
		f.list("v1")
		f.start(1)
		if got, err := f.lookupUnnamed(1, "other"); err == nil {
			t.Errorf("version %q, but a stream of v2 is alive", got)
		}
	})
}

// TestLongIDsDoNotHoldUpRecords guards against a caller whose id is longer than a key of the store may be: the store refused each
// transaction with its record, and no version of a stream of the daemon was recorded any more.
func TestLongIDsDoNotHoldUpRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.list("v1", "v2")
		long := strings.Repeat("long", 1000)
		for _, attempt := range []string{long, "usual"} {
			if !f.begin(0, attempt, "v2") {
				t.Errorf("the stream of an id of %d bytes is not recorded", len(attempt))
			}
		}
		for _, attempt := range []string{long, "usual"} {
			if software, err := f.lookup(1, attempt); err != nil || software != "v2" {
				t.Errorf("the stream of an id of %d bytes: %q, %v", len(attempt), software, err)
			}
		}
		f.daemons[0].End(long)
		f.pass(10 * clock.Second)
		if page, err := f.store.Read(t.Context(), directory.Streams); err != nil || len(page.Entries) != 1 {
			t.Errorf("%d records after one stream has ended, %v", len(page.Entries), err)
		}
	})
}
