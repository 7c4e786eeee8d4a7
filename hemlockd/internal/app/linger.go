package app

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"hemlockmux.example/common/clock"
)

const (
	// lingerInterval is the interval at which a lingering connection is checked.
	lingerInterval = 20 * clock.Millisecond
	// lingerChecks is the number of such intervals without bytes from a caller that has all of its answer, after
	// which a connection is closed.
	lingerChecks = 2
	// lingerTime bounds the time for which a caller that has all of its answer may go on sending.
	lingerTime = 500 * clock.Millisecond
	// lingerBufferBytes is the size of the buffer for the bytes that are discarded.
	lingerBufferBytes = 4 << 10
)

// Close implements [net.Conn]. While the port is stopping, answers tell callers that their connections are closed, and
// callers may have sent more by then. The kernel resets a connection that is closed with unread bytes, and drops what it
// has not delivered yet. So the sending side is closed first, and what comes is discarded until the caller closes its side
// or has received all and is silent. A request that crosses the close of an idle connection is not read: its caller can
// tell that it has not run.
func (c *conn) Close() error {
	if !c.p.stopping.Load() || c.isIdle() && c.allReceived() {
		return c.Conn.Close()
	}
	if !c.startLinger() {
		return nil
	}
	if c.CloseWrite() != nil { // the connection is broken
		return c.endLinger()
	}
	go c.linger()
	return nil
}

// startLinger marks the connection as lingering. It returns false if it has been.
func (c *conn) startLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.lingered
	c.lingering, c.lingered = c.lingering || first, true
	return first
}

// isIdle reports whether the connection has no request.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitsRequest() && !c.begun
}

func (c *conn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// endLinger closes the connection for good.
func (c *conn) endLinger() error {
	c.mu.Lock()
	c.lingering = false
	c.mu.Unlock()
	err := c.Conn.Close()
	c.p.forget(c)
	return err
}

// linger discards what the caller sends.
func (c *conn) linger() {
	defer func() { _ = c.endLinger() }()
	discarded := make([]byte, lingerBufferBytes)
	var received time.Time // when the caller was first seen to have all of its answer
	for checks := 0; checks < lingerChecks; {
		now := time.Now()
		if c.Conn.SetReadDeadline(now.Add(lingerInterval.Duration())) != nil {
			return
		}
		_, err := c.Conn.Read(discarded)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		switch {
		case !c.allReceived():
			continue
		case received.IsZero():
			received = now
		case now.Sub(received) > lingerTime.Duration():
			return
		}
		if err != nil {
			checks++
		}
	}
}

// allReceived reports whether the caller's kernel has acknowledged all bytes sent, or that is not known.
func (c *conn) allReceived() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	unacknowledged := 0
	if controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); controlErr != nil || err != nil {
		return true
	}
	return unacknowledged == 0
}
