package peers

import (
	"maps"
	"slices"

	"hemlockmux.example/common/clock"
)

const (
	// storeFollowers is the number of daemons of a data centre that follow the
	// store for all of them.
	storeFollowers = 2
	// storeCandidates is the number that try to while none can.
	storeCandidates = 6
)

// ShouldFollow tells whether this daemon should follow the store: where fewer
// than storeFollowers daemons of its data centre that come before it by name do.
func (p *Peers) ShouldFollow() bool {
	followers, candidates := 0, 0
	for _, d := range p.Alive() {
		if d.DataCentre != p.options.DataCentre || d.Leaving || d.Name > p.options.Name {
			continue
		}
		candidates++
		if d.FollowsStore {
			followers++
		}
	}
	return followers < storeFollowers && candidates < storeCandidates
}

// darkFor is how long after news was left out daemons are thought not to know of
// each other's runs.
const darkFor = 3 * clock.Second

// ViewStale tells whether little is known of what other daemons have placed at
// engines: many that were heard lately are silent, or there is more news than may
// be sent.
func (p *Peers) ViewStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, silent := p.options.Clock.Now(), 0
	limit := p.aliveForLocked()
	if now-p.leftOutMs < darkFor {
		return true
	}
	for _, d := range p.daemons {
		if !d.Leaving && now-d.HeardMs > limit {
			silent++
		}
	}
	return float64(silent) > lostShare*float64(len(p.daemons))
}

// All returns all daemons known, without this one.
func (p *Peers) All() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Daemon
	for _, name := range slices.Sorted(maps.Keys(p.daemons)) {
		all = append(all, *p.daemons[name])
	}
	return all
}

// Alive returns the daemons heard of lately, without this one.
func (p *Peers) Alive() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	limit := p.aliveForLocked()
	var alive []Daemon
	for _, name := range slices.Sorted(maps.Keys(p.daemons)) {
		if d := p.daemons[name]; now-d.HeardMs <= limit {
			alive = append(alive, *d)
		}
	}
	return alive
}

// lostShare is the part of the daemons heard within the last minute from which
// on their silence counts as being cut off.
const lostShare = 0.25

// Count is the number of daemons known, with this one.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.daemons)
}
