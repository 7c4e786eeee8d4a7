package upstreamlimits

import (
	"cmp"
	"slices"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/membership"
)

const (
	// AskInterval is the time between two calls of Tick.
	AskInterval = 300 * clock.Millisecond
	// leaseSpan is how long a lease of a rate lasts.
	leaseSpan = 1200 * clock.Millisecond
	// askerLifetime is how long a daemon counts as one that wants a share after it last asked.
	askerLifetime = leaseSpan
	// maxTickGap is the longest time between two calls of Tick after which the ledger is still
	// trusted: another daemon may have granted meanwhile.
	maxTickGap = clock.Second
	// demandWeight is the weight of the newest demand of a daemon in its moving average.
	demandWeight = 0.3
	// minUse is the demand, as a fraction of its share, from which a daemon that has a share
	// keeps it. Shares that move are used by nobody for a while.
	minUse = 0.5
)

// Ask asks an upstream's granter for a share of its limit.
type Ask struct {
	// Upstream is the upstream's ID, and StartedMs the start of its process.
	Upstream  string       `json:"upstream"`
	StartedMs clock.Millis `json:"startedMs"`
	// Demand is the number of requests per second here that the upstream could serve.
	Demand float64 `json:"demand"`
	// AskedMs is the asking daemon's time, which the grant returns.
	AskedMs clock.Millis `json:"askedMs"`
}

// Grant leases a share of an upstream's limit, from when it was asked for on.
type Grant struct {
	// Upstream is the upstream's ID, and StartedMs the start of its process.
	Upstream  string       `json:"upstream"`
	StartedMs clock.Millis `json:"startedMs"`
	// PerSecond is the share, in requests per second; it may be 0.
	PerSecond float64 `json:"perSecond"`
	// Demand is the sum of the demands of all daemons, in requests per second.
	Demand float64 `json:"demand"`
	// AskedMs is that of the Ask.
	AskedMs clock.Millis `json:"askedMs"`
}

// Message is an Ask with the daemon that it is for.
type Message struct {
	To  string
	Ask Ask
}

// ledger is what the granter of a limit has leased.
type ledger struct {
	// grantsFromMs is when leases of another granter have surely expired.
	grantsFromMs clock.Millis
	granting     bool // this daemon was the granter at the last Tick
	askers       map[string]*asker
	// totalDemand is the demand of all daemons as the granter last told.
	totalDemand float64
}

// asker is a daemon that has asked for a share.
type asker struct {
	demand  float64
	askedMs clock.Millis // by this daemon's clock
	leases  []lease
}

type lease struct {
	rate    float64
	untilMs clock.Millis
}

func newLedger() ledger { return ledger{askers: map[string]*asker{}} }

// restart waits until all leases that are not in the ledger have expired.
func (g *ledger) restart(now clock.Millis) { g.grantsFromMs = now + leaseSpan }

// held returns the greatest rate that the daemon may be using.
func (a *asker) held(now clock.Millis) float64 {
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool { return l.untilMs <= now })
	most := 0.0
	for _, l := range a.leases {
		most = max(most, l.rate)
	}
	return most
}

// grant returns the rate that a daemon gets of what this part of the daemons may use.
func (g *ledger) grant(name string, demand, usable float64, now clock.Millis) float64 {
	a, ok := g.askers[name]
	if !ok {
		a = &asker{demand: demand}
		g.askers[name] = a
	}
	a.demand += demandWeight * (demand - a.demand)
	a.askedMs = now
	others := 0.0
	for other, b := range g.askers {
		if other != name {
			others += b.held(now)
		}
		if now-b.askedMs > askerLifetime && b.held(now) == 0 {
			delete(g.askers, other)
		}
	}
	if now < g.grantsFromMs {
		return 0
	}
	rate := max(0, min(g.fairShare(name, usable, now), usable-others))
	if rate > 0 {
		a.leases = append(a.leases, lease{rate: rate, untilMs: now + leaseSpan})
	}
	return rate
}

// candidate is a daemon that may get a share.
type candidate struct {
	name   string
	demand float64
	// keeps is set if it has a share and uses it.
	keeps bool
}

// candidates returns the daemons that want a share, those first that keep theirs, then by demand.
func (g *ledger) candidates(now clock.Millis) []candidate {
	var all []candidate
	for name, a := range g.askers {
		if now-a.askedMs > askerLifetime || a.demand <= 0 {
			continue
		}
		held := a.held(now)
		all = append(all, candidate{name, a.demand, held > 0 && a.demand >= minUse*held})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.keeps != b.keeps {
			if a.keeps {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(a.name, b.name))
	})
	return all
}

// fairShare returns a daemon's part by demand. No more daemons get one than calls may be sent in a
// second: each may send its first call at any moment.
func (g *ledger) fairShare(name string, usable float64, now clock.Millis) float64 {
	all := g.candidates(now)
	g.totalDemand = 0
	for _, c := range all {
		g.totalDemand += c.demand
	}
	sum, own := 0.0, 0.0
	for _, c := range all[:min(len(all), max(1, int(usable)))] {
		sum += c.demand
		if c.name == name {
			own = c.demand
		}
	}
	if sum == 0 {
		return 0
	}
	return usable * own / sum
}

// granter returns the daemon that grants shares of an upstream's limit.
func (l *Limits) granterLocked(id string) string { return membership.Owner(id, l.alive) }

// Leave records that this daemon shuts down: another one grants from now on, if one is alive. The others must be told
// at the same time.
func (l *Limits) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// Tick records which daemons are alive, this one and those that shut down not included, and how many are known, this one
// included. It returns the messages that ask for shares, and grants this daemon its own. It must be
// called every AskInterval.
func (l *Limits) Tick(alive []string, known int, now clock.Millis) []Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	paused := now-l.tickMs > maxTickGap
	l.tickMs = now
	l.alive = append([]string{l.self}, alive...)
	l.known = max(known, len(l.alive))
	if l.leaving && len(alive) > 0 {
		l.alive = alive
	}
	l.expireLocked(now)
	var messages []Message
	for id, u := range l.upstreams {
		granter := l.granterLocked(id)
		granting := granter == l.self
		if granting && (paused || !u.ledger.granting) {
			u.ledger.restart(max(now, l.acquaintedMs))
		}
		u.ledger.granting = granting
		demand := u.demand.perSecond(now)
		if u.perSecond == 0 || demand == 0 {
			continue
		}
		ask := Ask{Upstream: id, StartedMs: u.startedMs, Demand: demand, AskedMs: now}
		if !granting {
			messages = append(messages, Message{To: granter, Ask: ask})
			continue
		}
		l.applyLocked(u, l.grantLocked(u, l.self, ask, now), now)
	}
	return messages
}

// HandleAsk grants a daemon a share of a limit, which may be 0.
func (l *Limits) HandleAsk(from string, a Ask, now clock.Millis) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(a.Upstream, now)
	if u == nil || u.startedMs != a.StartedMs || !u.ledger.granting {
		return Grant{Upstream: a.Upstream, StartedMs: a.StartedMs, AskedMs: a.AskedMs}
	}
	return l.grantLocked(u, from, a, now)
}

func (l *Limits) grantLocked(u *upstream, from string, a Ask, now clock.Millis) Grant {
	usable := u.perSecond * float64(len(l.alive)) / float64(l.known)
	rate := u.ledger.grant(from, a.Demand, usable, now)
	return Grant{Upstream: a.Upstream, StartedMs: a.StartedMs, PerSecond: rate, Demand: u.ledger.totalDemand, AskedMs: a.AskedMs}
}

// HandleGrant takes over a share that was asked for.
func (l *Limits) HandleGrant(g Grant, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(g.Upstream, now)
	if u == nil || u.startedMs != g.StartedMs || g.AskedMs > now {
		return
	}
	l.applyLocked(u, g, now)
}

// applyLocked replaces the share by a grant. A grant of nothing leaves the share until its end: the
// granter counts it until then.
func (l *Limits) applyLocked(u *upstream, g Grant, now clock.Millis) {
	u.ledger.totalDemand = max(g.Demand, 0)
	if until := g.AskedMs + leaseSpan; g.PerSecond > 0 && until > u.share.untilMs {
		u.share.renew(g.PerSecond, until, now)
	}
}
