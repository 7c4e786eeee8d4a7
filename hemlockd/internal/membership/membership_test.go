package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
)

// Time limits that the protocol must meet, in periods.
const (
	// deathBound is the time until all daemons see a dead or frozen one as dead.
	deathBound = 12
	// refuteBound is the longest time that a live daemon that can be reached may be
	// seen as dead.
	refuteBound = 24
	// healBound is the time until views agree after a partition has healed.
	healBound = 60
)

const period = 500 * clock.Millisecond

// TestViewsConvergeAfterFaults checks that no daemon's version goes down while daemons
// freeze and resume, links are cut in one or both directions and messages are lost. Once
// the faults have ended, all views must be correct within the limits, and all daemons must
// have the newest version.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(2, 12).Draw(t, "daemons")
		net := newNetwork(rng, n, period, newProbing(rng))
		net.fanOutVersions = true
		net.run(healBound * period)
		versions := map[string]int64{}
		newest := int64(0)
		name := func(t *rapid.T) string { return rapid.SampledFrom(net.names).Draw(t, "daemon") }
		t.Repeat(map[string]func(*rapid.T){
			"freeze": func(t *rapid.T) { net.down[name(t)] = true },
			"wake":   func(t *rapid.T) { delete(net.down, name(t)) },
			"cut":    func(t *rapid.T) { net.cut[[2]string{name(t), name(t)}] = true },
			"heal":   func(t *rapid.T) { clear(net.cut) },
			"loss":   func(t *rapid.T) { net.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"version": func(t *rapid.T) {
				newest++
				net.nodes[name(t)].setVersion(newest)
			},
			"time": func(t *rapid.T) { net.run(clock.Millis(rapid.IntRange(1, 40).Draw(t, "periods")) * period) },
			"": func(t *rapid.T) {
				for name, p := range net.nodes {
					if p.version() < versions[name] {
						t.Fatalf("%s went back from version %d to %d", name, versions[name], p.version())
					}
					versions[name] = p.version()
				}
			},
		})
		clear(net.cut)
		net.lossRate = 0
		net.run(healBound * period)
		best := int64(0)
		for name, p := range net.nodes {
			if !net.down[name] {
				best = max(best, p.version())
			}
		}
		if !net.all(func(_ string, p node) bool { return p.version() == best }) {
			t.Fatalf("not every running daemon has version %d", best)
		}
		for _, who := range net.names {
			if !net.all(func(_ string, p node) bool { return p.live(who) == !net.down[who] }) {
				t.Fatalf("views of %s are wrong (down: %t)", who, net.down[who])
			}
		}
	})
}

// TestDeathIsSeenInTime checks, for several numbers of daemons, that all daemons see a
// dead one as dead within deathBound. It also checks that in a network that loses 5 % of
// messages no live daemon is seen as dead for longer than refuteBound.
func TestDeathIsSeenInTime(t *testing.T) {
	for _, n := range []int{2, 7, 28, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(n), 2))
			net := newNetwork(rng, n, period, newProbing(rng))
			net.run(healBound * period)
			victim := net.names[n-1]
			net.down[victim] = true
			took := net.until(2*deathBound*period, func(_ string, p node) bool { return !p.live(victim) })
			if took > deathBound*period {
				t.Errorf("death detected by all daemons only after %d ms", took)
			}
			t.Logf("death detected by all daemons after %d ms", took)
			delete(net.down, victim)
			net.run(healBound * period)
			net.lossRate = 0.05
			longest := longestFalseDeath(net, 400)
			t.Logf("longest time that any daemon saw a live one as dead: %d ms", longest)
			if longest > refuteBound*period {
				t.Errorf("a live daemon was seen as dead for %d ms", longest)
			}
		})
	}
}

// longestFalseDeath returns the longest time that any node saw a live one as dead.
func longestFalseDeath(net *network, periods int) clock.Millis {
	since := map[[2]string]clock.Millis{}
	var longest clock.Millis
	for range periods {
		net.step()
		for _, viewer := range net.names {
			for _, who := range net.names {
				pair := [2]string{viewer, who}
				if net.nodes[viewer].live(who) {
					delete(since, pair)
					continue
				}
				if _, ok := since[pair]; !ok {
					since[pair] = net.now
				}
				longest = max(longest, net.now-since[pair])
			}
		}
	}
	return longest
}

// TestOwnerMovesFewKeys checks that removing a daemon moves only the keys that it owned.
func TestOwnerMovesFewKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{}
		for i := range rapid.IntRange(1, 30).Draw(t, "daemons") {
			names = append(names, fmt.Sprint("vm-", i))
		}
		gone := rapid.SampledFrom(names).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == gone })
		for i := range 50 {
			key := fmt.Sprint("group-", i)
			before, after := Owner(key, names), Owner(key, rest)
			if before != gone && before != after {
				t.Fatalf("%s moved from %s to %s when %s was removed", key, before, after, gone)
			}
		}
	})
}
