package directory

import (
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/peers"
)

var testOutage = DefaultLimits().OutageMs

// steady returns what is known after the store has answered at every half second between
// two times.
func steady(from, to clock.Millis) *freshness {
	f := newFreshness()
	for at := from; at <= to; at += 500 {
		f.answered(at)
	}
	return f
}

func TestEntriesAreMissedOnlyAfterAnOutage(t *testing.T) {
	for name, test := range map[string]struct {
		silence clock.Millis // of the store, after it has answered for 20 s
		later   clock.Millis // after its return
		want    bool
	}{
		"no outage":              {500, 0, false},
		"a failed call or two":   {testOutage - 1, 0, false},
		"an outage":              {testOutage, 0, true},
		"shortly after it":       {testOutage, removalGrace - 1, true},
		"when the grace is over": {testOutage, removalGrace, false},
	} {
		f := steady(10*clock.Second, 30*clock.Second)
		back := 30*clock.Second + test.silence
		f.answered(back)
		if got := f.mayLackEntries(back + test.later); got != test.want {
			t.Errorf("%s: may lack entries %t, want %t", name, got, test.want)
		}
	}
}

// TestOutageOfOneDaemonIsNone guards against a daemon that takes its own trouble for an
// outage of the store: while the store turned it away, others got their answers.
func TestOutageOfOneDaemonIsNone(t *testing.T) {
	f := steady(10*clock.Second, 20*clock.Second)
	now := 27 * clock.Second
	f.answered(now)
	if !f.mayLackEntries(now) {
		t.Error("7 s without an answer are no outage")
	}
	f.reachableFor(0, now-3*clock.Second, now)
	if !f.mayLackEntries(now) {
		t.Error("a daemon that has had no answer for 3 s knows of no outage since")
	}
	f.reachableFor(11*clock.Second, now-300, now)
	if f.mayLackEntries(now) {
		t.Error("another daemon has had answers all the while, and it is taken for an outage")
	}
}

// TestOngoingFailuresKeepNoUpstream guards against a grace period that never ends: an
// entry was removed while another topic of the store still failed, and each failure kept
// the upstream in use longer, past the limit of 3 s.
func TestOngoingFailuresKeepNoUpstream(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	d := newTestDirectory(&fakeStore{})
	d.o.Clock = now.Clock()
	d.storeAnswered(directory.Page{}, now.Clock().Now())
	d.applyUpstreams(directory.Page{Revision: revision(90), Entries: []directory.Entry{entry("a", false)}}, true, storeSource)
	now.Advance(10 * clock.Second)
	d.storeAnswered(directory.Page{}, now.Clock().Now()) // the end of an outage
	d.applyUpstreams(directory.Page{Revision: revision(95), Entries: []directory.Entry{entry("a", true)}}, false, storeSource)
	if !d.has("a") {
		t.Error("not kept although an outage may have removed its entry")
	}
	for range 30 {
		now.Advance(100)
		d.recordStoreFailure()
		d.Settle()
	}
	if d.has("a") {
		t.Error("still in use 3 s after its entry was removed")
	}
}

// TestRemovedUpstreamsOfAnotherDaemonAreNotTakenOver guards against a removed upstream that
// comes back into use at daemons that know better: one daemon kept it as if an outage had
// removed its entry, and the others fetched it from there, as in the incident inc1 at
// aps-poleworks-grown (5.2 s after it had left) and the run hunt-aa47-59 at terassilampo.
func TestRemovedUpstreamsOfAnotherDaemonAreNotTakenOver(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	cut, sound := newTestDirectory(&fakeStore{}), newTestDirectory(&fakeStore{})
	cut.o.Clock, sound.o.Clock = now.Clock(), now.Clock()
	list := directory.Page{Revision: revision(90), Entries: []directory.Entry{entry("b", false)}}
	for _, d := range []*Directory{cut, sound} {
		d.storeAnswered(directory.Page{}, now.Clock().Now())
		d.applyUpstreams(list, true, storeSource)
	}
	for range 7 {
		now.Advance(clock.Second)
		sound.storeAnswered(directory.Page{}, now.Clock().Now())
	}
	sound.applyUpstreams(directory.Page{Revision: revision(95), Entries: []directory.Entry{entry("b", false)}}, true, storeSource)
	cut.storeAnswered(directory.Page{}, now.Clock().Now())
	cut.applyUpstreams(directory.Page{Revision: revision(99), Entries: []directory.Entry{entry("a", false), entry("a", true)}}, false, storeSource)
	if !cut.has("a") {
		t.Error("not kept although nothing is known of other daemons")
	}
	s, err := cut.Snapshot(peers.SnapshotRequest{Topic: directory.Upstreams})
	if err != nil {
		t.Fatal(err)
	}
	if err := sound.applySnapshot(directory.Upstreams, s, "cut"); err != nil {
		t.Fatal(err)
	}
	if sound.has("a") || !sound.has("b") {
		t.Errorf("in use: a, which has left, %t, want false; b %t, want true", sound.has("a"), sound.has("b"))
	}
	sound.confirm(directory.Routes, now.Clock().Now(), revision(0))
	sound.confirm(directory.Upstreams, now.Clock().Now(), revision(0))
	cut.Confirm(*sound.Freshness(), revision(0), revision(95))
	cut.Settle()
	if cut.has("a") {
		t.Error("still kept although the store was reachable all the while")
	}
}

// TestOtherDaemonsConfirmOnlyWhatIsInForceHere checks which ages a message of another
// daemon sets: those of versions that are not newer than the ones in force, and none that
// lie in the future.
func TestOtherDaemonsConfirmOnlyWhatIsInForceHere(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	d := newTestDirectory(&fakeStore{})
	d.o.Clock = now.Clock()
	d.applyConfig([]byte("7"), 0, "test")
	d.applyUpstreams(directory.Page{Revision: revision(90), Entries: []directory.Entry{entry("a", false)}}, true, storeSource)
	ages := func() (config, list clock.Millis) {
		if f := d.Freshness(); f != nil {
			return f.ConfigAgeMs, f.ListAgeMs
		}
		return -1, -1
	}
	d.Confirm(peers.Freshness{ConfigAgeMs: 100, ListAgeMs: 200}, revision(8), revision(91))
	if config, list := ages(); config != -1 || list != -1 {
		t.Errorf("newer versions elsewhere give ages of %d and %d ms, want none", config, list)
	}
	d.Confirm(peers.Freshness{ConfigAgeMs: 100, ListAgeMs: 200}, revision(7), revision(89))
	if config, list := ages(); config != 100 || list != 200 {
		t.Errorf("ages %d and %d ms, want 100 and 200", config, list)
	}
	now.Advance(clock.Second)
	d.Confirm(peers.Freshness{ConfigAgeMs: 5000, ListAgeMs: -5000}, revision(7), revision(90))
	if config, list := ages(); config != 1100 || list != 0 {
		t.Errorf("ages %d and %d ms, want 1100, which is known, and 0", config, list)
	}
}

// TestChangesThatTheListIncludesAreNotAppliedAgain guards against old changes that come
// from the store after another daemon has sent a newer list.
func TestChangesThatTheListIncludesAreNotAppliedAgain(t *testing.T) {
	d := newTestDirectory(&fakeStore{})
	d.applyUpstreams(directory.Page{Revision: revision(95), Entries: []directory.Entry{entry("b", false)}}, true, "another daemon")
	added, changed := entry("a", false), entry("c", false)
	added.Revision, changed.Revision = revision(91), revision(97)
	d.applyUpstreams(directory.Page{Revision: revision(99), Entries: []directory.Entry{added, changed}}, false, storeSource)
	if d.has("a") || !d.has("b") || !d.has("c") {
		t.Errorf("in use: a, which has left since, %t, want false; b %t and c %t, want true", d.has("a"), d.has("b"), d.has("c"))
	}
}

// TestOutageAtTheStartIsSeen starts a daemon during an outage, which has its list from
// another daemon.
func TestOutageAtTheStartIsSeen(t *testing.T) {
	f := newFreshness()
	now := 30 * clock.Second
	f.reachableFor(0, now-testOutage, now)
	f.answered(now + 100)
	if !f.mayLackEntries(now + 200) {
		t.Error("the outage that another daemon knew of is not counted")
	}
	f = newFreshness()
	f.answered(now)
	if f.mayLackEntries(now) {
		t.Error("the first answer after the start is taken for the end of an outage")
	}
}

// TestFreshDaemonDeniesNoOutage starts a daemon just after an outage, of which it cannot
// know: others must go on keeping what the outage may have removed.
func TestFreshDaemonDeniesNoOutage(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	fresh := newTestDirectory(&fakeStore{})
	fresh.o.Clock = now.Clock()
	fresh.storeAnswered(directory.Page{}, now.Clock().Now())
	fresh.confirm(directory.Routes, now.Clock().Now(), revision(0))
	fresh.confirm(directory.Upstreams, now.Clock().Now(), revision(0))
	old := newTestDirectory(&fakeStore{})
	old.o.Clock = now.Clock()
	old.freshness = steady(clock.Second, 50*clock.Second)
	old.storeAnswered(directory.Page{}, now.Clock().Now())
	now.Advance(100)
	old.Confirm(*fresh.Freshness(), revision(0), revision(0))
	if !old.freshness.mayLackEntries(now.Clock().Now()) {
		t.Error("a daemon that has just started denied the outage before its start")
	}
	now.Advance(outageMemory)
	if f := fresh.Freshness(); f.OutageAgoMs != 0 {
		t.Errorf("outage %d ms ago, want none lately", f.OutageAgoMs)
	}
}

func TestStoreTimeIsBetweenTheCallAndTheArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c storeClock
		local := clock.Minute
		store := clock.Millis(rapid.Int64Range(1, 1_000_000).Draw(t, "store"))
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			called := local
			way := clock.Millis(rapid.Int64Range(0, 500).Draw(t, "there"))
			back := clock.Millis(rapid.Int64Range(0, 500).Draw(t, "back"))
			if rapid.Bool().Draw(t, "set anew") {
				store = clock.Millis(rapid.Int64Range(1, 1_000_000).Draw(t, "anew"))
			}
			store += way
			local += way + back
			if at := c.timeOf(store, called, local); at < called || at > local {
				t.Fatalf("answer made at %d, call at %d, arrival at %d", at, called, local)
			}
			store += back
		}
	})
}

func TestStoreTimeIsPreciseAfterAFastAnswer(t *testing.T) {
	var c storeClock
	c.timeOf(1000, 60_000, 60_004)
	if at := c.timeOf(2000, 60_100, 63_000); at != 61_004 {
		t.Errorf("an answer that was held up on its way was made at %d, want 61004", at)
	}
}
