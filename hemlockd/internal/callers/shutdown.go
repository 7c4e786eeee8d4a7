package callers

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
)

// answerReserve is the time that an answer takes from its last byte's arrival until its caller has it: its verdict is
// copied to another daemon first.
const answerReserve = 250 * clock.Millisecond

// shutdownRefusal returns the refusal of a request that may take longer than the daemon has left because it shuts down, or
// nil.
func (e *exchange) shutdownRefusal(longest func() clock.Millis) *problem.Problem {
	now := e.c.env.Clock.Now()
	if _, begun := e.c.env.Shutdown.Left(now); !begun {
		return nil
	}
	p := e.c.env.Shutdown.Refusal(longest()+answerReserve, now)
	if p != nil {
		metrics.Add("shutdownRefused", 1)
	}
	return p
}

// leftMs returns the time that a daemon that runs the request has for it because this one shuts down, or 0.
func (e *exchange) leftMs() clock.Millis {
	left, begun := e.c.env.Shutdown.Left(e.c.env.Clock.Now())
	if !begun {
		return 0
	}
	return max(1, left-answerReserve)
}
