package dispatch

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
)

const (
	// balancerTime is how long the balancer goes on sending connections to a daemon that is not ready.
	balancerTime = 2200 * clock.Millisecond
	// otherDaemonRetryAfter is the Retry-After of a request that another daemon can take at once, and also the range
	// of the random time added to it.
	otherDaemonRetryAfter = 100 * clock.Millisecond
)

// exitMargin is how long before the daemon's exit requests in flight are ended, so that
// their callers get an answer.
const exitMargin = 50 * clock.Millisecond

const (
	// uploadMargin is how long before the daemon's exit requests whose body has not come to its end are refused. It
	// is longer than exitMargin: their callers have to notice the answer while they send.
	uploadMargin = 300 * clock.Millisecond
	// lastReadTime is how long a body is read on then. Its end may wait in the kernel.
	lastReadTime = 20 * clock.Millisecond
)

// uploads tells when the reading of bodies ends.
type uploads struct {
	ended context.Context
	end   context.CancelFunc
}

func newUploads() *uploads {
	u := &uploads{}
	u.ended, u.end = context.WithCancel(context.Background())
	return u
}

// shutdown holds the times of the daemon's shutdown.
type shutdown struct{ beganMs, exitMs clock.Millis }

// Drain prepares for the daemon's exit at the time until: answers close the callers'
// connections, so that callers reconnect to other daemons, and requests that may take
// longer are refused.
// Requests in flight are ended exitMargin before that time, and those whose body is still being sent
// uploadMargin before it. It may be called again with another time, and returns false if they have been ended already.
func (d *Dispatcher) Drain(until clock.Millis) bool {
	now := d.opts.Clock.Now()
	s := &shutdown{beganMs: now, exitMs: until}
	d.drainMu.Lock()
	defer d.drainMu.Unlock()
	if before := d.shutdown.Load(); before != nil {
		s.beganMs = before.beganMs
		if !d.exitTimer.Stop() {
			return false
		}
		if !d.uploadsTimer.Stop() { // those that come from now on are read until the new time
			d.uploads.Store(newUploads())
		}
	}
	d.shutdown.Store(s)
	d.exitTimer = time.AfterFunc((until - exitMargin - now).Duration(), d.exit)
	d.uploadsTimer = time.AfterFunc((until - uploadMargin - now).Duration(), d.uploads.Load().end)
	return true
}

// draining reports whether the daemon is shutting down, and when it will exit.
func (d *Dispatcher) draining() (until clock.Millis, draining bool) {
	s := d.shutdown.Load()
	if s == nil {
		return 0, false
	}
	return s.exitMs, true
}

// refuseTooLong refuses the request if the daemon is shutting down and the request may take longer than is left, unless an
// upstream may have begun it: what has been accepted is continued. needed returns how long it may take; without it, or if
// that is not known, it is as long as its own limit allows. It returns true if it has refused.
func (x *exchange) refuseTooLong(needed func() (clock.Millis, bool)) bool {
	until, draining := x.d.draining()
	if !draining || x.answered || x.outcome != calls.NotRun {
		return false
	}
	x.neededMs = x.dueMs() - x.now() // it ends then, shutdown or not
	if ms, known := needed(); known {
		x.neededMs = min(x.neededMs, ms)
	}
	x.leftMs = until - exitMargin - x.now()
	if x.neededMs <= x.leftMs {
		return false
	}
	x.respondError(http.StatusServiceUnavailable, reasonShutdown, x.d.shutdownRetryAfter())
	return true
}

// refuseAtShutdown refuses the stream if the daemon is shutting down and can't finish it. It returns true if it has
// refused.
func (m *modelRun) refuseAtShutdown() bool { return m.refuseTooLong(m.neededTime) }

// neededTime returns how long the stream may take, or false if that is not known.
func (m *modelRun) neededTime() (clock.Millis, bool) {
	if m.d.callersHaveNoOther() {
		return m.d.opts.View.ExpectedDuration(m.run, m.now())
	}
	if m.call.Prompt.MaxOutputTokens == 0 { // not given
		return 0, false
	}
	return m.d.opts.View.LongestDuration(m.run, m.now())
}

// refuseAtShutdown refuses the call if the daemon is shutting down and may not have its answer by the exit. It returns true
// if it has refused.
func (r *plainRun) refuseAtShutdown() bool { return r.refuseTooLong(r.neededTime) }

// neededTime returns how long the call may take, or false if only its own limit tells. While it has to be taken at a risk,
// that is the time in which it should be answered.
func (r *plainRun) neededTime() (clock.Millis, bool) {
	return r.route.TargetLatencyMs, r.route.TargetLatencyMs > 0 && r.d.callersHaveNoOther()
}

// callersHaveNoOther reports whether callers can't know of the shutdown yet and most other daemons of the data centre can't
// take them either. As long as that is so, the expected time of a request counts, not the longest: a refusal would cost
// callers more than the risk to be cut off.
func (d *Dispatcher) callersHaveNoOther() bool {
	return d.opts.Clock.Now() < d.shutdown.Load().beganMs+balancerTime && !d.othersServe()
}

// othersServe reports whether more of the other daemons of the data centre serve than shut down.
func (d *Dispatcher) othersServe() bool {
	serving, leaving := d.opts.Peers.DaemonsIn(d.opts.DataCentre)
	return serving > leaving
}

// shutdownRetryAfter returns when a caller that is refused because of the shutdown should come back: soon if most daemons
// of the data centre serve, otherwise once the balancer no longer sends it here.
func (d *Dispatcher) shutdownRetryAfter() clock.Millis {
	soon := otherDaemonRetryAfter + jitter(otherDaemonRetryAfter)
	if d.othersServe() {
		return soon
	}
	return max(0, d.shutdown.Load().beganMs+balancerTime-d.opts.Clock.Now()) + soon
}

// noteShutdown returns the fields of a request's log line that say how it met the daemon's shutdown,
// and counts it if the shutdown has cut it off.
func (x *exchange) noteShutdown() []zap.Field {
	s := x.d.shutdown.Load()
	if s == nil {
		return nil
	}
	sinceMs := x.arrivedMs - s.beganMs
	fields := []zap.Field{zap.Int64("afterStopMs", int64(sinceMs))}
	if x.neededMs > 0 {
		fields = append(fields, zap.Int64("neededMs", int64(x.neededMs)), zap.Int64("leftMs", int64(x.leftMs)))
	}
	switch {
	case x.reason == reasonShutdown:
		metrics.Add("shutdownRefused", 1)
	case x.reason == reasonStreamCut && x.cutByShutdown() && sinceMs < 0:
		metrics.Add("shutdownCutBefore", 1)
	case x.reason == reasonStreamCut && x.cutByShutdown():
		metrics.Add("shutdownCutAfter", 1)
	case x.neededMs > 0:
		metrics.Add("shutdownAdmitted", 1)
	}
	return fields
}

// cutByShutdown reports whether the time for requests in flight is over because the daemon exits, before the
// request's own.
func (x *exchange) cutByShutdown() bool {
	until, draining := x.d.draining()
	return draining && x.now() >= until-exitMargin && x.now() < x.dueMs()
}
