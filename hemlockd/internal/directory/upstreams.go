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
	// newest holds, by ID, the newest entry that the upstream has written, also for a
	// while after its removal.
	newest map[string]entryOrder
}

// removedMemory is how long it is remembered what a removed upstream has written last. The
// store may carry out a write seconds after it was sent.
const removedMemory = clock.Minute

// entryOrder says which of two entries of an upstream was written later.
type entryOrder struct {
	startedMs clock.Millis // of the upstream's process; 0 if the entry does not say
	sequence  int64        // within the process
	removedMs clock.Millis // when the upstream was removed; 0 otherwise
}

// before reports whether an entry was written before another one of the same process. Those
// of two processes are not compared, since the wall clock may be set back between them.
func (o entryOrder) before(other entryOrder) bool {
	return o.startedMs != 0 && o.startedMs == other.startedMs && o.sequence < other.sequence
}

func orderOf(u routing.Upstream) entryOrder {
	return entryOrder{startedMs: u.StartedMs, sequence: u.Sequence}
}

type listEntry struct {
	upstream routing.Upstream
	raw      []byte
	// removedMs is when the entry was removed, while its upstream is still used; 0
	// otherwise.
	removedMs clock.Millis
	// unsureMs is since when the entry is listed although its upstream had left, while the
	// upstream is not used for that; 0 otherwise.
	unsureMs clock.Millis
}

func newUpstreamList() *upstreamList {
	return &upstreamList{entries: map[string]*listEntry{}, newest: map[string]entryOrder{}}
}

// outdated reports whether an entry was written before one that is known.
func (l *upstreamList) outdated(u routing.Upstream) bool { return orderOf(u).before(l.newest[u.ID]) }

// put adds or replaces an entry, unless it is outdated, and reports whether it changed
// more than the entry's place in the order.
func (l *upstreamList) put(u routing.Upstream, raw []byte) bool {
	if l.outdated(u) {
		return false
	}
	old, ok := l.entries[u.ID]
	unsureMs := clock.Millis(0)
	if ok && orderOf(u) == orderOf(old.upstream) {
		unsureMs = old.unsureMs
	}
	l.newest[u.ID] = orderOf(u)
	l.entries[u.ID] = &listEntry{upstream: u, raw: raw, unsureMs: unsureMs}
	if !ok {
		return true
	}
	u.Sequence = old.upstream.Sequence
	return old.upstream != u || old.removedMs != 0 || old.unsureMs != unsureMs
}

// remove removes an entry. If keep is set, an upstream that has not said that it leaves
// stays in use until dropRemoved, since the store may have lost the entry.
func (l *upstreamList) remove(id string, keep bool, now clock.Millis) {
	e, ok := l.entries[id]
	if !ok {
		return
	}
	l.remember(id, now)
	if e.upstream.Leaving || e.unsureMs != 0 || !keep {
		delete(l.entries, id)
		return
	}
	if e.removedMs == 0 {
		e.removedMs = now
	}
}

// remember keeps what a removed upstream has written last for removedMemory.
func (l *upstreamList) remember(id string, now clock.Millis) {
	order := l.newest[id]
	order.removedMs = now
	l.newest[id] = order
	maps.DeleteFunc(l.newest, func(_ string, o entryOrder) bool { return o.removedMs != 0 && now-o.removedMs > removedMemory })
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
		if u := l.entries[id].upstream; !u.Leaving && l.entries[id].unsureMs == 0 {
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

// listed returns the entries in the platform's encoding, for other daemons. Each daemon decides
// for itself whether it still uses what was removed.
func (l *upstreamList) listed() map[string][]byte {
	all := map[string][]byte{}
	for id, e := range l.entries {
		if e.removedMs == 0 {
			all[id] = e.raw
		}
	}
	return all
}

// bytes returns the size of all entries, in bytes.
func (l *upstreamList) bytes() int {
	total := 0
	for _, e := range l.entries {
		total += len(e.raw)
	}
	return total
}
