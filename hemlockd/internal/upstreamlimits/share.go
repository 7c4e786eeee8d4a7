package upstreamlimits

import (
	"math/rand/v2"

	"hemlockmux.example/common/clock"
)

const (
	// burstSpan is the time whose share may be saved up, in addition to one call.
	burstSpan = 700 * clock.Millisecond
	// demandWindow is the time over which the demand for an upstream is counted.
	demandWindow = clock.Second
)

// share is what this daemon may use of a limit.
type share struct {
	rate    float64 // calls per second
	untilMs clock.Millis
	tokens  float64 // calls that may be sent now
	atMs    clock.Millis
}

// advance adds the tokens that have become due.
func (s *share) advance(now clock.Millis) {
	until := min(now, s.untilMs)
	if until > s.atMs {
		s.tokens += s.rate * float64(until-s.atMs) / float64(clock.Second)
	}
	s.atMs = now
	s.tokens = min(s.tokens, 1+s.rate*float64(burstSpan)/float64(clock.Second))
	if now >= s.untilMs {
		s.rate, s.tokens = 0, 0
	}
}

// renew replaces the rate. Tokens that were saved up stay.
func (s *share) renew(rate float64, until, now clock.Millis) {
	s.advance(now)
	s.rate, s.untilMs = rate, until
}

// counter counts events in windows of demandWindow.
type counter struct {
	startMs     clock.Millis
	count, last int
}

func (c *counter) advance(now clock.Millis) {
	if now-c.startMs < demandWindow {
		return
	}
	c.last = c.count
	if now-c.startMs >= 2*demandWindow {
		c.last = 0
	}
	c.count, c.startMs = 0, now
}

func (c *counter) add(now clock.Millis) {
	c.advance(now)
	c.count++
}

// perSecond returns the events of the last full window, or of the current one if there were more.
func (c *counter) perSecond(now clock.Millis) float64 {
	c.advance(now)
	return float64(max(c.last, c.count)) * float64(clock.Second) / float64(demandWindow)
}

// Want counts the demand for an upstream: a request that it could serve.
func (l *Limits) Want(id string, now clock.Millis) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.limitedLocked(id, now); u != nil {
		u.demand.add(now)
	}
}

// shareOf returns a copy of this daemon's share of an upstream's limit, or false if the upstream has
// none.
func (l *Limits) shareOf(id string, now clock.Millis) (share, bool) {
	if l.count.Load() == 0 {
		return share{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(id, now)
	if u == nil {
		return share{}, false
	}
	u.share.advance(now)
	return u.share, true
}

// Ready reports whether a call may be sent to an upstream now.
func (l *Limits) Ready(id string, now clock.Millis) bool {
	s, limited := l.shareOf(id, now)
	return !limited || s.tokens >= 1
}

// HasShare reports whether this daemon may send calls to an upstream now or soon.
func (l *Limits) HasShare(id string, now clock.Millis) bool {
	s, limited := l.shareOf(id, now)
	return !limited || s.tokens >= 1 || s.rate > 0
}

// Limited reports whether an upstream has a limit.
func (l *Limits) Limited(id string, now clock.Millis) bool {
	_, limited := l.shareOf(id, now)
	return limited
}

// Take takes one call to an upstream from this daemon's share. It returns false if none is left; the
// call must not be sent then.
func (l *Limits) Take(id string, now clock.Millis) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.limitedLocked(id, now)
	if u == nil {
		return true
	}
	u.share.advance(now)
	if u.share.tokens < 1 {
		metrics.Add("callsHeldBack", 1)
		return false
	}
	metrics.Add("callsSent", 1)
	u.share.tokens--
	u.used.add(now)
	return true
}

// Bounds of the span over which callers return that were refused because of limits.
const (
	minRetry = 400 * clock.Millisecond
	maxRetry = 3 * clock.Second
)

// Retry returns when a caller should come back that was refused because of the limits of upstreams:
// the callers of all daemons are spread over the time in which there is room for them.
func (l *Limits) Retry(ids []string, now clock.Millis) clock.Millis {
	span := clock.Millis(l.pressure(ids, now) * float64(clock.Second))
	span = max(minRetry, min(maxRetry, span))
	return span/2 + clock.Millis(rand.Int64N(int64(span)+1))
}

// pressure returns the demand of all daemons for upstreams as a multiple of what their limits
// allow together, as far as this daemon knows; 0 if none of them has a limit.
func (l *Limits) pressure(ids []string, now clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed, demand := 0.0, 0.0
	for _, id := range ids {
		if u := l.limitedLocked(id, now); u != nil {
			allowed += u.perSecond
			demand = max(demand, u.ledger.totalDemand, u.demand.perSecond(now))
		}
	}
	if allowed == 0 {
		return 0
	}
	return demand / allowed
}
