package peers

import (
	"hemlockmux.example/common/clock"
)

const (
	// maxCell is the number of daemons up to which all of them form one cell. What each of
	// them receives about runs grows with the number, and so does what one such message
	// costs its sender.
	maxCell = 100
	// minAliveTimeout is the minimum time for which a daemon counts as alive after its
	// last message.
	minAliveTimeout = 2500 * clock.Millisecond
	// maxMissedStates is the number of full-state messages that a daemon may miss
	// before it counts as silent, where rounds reach each daemon too rarely for
	// minAliveTimeout.
	maxMissedStates = 3
	// maxSilent is the maximum number of silent daemons in one message.
	maxSilent = 16
	// loadLifetime is how long another cell's load counts after it was told.
	loadLifetime = 5 * clock.Second
)

// ownCell stands for the cell of this daemon in maps by cell. Other cells go by their data centre.
const ownCell = ""

// fleet is the number of other daemons that are known.
type fleet struct {
	total int
	local int // in the same data centre
}

// oneCell reports whether all daemons form one cell.
func (f fleet) oneCell() bool { return f.total < maxCell }

// localFanout returns the number of daemons of the same data centre that a daemon sends its state to in
// each round.
func (f fleet) localFanout() int {
	if f.oneCell() {
		return localFanout
	}
	return manyLocalFanout
}

// countFleetLocked counts the other daemons, those included that have not been heard from yet.
func (p *Peers) countFleetLocked() {
	p.fleet = fleet{total: max(len(p.daemons), len(p.addresses))}
	for _, d := range p.daemons {
		if d.DataCentre == p.options.DataCentre {
			p.fleet.local++
		}
	}
}

// cellOfLocked returns the cell of the daemons in a data centre. Those that have not been heard
// from are taken for members of this one.
func (p *Peers) cellOfLocked(dataCentre string) string {
	if dataCentre == "" || dataCentre == p.options.DataCentre || p.fleet.oneCell() {
		return ownCell
	}
	return dataCentre
}

// InCell reports whether this daemon knows the runs at the engines of a data centre.
func (p *Peers) InCell(dataCentre string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cellOfLocked(dataCentre) == ownCell
}

// CellSize returns the number of daemons in this one's cell, which place runs at the same engines.
func (p *Peers) CellSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.oneCell() {
		return 1 + len(p.daemons)
	}
	return 1 + p.fleet.local
}

// aliveTimeoutLocked returns how long a daemon of a data centre counts as alive after its last
// message: some rounds of full states to all daemons that are sent to as rarely.
func (p *Peers) aliveTimeoutLocked(dataCentre string) clock.Millis {
	others, fanout := p.fleet.local, p.fleet.localFanout()
	if p.cellOfLocked(dataCentre) != ownCell {
		others, fanout = p.fleet.total-p.fleet.local, farFanout
	}
	rounds := clock.Millis((others + fanout - 1) / fanout)
	return max(minAliveTimeout, maxMissedStates*rounds*fullStateInterval)
}

// silentNeighbours returns some daemons of this data centre that have fallen silent. Other cells hear
// from each daemon too rarely to find out soon.
func (p *Peers) silentNeighbours() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, limit := p.options.Clock.Now(), p.aliveTimeoutLocked(p.options.DataCentre)
	var silent []string
	for name, d := range p.daemons {
		if d.DataCentre == p.options.DataCentre && now-d.LastHeardMs > limit && len(silent) < maxSilent {
			silent = append(silent, name)
		}
	}
	return silent
}

// markSilentLocked records what a daemon of another cell says of its neighbours. A daemon that was heard
// from since counts as alive.
func (p *Peers) markSilentLocked(s State, now clock.Millis) {
	for _, name := range s.Silent {
		d, ok := p.daemons[name]
		if ok && d.DataCentre == s.DataCentre && p.cellOfLocked(d.DataCentre) != ownCell && now-d.LastHeardMs > minAliveTimeout {
			d.silent = true
		}
	}
}

// forgetAfterLocked returns how long a silent daemon of a data centre is still sent messages.
func (p *Peers) forgetAfterLocked(dataCentre string) clock.Millis {
	return max(forgetAfter, 2*p.aliveTimeoutLocked(dataCentre))
}

// EngineLoad is how much the decode engines of a data centre have to do.
type EngineLoad struct {
	// MemoryUse is the mean predicted peak memory, as a fraction of an engine's memory.
	MemoryUse float64 `json:"memoryUse"`
	// Runs is the mean number of runs at an engine.
	Runs float64 `json:"runs"`
}

// toldLoad is the load that a daemon of another data centre has told.
type toldLoad struct {
	EngineLoad
	atMs clock.Millis
}

// hearLoadLocked records the load of another data centre.
func (p *Peers) hearLoadLocked(dataCentre string, load *EngineLoad, now clock.Millis) {
	if load != nil && dataCentre != p.options.DataCentre {
		p.loads[dataCentre] = toldLoad{EngineLoad: *load, atMs: now}
	}
}

// LoadOf returns the load of another data centre's engines, or false if it is not known.
func (p *Peers) LoadOf(dataCentre string) (EngineLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[dataCentre]
	return l.EngineLoad, ok && p.options.Clock.Now()-l.atMs <= loadLifetime
}
