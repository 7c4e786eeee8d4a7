package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"hemlockmux.example/common/clock"
)

// node is the protocol of one daemon, driven by the simulated network.
type node interface {
	// tick starts a period and returns the addresses to send a message to.
	tick(now clock.Millis) []string
	message(to string) any
	// receive processes a message and returns the answer, or nil for none.
	receive(msg any, now clock.Millis) any
	failed(to string, now clock.Millis)
	live(name string) bool
	version() int64
	setVersion(version int64)
}

// network carries messages between nodes in virtual time. It can lose messages, cut links
// and freeze nodes.
type network struct {
	rng      *rand.Rand
	now      clock.Millis
	period   clock.Millis
	names    []string
	nodes    map[string]node
	down     map[string]bool // dead or frozen
	cut      map[[2]string]bool
	lossRate float64
	bytes    int
	messages int
	// fanOutVersions makes a node that has received a new version send it on at once.
	fanOutVersions bool
}

func newNetwork(rng *rand.Rand, n int, period clock.Millis, make func(i int, names []string) node) *network {
	net := &network{rng: rng, period: period, nodes: map[string]node{}, down: map[string]bool{}, cut: map[[2]string]bool{}}
	for i := range n {
		net.names = append(net.names, fmt.Sprintf("vm-%02d", i))
	}
	for i, name := range net.names {
		net.nodes[name] = make(i, net.names)
	}
	return net
}

// step runs one period: every node that is up ticks, in random order.
func (n *network) step() {
	n.now += n.period
	for _, i := range n.rng.Perm(len(n.names)) {
		if name := n.names[i]; !n.down[name] {
			for _, to := range n.nodes[name].tick(n.now) {
				n.send(name, to)
			}
		}
	}
}

func (n *network) run(span clock.Millis) {
	for end := n.now + span; n.now < end; {
		n.step()
	}
}

func (n *network) passes(from, to string) bool {
	return !n.down[to] && !n.cut[[2]string{from, to}] && n.rng.Float64() >= n.lossRate
}

func (n *network) count(msg any) {
	text, _ := json.Marshal(msg)
	n.bytes += len(text)
	n.messages++
}

func (n *network) send(from, to string) {
	msg := n.nodes[from].message(to)
	n.count(msg)
	if !n.passes(from, to) {
		n.nodes[from].failed(to, n.now)
		return
	}
	before := n.nodes[to].version()
	answer := n.nodes[to].receive(msg, n.now)
	n.fanOut(to, before)
	if answer == nil {
		return
	}
	n.count(answer)
	if !n.passes(to, from) {
		n.nodes[from].failed(to, n.now)
		return
	}
	before = n.nodes[from].version()
	n.nodes[from].receive(answer, n.now)
	n.fanOut(from, before)
}

// fanOut lets a node that has just received a new version send it to a few others.
func (n *network) fanOut(name string, before int64) {
	if !n.fanOutVersions || n.nodes[name].version() == before {
		return
	}
	if p, ok := n.nodes[name].(*probing); ok {
		for _, to := range p.m.Fanout(3) {
			n.send(name, to)
		}
	}
}

// all reports whether a condition holds at every node that is up.
func (n *network) all(condition func(name string, p node) bool) bool {
	for _, name := range n.names {
		if !n.down[name] && !condition(name, n.nodes[name]) {
			return false
		}
	}
	return true
}

// until runs until a condition holds at every node that is up, and returns the time that
// took. It stops after limit.
func (n *network) until(limit clock.Millis, condition func(name string, p node) bool) clock.Millis {
	for started := n.now; ; n.step() {
		if n.all(condition) || n.now-started >= limit {
			return n.now - started
		}
	}
}

// probing drives a Membership.
type probing struct{ m *Membership }

func newProbing(rng *rand.Rand) func(i int, names []string) node {
	return func(i int, names []string) node {
		m := New(Member{Name: names[i], Address: names[i], DataCentre: "dc", Started: 1}, rand.New(rand.NewPCG(rng.Uint64(), 1)))
		for _, other := range names[:min(3, len(names))] {
			m.AddSeed(other)
		}
		return &probing{m: m}
	}
}

func (p *probing) tick(now clock.Millis) []string { return p.m.Tick(now) }

func (p *probing) message(to string) any { return p.m.Message(to) }

func (p *probing) receive(msg any, now clock.Millis) any {
	message := msg.(Message)
	p.m.Receive(message, now)
	if message.From.Version > p.m.Self().Version {
		p.m.SetVersion(message.From.Version) // as a daemon does after fetching the settings
	}
	return p.m.Message(message.From.Address)
}

func (p *probing) failed(to string, now clock.Millis) { p.m.ProbeFailed(to, now) }

func (p *probing) live(name string) bool {
	if name == p.m.Self().Name {
		return true
	}
	e, ok := p.m.entries[name]
	return ok && e.State != Dead
}

func (p *probing) version() int64 { return p.m.Self().Version }

func (p *probing) setVersion(version int64) { p.m.SetVersion(version) }
