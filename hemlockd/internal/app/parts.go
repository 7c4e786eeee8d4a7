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
	names := []string{d.settings.Name}
	for _, other := range d.peers.Alive() {
		if !other.Leaving {
			names = append(names, other.Name)
		}
	}
	return membership.Owner(part, names) == d.settings.Name
}
