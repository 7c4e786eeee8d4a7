// Package upstreamlimits keeps the rate limits that upstreams name in their answers. A limit holds
// over all daemons together, and over all calls that reach the upstream: first attempts, repeats,
// prefills and decodes.
//
// Each daemon may use a share of a limit. One of the live daemons, the upstream's granter, leases
// rates to the others for a short time, by their demand. A lease expires at its holder no later than
// in the granter's ledger, since the holder counts from when it asked; so the leases add up to no
// more than the limit while shares move. Where a part of the known daemons is silent, the rest uses
// no more than its part of the limit. The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	l := upstreamlimits.New("daemon-1", started, onNews)
//	l.Observe(answer, now)          // each answer of an upstream
//	if l.Take(upstream, now) { ... } // before each call to one
//	for _, m := range l.Tick(alive, known, now) { send(m.To, m.Ask) }
//	grant := l.HandleAsk(from, ask, now) // at the granter
//	l.HandleGrant(grant, now)            // at the holder
package upstreamlimits

import (
	"expvar"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
)

const (
	// lapseSpan is how long a limit holds that no answer confirms.
	lapseSpan = 30 * clock.Second
	// endedSpan is how long other daemons are told that a limit has ended.
	endedSpan = 5 * clock.Second
	// newsDelay is how long news of another daemon may be on its way.
	newsDelay = 500 * clock.Millisecond
	// acquaintSpan is how long after its start a daemon may not know the others yet, and takes no
	// share that depends on their number.
	acquaintSpan = 2500 * clock.Millisecond
)

// metrics counts calls to upstreams that have a limit: those sent, and those for which no share was
// left.
var metrics = expvar.NewMap("upstreamLimits")

// Answer is what one answer of an upstream says about its limit.
type Answer struct {
	// Upstream is the upstream's ID, and StartedMs the start of its process.
	Upstream  string
	StartedMs clock.Millis
	// PerSecond is the limit in requests per second; 0 if the answer names none.
	PerSecond float64
	// SentMs is when the call was sent that the answer is for.
	SentMs clock.Millis
}

// News is what a daemon knows of an upstream's limit, to be sent to other daemons.
type News struct {
	// Upstream is the upstream's ID, and StartedMs the start of its process.
	Upstream  string       `json:"upstream"`
	StartedMs clock.Millis `json:"startedMs"`
	// PerSecond is the limit in requests per second; 0 if it has ended.
	PerSecond float64 `json:"perSecond"`
	// AgoMs is the time since the last answer that said so.
	AgoMs clock.Millis `json:"agoMs"`
	// SinceAgoMs is the time since the limit was first heard of.
	SinceAgoMs clock.Millis `json:"sinceAgoMs"`
}

// Header is the header in which upstreams of the own interface name their limit, in requests per
// second.
const Header = "Upstream-Limit"

// Limits holds the limits of all upstreams and this daemon's shares. It is safe for concurrent use.
type Limits struct {
	self   string
	onNews func(News)
	// count is the number of entries, so that calls cost nothing where there are none.
	count atomic.Int64

	mu        sync.Mutex
	upstreams map[string]*upstream
	// alive are the live daemons that don't shut down, and known is the number of all known ones.
	alive []string
	known int
	// leaving is set once this daemon shuts down.
	leaving bool
	tickMs  clock.Millis // of the last Tick
	// acquaintedMs is the time from which on the other daemons are surely known.
	acquaintedMs clock.Millis
}

// upstream is one upstream that names a limit, or has lately.
type upstream struct {
	startedMs clock.Millis
	perSecond float64 // 0 once the limit has ended
	// sinceMs is when the limit was first heard of.
	sinceMs clock.Millis
	// namedMs is when an answer last named the limit, and endedMs when one last named none.
	namedMs, endedMs clock.Millis
	share            share
	demand, used     counter
	ledger           ledger
}

// New returns the limits of a daemon that started at the given time, without any upstream. onNews
// is called, with no lock held, with what should be sent to other daemons at once.
func New(self string, started clock.Millis, onNews func(News)) *Limits {
	return &Limits{
		self: self, onNews: onNews, upstreams: map[string]*upstream{}, alive: []string{self}, known: 1, acquaintedMs: started + acquaintSpan,
	}
}

// Observe records what an answer says about its upstream's limit. Answers may overtake each
// other: one that names no limit ends it only if its call was sent after the last answer that
// named one had come, and of two figures whose order is not known the lower one holds.
func (l *Limits) Observe(a Answer, now clock.Millis) {
	if a.PerSecond <= 0 && l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	u, ok := l.upstreams[a.Upstream]
	if ok && a.StartedMs != u.startedMs {
		if a.StartedMs < u.startedMs {
			l.mu.Unlock()
			return
		}
		l.deleteLocked(a.Upstream)
		ok = false
	}
	if !ok {
		if a.PerSecond > 0 {
			u = l.addLocked(a.Upstream, a.StartedMs)
		} else {
			l.mu.Unlock()
			return
		}
	}
	before := u.perSecond
	if before == 0 && a.SentMs < u.endedMs { // overtaken by the answer that ended the limit
		l.mu.Unlock()
		return
	}
	if before == 0 && a.PerSecond > 0 {
		u.sinceMs = now
	}
	switch {
	case a.PerSecond > 0 && (before == 0 || a.SentMs >= u.namedMs):
		l.nameLocked(a.Upstream, a.PerSecond, now, now)
	case a.PerSecond > 0:
		l.nameLocked(a.Upstream, min(before, a.PerSecond), now, now)
	case before > 0 && a.SentMs >= u.namedMs:
		u.perSecond, u.endedMs = 0, now
	}
	changed := u.perSecond != before
	news := u.news(a.Upstream, now)
	l.mu.Unlock()
	if changed {
		l.onNews(news)
	}
}

// Merge records what another daemon knows of a limit. It reports whether the limit is another one
// now.
func (l *Limits) Merge(n News, now clock.Millis) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now - max(0, n.AgoMs)
	if now-at > lapseSpan {
		return false
	}
	u, ok := l.upstreams[n.Upstream]
	if ok && n.StartedMs != u.startedMs {
		if n.StartedMs < u.startedMs {
			return false
		}
		l.deleteLocked(n.Upstream)
		ok = false
	}
	if !ok && n.PerSecond > 0 {
		u, ok = l.addLocked(n.Upstream, n.StartedMs), true
	}
	if !ok {
		return false
	}
	before := u.perSecond
	switch {
	case n.PerSecond > 0 && u.perSecond == 0 && u.endedMs > 0 && at <= u.endedMs+newsDelay: // overtaken
	case n.PerSecond > 0 && at > u.namedMs:
		if u.perSecond == 0 {
			u.sinceMs = now - max(0, n.SinceAgoMs)
		}
		l.nameLocked(n.Upstream, n.PerSecond, at, now)
	case n.PerSecond <= 0 && u.perSecond > 0 && at > u.namedMs:
		u.perSecond, u.endedMs = 0, at
	}
	return u.perSecond != before
}

func (l *Limits) addLocked(id string, startedMs clock.Millis) *upstream {
	u := &upstream{startedMs: startedMs, ledger: newLedger()}
	l.upstreams[id] = u
	l.count.Store(int64(len(l.upstreams)))
	return u
}

func (l *Limits) deleteLocked(id string) {
	delete(l.upstreams, id)
	l.count.Store(int64(len(l.upstreams)))
}

// nameLocked records that a limit was named at a time. Until the granter has heard of a new limit,
// each daemon may use an equal share of it.
func (l *Limits) nameLocked(id string, perSecond float64, at, now clock.Millis) {
	u := l.upstreams[id]
	if u.perSecond == 0 {
		u.sinceMs = max(u.sinceMs, u.endedMs)
		u.ledger = newLedger()
		u.ledger.restart(max(now, l.acquaintedMs))
		u.ledger.granting = l.granterLocked(id) == l.self
		u.share = share{atMs: now}
		if now-u.sinceMs < leaseSpan && now >= l.acquaintedMs {
			u.share.renew(perSecond/float64(max(1, l.known)), now+leaseSpan+AskInterval, now)
		}
	}
	u.perSecond, u.namedMs = perSecond, max(u.namedMs, at)
}

func (u *upstream) news(id string, now clock.Millis) News {
	at := u.namedMs
	if u.perSecond == 0 {
		at = u.endedMs
	}
	return News{Upstream: id, StartedMs: u.startedMs, PerSecond: u.perSecond, AgoMs: now - at, SinceAgoMs: now - u.sinceMs}
}

// Recent returns what other daemons should know: all limits, and which have ended lately.
func (l *Limits) Recent(now clock.Millis) []News {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireLocked(now)
	var all []News
	for _, id := range slices.Sorted(maps.Keys(l.upstreams)) {
		all = append(all, l.upstreams[id].news(id, now))
	}
	return all
}

// expireLocked forgets limits that no answer has confirmed for long, and those that have ended.
func (l *Limits) expireLocked(now clock.Millis) {
	for id, u := range l.upstreams {
		if u.perSecond > 0 && now-u.namedMs > lapseSpan || u.perSecond == 0 && now-u.endedMs > endedSpan {
			l.deleteLocked(id)
		}
	}
}

// limitedLocked returns the upstream if it has a limit.
func (l *Limits) limitedLocked(id string, now clock.Millis) *upstream {
	u, ok := l.upstreams[id]
	if !ok || u.perSecond == 0 || now-u.namedMs > lapseSpan {
		return nil
	}
	return u
}

// All returns all limits, by upstream, for operators.
func (l *Limits) All(now clock.Millis) []operatorapi.LimitView {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := []operatorapi.LimitView{}
	for _, id := range slices.Sorted(maps.Keys(l.upstreams)) {
		u := l.limitedLocked(id, now)
		if u == nil {
			continue
		}
		u.share.advance(now)
		u.used.advance(now)
		all = append(all, operatorapi.LimitView{Upstream: id, PerSecond: u.perSecond, Share: u.share.rate, SinceMs: now - u.sinceMs, ConfirmedMs: now - u.namedMs, Used: u.used.last})
	}
	return all
}

// Summary describes the limits of upstreams, as the reason of a refusal.
func (l *Limits) Summary(ids []string, now clock.Millis) string {
	var texts []string
	for _, v := range l.All(now) {
		if slices.Contains(ids, v.Upstream) {
			texts = append(texts, fmt.Sprintf("%s: limit %.1f/s, share %.1f/s", v.Upstream, v.PerSecond, v.Share))
		}
	}
	return strings.Join(texts, "; ")
}
