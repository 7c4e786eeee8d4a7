package app

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/intake"
)

const (
	// idleSilence is how long a kept connection may stay silent while its port drains.
	idleSilence = 100 * clock.Millisecond
	// newSilence is how long a connection that has had no request yet may stay silent
	// while its port drains.
	newSilence = 500 * clock.Millisecond
	// drainHeadTimeout bounds the time that the rest of a request's headers may take
	// while the port drains.
	drainHeadTimeout = 2 * clock.Second
	// lastLookTime is how long a connection is read once more after its silence has
	// lasted too long.
	lastLookTime = 20 * clock.Millisecond
)

// conn is a connection of a port. While the port drains, it bounds how long the
// connection may wait for a request. A request that has been sent within that time is
// read, even if this process is late in reading it.
type conn struct {
	*intake.Conn

	p        *port
	mu       sync.Mutex
	state    http.ConnState
	begun    bool      // a part of the next request's headers has been read
	draining bool      // the port is draining
	deadline time.Time // read deadline set by the server; zero: none
	limit    time.Time // read deadline set by the drain; zero: none
	// lingering is true from when the connection is closed with care until it is closed for good, lingered from then on.
	lingering, lingered bool
}

// Read implements [net.Conn].
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.allowLastLook() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.noteRead()
	}
	return n, err
}

// allowLastLook extends the drain's deadline for one more read, if it is this deadline
// that has passed. It may have passed while the process was not running, with the
// bytes of a request waiting in the kernel.
func (c *conn) allowLastLook() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.limit.IsZero() || now.Before(c.limit) {
		return false
	}
	c.limit = now.Add(lastLookTime.Duration())
	return c.applyDeadline() == nil
}

// noteRead notes that bytes have been read from the connection.
func (c *conn) noteRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsRequest() && !c.begun {
		c.begun = true
		c.updateLimit()
	}
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingered {
		return net.ErrClosed
	}
	c.deadline = t
	return c.applyDeadline()
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// setState notes the connection's state as the server sees it.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.begun = state, false
	c.updateLimit()
}

// drain begins to bound the time that the connection may wait for a request.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.updateLimit()
}

// hasRequest reports whether a request on the connection is in flight or being read.
func (c *conn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun || c.state == http.StateActive
}

func (c *conn) awaitsRequest() bool { return c.state == http.StateNew || c.state == http.StateIdle }

// updateLimit sets the drain's deadline for the connection's state. A connection with
// a request has none: its body may take as long as it takes.
func (c *conn) updateLimit() {
	if !c.draining || c.lingered {
		return
	}
	c.limit = time.Time{}
	if c.awaitsRequest() {
		c.limit = time.Now().Add(c.patience().Duration())
	}
	_ = c.applyDeadline() // fails only if the connection is closed
}

// patience is how long the connection may wait for its next request while it drains.
func (c *conn) patience() clock.Millis {
	switch {
	case c.begun:
		return drainHeadTimeout
	case c.state == http.StateNew:
		return newSilence
	}
	return idleSilence
}

// applyDeadline sets the earlier one of the two read deadlines.
func (c *conn) applyDeadline() error {
	t := c.deadline
	if !c.limit.IsZero() && (t.IsZero() || c.limit.Before(t)) {
		t = c.limit
	}
	return c.Conn.SetReadDeadline(t)
}
