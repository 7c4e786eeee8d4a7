package app

import (
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/peers"
)

// sendParts sends new evidence on parts of prompts to the other daemons.
func (d *platformDaemon) sendParts() {
	d.peers.Broadcast(peers.Update{Parts: d.prompts.Recent(d.clk.Now())})
}

// mayTryPart reports whether this daemon is the one, of those alive, that tries a blamed
// part again.
func (d *platformDaemon) mayTryPart(part string) bool {
	names := dutyHolders(d.settings.Name, d.isStopping(), d.peers.Alive())
	return membership.Owner(part, names) == d.settings.Name
}

// dutyHolders returns the names of the daemons among which duties are shared: those that don't shut down. A daemon that shuts down
// keeps its duties if no other is left.
func dutyHolders(self string, stopping bool, others []peers.Daemon) []string {
	var names []string
	for _, other := range others {
		if !other.Leaving {
			names = append(names, other.Name)
		}
	}
	if !stopping || len(names) == 0 {
		names = append(names, self)
	}
	return names
}
