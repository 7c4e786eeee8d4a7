package streamversions

import (
	"errors"
	"testing"
	"testing/synctest"

	"hemlockmux.example/common/clock"
)

// anyLookup is a lookup for a stream whose caller does not say which attempt began it.
type anyLookup struct {
	what, want string // want is empty if the version can't be known
	// prepare brings about what is known; the lookup is made at daemon 1 then.
	prepare func(f *fleet)
}

// TestStreamsThatCallersDoNotNameGoOnWhereTheirVersionIsCertain guards against streams that nobody takes up, and against streams
// that are joined from two versions, where the caller names the last event alone.
func TestStreamsThatCallersDoNotNameGoOnWhereTheirVersionIsCertain(t *testing.T) {
	for _, c := range []anyLookup{
		{"one version all the time", "v1", func(f *fleet) { f.pass(25 * clock.Second) }},
		{"the daemon has just started", "", func(f *fleet) { f.pass(25 * clock.Second); f.start(1) }},
		{"it has watched for a stream's lifetime since", "v1", func(f *fleet) { f.pass(25 * clock.Second); f.start(1); f.pass(25 * clock.Second) }},
		{"no daemon has watched for a stream's lifetime", "", func(f *fleet) { f.pass(10 * clock.Second) }},
		{"two are listed", "", func(f *fleet) { f.pass(25 * clock.Second); f.list("v1", "v2") }},
		{"the second has left, the daemon has seen it", "", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.list("v1", "v2")
			f.list("v1")
		}},
		{"the second has left before the daemon started, a stream of it is alive", "", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.list("v1", "v2")
			f.begin(0, "other", "v2")
			f.list("v1")
			f.start(1)
		}},
		{"the second has left before the daemon started, its streams have ended", "", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.list("v1", "v2")
			f.begin(0, "other", "v2")
			f.daemons[0].End("other")
			f.list("v1")
			f.pass(8 * clock.Second) // until the record is removed
			f.start(1)
		}},
		{"only another daemon has seen the second", "", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.daemons[0].Observe(map[string][]string{"models": {"v1", "v2"}})
			f.begin(0, "other", "v2")
		}},
		{"the first has left lately", "", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.list("v2")
			f.start(1)
		}},
		{"the first has left long ago", "v2", func(f *fleet) { f.pass(25 * clock.Second); f.list("v2"); f.pass(40 * clock.Second) }},
		{"its request began a stream before any base, beside others", "v2", func(f *fleet) {
			f.list("v1", "v2")
			f.begin(0, "asked", "v2")
			f.begin(0, "other", "v1")
			f.start(0)
		}},
		{"its request began streams of two versions", "", func(f *fleet) {
			f.list("v1", "v2")
			f.begin(0, "asked", "v2")
			f.begin(0, "also asked", "v1")
			f.start(0)
		}},
		{"its request began one, and may have begun one of the base", "", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.list("v1", "v2")
			f.begin(0, "asked", "v2")
			f.start(0)
		}},
		{"its request began one here, of the base", "v1", func(f *fleet) {
			f.pass(25 * clock.Second)
			f.list("v1", "v2")
			f.begin(1, "asked", "v1")
			f.begin(0, "other", "v2")
		}},
		{"its request began one before any base, the store has been restored", "", func(f *fleet) {
			f.list("v1", "v2")
			f.begin(0, "asked", "v2")
			f.store.set(func() { f.store.era++ })
		}},
		{"the store fails", "", func(f *fleet) { f.pass(25 * clock.Second); f.store.set(func() { f.store.down = true }) }},
		{"the store has been restored", "", func(f *fleet) { f.pass(25 * clock.Second); f.store.set(func() { f.store.era++ }) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 2)
			defer f.stop()
			c.prepare(f)
			got, err := f.lookupUnnamed(1, "asked")
			var unknown *UnknownError
			if got != c.want || (err != nil) != (c.want == "") || err != nil && !errors.As(err, &unknown) {
				t.Errorf("%s: %q, %v, want %q", c.what, got, err, c.want)
			}
		})
	}
}

// list changes the listed versions, and lets the daemons see that.
func (f *fleet) list(versions ...string) {
	f.listed = versions
	f.pass(2 * clock.Second)
}

// TestRecordsOfStreamsThatCanNotBeAliveAreNoObstacle guards against refusing all streams until the records of daemons that were
// killed have been removed.
func TestRecordsOfStreamsThatCanNotBeAliveAreNoObstacle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.pass(25 * clock.Second)
		f.list("v1", "v2")
		f.begin(0, "other", "v2")
		f.list("v1")
		f.start(0)
		f.pass(25 * clock.Second)
		if got, err := f.lookupUnnamed(1, "asked"); err == nil {
			t.Errorf("when the record is first seen: %q", got)
		}
		f.pass(25 * clock.Second)
		if got, err := f.lookupUnnamed(1, "asked"); got != "v1" || err != nil {
			t.Errorf("a lifetime later: %q, %v", got, err)
		}
	})
}
