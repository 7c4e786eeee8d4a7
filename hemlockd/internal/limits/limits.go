// Package limits enforces each team's request rate and its maximum number of requests in flight. It
// does no I/O.
//
// A limit applies to a data centre: each live daemon there has an equal share of it. A daemon that
// has used up its share asks others to lend it their unused share for loanDuration. A loan is taken
// from the lender's share, and the borrower's copy of it expires no later than the lender's, because
// the borrower counts from before it asked. Loans therefore never add up to more than the limit. A
// daemon that is partitioned from the others keeps its share.
//
// # Usage
//
//	l := limits.New()
//	retry, release, ok := l.Admit("quotes", team, daemons, now)
//	if !ok && l.ShouldBorrow("quotes", team, now) {
//		l.Borrow("quotes", team, daemons, loan, asked) // loan := other.Lend(...)
//		retry, release, ok = l.Admit("quotes", team, daemons, now)
//	}
//	if ok { defer release() }
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// shards is the number of independently locked shards that teams are distributed over by name.
const shards = 16

const (
	// minRetry is the shortest retry time that is returned for a refusal by rate.
	minRetry = 50 * clock.Millisecond
	// loanDuration is how long a loan lasts.
	loanDuration = 2 * clock.Second
	// borrowInterval is the minimum time between two rounds of loan requests for one team.
	borrowInterval = 100 * clock.Millisecond
	// usageWindow is the window over which a team's requests are counted.
	usageWindow = clock.Second
	// lenderReserve is the rate that a lender keeps for itself, as a multiple of its own usage.
	lenderReserve = 1.25
)

// Limits holds the usage of all teams in this daemon. It is safe for concurrent use.
type Limits struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	teams map[string]*usage
}

// Loan is a part of one daemon's share that another may use.
type Loan struct {
	// Rate is the lent request rate, in requests per second.
	Rate float64 `json:"rate"`
	// Tokens is the number of requests that the borrower may admit in addition, as a burst.
	Tokens int `json:"tokens"`
}

// activeLoan is the rate of a loan, in requests per second, with its expiry.
type activeLoan struct {
	rate    float64
	untilMs clock.Millis
}

// usage is one team's usage in this daemon.
type usage struct {
	limiter  *rate.Limiter
	rate     float64 // effective, in requests per second: the share minus lent plus borrowed
	burst    int
	inFlight int

	lent, borrowed        []activeLoan
	borrowedTokens        int
	borrowedTokensUntilMs clock.Millis
	lastAskedMs           clock.Millis // start of the last round of loan requests

	windowStartMs    clock.Millis
	count, lastCount int // requests in the current and in the previous window
}

// New returns limits without any usage.
func New() *Limits {
	l := &Limits{}
	for i := range l.shards {
		l.shards[i].teams = map[string]*usage{}
	}
	return l
}

// Admit counts one request of a team and reports whether it is within this daemon's share of the
// limits, which is equal for the given number of daemons. If it is refused, retry is the suggested
// wait before a retry; otherwise release must be called at the end of the request.
func (l *Limits) Admit(name string, t settings.Team, daemons int, now clock.Millis) (retry clock.Millis, release func(), ok bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(name, t, max(1, daemons), now)
	u.countRequest(now)
	if limit := share(t.MaxInFlight, max(1, daemons)); t.MaxInFlight > 0 && u.inFlight >= limit {
		return clock.Second, nil, false
	}
	if t.RequestsPerSecond > 0 && !u.takeBorrowedToken(now) {
		at := now.Time()
		reservation := u.limiter.ReserveN(at, 1)
		delay := reservation.DelayFrom(at)
		if !reservation.OK() || delay > 0 {
			reservation.CancelAt(at)
			return max(minRetry, min(clock.Second, clock.Millis(delay/time.Millisecond))), nil, false
		}
	}
	u.inFlight++
	return 0, func() { s.release(u) }, true
}

// ShouldBorrow reports whether to ask other daemons for a loan after a refusal: the team must have a
// rate limit, and the last round of loan requests must be borrowInterval ago. If so, it counts as the
// start of a round.
func (l *Limits) ShouldBorrow(name string, t settings.Team, now clock.Millis) bool {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.teams[name]
	if !ok || t.RequestsPerSecond <= 0 || now-u.lastAskedMs < borrowInterval {
		return false
	}
	u.lastAskedMs = now
	return true
}

// Lend returns a loan of the share that a team does not use here, and subtracts it from that share.
// A daemon that has borrowed a rate itself lends none.
func (l *Limits) Lend(name string, t settings.Team, daemons int, now clock.Millis) Loan {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.RequestsPerSecond <= 0 {
		return Loan{}
	}
	u := s.usage(name, t, max(1, daemons), now)
	u.advanceWindow(now)
	var loan Loan
	if len(u.borrowed) == 0 {
		loan.Rate = max(0, u.rate-lenderReserve*float64(max(u.count, u.lastCount)))
	}
	loan.Tokens = int(u.limiter.TokensAt(now.Time()) / 2)
	if loan.Tokens > 0 && !u.limiter.AllowN(now.Time(), loan.Tokens) {
		loan.Tokens = 0
	}
	if loan.Rate > 0 {
		u.lent = append(u.lent, activeLoan{rate: loan.Rate, untilMs: now + loanDuration})
		s.usage(name, t, max(1, daemons), now)
	}
	return loan
}

// Borrow adds a loan to the share. asked is the time at which the loan was requested; it expires
// loanDuration later.
func (l *Limits) Borrow(name string, t settings.Team, daemons int, loan Loan, asked clock.Millis) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(name, t, max(1, daemons), asked)
	u.borrowedTokens += loan.Tokens
	u.borrowedTokensUntilMs = asked + loanDuration
	if loan.Rate > 0 {
		u.borrowed = append(u.borrowed, activeLoan{rate: loan.Rate, untilMs: asked + loanDuration})
		s.usage(name, t, max(1, daemons), asked)
	}
}

func (s *shard) release(u *usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.inFlight--
}

// InFlight returns a team's requests in flight in this daemon.
func (l *Limits) InFlight(name string) int {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.teams[name]; ok {
		return u.inFlight
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

// usage returns a team's usage, with its limiter set to the effective rate at now.
func (s *shard) usage(name string, t settings.Team, daemons int, now clock.Millis) *usage {
	u, ok := s.teams[name]
	if !ok {
		u = &usage{limiter: rate.NewLimiter(0, 0), rate: -1, windowStartMs: now}
		s.teams[name] = u
	}
	perDaemon, burst := t.RequestsPerSecond/float64(daemons), share(t.Burst, daemons)
	var lent, borrowed float64
	u.lent, lent = pruneLoans(u.lent, now)
	u.borrowed, borrowed = pruneLoans(u.borrowed, now)
	effective := max(0, perDaemon-lent) + borrowed
	if u.rate != effective || u.burst != burst {
		first := u.rate < 0
		u.rate, u.burst = effective, burst
		u.limiter.SetLimitAt(now.Time(), rate.Limit(effective))
		u.limiter.SetBurstAt(now.Time(), burst)
		if first {
			u.limiter = rate.NewLimiter(rate.Limit(effective), burst)
		}
	}
	return u
}

// pruneLoans drops expired loans and returns the others with the sum of their rates.
func pruneLoans(loans []activeLoan, now clock.Millis) ([]activeLoan, float64) {
	total := 0.0
	active := loans[:0]
	for _, loan := range loans {
		if loan.untilMs > now {
			total += loan.rate
			active = append(active, loan)
		}
	}
	return active, total
}

func (u *usage) takeBorrowedToken(now clock.Millis) bool {
	if u.borrowedTokens == 0 || now >= u.borrowedTokensUntilMs {
		u.borrowedTokens = 0
		return false
	}
	u.borrowedTokens--
	return true
}

// countRequest counts a request, refused ones included, in the usage that Lend keeps for itself.
func (u *usage) countRequest(now clock.Millis) {
	u.advanceWindow(now)
	u.count++
}

func (u *usage) advanceWindow(now clock.Millis) {
	if now-u.windowStartMs < usageWindow {
		return
	}
	u.lastCount = u.count
	if now-u.windowStartMs >= 2*usageWindow {
		u.lastCount = 0
	}
	u.count, u.windowStartMs = 0, now
}

// share returns one daemon's part of total, rounded up.
func share(total, daemons int) int { return (total + daemons - 1) / daemons }
