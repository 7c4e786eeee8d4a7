package upstreamgate

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
)

const (
	// leavingRetention is how long it is remembered that a process shuts down. It answers nothing from
	// which this could be heard again, since it is sent nothing.
	leavingRetention = 10 * clock.Minute
	// leavingNewsSpan is how long other daemons are told of a shutdown.
	leavingNewsSpan = 10 * clock.Second
	// maxNotices bounds the upstreams that are remembered.
	maxNotices = 10000
)

// Notice is what one answer of an upstream says about calls to it.
type Notice struct {
	Target
	// Leaving is set if the process says that it shuts down.
	Leaving bool
	// PauseMs is the time for which it wants nothing from this daemon; 0 if it names none.
	PauseMs clock.Millis
}

// notices holds what upstreams have announced.
type notices struct {
	onChange func(Notice)
	// count is the number of entries, so that calls cost nothing where there are none.
	count atomic.Int64

	mu        sync.Mutex
	upstreams map[string]*notice
}

// notice is what one upstream has announced.
type notice struct {
	startedMs clock.Millis
	leaving   bool
	// leavingMs is when that was first heard, and heardMs when anything was last heard.
	leavingMs, heardMs clock.Millis
	// pausedUntilMs is when the latest pause ends.
	pausedUntilMs clock.Millis
}

func newNotices(onChange func(Notice)) notices {
	return notices{onChange: onChange, upstreams: map[string]*notice{}}
}

// Observe records what an answer says. Answers may overtake each other: the latest end of several
// pauses holds, and an answer that says nothing ends neither a pause nor a shutdown.
func (g *Gate) Observe(n Notice, now clock.Millis) {
	if !n.Leaving && n.PauseMs <= 0 {
		return
	}
	if g.notices.add(n, now) {
		g.notices.onChange(n)
	}
}

// Merge records that a process shuts down, as another daemon says. It reports whether that was not
// known before.
func (g *Gate) Merge(leaving Target, now clock.Millis) bool {
	return g.notices.add(Notice{Target: leaving, Leaving: true}, now)
}

// Reopen records that a process which does not shut down has answered a health check. It is used where
// the platform does not tell the start of processes: a process that shuts down says so in each answer,
// so another one has taken its place. Checks that were sent before the shutdown was heard of are ignored.
func (g *Gate) Reopen(upstream string, sent clock.Millis) {
	if g.notices.count.Load() == 0 {
		return
	}
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if u, ok := g.notices.upstreams[upstream]; ok && sent > u.heardMs {
		g.notices.deleteLocked(upstream)
	}
}

// add records a notice and reports whether the upstream's state is another one now.
func (s *notices) add(n Notice, now clock.Millis) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.upstreams[n.Upstream]
	if ok && n.StartedMs < u.startedMs {
		return false // from an earlier process
	}
	if !ok || n.StartedMs > u.startedMs {
		s.expireLocked(now)
		u = &notice{startedMs: n.StartedMs}
		s.upstreams[n.Upstream] = u
		s.count.Store(int64(len(s.upstreams)))
	}
	u.heardMs = max(u.heardMs, now)
	if n.Leaving && !u.leaving {
		u.leaving, u.leavingMs = true, now
		metrics.Add("leaving", 1)
		changed = true
	}
	if until := now + n.PauseMs; n.PauseMs > 0 && until > u.pausedUntilMs {
		changed = changed || u.pausedUntilMs <= now
		u.pausedUntilMs = until
		metrics.Add("pauses", 1)
	}
	return changed
}

// expireLocked makes room if there are too many upstreams: it forgets what no longer matters and, if
// that is not enough, what is oldest.
func (s *notices) expireLocked(now clock.Millis) {
	if len(s.upstreams) < maxNotices {
		return
	}
	maps.DeleteFunc(s.upstreams, func(_ string, u *notice) bool {
		return u.pausedUntilMs <= now && (!u.leaving || now-u.heardMs > leavingRetention)
	})
	byAge := slices.SortedFunc(maps.Keys(s.upstreams), func(a, b string) int {
		return cmp.Compare(s.upstreams[a].heardMs, s.upstreams[b].heardMs)
	})
	for _, id := range byAge[:max(0, len(byAge)-maxNotices*9/10)] {
		delete(s.upstreams, id)
	}
	s.count.Store(int64(len(s.upstreams)))
}

func (s *notices) deleteLocked(upstream string) {
	delete(s.upstreams, upstream)
	s.count.Store(int64(len(s.upstreams)))
}

// check returns the reason for which a process may not be called, or Open. What a process has announced
// also holds for the earlier ones of the same upstream.
func (s *notices) check(t Target, now clock.Millis) Reason {
	if s.count.Load() == 0 {
		return Open
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.upstreams[t.Upstream]
	switch {
	case !ok || t.StartedMs > u.startedMs:
		return Open
	case u.leaving && now-u.heardMs <= leavingRetention:
		return Leaving
	case u.pausedUntilMs > now:
		return Paused
	}
	return Open
}

// pauseLeft returns how long the upstream's pause still lasts.
func (s *notices) pauseLeft(upstream string, now clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.upstreams[upstream]
	if !ok {
		return 0
	}
	return max(0, u.pausedUntilMs-now)
}

// Recent returns the processes whose shutdown was heard of lately, for other daemons.
func (g *Gate) Recent(now clock.Millis) []Target {
	s := &g.notices
	if s.count.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Target
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		if u := s.upstreams[id]; u.leaving && now-u.leavingMs <= leavingNewsSpan {
			all = append(all, Target{Upstream: id, StartedMs: u.startedMs})
		}
	}
	return all
}

// All returns the upstreams that may not be called because of what they have announced, for operators.
func (g *Gate) All(now clock.Millis) []operatorapi.ClosedView {
	s := &g.notices
	s.mu.Lock()
	defer s.mu.Unlock()
	all := []operatorapi.ClosedView{}
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[id]
		if u.leaving && now-u.heardMs <= leavingRetention {
			all = append(all, operatorapi.ClosedView{Upstream: id, Reason: string(Leaving), SinceMs: now - u.leavingMs})
		} else if u.pausedUntilMs > now {
			all = append(all, operatorapi.ClosedView{Upstream: id, Reason: string(Paused), LeftMs: u.pausedUntilMs - now})
		}
	}
	return all
}
