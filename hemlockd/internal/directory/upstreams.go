package directory

import (
	"maps"
	"slices"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
)

// returnGrace is how long an upstream whose entry has gone is still used where
// the store was in trouble as long before: upstreams that live write themselves
// back within two seconds.
const returnGrace = 2200 * clock.Millisecond

// upstreamList is the list of upstreams. Its owner serializes calls.
type upstreamList struct {
	entries map[string]*listed
	// troubleMs is when the store last failed to answer.
	troubleMs clock.Millis
}

type listed struct {
	upstream routing.Upstream
	raw      []byte
	// goneMs is set while an upstream without an entry is still used.
	goneMs clock.Millis
}

func newUpstreamList() *upstreamList {
	return &upstreamList{entries: map[string]*listed{}, troubleMs: -returnGrace}
}

// put takes in an entry and tells whether it says something new.
func (l *upstreamList) put(u routing.Upstream, raw []byte) bool {
	old, ok := l.entries[u.ID]
	l.entries[u.ID] = &listed{upstream: u, raw: raw}
	return !ok || old.upstream != u || old.goneMs != 0
}

// remove takes in that an entry has gone. After trouble at the store that may
// be the store's doing.
func (l *upstreamList) remove(id string, now clock.Millis) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	if e.upstream.Leaving || now-l.troubleMs > returnGrace {
		delete(l.entries, id)
		return
	}
	if e.goneMs == 0 {
		e.goneMs = now
	}
}

// keepOnly takes in that the entries are all there are, and returns those that
// have gone.
func (l *upstreamList) keepOnly(entries []directory.Entry, now clock.Millis) (gone []string) {
	there := map[string]bool{}
	for _, e := range entries {
		there[e.Key] = true
	}
	for _, id := range slices.Collect(maps.Keys(l.entries)) {
		if there[id] {
			continue
		}
		if l.entries[id].goneMs == 0 {
			gone = append(gone, id)
		}
		l.remove(id, now)
	}
	return gone
}

// expire drops upstreams whose entries have not come back in time and tells
// whether there were any.
func (l *upstreamList) expire(now clock.Millis) bool {
	changed := false
	for id, e := range l.entries {
		if e.goneMs != 0 && now-e.goneMs > returnGrace {
			delete(l.entries, id)
			changed = true
		}
	}
	return changed
}

// byService returns the upstreams that may get new work.
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

// raw returns the entries in the platform's form, for other daemons, and how long
// ago those went that have gone, in ms.
func (l *upstreamList) raw(now clock.Millis) (all map[string][]byte, goneAgo map[string]clock.Millis) {
	all, goneAgo = map[string][]byte{}, map[string]clock.Millis{}
	for id, e := range l.entries {
		all[id] = e.raw
		if e.goneMs != 0 {
			goneAgo[id] = now - e.goneMs
		}
	}
	return all, goneAgo
}

// doubt takes in how long ago entries went while the store was in trouble.
func (l *upstreamList) doubt(goneAgo map[string]clock.Millis, now clock.Millis) {
	for id, ago := range goneAgo {
		if e, ok := l.entries[id]; ok {
			e.goneMs = now - ago
		}
	}
}
