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
	// lenders is the number of daemons that are asked for a loan at once.
	lenders = 4
	// lendTimeout is the longest wait for a loan.
	lendTimeout = 50 * clock.Millisecond
)

// admit holds the team to its limits; release must be called at the end. Where
// this daemon's share is used up, others are asked for what they do not use.
func (e *exchange) admit() (release func(), p *problem.Problem) {
	c := e.c
	now := c.common.Clock.Now()
	peers := c.Daemons.Live(c.common.Config.DataCentre)
	retry, release, ok := c.Limits.Admit(e.verdict.Team, e.team, len(peers), now)
	if !ok && c.Limits.ShouldBorrow(e.verdict.Team, e.team, now) && e.borrow(peers, now) {
		retry, release, ok = c.Limits.Admit(e.verdict.Team, e.team, len(peers), c.common.Clock.Now())
	}
	if !ok {
		return nil, problem.New(problem.TeamLimit, "team %q is at its limit in %s", e.verdict.Team, c.common.Config.DataCentre).RetryIn(retry)
	}
	return release, nil
}

// borrow asks a few other daemons of the data centre at once.
func (e *exchange) borrow(peers []string, asked clock.Millis) (lent bool) {
	c := e.c
	others := slices.DeleteFunc(slices.Clone(peers), func(n string) bool { return n == c.common.Config.Name })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	ctx, cancel := context.WithTimeout(e.r.Context(), lendTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	var asking sync.WaitGroup
	for _, name := range others[:min(lenders, len(others))] {
		asking.Go(func() {
			loan, err := c.Daemons.Lend(ctx, name, e.verdict.Team)
			if err != nil || loan.Rate <= 0 && loan.Tokens == 0 {
				return
			}
			metrics.Add("loans", 1)
			c.Limits.Borrow(e.verdict.Team, e.team, len(peers), loan, asked)
			mu.Lock()
			lent = true
			mu.Unlock()
		})
	}
	asking.Wait()
	return lent
}

// Lend gives away what a team does not use here.
func (c *Callers) Lend(req daemons.LendRequest) daemons.LendAnswer {
	tree := c.Configuration.Tree()
	if tree == nil {
		return daemons.LendAnswer{}
	}
	peers := len(c.Daemons.Live(c.common.Config.DataCentre))
	return c.Limits.Lend(req.Team, tree.Teams[req.Team], peers, c.common.Clock.Now())
}
