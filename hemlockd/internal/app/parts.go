package app

import (
	"sync/atomic"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/peers"
)

// partsDelay is how long new evidence on parts of prompts waits for more of it before it is
// sent: a crash breaks many runs at once.
const partsDelay = 20 * clock.Millisecond

// partsSender sends new evidence on parts of prompts to the other daemons.
type partsSender struct {
	d       *platformDaemon
	waiting atomic.Bool // a call of send is pending
}

// sendSoon sends what is new after partsDelay.
func (s *partsSender) sendSoon() {
	if s.waiting.CompareAndSwap(false, true) {
		time.AfterFunc(partsDelay.Duration(), s.send)
	}
}

func (s *partsSender) send() {
	s.waiting.Store(false)
	s.d.peers.Broadcast(peers.Update{Parts: s.d.prompts.Recent(s.d.clk.Now())})
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
