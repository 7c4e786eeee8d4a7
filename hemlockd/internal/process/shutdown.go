package process

import (
	"context"
	"errors"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
)

// shutdownRetryAfter is when a caller that is refused because of a shutdown should come back: another daemon can take the
// request at once.
const shutdownRetryAfter = 200 * clock.Millisecond

// ErrShutdown is the cause with which the contexts of requests end that are in flight at the end of a shutdown.
var ErrShutdown = errors.New("the daemon shuts down, and its time for requests in flight is over")

// Shutdown tells the parts of a daemon when it shuts down and how much time requests have then. A nil Shutdown never
// begins. It is safe for concurrent use.
type Shutdown struct {
	begun context.Context
	begin context.CancelFunc
	ended context.Context
	end   context.CancelCauseFunc
	endMs clock.Millis // set before begun is done
}

// NewShutdown returns a shutdown that has not begun.
func NewShutdown() *Shutdown {
	s := &Shutdown{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.ended, s.end = context.WithCancelCause(context.Background())
	return s
}

// Begin begins the shutdown; requests that are in flight at endMs are cut off. It must be called once.
func (s *Shutdown) Begin(endMs clock.Millis) {
	s.endMs = endMs
	s.begin()
}

// End ends the requests that are in flight.
func (s *Shutdown) End() { s.end(ErrShutdown) }

// Ended returns a context that ends with the cause ErrShutdown when the requests in flight are to end.
func (s *Shutdown) Ended() context.Context {
	if s == nil {
		return context.Background()
	}
	return s.ended
}

// WithEnd returns a copy of a request's context that also ends when the requests in flight are to end; cancel frees its
// resources.
func (s *Shutdown) WithEnd(parent context.Context) (ctx context.Context, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	stop := context.AfterFunc(s.Ended(), func() { cancelCause(ErrShutdown) })
	return ctx, func() {
		stop()
		cancelCause(nil)
	}
}

// HasEnded reports whether a request's context has ended because the daemon exits.
func HasEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrShutdown) }

// CutOff returns the problem of a request whose context has ended before it had an answer: that the daemon exits, or what
// is given.
func CutOff(ctx context.Context, otherwise *problem.Problem) *problem.Problem {
	if !HasEnded(ctx) {
		return otherwise
	}
	return problem.New(problem.DaemonLost, "the daemon shuts down, and its time for requests in flight is over").
		WithRan(otherwise.Ran).WithRetryAfter(shutdownRetryAfter)
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
