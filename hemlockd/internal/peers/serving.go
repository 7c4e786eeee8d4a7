package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
)

const (
	// DefaultLinkMbps is the rate of a daemon's link if its settings do not give it, in Mbit/s.
	DefaultLinkMbps = 100
	// serviceShare is the share of the link that snapshots for other daemons may take. The
	// rest is for callers' requests.
	serviceShare = 0.5
	// serviceSpan is the time that the snapshots that are sent at once may take together.
	serviceSpan = 300 * clock.Millisecond
	// maxServedBytes limits the snapshots that are sent at once, whatever the link.
	maxServedBytes = 2 << 20
	// smallSnapshotBytes is the size up to which a snapshot is always sent.
	smallSnapshotBytes = 16 << 10
	// paceBytes is the size of the parts in which a snapshot takes its turns on the link.
	paceBytes = 8 << 10
	// minBusyRetry is the shortest time after which a busy daemon asks callers to come back.
	minBusyRetry = 50 * clock.Millisecond
	// DefaultMaxCalls is the number of connections for calls that are served at once if the options do not give it.
	DefaultMaxCalls = 256
	// maxRequestBytes limits what a connection may send: requests for a snapshot or from an operator, which are short.
	maxRequestBytes = 64 << 10
	// maxAnswerBytes limits what is received of a snapshot.
	maxAnswerBytes = 64 << 20
	// maxCallTime limits a call between daemons as a whole.
	maxCallTime = 5 * clock.Second
	// callIdleTimeout limits the time without progress within a call.
	callIdleTimeout = clock.Second
)

// BusyError reports that a daemon sends as many snapshots as it may at once.
type BusyError struct {
	// RetryMs is the time after which it expects to send others.
	RetryMs clock.Millis `json:"retryMs"`
}

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("busy; retry after %d ms", e.RetryMs) }

// serving bounds what a daemon sends of its snapshots: the bytes that are sent at once, and
// their rate.
type serving struct {
	limit int // bytes
	pace  *rate.Limiter

	mu    sync.Mutex
	bytes int // of the snapshots that are being sent
}

// newServing returns the bounds of a daemon with a link of a rate in Mbit/s.
func newServing(linkMbps float64) *serving {
	if linkMbps <= 0 {
		linkMbps = DefaultLinkMbps
	}
	bytesPerSecond := serviceShare * linkMbps * 1e6 / 8
	limit := bytesPerSecond * float64(serviceSpan) / float64(clock.Second)
	return &serving{limit: int(min(maxServedBytes, limit)), pace: rate.NewLimiter(rate.Limit(bytesPerSecond), paceBytes)}
}

// begin admits a snapshot of a number of bytes, to be sent until the returned function is
// called, or returns a *BusyError. One that is larger than the limit is sent alone.
func (s *serving) begin(n int) (end func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bytes > 0 && s.bytes+n > s.limit && n > smallSnapshotBytes {
		left := clock.Millis(float64(s.bytes) / float64(s.pace.Limit()) * float64(clock.Second))
		return nil, &BusyError{RetryMs: max(minBusyRetry, left)}
	}
	s.bytes += n
	return func() { s.finish(n) }, nil
}

func (s *serving) finish(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= n
}

// pacedConn is the serving end of a call. It is closed when nothing passes for
// callIdleTimeout, and what it sends keeps to the pace.
type pacedConn struct {
	net.Conn
	ctx      context.Context
	pace     *rate.Limiter
	received int // bytes; used by the only reader
}

// errTooLong reports a request or an answer of another daemon that is longer than any can be.
var errTooLong = errors.New("more bytes than any message has")

// Read implements [net.Conn].
func (c *pacedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.received += n; c.received > maxRequestBytes {
		metrics.Add("callsTooLong", 1)
		return 0, errTooLong
	}
	if n > 0 {
		_ = c.SetDeadline(time.Now().Add(callIdleTimeout.Duration()))
	}
	return n, err
}

// Write implements [net.Conn].
func (c *pacedConn) Write(b []byte) (written int, err error) {
	for written < len(b) {
		part := b[written:min(len(b), written+paceBytes)]
		if err := c.pace.WaitN(c.ctx, len(part)); err != nil {
			return written, err
		}
		_ = c.SetDeadline(time.Now().Add(callIdleTimeout.Duration()))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
