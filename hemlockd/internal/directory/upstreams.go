package directory

import (
	"maps"
	"slices"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
)

// upstreamList is the list of upstreams. It is not safe for concurrent use.
type upstreamList struct {
	entries map[string]*listEntry
}

type listEntry struct {
	upstream routing.Upstream
	raw      []byte
	// removedMs is when the entry was removed, while its upstream is still used; 0
	// otherwise.
	removedMs clock.Millis
}

func newUpstreamList() *upstreamList {
	return &upstreamList{entries: map[string]*listEntry{}}
}

// put adds or replaces an entry and reports whether it changed anything.
func (l *upstreamList) put(u routing.Upstream, raw []byte) bool {
	old, ok := l.entries[u.ID]
	l.entries[u.ID] = &listEntry{upstream: u, raw: raw}
	return !ok || old.upstream != u || old.removedMs != 0
}

// remove removes an entry. If keep is set, an upstream that has not said that it leaves
// stays in use until dropRemoved, since the store may have lost the entry.
func (l *upstreamList) remove(id string, keep bool, now clock.Millis) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if e.upstream.Leaving || !keep {
		delete(l.entries, id)
		return
	}
	if e.removedMs == 0 {
		e.removedMs = now
	}
}

// keepOnly removes all upstreams that are not among entries, as remove does, and returns
// the IDs of those newly removed.
func (l *upstreamList) keepOnly(entries []directory.Entry, keep bool, now clock.Millis) (removed []string) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Key] = true
	}
	for _, id := range slices.Collect(maps.Keys(l.entries)) {
		if listed[id] {
			continue
		}
		if l.entries[id].removedMs == 0 {
			removed = append(removed, id)
		}
		l.remove(id, keep, now)
	}
	return removed
}

// dropRemoved drops the upstreams whose entries were removed and returns their IDs.
func (l *upstreamList) dropRemoved() (dropped []string) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if l.entries[id].removedMs != 0 {
			delete(l.entries, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// has reports whether an upstream is in use or kept.
func (l *upstreamList) has(id string) bool {
	_, ok := l.entries[id]
	return ok
}

// byService returns, for each service, the upstreams that may get new work.
func (l *upstreamList) byService() map[string][]routing.Upstream {
	services := map[string][]routing.Upstream{}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if u := l.entries[id].upstream; !u.Leaving {
			services[u.Service] = append(services[u.Service], u)
		}
	}
	return services
}

func (l *upstreamList) all() []routing.Upstream {
	var all []routing.Upstream
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		all = append(all, l.entries[id].upstream)
	}
	return all
}

// raw returns the entries in the platform's encoding, for other daemons, and how long
// ago removed ones that are still used were removed, in ms.
func (l *upstreamList) raw(now clock.Millis) (all map[string][]byte, removedAgo map[string]clock.Millis) {
	all, removedAgo = map[string][]byte{}, map[string]clock.Millis{}
	for id, e := range l.entries {
		all[id] = e.raw
		if e.removedMs != 0 {
			removedAgo[id] = now - e.removedMs
		}
	}
	return all, removedAgo
}
