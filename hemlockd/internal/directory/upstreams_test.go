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
	l.remove("a", 10*clock.Second)
	if l.uses("a") || !l.uses("b") {
		t.Errorf("in use: a %t, b %t", l.uses("a"), l.uses("b"))
	}
}

func TestEntriesThatLapseInAnOutageMayComeBack(t *testing.T) {
	l := listOf("a", "b")
	l.troubleMs = 10 * clock.Second
	l.keepOnly([]directory.Entry{}, 11*clock.Second)
	if !l.uses("a") || !l.uses("b") {
		t.Error("upstreams that live are lost with their entries")
	}
	l.put(routing.Upstream{ID: "a", Service: "s"}, nil)
	l.expire(14 * clock.Second)
	if !l.uses("a") || l.uses("b") {
		t.Errorf("in use: a, which came back, %t; b, which did not, %t", l.uses("a"), l.uses("b"))
	}
}

// TestTroubleThatGoesOnKeepsNoLeavingUpstream replays a bench day: the entry was
// removed while another topic of the store still failed, and each failure kept
// the upstream in use a little longer, past the bound of 3 s.
func TestTroubleThatGoesOnKeepsNoLeavingUpstream(t *testing.T) {
	l := listOf("a")
	l.troubleMs = 9900
	l.remove("a", 10*clock.Second)
	for now := 10 * clock.Second; now <= 13*clock.Second; now += 100 {
		l.troubleMs = now
		l.expire(now)
	}
	if l.uses("a") {
		t.Error("still in use 3 s after its entry was removed")
	}
}

func TestLeavingUpstreamIsNotKeptByTrouble(t *testing.T) {
	l := listOf("a")
	l.put(routing.Upstream{ID: "a", Service: "s", Leaving: true}, nil)
	l.troubleMs = 10 * clock.Second
	l.remove("a", 10*clock.Second)
	if l.uses("a") || len(l.all()) != 0 {
		t.Error("a leaving upstream was kept")
	}
}
