package app

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/peers"
)

const (
	// recordShare is the share of the store's rate of writes that records of streams may take.
	recordShare = 0.25
	// defaultStoreWrites is the store's rate of writes, a second, if the settings do not give it.
	defaultStoreWrites = 400
	// defaultStreamLifetime is how long streams may live if no configuration tells.
	defaultStreamLifetime = 30 * clock.Second
)

// observeVersions tells which software versions the engines of each service have.
func (d *platformDaemon) observeVersions() {
	table := d.directory.Table()
	if table == nil || !d.directory.ListIsFresh() {
		return
	}
	listed := map[string][]string{}
	for name, s := range table.Config.Services {
		if s.Engine == nil {
			continue
		}
		known := map[string]bool{}
		for _, u := range d.directory.Upstreams(name) {
			if u.Role == routing.RoleDecode && !known[u.Software] {
				known[u.Software] = true
				listed[name] = append(listed[name], u.Software)
			}
		}
	}
	d.versions.Observe(listed)
}

// streamLifetime returns the longest time for which a stream may be taken up.
func (d *platformDaemon) streamLifetime() clock.Millis {
	table := d.directory.Table()
	if table == nil {
		return defaultStreamLifetime
	}
	longest := clock.Millis(0)
	for _, r := range table.Config.Routes {
		if r.Kind == routing.Streaming {
			longest = max(longest, r.TimeoutMs)
		}
	}
	return longest
}

// recordInterval returns the shortest time between two writes of records, so that those of all daemons
// keep within recordShare.
func (d *platformDaemon) recordInterval() clock.Millis {
	writes := d.settings.StoreWritesPerSecond
	if writes <= 0 {
		writes = defaultStoreWrites
	}
	return clock.Millis(float64(d.peers.Count()) * float64(clock.Second) / (recordShare * writes))
}

// storeFailureMemory is how long after a failed call the store counts as failing.
const storeFailureMemory = clock.Second

// storeFails reports whether a call to the store has failed just now.
func (d *platformDaemon) storeFails() bool {
	since := d.directory.SinceStoreFailure()
	return since >= 0 && since < storeFailureMemory
}

// isFirst reports whether this daemon is not shutting down and no other daemon that is alive has a lower name.
func (d *platformDaemon) isFirst() bool {
	return d.isFirstOf(func(peers.Daemon) bool { return true })
}

// isFirstOf reports whether this daemon is not shutting down and no other daemon that is alive and counts has a lower name.
// The others leave out a daemon that shuts down, too, so that two never have the same duty.
func (d *platformDaemon) isFirstOf(counts func(peers.Daemon) bool) bool {
	if d.isStopping() {
		return false
	}
	for _, other := range d.peers.Alive() {
		if counts(other) && !other.Leaving && other.Name < d.settings.Name {
			return false
		}
	}
	return true
}
