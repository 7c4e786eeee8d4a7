package directory

import (
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/peers"
)

// TestLeavingIsSeenAfterARestore guards against a list that is followed by numbers of another history:
// an upstream left after the store had come back from an older copy, at a version below the one in
// force or at the same.
func TestLeavingIsSeenAfterARestore(t *testing.T) {
	for _, behind := range []int64{1, 2, 3, 20} {
		inVirtualTime(t, func(b *bubble, store *feedStore) {
			for range 20 {
				store.set("c", false)
			}
			b.pass(clock.Second)
			store.restore(22-behind, "", "a", "b", "c")
			b.pass(3 * clock.Second)
			store.set("a", true)
			b.expectUnusedInTime(t, "a")
			if !b.has("b") {
				t.Error("an upstream that stays is no longer used")
			}
		})
	}
}

// TestChangeAtAVersionGivenOutAgainIsSeen guards against a follower that goes on from its position in
// a history that has ended.
func TestChangeAtAVersionGivenOutAgainIsSeen(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		store.set("c", false)
		store.set("d", false)
		b.pass(clock.Second)
		store.restore(2, "", "a", "b")
		store.set("a", true)
		for range 5 {
			store.set("e", false)
		}
		b.expectUnusedInTime(t, "a")
	})
}

// TestUpstreamsThatARestoredStoreLacksAreUsedUntilTheyAreBack restores a copy that lacks two
// upstreams, of which one writes its entry again.
func TestUpstreamsThatARestoredStoreLacksAreUsedUntilTheyAreBack(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		store.set("c", false)
		store.set("d", false)
		b.pass(5 * clock.Second)
		store.restore(2, "", "a", "b")
		b.pass(1800)
		if !b.has("c") || !b.has("d") {
			t.Errorf("in use 1.8 s after the restore: c %t, d %t, want both", b.has("c"), b.has("d"))
		}
		store.set("c", false)
		b.pass(1800)
		if !b.has("c") || b.has("d") {
			t.Errorf("in use 3.6 s after the restore: c, which is back, %t, want true; d %t, want false", b.has("c"), b.has("d"))
		}
	})
}

// TestRestoredStoreRevivesNothing restores a copy that lists an upstream that has left since. It is
// used again only if the store goes on to list it for as long as it takes to lose a dead one's entry.
func TestRestoredStoreRevivesNothing(t *testing.T) {
	for _, gone := range []bool{true, false} {
		inVirtualTime(t, func(b *bubble, store *feedStore) {
			store.set("a", true)
			b.pass(clock.Second)
			if b.has("a") {
				t.Fatal("in use although it has left")
			}
			store.restore(2, "", "a", "b")
			for range 35 {
				b.pass(100)
				if b.has("a") {
					t.Fatal("the restore brought back an upstream that has left")
				}
			}
			if gone { // three heartbeats of 1.2 s have been missed
				store.set("a", true)
			}
			b.pass(3 * clock.Second)
			if b.has("a") == gone {
				t.Errorf("in use %t, but the store has dropped it: %t", b.has("a"), gone)
			}
		})
	}
}

// TestAnswerOfAnEarlierEraIsIgnored guards against an answer that was on its way when the store went:
// it brings nothing back and confirms nothing.
func TestAnswerOfAnEarlierEraIsIgnored(t *testing.T) {
	d := newTestDirectory(&fakeStore{})
	now := d.o.Clock.Now()
	for _, era := range []int64{1, 2} {
		page := directory.Page{Revision: directory.Revision{Era: era, Version: 30 - 10*era}, Entries: []directory.Entry{entry("b", false)}}
		if _, err := d.storeAnswered(page, now); err != nil {
			t.Fatal(err)
		}
		d.applyUpstreams(page, true, storeSource)
	}
	late := directory.Page{Revision: directory.Revision{Era: 1, Version: 99}, Entries: []directory.Entry{entry("a", false)}}
	var old *OldEraError
	if _, err := d.storeAnswered(late, now); !errors.As(err, &old) {
		t.Errorf("error %v, want one that names the era", err)
	}
	d.applyUpstreams(late, true, storeSource)
	if d.has("a") || !d.has("b") {
		t.Errorf("in use: a %t, want false; b %t, want true", d.has("a"), d.has("b"))
	}
	if before, ok := d.freshness.age(directory.Upstreams, now); ok {
		t.Errorf("confirmed %d ms ago by nobody", before)
	}
	d.Confirm(peers.Freshness{ConfigStore: directory.Revision{Era: 1, Version: 99}}, revision(0), late.Revision)
	if _, ok := d.freshness.age(directory.Upstreams, now); ok {
		t.Error("confirmed by a daemon that knows an earlier era only")
	}
}

// TestNeighboursOfTwoErasAgreeOnTheLater lets two daemons that know the store before and after a
// restore exchange what they have in force.
func TestNeighboursOfTwoErasAgreeOnTheLater(t *testing.T) {
	older, newer := newTestDirectory(&fakeStore{}), newTestDirectory(&fakeStore{})
	for _, p := range []struct {
		d    *Directory
		page directory.Page
	}{
		{older, directory.Page{Revision: directory.Revision{Era: 1, Version: 30}, Entries: []directory.Entry{entry("a", false)}}},
		{newer, directory.Page{Revision: directory.Revision{Era: 2, Version: 7}, Entries: []directory.Entry{entry("b", false)}}},
	} {
		if _, err := p.d.storeAnswered(p.page, p.d.o.Clock.Now()); err != nil {
			t.Fatal(err)
		}
		p.d.applyUpstreams(p.page, true, storeSource)
	}
	for _, way := range []struct{ from, to *Directory }{{older, newer}, {newer, older}} {
		s, err := way.from.Snapshot(peers.SnapshotRequest{Topic: directory.Upstreams, Have: way.to.ListRevision()})
		if err != nil {
			t.Fatal(err)
		}
		if err := way.to.applySnapshot(directory.Upstreams, s, "peer"); err != nil {
			t.Fatal(err)
		}
	}
	want := directory.Revision{Era: 2, Version: 7}
	if older.ListRevision() != want || newer.ListRevision() != want || !older.has("b") || newer.has("a") {
		t.Errorf("lists %v and %v, want %v; b at the first %t, a at the second %t", older.ListRevision(), newer.ListRevision(), want, older.has("b"), newer.has("a"))
	}
	if !older.has("a") {
		t.Error("an upstream that the restored store lacks was dropped at once")
	}
	if era, _, _ := older.Era(); era != 2 {
		t.Error("the first did not learn of the restore from the second")
	}
}

// TestConfigurationOutlivesARestore restores a copy with an older configuration. The one in force
// stays until the operator's word is written again, also where that comes in steps.
func TestConfigurationOutlivesARestore(t *testing.T) {
	inVirtualTime(t, func(b *bubble, store *feedStore) {
		store.setConfig("12")
		b.pass(clock.Second)
		store.restore(1, "8", "a", "b")
		for _, config := range []string{"", "10", "11", "12", "13"} {
			if config != "" {
				store.setConfig(config)
			}
			b.pass(600)
			if want := int64(12); b.Version() < want {
				t.Fatalf("version %d in force after the store had %q, want at least %d", b.Version(), config, want)
			}
		}
		if b.Version() != 13 {
			t.Errorf("version %d in force, want 13", b.Version())
		}
	})
}

// TestLowerConfigurationAfterARestoreIsTaken guards against an operator who goes on from the restored
// copy and whose numbers are below those in force: they would not be believed for a long time.
func TestLowerConfigurationAfterARestoreIsTaken(t *testing.T) {
	for _, written := range []string{"10", "12 "} { // the second is another one with the same number
		inVirtualTime(t, func(b *bubble, store *feedStore) {
			store.setConfig("12")
			b.pass(clock.Second)
			store.restore(1, "8", "a", "b")
			b.pass(2 * clock.Second)
			store.setConfig(written)
			b.pass(2700)
			if got := string(b.Table().Config.Raw); got != written {
				t.Errorf("%q in force 2.7 s after %q was written", got, written)
			}
			store.setConfig("13")
			b.pass(500)
			if b.Version() != 13 {
				t.Errorf("version %d in force, want 13", b.Version())
			}
		})
	}
}

// TestRestoresNeverReviveAnOlderState lets three daemons see random parts of a store that is
// restored again and again, and exchange what they have. None goes back to an earlier era or version.
func TestRestoresNeverReviveAnOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := directory.Revision{Era: 1, Version: 10}
		var daemons []*Directory
		for range 3 {
			daemons = append(daemons, newTestDirectory(&fakeStore{}))
		}
		var late []directory.Page
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			d := rapid.SampledFrom(daemons).Draw(t, "daemon")
			before := d.ListRevision()
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				at.Version++
			case 1:
				at = directory.Revision{Era: at.Era + 1, Version: rapid.Int64Range(1, at.Version).Draw(t, "copy")}
			case 2:
				late = append(late, directory.Page{Revision: at, Entries: []directory.Entry{entry("a", false)}})
			case 3:
				if len(late) > 0 {
					page := rapid.SampledFrom(late).Draw(t, "answer")
					if _, err := d.storeAnswered(page, d.o.Clock.Now()); err == nil {
						d.applyUpstreams(page, true, storeSource)
					}
				}
			case 4:
				from := rapid.SampledFrom(daemons).Draw(t, "from")
				s, err := from.Snapshot(peers.SnapshotRequest{Topic: directory.Upstreams, Have: d.ListRevision()})
				if err != nil {
					t.Fatal(err)
				}
				if err := d.applySnapshot(directory.Upstreams, s, "peer"); err != nil {
					t.Fatal(err)
				}
			}
			if d.ListRevision().Before(before) {
				t.Fatalf("list went back from %v to %v", before, d.ListRevision())
			}
			if d.upstreamsLoaded.Load() && d.ListRevision().Era < d.history.era && before.Era == d.history.era {
				t.Fatalf("list %v in era %d", d.ListRevision(), d.history.era)
			}
		}
	})
}

// TestRestoredEntryIsOlderThanOneOfTheSameProcess checks which entries of a restored store bring back an
// upstream that is known to leave.
func TestRestoredEntryIsOlderThanOneOfTheSameProcess(t *testing.T) {
	upstream := func(started clock.Millis, sequence int64, leaving bool) routing.Upstream {
		return routing.Upstream{ID: "a", Service: "s", StartedMs: started, Sequence: sequence, Leaving: leaving}
	}
	for name, c := range map[string]struct {
		restored routing.Upstream
		want     bool
	}{
		"written before":          {upstream(5, 7, false), true},
		"the last one written":    {upstream(5, 9, false), true},
		"written later":           {upstream(5, 10, false), false},
		"of a later process":      {upstream(6, 1, false), false},
		"leaving, written before": {upstream(5, 7, true), false},
	} {
		for _, removed := range []bool{true, false} {
			l := newUpstreamList()
			l.put(upstream(5, 9, true), nil)
			if removed {
				l.remove("a", false, 100)
			}
			if got := l.revives(c.restored); got != c.want {
				t.Errorf("%s, removed %t: revives %t, want %t", name, removed, got, c.want)
			}
		}
	}
}

// TestStateOfAnotherDaemonKeepsItsRevisions guards the way of revisions between daemons.
func TestStateOfAnotherDaemonKeepsItsRevisions(t *testing.T) {
	sent := peers.State{Config: directory.Revision{Version: 12}, List: directory.Revision{Era: 2, Version: 27}}
	raw, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got peers.State
	if err := json.Unmarshal(raw, &got); err != nil || got.Config != sent.Config || got.List != sent.List {
		t.Errorf("%s is read as %+v, %v", raw, got, err)
	}
}
