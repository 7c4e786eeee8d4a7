// Package membership decides which other daemons are alive. It does no I/O and
// reads no clock.
//
// Each daemon probes one peer of its data centre in every period, in a random
// order that visits all, and now and then one of another data centre. Every
// probe and every answer carries the sender's own entry and a few entries that
// changed lately, so that news reaches all daemons in a number of periods that
// grows with the logarithm of their number, at a cost for each daemon that does
// not grow (the way of probing with piggybacked news is that of SWIM, Das,
// Gupta and Motivala, DSN 2002). A peer that leaves two probes in a row
// unanswered is dead; a daemon that hears of its own death answers with a
// higher incarnation.
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

// State is what is thought of a daemon.
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
	// newsPerMessage is the most entries of fresh news carried beside the
	// sender's own.
	newsPerMessage = 6
	// newsSends is how often one daemon passes one change on, times the
	// logarithm of the number of members.
	newsSends = 3
	// otherCentrePeriods is the number of periods between two probes of another
	// data centre.
	otherCentrePeriods = 4
	// deadPeriods is the number of periods between two probes of daemons that are
	// thought dead, one after the other, so that views meet again after a cut.
	deadPeriods = 4
	// forgetAfter is how long a dead daemon is remembered.
	forgetAfter = 10 * clock.Minute
)

// Member is what the daemons tell each other of one of them.
type Member struct {
	Name        string       `json:"name"`
	DataCentre  string       `json:"dataCentre"`
	Address     string       `json:"address"`
	Started     clock.Millis `json:"started"`     // start of the process
	Incarnation int64        `json:"incarnation"` // raised to refute a death
	State       State        `json:"state"`
	Version     int64        `json:"version"` // settings in force
}

// newer tells whether a replaces b as news of the same daemon.
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
	From    Member   `json:"from"`
	Updates []Member `json:"news,omitempty"`
}

// entry is a member with what only this daemon knows of it.
type entry struct {
	Member
	failures int
	heardAt  clock.Millis
	deadAt   clock.Millis
	sends    int // how often the newest news of it may still be passed on
	// probedDead is the period of the last probe of it as a dead daemon.
	probedDead int
}

// Membership is the view of one daemon. It is not safe for concurrent use.
type Membership struct {
	self    Member
	rng     *rand.Rand
	entries map[string]*entry // by name
	seeds   map[string]bool   // addresses of which no name is known yet
	order   []string          // own data centre, the rest of this round
	period  int
}

// New returns a view that knows only the daemon itself.
func New(self Member, rng *rand.Rand) *Membership {
	self.State = Live
	return &Membership{self: self, rng: rng, entries: map[string]*entry{}, seeds: map[string]bool{}}
}

// Self returns the daemon's own entry.
func (m *Membership) Self() Member { return m.self }

// SetVersion tells the others which settings are in force here.
func (m *Membership) SetVersion(version int64) {
	if version > m.self.Version {
		m.self.Version = version
	}
}

// Leave tells the others that this daemon takes no new work.
func (m *Membership) Leave() {
	m.self.State = Leaving
	m.self.Incarnation++
}

// AddSeed makes an address known under which a daemon may be met.
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

func (m *Membership) forget(now clock.Millis) {
	for name, e := range m.entries {
		if e.State == Dead && now-e.deadAt > forgetAfter {
			delete(m.entries, name)
		}
	}
}

// sorted returns the entries by name, so that a seed fixes every choice.
func (m *Membership) sorted() []*entry {
	all := make([]*entry, 0, len(m.entries))
	for _, e := range m.entries {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Message returns what to send to an address now: the own entry, what is thought
// of the receiver where that is wrong if the message arrives, the freshest news,
// and one random entry, so that every entry comes around in time.
func (m *Membership) Message(to string) Message {
	all := m.sorted()
	m.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	sort.SliceStable(all, func(i, j int) bool { return all[i].sends > all[j].sends })
	msg := Message{From: m.self}
	for _, e := range all {
		if e.Address == to && e.State == Dead {
			msg.Updates = append(msg.Updates, e.Member) // it will refute this
		}
	}
	for i, e := range all {
		if e.sends == 0 {
			// Nothing fresh is left: one entry at random.
			msg.Updates = append(msg.Updates, e.Member)
			break
		}
		if i == newsPerMessage {
			break
		}
		e.sends--
		msg.Updates = append(msg.Updates, e.Member)
	}
	return msg
}

// Receive takes in a probe or an answer.
func (m *Membership) Receive(msg Message, now clock.Millis) {
	before, known := m.entries[msg.From.Name]
	returned := known && before.State == Dead && msg.From.State != Dead
	m.merge(msg.From, now)
	if returned {
		m.tellDeaths()
	}
	if e, ok := m.entries[msg.From.Name]; ok {
		e.failures = 0
		e.heardAt = now
		delete(m.seeds, e.Address)
	}
	for _, member := range msg.Updates {
		m.merge(member, now)
	}
}

// tellDeaths passes all deaths on anew: a daemon that is back may stand for a
// whole side of a cut, whose other daemons must hear of their deaths to refute
// them.
func (m *Membership) tellDeaths() {
	for _, e := range m.entries {
		if e.State == Dead {
			e.sends = m.sendsPerNews()
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
		e = &entry{Member: member, heardAt: now}
		m.entries[member.Name] = e
	} else if !newer(member, e.Member) {
		return
	}
	if member.State == Dead && e.State != Dead || member.State == Dead && !ok {
		e.deadAt = now
	}
	if member.State != Dead {
		e.failures = 0
	}
	e.sends = max(e.sends, m.sendsOf(member, e.Member, !ok))
	e.Member = member
	delete(m.seeds, member.Address)
}

// sendsOf is how often the news that replaces old is worth passing on. A newer
// version alone is told by the daemon itself in every message, and a daemon that
// was not known yet makes itself known by its probes; passing these on often
// would crowd out the news of a death.
func (m *Membership) sendsOf(member, old Member, first bool) int {
	if first && member.State == Live {
		return newsSends
	}
	if !first && member.Started == old.Started && member.Incarnation == old.Incarnation && member.State == old.State {
		return 1
	}
	return m.sendsPerNews()
}

// refute answers news of the own death, or of an earlier run under this name.
func (m *Membership) refute(member Member) {
	if member.Started != m.self.Started || member.State != Dead || member.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = member.Incarnation + 1
}

func (m *Membership) sendsPerNews() int {
	sends := newsSends
	for n := len(m.entries) + 1; n > 1; n /= 2 {
		sends += newsSends
	}
	return sends
}

// View is one line of the view.
type View struct {
	Member
	HeardMsAgo clock.Millis
}

// Views returns all that is known, the daemon itself included, by name.
func (m *Membership) Views(now clock.Millis) []View {
	views := []View{{Member: m.self}}
	for _, e := range m.sorted() {
		v := View{Member: e.Member, HeardMsAgo: now - e.heardAt}
		if v.State == Live && e.failures > 0 {
			v.State = Suspect
		}
		views = append(views, v)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}

// MaxVersion returns the newest settings version heard of and who has it.
func (m *Membership) MaxVersion() (version int64, address string) {
	for _, e := range m.sorted() {
		if e.Version > version && e.State != Dead {
			version, address = e.Version, e.Address
		}
	}
	return version, address
}
