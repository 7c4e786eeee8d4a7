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

// TestDoubtIsNotHandedOn replays a hunt's day (terassilampo, hunt-aa47-59): daemons
// told each other of an upstream whose entry had gone, and each began to doubt it
// anew, so that it got work 4.5 s after it had left.
func TestDoubtIsNotHandedOn(t *testing.T) {
	first := listOf("a")
	first.troubleMs = 10 * clock.Second
	first.remove("a", 10*clock.Second)
	now := 12 * clock.Second
	second := listOf("a")
	_, ages := first.raw(now)
	second.doubt(ages, now)
	now += returnGrace/2 + 100 // more than the grace since the removal
	if second.expire(now); second.uses("a") {
		t.Errorf("still in use %d ms after the removal", now-10*clock.Second)
	}
}
