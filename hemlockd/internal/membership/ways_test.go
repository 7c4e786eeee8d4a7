package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hemlockmux.example/common/clock"
)

type allToAllNode struct{ a *AllToAll }

func (n allToAllNode) tick(now clock.Millis) []string { return n.a.Tick(now) }
func (n allToAllNode) message(string) any             { return n.a.self }
func (n allToAllNode) receive(msg any, now clock.Millis) any {
	n.a.Receive(msg.(Heartbeat), now)
	return nil
}
func (n allToAllNode) failed(string, clock.Millis) {}
func (n allToAllNode) live(name string) bool       { return n.a.Live(name) }
func (n allToAllNode) version() int64              { return n.a.self.Version }
func (n allToAllNode) setVersion(v int64)          { n.a.self.Version = v }

type treeNode struct{ t *Tree }

func (n treeNode) tick(now clock.Millis) []string { return n.t.Tick(now) }
func (n treeNode) message(to string) any          { return n.t.Message(to) }
func (n treeNode) receive(msg any, now clock.Millis) any {
	n.t.Receive(msg.([]Beat), now)
	return nil
}
func (n treeNode) failed(string, clock.Millis) {}
func (n treeNode) live(name string) bool       { return n.t.Live(name) }
func (n treeNode) version() int64              { return n.t.beats[n.t.name].Version }
func (n treeNode) setVersion(v int64) {
	own := n.t.beats[n.t.name]
	own.Version = v
	n.t.beats[n.t.name] = own
}

// TestCompareWays prints the table of docs/design/membership.md.
func TestCompareWays(t *testing.T) {
	ways := []struct {
		name  string
		eager bool
		make  func(*rand.Rand) func(int, []string) node
	}{
		{"all to all, silence 2 s", false, func(*rand.Rand) func(int, []string) node {
			return func(i int, names []string) node {
				var peers []string
				for j, n := range names {
					if j != i {
						peers = append(peers, n)
					}
				}
				return allToAllNode{NewAllToAll(names[i], peers, 4*period)}
			}
		}},
		{"4-ary tree, silence 4 s", false, func(*rand.Rand) func(int, []string) node {
			return func(i int, names []string) node { return treeNode{NewTree(names[i], names, 4, 8*period)} }
		}},
		{"probing, news carried along", false, newProbing},
		{"probing, new versions told at once", true, newProbing},
	}
	fmt.Println("| daemons | way | bytes/s sent by each | messages/s | death known to all, ms | version known to all, ms | live taken for dead, longest at 5 % loss, ms |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range []int{2, 7, 28, 60} {
		for _, way := range ways {
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			net := newNetwork(rng, n, period, way.make(rng))
			net.eager = way.eager
			net.run(60 * period)
			net.bytes, net.messages = 0, 0
			net.run(100 * period)
			seconds := 100 * float64(period) / 1000
			bytes, messages := float64(net.bytes)/seconds/float64(n), float64(net.messages)/seconds/float64(n)
			net.nodes[net.names[0]].setVersion(7)
			version := net.until(100*period, func(_ string, p node) bool { return p.version() == 7 })
			victim := net.names[n/2]
			net.down[victim] = true
			death := net.until(100*period, func(_ string, p node) bool { return !p.live(victim) })
			delete(net.down, victim)
			net.run(60 * period)
			net.lossRate = 0.05
			fmt.Printf("| %d | %s | %.0f | %.1f | %d | %d | %d |\n", n, way.name, bytes, messages, death, version, longestMistake(net, 300))
		}
	}
}
