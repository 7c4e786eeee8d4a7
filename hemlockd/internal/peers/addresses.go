package peers

import (
	"cmp"
	"net"
	"net/netip"
	"slices"

	"hemlockmux.example/common/clock"
)

const (
	// localFanout is the number of daemons of the same data centre that each round of
	// full-state messages sends to, least recently sent to first.
	localFanout = 8
	// manyLocalFanout is the same where daemons do not form one cell.
	manyLocalFanout = 4
	// followerFanout is the same there for a daemon that follows the store: the others rely
	// on it for how fresh what they have is.
	followerFanout = 20
	// remoteEvery is the number of rounds of which one goes to the daemons of the same cell
	// in other data centres.
	remoteEvery = 3
	// farFanout is the number of daemons of other cells that each round sends to, least
	// recently sent to first.
	farFanout = 4
	// silentFanout is the number of addresses from which nothing has been received lately
	// that each round sends to.
	silentFanout = 32
	// silentSendInterval is the shortest time between two messages to such an address.
	silentSendInterval = 2 * clock.Second
)

// peerAddress is the datagram address of another daemon.
type peerAddress struct {
	udp         *net.UDPAddr
	dataCentre  string       // of its last message, or as it is listed; "" if it is not known
	lastHeardMs clock.Millis // time of the last message, or of adding before the first
	lastSentMs  clock.Millis
	heard       bool
}

// AddAddress adds the datagram address of a daemon that may be running, with its data centre, or ""
// if that is not known. It ignores known addresses and this daemon's own. It reports whether the
// address is valid: an IPv4 address with a port.
func (p *Peers) AddAddress(at, dataCentre string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.addressLocked(at)
	if a != nil && !a.heard && dataCentre != "" {
		a.dataCentre = dataCentre
	}
	return a != nil || at == p.options.Address
}

// addressLocked returns the address for datagrams with the given IP:port, and adds it if it
// is not known. It returns nil for this daemon's own address and for an invalid one.
func (p *Peers) addressLocked(at string) *peerAddress {
	if a, ok := p.addresses[at]; ok {
		return a
	}
	address, err := netip.ParseAddrPort(at)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		metrics.Add("badAddresses", 1)
		return nil
	}
	if at == p.options.Address {
		return nil
	}
	a := &peerAddress{udp: net.UDPAddrFromAddrPort(address), lastHeardMs: p.options.Clock.Now()}
	p.addresses[at] = a
	return a
}

// addressOf returns the address of a daemon, or none if it is not known.
func (p *Peers) addressOf(name string) []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.daemons[name]
	if !ok {
		return nil
	}
	if a, ok := p.addresses[d.Address]; ok {
		return []*net.UDPAddr{a.udp}
	}
	return nil
}

// aliveAddresses returns the addresses of the daemons that are alive in the cells of some data
// centres; nil stands for all.
func (p *Peers) aliveAddresses(dataCentres []string) []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	all := dataCentres == nil || p.fleet.oneCell()
	var to []*net.UDPAddr
	for _, a := range p.addresses {
		wanted := all || slices.Contains(dataCentres, a.dataCentre)
		if wanted && p.aliveLocked(a, now) {
			to = append(to, a.udp)
		}
	}
	return to
}

func (p *Peers) aliveLocked(a *peerAddress, now clock.Millis) bool {
	return a.heard && now-a.lastHeardMs <= p.aliveTimeoutLocked(a.dataCentre)
}

// dueAddresses returns, by cell, the addresses to send the full state to in this round, or all
// known addresses if all is set. It drops addresses that have been silent for longer
// than forgetAfter.
func (p *Peers) dueAddresses(all bool) map[string][]*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	to := map[string][]*net.UDPAddr{}
	send := func(a *peerAddress) {
		a.lastSentMs = now
		cell := p.cellOfLocked(a.dataCentre)
		to[cell] = append(to[cell], a.udp)
	}
	var local, far, silent []*peerAddress
	for at, a := range p.addresses {
		alive := p.aliveLocked(a, now)
		switch {
		case !alive && now-a.lastHeardMs > p.forgetAfterLocked(a.dataCentre):
			delete(p.addresses, at)
		case all:
			send(a)
		case !a.heard && p.cellOfLocked(a.dataCentre) != ownCell:
			far = append(far, a)
		case !alive && (a.lastSentMs == 0 || now-a.lastSentMs >= silentSendInterval):
			silent = append(silent, a)
		case !alive:
		case a.dataCentre == p.options.DataCentre:
			local = append(local, a)
		case p.cellOfLocked(a.dataCentre) != ownCell:
			far = append(far, a)
		case p.rounds%remoteEvery == 0:
			send(a)
		}
	}
	for _, a := range leastRecentlySent(local, p.ownFanoutLocked()) {
		send(a)
	}
	for _, a := range leastRecentlySent(far, farFanout) {
		send(a)
	}
	for _, a := range leastRecentlySent(silent, silentFanout) {
		send(a)
	}
	return to
}

// ownFanoutLocked returns the number of daemons of the same data centre that each round sends to.
func (p *Peers) ownFanoutLocked() int {
	if p.handlers.FollowsStore() && !p.fleet.oneCell() {
		return followerFanout
	}
	return p.fleet.localFanout()
}

// leastRecentlySent returns the n addresses to which the last message is oldest.
func leastRecentlySent(addresses []*peerAddress, n int) []*peerAddress {
	slices.SortFunc(addresses, func(a, b *peerAddress) int { return cmp.Compare(a.lastSentMs, b.lastSentMs) })
	return addresses[:min(n, len(addresses))]
}
