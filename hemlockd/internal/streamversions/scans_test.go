package streamversions

import (
	"context"
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
