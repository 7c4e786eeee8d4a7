// Package limits holds a team to its rate and to its requests in flight. It
// does no I/O.
//
// A limit holds over a data centre: each live daemon there has an equal share
// of it. A daemon whose share is used up asks others to lend it what they do
// not use, for loanTerm. A loan only moves what is there, and the borrower
// counts its term from before it asked, so that loans never add up to more than
// the limit; a daemon that is cut off keeps its share.
//
// # Usage
//
//	l := limits.New()
//	retry, release, ok := l.Admit("quotes", team, daemons, now)
//	if !ok { l.Borrow("quotes", team, daemons, loan, asked) }   // loan := other.Lend(...)
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

const (
	// minRetry is the shortest time after which coming back is suggested.
	minRetry = 50 * clock.Millisecond
	// loanTerm is how long a loan lasts.
	loanTerm = 2 * clock.Second
	// askPause is the least time between two rounds of asking for one team.
	askPause = 100 * clock.Millisecond
	// usageWindow is the time over which a team's use is counted.
	usageWindow = clock.Second
	// reserveFactor is what a lender keeps for itself, times its use.
	reserveFactor = 1.25
)

// Limits holds all teams.
type Limits struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*team
}

// Loan is a part of one daemon's share that another may use.
type Loan struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// Tokens are requests that may come at once.
	Tokens int `json:"tokens"`
}

// heldLoan is a loan with its end.
type heldLoan struct {
	rate    float64
	untilMs clock.Millis
}

// team is one team's use in this daemon.
type team struct {
	limiter  *rate.Limiter
	rate     float64 // in force: the share, less what is lent, and what is borrowed
	burst    int
	inFlight int

	lent, borrowed []heldLoan
	extra          int // borrowed tokens
	extraUntilMs   clock.Millis
	askedMs        clock.Millis

	windowMs         clock.Millis
	count, lastCount int
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
	use.counted(now)
	if limit := share(t.MaxInFlight, max(1, daemons)); t.MaxInFlight > 0 && use.inFlight >= limit {
		return clock.Second, nil, false
	}
	if t.RequestsPerSecond > 0 && !use.takeExtra(now) {
		at := now.Time()
		reservation := use.limiter.ReserveN(at, 1)
		delay := reservation.DelayFrom(at)
		if !reservation.OK() || delay > 0 {
			reservation.CancelAt(at)
			return max(minRetry, min(clock.Second, clock.Millis(delay/time.Millisecond))), nil, false
		}
	}
	use.inFlight++
	return 0, func() { s.release(use) }, true
}

// ShouldBorrow tells whether a team's refusal is for its rate and it is time to ask
// other daemons for a loan.
func (l *Limits) ShouldBorrow(name string, t settings.Team, now clock.Millis) bool {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	use, ok := s.teams[name]
	if !ok || t.RequestsPerSecond <= 0 || now-use.askedMs < askPause {
		return false
	}
	use.askedMs = now
	return true
}

// Lend gives away what a team does not use here.
func (l *Limits) Lend(name string, t settings.Team, daemons int, now clock.Millis) Loan {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.RequestsPerSecond <= 0 {
		return Loan{}
	}
	use := s.team(name, t, max(1, daemons), now)
	use.window(now)
	var loan Loan
	if len(use.borrowed) == 0 {
		loan.Rate = max(0, use.rate-reserveFactor*float64(max(use.count, use.lastCount)))
	}
	loan.Tokens = int(use.limiter.TokensAt(now.Time()) / 2)
	if loan.Tokens > 0 && !use.limiter.AllowN(now.Time(), loan.Tokens) {
		loan.Tokens = 0
	}
	if loan.Rate > 0 {
		use.lent = append(use.lent, heldLoan{rate: loan.Rate, untilMs: now + loanTerm})
		s.team(name, t, max(1, daemons), now)
	}
	return loan
}

// Borrow takes a loan over that was asked for at a time.
func (l *Limits) Borrow(name string, t settings.Team, daemons int, loan Loan, asked clock.Millis) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.team(name, t, max(1, daemons), asked)
	use.extra += loan.Tokens
	use.extraUntilMs = asked + loanTerm
	if loan.Rate > 0 {
		use.borrowed = append(use.borrowed, heldLoan{rate: loan.Rate, untilMs: asked + loanTerm})
		s.team(name, t, max(1, daemons), asked)
	}
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

// team returns a team's use, its limiter set to the rate in force now.
func (s *shard) team(name string, t settings.Team, daemons int, now clock.Millis) *team {
	use, ok := s.teams[name]
	if !ok {
		use = &team{limiter: rate.NewLimiter(0, 0), rate: -1, windowMs: now}
		s.teams[name] = use
	}
	perDaemon, burst := t.RequestsPerSecond/float64(daemons), share(t.Burst, daemons)
	var lent, borrowed float64
	use.lent, lent = running(use.lent, now)
	use.borrowed, borrowed = running(use.borrowed, now)
	inForce := max(0, perDaemon-lent) + borrowed
	if use.rate != inForce || use.burst != burst {
		first := use.rate < 0
		use.rate, use.burst = inForce, burst
		use.limiter.SetLimitAt(now.Time(), rate.Limit(inForce))
		use.limiter.SetBurstAt(now.Time(), burst)
		if first {
			use.limiter = rate.NewLimiter(rate.Limit(inForce), burst)
		}
	}
	return use
}

// running drops the loans that have ended and adds up the others.
func running(loans []heldLoan, now clock.Millis) ([]heldLoan, float64) {
	total := 0.0
	rest := loans[:0]
	for _, loan := range loans {
		if loan.untilMs > now {
			total += loan.rate
			rest = append(rest, loan)
		}
	}
	return rest, total
}

func (use *team) takeExtra(now clock.Millis) bool {
	if use.extra == 0 || now >= use.extraUntilMs {
		use.extra = 0
		return false
	}
	use.extra--
	return true
}

// counted takes one more request into the use that a lender keeps back.
func (use *team) counted(now clock.Millis) {
	use.window(now)
	use.count++
}

func (use *team) window(now clock.Millis) {
	if now-use.windowMs < usageWindow {
		return
	}
	use.lastCount = use.count
	if now-use.windowMs >= 2*usageWindow {
		use.lastCount = 0
	}
	use.count, use.windowMs = 0, now
}

// share is one daemon's part of a whole number, rounded up.
func share(whole, daemons int) int { return (whole + daemons - 1) / daemons }
