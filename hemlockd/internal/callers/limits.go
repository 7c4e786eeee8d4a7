package callers

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/daemons"
)

const (
	// maxLenders is the maximum number of daemons that are asked for a loan at once.
	maxLenders = 4
	// loanTimeout bounds the wait for loans.
	loanTimeout = 50 * clock.Millisecond
)

// admit enforces the team's limits; release must be called when the request ends. If
// this daemon's share of the limits is used up, other daemons are asked to lend unused
// capacity.
func (e *exchange) admit() (release func(), p *problem.Problem) {
	c := e.c
	now := c.env.Clock.Now()
	peers := c.Daemons.Live(c.env.Config.DataCentre)
	retry, release, ok := c.Limits.Admit(e.verdict.Team, e.team, len(peers), now)
	if !ok && c.Limits.ShouldBorrow(e.verdict.Team, e.team, now) && e.borrow(peers, now) {
		retry, release, ok = c.Limits.Admit(e.verdict.Team, e.team, len(peers), c.env.Clock.Now())
	}
	if !ok {
		return nil, problem.New(problem.TeamLimit, "team %q has reached its limit in %s", e.verdict.Team, c.env.Config.DataCentre).WithRetryAfter(retry)
	}
	return release, nil
}

// borrow asks a few random daemons of the data centre for loans, concurrently, and
// reports whether any was granted. askedMs is the time of the request.
func (e *exchange) borrow(peers []string, askedMs clock.Millis) (lent bool) {
	c := e.c
	others := slices.DeleteFunc(slices.Clone(peers), func(n string) bool { return n == c.env.Config.Name })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	ctx, cancel := context.WithTimeout(e.r.Context(), loanTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, name := range others[:min(maxLenders, len(others))] {
		asking.Go(func() {
			loan, err := c.Daemons.Lend(ctx, name, e.verdict.Team)
			if err != nil || loan.Rate <= 0 && loan.Tokens == 0 {
				return
			}
			metrics.Add("loans", 1)
			c.Limits.Borrow(e.verdict.Team, e.team, len(peers), loan, askedMs)
			mu.Lock()
			lent = true
			mu.Unlock()
		})
	}
	asking.Wait()
	return lent
}

// Lend lends another daemon the capacity that a team does not use here.
func (c *Callers) Lend(req daemons.LendRequest) daemons.LendAnswer {
	tree := c.Configuration.Tree()
	if tree == nil {
		return daemons.LendAnswer{}
	}
	peers := len(c.Daemons.Live(c.env.Config.DataCentre))
	return c.Limits.Lend(req.Team, tree.Teams[req.Team], peers, c.env.Clock.Now())
}
