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
		t.Errorf("in use: a %t, want false; b %t, want true", l.uses("a"), l.uses("b"))
	}
}

func TestEntriesThatExpireInAnOutageMayComeBack(t *testing.T) {
	l := listOf("a", "b")
	l.lastFailureMs = 10 * clock.Second
	l.keepOnly([]directory.Entry{}, 11*clock.Second)
	if !l.uses("a") || !l.uses("b") {
		t.Error("running upstreams are no longer used after an outage removed their entries")
	}
	l.put(routing.Upstream{ID: "a", Service: "s"}, nil)
	l.expire(14 * clock.Second)
	if !l.uses("a") || l.uses("b") {
		t.Errorf("in use: a, which came back, %t, want true; b, which did not, %t, want false", l.uses("a"), l.uses("b"))
	}
}

// TestOngoingStoreFailureKeepsNoLeavingUpstream guards against a grace period that never
// ends: an entry was removed while another topic of the store still failed, and each
// failure kept the upstream in use longer, past the limit of 3 s.
func TestOngoingStoreFailureKeepsNoLeavingUpstream(t *testing.T) {
	l := listOf("a")
	l.lastFailureMs = 9900
	l.remove("a", 10*clock.Second)
	for now := 10 * clock.Second; now <= 13*clock.Second; now += 100 {
		l.lastFailureMs = now
		l.expire(now)
	}
	if l.uses("a") {
		t.Error("still in use 3 s after its entry was removed")
	}
}

func TestLeavingUpstreamIsNotKeptByStoreFailure(t *testing.T) {
	l := listOf("a")
	l.put(routing.Upstream{ID: "a", Service: "s", Leaving: true}, nil)
	l.lastFailureMs = 10 * clock.Second
	l.remove("a", 10*clock.Second)
	if l.uses("a") || len(l.all()) != 0 {
		t.Error("a leaving upstream was kept")
	}
}

// TestRemovalGraceIsNotRestartedByAnotherDaemon guards against a grace period that starts
// anew at each daemon: daemons fetched from each other an upstream whose entry had been
// removed, and it still got work 4.5 s after it had left, as seen in the run hunt-aa47-59
// at terassilampo.
func TestRemovalGraceIsNotRestartedByAnotherDaemon(t *testing.T) {
	first := listOf("a")
	first.lastFailureMs = 10 * clock.Second
	first.remove("a", 10*clock.Second)
	now := 12 * clock.Second
	second := listOf("a")
	_, ages := first.raw(now)
	second.mergeRemovals(ages, now)
	now += removalGrace/2 + 100 // more than the grace since the removal
	if second.expire(now); second.uses("a") {
		t.Errorf("still in use %d ms after the removal", now-10*clock.Second)
	}
}
