package peers

import (
	"maps"
	"slices"

	"hemlockmux.example/common/clock"
)

const (
	// storeFollowers is the number of daemons of a data centre that follow the
	// store on behalf of all daemons there.
	storeFollowers = 2
	// storeCandidates is the maximum number of daemons of a data centre that try to
	// follow the store while it is unreachable.
	storeCandidates = 6
	// settleTime is the time after its start for which a daemon of a large fleet does not follow
	// the store once it has read all entries: it does not know yet which others do.
	settleTime = 1500 * clock.Millisecond
)

// ShouldFollowStore reports whether this daemon should follow the store. It should if,
// of the live daemons of its data centre that precede it, fewer than storeFollowers follow
// the store and there are fewer than storeCandidates.
func (p *Peers) ShouldFollowStore() bool {
	followers, candidates := 0, 0
	p.mu.Lock()
	defer p.mu.Unlock()
	now, limit := p.options.Clock.Now(), p.aliveTimeoutLocked(p.options.DataCentre)
	if len(p.addresses) >= maxCell && now < p.createdMs+settleTime {
		return false
	}
	for _, d := range p.daemons {
		if d.DataCentre != p.options.DataCentre || d.Leaving || now-d.LastHeardMs > limit || !p.isPrecededBy(d) {
			continue
		}
		candidates++
		if d.FollowsStore {
			followers++
		}
	}
	return followers < storeFollowers && candidates < storeCandidates
}

// isPrecededBy reports whether another daemon comes first in following the store: the one with
// the wider link, since the store sends a configuration whole; of equal ones that with the
// lower name.
func (p *Peers) isPrecededBy(d *Daemon) bool {
	if d.LinkMbps != p.options.LinkMbps {
		return d.LinkMbps > p.options.LinkMbps
	}
	return d.Name <= p.options.Name
}

// staleAfterDrop is how long after a message was dropped for lack of send budget the
// daemons' views of each other's runs count as stale.
const staleAfterDrop = 3 * clock.Second

// ViewStale reports whether this daemon's view of what other daemons have placed at
// engines may be stale: more than silentShareLimit of the known daemons of its cell are
// silent, or a message was dropped lately because it exceeded the send budget.
func (p *Peers) ViewStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, silent, members := p.options.Clock.Now(), 0, 0
	if now-p.lastDroppedMs < staleAfterDrop {
		return true
	}
	limit := p.aliveTimeoutLocked(p.options.DataCentre)
	for _, d := range p.daemons {
		if p.cellOfLocked(d.DataCentre) != ownCell {
			continue
		}
		members++
		if !d.Leaving && now-d.LastHeardMs > limit {
			silent++
		}
	}
	return float64(silent) > silentShareLimit*float64(members)
}

// All returns all known daemons except this one, by name.
func (p *Peers) All() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Daemon
	for _, name := range slices.Sorted(maps.Keys(p.daemons)) {
		all = append(all, *p.daemons[name])
	}
	return all
}

// Alive returns the daemons from which a message was received within the alive
// timeout, except this one, by name.
func (p *Peers) Alive() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var alive []Daemon
	for _, name := range slices.Sorted(maps.Keys(p.daemons)) {
		if d := p.daemons[name]; !d.silent && now-d.LastHeardMs <= p.aliveTimeoutLocked(d.DataCentre) {
			alive = append(alive, *d)
		}
	}
	return alive
}

// DaemonsIn returns how many other daemons of a data centre serve and how many shut down, as far as they are heard.
func (p *Peers) DaemonsIn(dataCentre string) (serving, leaving int) {
	for _, d := range p.Alive() {
		switch {
		case d.DataCentre != dataCentre:
		case d.Leaving:
			leaving++
		default:
			serving++
		}
	}
	return serving, leaving
}

// silentShareLimit is the share of the daemons heard within the last minute above
// which silent ones mean that this daemon may be cut off from the others.
const silentShareLimit = 0.25

// Count returns the number of known daemons, including this one. Those that have not been heard
// from yet count once there are more of them than of the others: just after the start.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + max(len(p.daemons), len(p.addresses))
}
