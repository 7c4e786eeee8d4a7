package dispatch

import (
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
)

// exitMargin is how long before the daemon's exit requests in flight are ended, so that
// their callers get an answer.
const exitMargin = 50 * clock.Millisecond

// shutdown holds the times of the daemon's shutdown.
type shutdown struct{ beganMs, exitMs clock.Millis }

// Drain prepares for the daemon's exit at the time until: answers close the callers'
// connections, so that callers reconnect to other daemons, and streams that are
// expected to take longer are refused.
// Requests in flight are ended exitMargin before that time.
func (d *Dispatcher) Drain(until clock.Millis) {
	now := d.opts.Clock.Now()
	d.shutdown.Store(&shutdown{beganMs: now, exitMs: until})
	time.AfterFunc((until - exitMargin - now).Duration(), d.exit)
}

// draining reports whether the daemon is shutting down, and when it will exit.
func (d *Dispatcher) draining() (until clock.Millis, draining bool) {
	s := d.shutdown.Load()
	if s == nil {
		return 0, false
	}
	return s.exitMs, true
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
	case x.reason == reasonStreamCut && x.d.exiting.Err() != nil && sinceMs < 0:
		metrics.Add("shutdownCutBefore", 1)
	case x.reason == reasonStreamCut && x.d.exiting.Err() != nil:
		metrics.Add("shutdownCutAfter", 1)
	case x.neededMs > 0:
		metrics.Add("shutdownAdmitted", 1)
	}
	return fields
}
