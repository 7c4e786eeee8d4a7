// Package membership is a gossip protocol by which a daemon decides which other daemons
// are alive. It does no I/O and reads no clock.
//
// Each daemon probes one peer of its data centre in every period, in a random order that
// visits all, and every few periods one of another data centre. Every probe and every
// answer carries the sender's own entry and a few entries that changed lately. Updates
// therefore reach all daemons in a number of periods that grows with the logarithm of
// their number, at a constant cost for each daemon. Probing with piggybacked updates
// follows SWIM (Das, Gupta and Motivala, DSN 2002). A peer that leaves two probes in a
// row unanswered counts as dead; a daemon that receives an update about its own death
// refutes it with a higher incarnation.
//
// # Usage
//
//	m := membership.New(self, rng, now)
//	for _, peer := range m.Tick(now) { answer, err := probe(peer, m.Message(peer)) ... }
package membership

import (
	"math/rand/v2"
	"sort"

	"hemlockmux.example/common/clock"
)

// State is the state of a daemon as others see it.
type State string

// The states of a daemon.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Dead    State = "dead"
)

// Bounds of the protocol.
const (
	// failuresToDeath is the number of unanswered probes in a row after which a
	// daemon is dead.
	failuresToDeath = 2
	// updatesPerMessage is the maximum number of changed entries in a message beside
	// the sender's own.
	updatesPerMessage = 6
	// updateSends is how often one daemon sends one update, times the logarithm of the
	// number of members.
	updateSends = 3
	// remotePeriods is the number of periods between two probes of another
	// data centre.
	remotePeriods = 4
	// deadPeriods is the number of periods between two probes of dead daemons. They are
	// probed in turn, so that views converge again after a network partition.
	deadPeriods = 4
	// forgetAfter is how long a dead daemon stays in the view.
	forgetAfter = 10 * clock.Minute
)

// Member is the entry about one daemon that daemons exchange.
type Member struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Address is the address to which probes of the daemon are sent.
	Address string `json:"address"`
	// Started is the start time of the process, in ms.
	Started clock.Millis `json:"started"`
	// Incarnation is raised by the daemon itself to refute its death.
	Incarnation int64 `json:"incarnation"`
	State       State `json:"state"`
	// Version is the version of the settings in force there.
	Version int64 `json:"version"`
}

// newer reports whether a supersedes b, an entry about the same daemon.
func newer(a, b Member) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State != b.State {
		return rank(a.State) > rank(b.State)
	}
	return a.Version > b.Version
}

func rank(s State) int {
	switch s {
	case Dead:
		return 2
	case Leaving:
		return 1
	}
	return 0
}

// Message is a probe or its answer.
type Message struct {
	// From is the sender's own entry.
	From Member `json:"from"`
	// Updates holds entries about other daemons.
	Updates []Member `json:"news,omitempty"`
}

// entry is a member with the local state of this daemon about it.
type entry struct {
	Member
	failures    int
	lastHeardMs clock.Millis
	deadMs      clock.Millis
	sendsLeft   int // how often its latest update may still be sent
	// lastProbePeriod is the period of the last probe of it as a dead daemon.
	lastProbePeriod int
}

// Membership is the view of one daemon. It is not safe for concurrent use.
type Membership struct {
	self    Member
	rng     *rand.Rand
	entries map[string]*entry // by name
	seeds   map[string]bool   // addresses whose daemon is not known yet
	order   []string          // names still to probe in this round, own data centre
	period  int
}

// New returns a view that holds only the daemon itself.
func New(self Member, rng *rand.Rand) *Membership {
	self.State = Live
	return &Membership{self: self, rng: rng, entries: map[string]*entry{}, seeds: map[string]bool{}}
}

// Self returns the daemon's own entry.
func (m *Membership) Self() Member { return m.self }

// SetVersion raises the settings version that this daemon announces. It ignores a version
// that is not higher.
func (m *Membership) SetVersion(version int64) {
	if version > m.self.Version {
		m.self.Version = version
	}
}

// Leave announces that this daemon takes no new work.
func (m *Membership) Leave() {
	m.self.State = Leaving
	m.self.Incarnation++
}

// AddSeed adds an address at which a daemon may be running. It ignores the own address and
// those of known daemons.
func (m *Membership) AddSeed(address string) {
	if address == m.self.Address {
		return
	}
	for _, e := range m.entries {
		if e.Address == address {
			return
		}
	}
	m.seeds[address] = true
}

// forget deletes daemons that have been dead for longer than forgetAfter.
func (m *Membership) forget(now clock.Millis) {
	for name, e := range m.entries {
		if e.State == Dead && now-e.deadMs > forgetAfter {
			delete(m.entries, name)
		}
	}
}

// sorted returns the entries by name, so that the generator's seed determines every random
// choice.
func (m *Membership) sorted() []*entry {
	all := make([]*entry, 0, len(m.entries))
	for _, e := range m.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Message returns the message to send to an address now. It holds the own entry; the
// receiver's entry if it counts as dead, so that the receiver can refute it; the updates
// with the most sends left; and, if there are at most updatesPerMessage updates, one random
// entry, so that every entry is sent again in time.
func (m *Membership) Message(to string) Message {
	all := m.sorted()
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	sort.SliceStable(all, func(i, j int) bool { return all[i].sendsLeft > all[j].sendsLeft })
	msg := Message{From: m.self}
	for _, e := range all {
		if e.Address == to && e.State == Dead {
			msg.Updates = append(msg.Updates, e.Member) // the receiver refutes it
		}
	}
	for i, e := range all {
		if e.sendsLeft == 0 {
			// No updates are left: add one random entry.
			msg.Updates = append(msg.Updates, e.Member)
			break
		}
		if i == updatesPerMessage {
			break
		}
		e.sendsLeft--
		msg.Updates = append(msg.Updates, e.Member)
	}
	return msg
}

// Receive applies a probe or an answer.
func (m *Membership) Receive(msg Message, now clock.Millis) {
	before, known := m.entries[msg.From.Name]
	returned := known && before.State == Dead && msg.From.State != Dead
	m.merge(msg.From, now)
	if returned {
		m.resendDeaths()
	}
	if e, ok := m.entries[msg.From.Name]; ok {
		e.failures = 0
		e.lastHeardMs = now
		delete(m.seeds, e.Address)
	}
	for _, member := range msg.Updates {
		m.merge(member, now)
	}
}

// resendDeaths schedules all deaths to be sent again. A daemon that is back may belong to
// a healed network partition, whose other daemons must receive the updates about their
// deaths to refute them.
func (m *Membership) resendDeaths() {
	for _, e := range m.entries {
		if e.State == Dead {
			e.sendsLeft = m.sendsPerUpdate()
		}
	}
}

func (m *Membership) merge(member Member, now clock.Millis) {
	if member.Name == m.self.Name {
		m.refute(member)
		return
	}
	e, ok := m.entries[member.Name]
	if !ok {
		e = &entry{Member: member, lastHeardMs: now}
		m.entries[member.Name] = e
	} else if !newer(member, e.Member) {
		return
	}
	if member.State == Dead && e.State != Dead || member.State == Dead && !ok {
		e.deadMs = now
	}
	if member.State != Dead {
		e.failures = 0
	}
	e.sendsLeft = max(e.sendsLeft, m.sendsOf(member, e.Member, !ok))
	e.Member = member
	delete(m.seeds, member.Address)
}

// sendsOf returns how often an update that replaces old is sent. A daemon announces a newer
// version itself in every message, and a daemon that was not known yet announces itself
// by its probes; sending these often would displace updates about deaths.
func (m *Membership) sendsOf(member, old Member, first bool) int {
	if first && member.State == Live {
		return updateSends
	}
	if !first && member.Started == old.Started && member.Incarnation == old.Incarnation && member.State == old.State {
		return 1
	}
	return m.sendsPerUpdate()
}

// refute raises the own incarnation if member declares this process dead. It ignores entries
// about an earlier process under this name.
func (m *Membership) refute(member Member) {
	if member.Started != m.self.Started || member.State != Dead || member.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = member.Incarnation + 1
}

func (m *Membership) sendsPerUpdate() int {
	sends := updateSends
	for n := len(m.entries) + 1; n > 1; n /= 2 {
		sends += updateSends
	}
	return sends
}

// View is the entry of a view about one daemon.
type View struct {
	Member
	// HeardMsAgo is the time since the daemon's last message, in ms.
	HeardMsAgo clock.Millis
}

// Views returns all known daemons, including this one, by name. A live daemon that left its
// last probe unanswered is a suspect.
func (m *Membership) Views(now clock.Millis) []View {
	views := []View{{Member: m.self}}
	for _, e := range m.sorted() {
		v := View{Member: e.Member, HeardMsAgo: now - e.lastHeardMs}
		if v.State == Live && e.failures > 0 {
			v.State = Suspect
		}
		views = append(views, v)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}

// MaxVersion returns the newest settings version among the other daemons that are not dead,
// and the address of a daemon that has it.
func (m *Membership) MaxVersion() (version int64, address string) {
	for _, e := range m.sorted() {
		if e.Version > version && e.State != Dead {
			version, address = e.Version, e.Address
		}
	}
	return version, address
}
