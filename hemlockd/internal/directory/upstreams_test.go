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
