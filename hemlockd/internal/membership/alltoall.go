package membership

import "hemlockmux.example/common/clock"

// Heartbeat is the message of all-to-all heartbeats.
type Heartbeat struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// AllToAll is the plain way: each daemon tells all others in every period that
// it lives; one that is not heard for silence is dead.
type AllToAll struct {
	self    Heartbeat
	silence clock.Millis
	peers   []string
	heard   map[string]clock.Millis
	now     clock.Millis
}

// NewAllToAll returns the view of one daemon of a fixed list.
func NewAllToAll(name string, peers []string, silence clock.Millis) *AllToAll {
	return &AllToAll{self: Heartbeat{Name: name}, silence: silence, peers: peers, heard: map[string]clock.Millis{}}
}

// Tick starts a period and returns who is to be sent a heartbeat.
func (a *AllToAll) Tick(now clock.Millis) []string {
	a.now = now
	return a.peers
}

// Receive takes a heartbeat in.
func (a *AllToAll) Receive(h Heartbeat, now clock.Millis) {
	a.heard[h.Name] = now
	a.self.Version = max(a.self.Version, h.Version)
}

// Live tells whether a daemon was heard lately.
func (a *AllToAll) Live(name string) bool {
	at, ok := a.heard[name]
	return name == a.self.Name || ok && a.now-at < a.silence
}
