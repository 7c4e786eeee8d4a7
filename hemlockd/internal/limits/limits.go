// Package limits holds a team to its rate and to its requests in flight.
//
// A limit holds over a data centre: each live daemon there has an equal share
// of it.
//
// # Usage
//
//	l := limits.New()
//	retry, release, ok := l.Admit("quotes", team, daemons, now)
//	defer release()
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// shards is the number of locks that the teams are spread over.
const shards = 16

// minRetry is the shortest time after which coming back is suggested.
const minRetry = 50 * clock.Millisecond

// Limits holds all teams.
type Limits struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*team
}

// team is one team's use in this daemon.
type team struct {
	limiter  *rate.Limiter
	rate     float64
	burst    int
	inFlight int
}

// New returns limits without use.
func New() *Limits {
	l := &Limits{}
	for i := range l.shards {
		l.shards[i].teams = map[string]*team{}
	}
	return l
}

// Admit takes one request of a team into account, where daemons share its
// limits. If it is refused, retry says when to come back; else release must be
// called at its end.
func (l *Limits) Admit(name string, t settings.Team, daemons int, now clock.Millis) (retry clock.Millis, release func(), ok bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.team(name, t, max(1, daemons), now)
	if limit := share(t.MaxInFlight, max(1, daemons)); t.MaxInFlight > 0 && use.inFlight >= limit {
		return clock.Second, nil, false
	}
	if t.RequestsPerSecond > 0 {
		at := now.Time()
		reservation := use.limiter.ReserveN(at, 1)
		if delay := reservation.DelayFrom(at); delay > 0 {
			reservation.CancelAt(at)
			return max(minRetry, clock.Millis(delay/time.Millisecond)), nil, false
		}
	}
	use.inFlight++
	return 0, func() { s.release(use) }, true
}

func (s *shard) release(use *team) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use.inFlight--
}

// InFlight returns a team's requests in flight in this daemon.
func (l *Limits) InFlight(name string) int {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if use, ok := s.teams[name]; ok {
		return use.inFlight
	}
	return 0
}

func (l *Limits) shard(name string) *shard {
	var sum uint
	for i := range len(name) {
		sum = sum*31 + uint(name[i])
	}
	return &l.shards[sum%shards]
}

func (s *shard) team(name string, t settings.Team, daemons int, now clock.Millis) *team {
	perDaemon, burst := t.RequestsPerSecond/float64(daemons), share(t.Burst, daemons)
	use, ok := s.teams[name]
	if !ok {
		use = &team{limiter: rate.NewLimiter(rate.Limit(perDaemon), burst), rate: perDaemon, burst: burst}
		s.teams[name] = use
	}
	if use.rate != perDaemon || use.burst != burst {
		use.rate, use.burst = perDaemon, burst
		use.limiter.SetLimitAt(now.Time(), rate.Limit(perDaemon))
		use.limiter.SetBurstAt(now.Time(), burst)
	}
	return use
}

// share is one daemon's part of a whole number, rounded up.
func share(whole, daemons int) int { return (whole + daemons - 1) / daemons }
