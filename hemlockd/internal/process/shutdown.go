package process

import (
	"context"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
)

// shutdownRetryAfter is when a caller that is refused because of a shutdown should come back: another daemon can take the
// request at once.
const shutdownRetryAfter = 200 * clock.Millisecond

// Shutdown tells the parts of a daemon when it shuts down and how much time requests have then. A nil Shutdown never
// begins. It is safe for concurrent use.
type Shutdown struct {
	begun context.Context
	begin context.CancelFunc
	endMs clock.Millis // set before begun is done
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown {
	s := &Shutdown{}
	s.begun, s.begin = context.WithCancel(context.Background())
	return s
}

// Begin begins the shutdown; requests that are in flight at endMs are cut off. It must be called once.
func (s *Shutdown) Begin(endMs clock.Millis) {
	s.endMs = endMs
	s.begin()
}

// Left returns the time left for requests if the shutdown has begun; it is negative after their end.
func (s *Shutdown) Left(now clock.Millis) (left clock.Millis, begun bool) {
	if s == nil || s.begun.Err() == nil {
		return 0, false
	}
	return s.endMs - now, true
}

// Refusal returns the refusal of a request that may take that long from now on, if the shutdown leaves it less time.
func (s *Shutdown) Refusal(needed, now clock.Millis) *problem.Problem {
	left, begun := s.Left(now)
	if !begun || needed <= left {
		return nil
	}
	return ShutdownProblem(needed, left)
}

// ShutdownProblem returns the problem of a request that was not run because it may take longer than a daemon that shuts down
// has left.
func ShutdownProblem(needed, left clock.Millis) *problem.Problem {
	return problem.New(problem.NotReady, "a daemon shuts down; the request may take %d ms and %d ms are left", needed, max(0, left)).
		WithRetryAfter(shutdownRetryAfter)
}

// AfterBegin calls f in a goroutine of its own once the shutdown has begun, unless stop is called before.
func (s *Shutdown) AfterBegin(f func()) (stop func() bool) {
	if s == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.begun, f)
}
