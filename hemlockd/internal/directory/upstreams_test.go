package directory

import (
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
)

func listOf(ids ...string) *upstreamList {
	l := newUpstreamList()
	for _, id := range ids {
		l.put(routing.Upstream{ID: id, Service: "s"}, nil)
	}
	return l
}

func (l *upstreamList) uses(id string) bool {
	for _, u := range l.byService()["s"] {
		if u.ID == id {
			return true
		}
	}
	return false
}

func TestUpstreamWhoseEntryIsRemovedGetsNoWork(t *testing.T) {
	l := listOf("a", "b")
	l.remove("a", false, 10*clock.Second)
	if l.uses("a") || !l.uses("b") {
		t.Errorf("in use: a %t, want false; b %t, want true", l.uses("a"), l.uses("b"))
	}
}

func TestEntriesThatExpireInAnOutageMayComeBack(t *testing.T) {
	l := listOf("a", "b")
	l.keepOnly([]directory.Entry{}, true, 11*clock.Second)
	if !l.uses("a") || !l.uses("b") {
		t.Error("running upstreams are no longer used after an outage removed their entries")
	}
	l.put(routing.Upstream{ID: "a", Service: "s"}, nil)
	l.dropRemoved()
	if !l.uses("a") || l.uses("b") {
		t.Errorf("in use: a, which came back, %t, want true; b, which did not, %t, want false", l.uses("a"), l.uses("b"))
	}
}

func TestLeavingUpstreamIsNotKeptByAnOutage(t *testing.T) {
	l := listOf("a")
	l.put(routing.Upstream{ID: "a", Service: "s", Leaving: true}, nil)
	l.remove("a", true, 10*clock.Second)
	if l.uses("a") || len(l.all()) != 0 {
		t.Error("a leaving upstream was kept")
	}
}

// TestOlderWordsOfAnUpstreamAreIgnored guards against an upstream that is used again after
// it has said that it leaves: the store carried out an older write of the upstream late.
func TestOlderWordsOfAnUpstreamAreIgnored(t *testing.T) {
	type word struct {
		started  clock.Millis
		sequence int64
		leaving  bool
		removed  bool
	}
	for name, test := range map[string]struct {
		words []word
		uses  bool
	}{
		"leaves":                          {[]word{{10, 4, false, false}, {10, 5, true, false}}, false},
		"an older word after that":        {[]word{{10, 5, true, false}, {10, 4, false, false}}, false},
		"a newer word after that":         {[]word{{10, 5, true, false}, {10, 6, false, false}}, true},
		"the same word once more":         {[]word{{10, 5, false, false}, {10, 5, false, false}}, true},
		"another process":                 {[]word{{10, 5, true, false}, {20, 1, false, false}}, true},
		"another process, by a set clock": {[]word{{20, 5, true, false}, {10, 1, false, false}}, true},
		"an older word after the removal": {[]word{{10, 5, false, false}, {removed: true}, {10, 4, false, false}}, false},
		"back after the removal":          {[]word{{10, 5, false, false}, {removed: true}, {10, 5, false, false}}, true},
		"no start time is given":          {[]word{{0, 5, true, false}, {0, 4, false, false}}, true},
	} {
		l := newUpstreamList()
		for i, w := range test.words {
			if w.removed {
				l.remove("a", false, clock.Millis(i))
				continue
			}
			l.put(routing.Upstream{ID: "a", Service: "s", StartedMs: w.started, Sequence: w.sequence, Leaving: w.leaving}, nil)
		}
		if l.uses("a") != test.uses {
			t.Errorf("%s: in use %t, want %t", name, l.uses("a"), test.uses)
		}
	}
}
