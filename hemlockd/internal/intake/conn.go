package intake

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hemlockmux.example/common/clock"
)

const (
	// headSlackBytes is added to the limit of a head: the last read of a head may bring as much of what follows.
	headSlackBytes = 4 << 10
	// lastLookTime is how long a connection is read once more after the time for a head is over: it may have passed
	// while the process was not running.
	lastLookTime = 20 * clock.Millisecond
	// refusalWriteTime and refusalReadTime bound the time for sending a refusal, and for discarding what the client
	// goes on to send: with unread bytes the kernel would reset the connection, and the refusal with it.
	refusalWriteTime, refusalReadTime = 100 * clock.Millisecond, 500 * clock.Millisecond
	// writePartBytes is the size of the parts in which an answer must make progress.
	writePartBytes = 16 << 10
	// receiveBufferBytes is the size of the kernel's buffer of what a client sends. Without it a client that sends ahead
	// can fill some megabytes.
	receiveBufferBytes = 64 << 10
)

// refusal is a reason to refuse a request before it is handled.
type refusal struct {
	status  int
	counter string // the name of its counter
}

var (
	refusalNoPlace  = refusal{http.StatusServiceUnavailable, "connectionsRefused"}
	refusalNoMemory = refusal{http.StatusServiceUnavailable, "headsRefused"}
	refusalUnread   = refusal{counter: "answersUnread"} // the answer is given up
	refusalTooLarge = refusal{http.StatusRequestHeaderFieldsTooLarge, "headsTooLarge"}
)

// errRefused is the error of reading from a connection whose request was refused. net/http sends no answer of its
// own after it.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

// Conn is a connection under guard. It implements [net.Conn].
type Conn struct {
	net.Conn
	guard   *Guard
	account *Account
	place   *list.Element // among the idle ones; guarded by guard.mu

	mu sync.Mutex
	// waiting is set while the connection waits for a request or reads its head.
	waiting bool
	// begun is set once a part of the head has come.
	begun   bool
	refused bool
	closing bool  // Close has been called
	heads   Heads // in force for the head that is being read
	// headBytes and headLines have been read of it.
	headBytes, headLines int
	// readDeadline is what the user of the connection has set, headDeadline that for the head; zero: none.
	readDeadline, headDeadline time.Time

	writeMu       sync.Mutex
	writeDeadline time.Time // what the user of the connection has set
}

// ControlSocket limits the kernel's buffer of what a socket receives. What is sent is not limited: a daemon that shuts
// down leaves the rest of its answers to the kernel. It is for [net.ListenConfig].
func ControlSocket(_, _ string, raw syscall.RawConn) error {
	// A system that does not allow it has limits of its own.
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

// Context adds the connection's account to a context, see [Of].
func (c *Conn) Context(ctx context.Context) context.Context {
	return context.WithValue(ctx, accountKey{}, c.account)
}

// SetState tells the connection's state as the server sees it.
func (c *Conn) SetState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.waitLocked(state)
	case http.StateActive:
		// The whole head may have come with the request before. If there is no place for it, the handler refuses it.
		c.waiting = false
		c.setHeadDeadlineLocked(time.Time{})
		c.guard.noteIdle(c, false)
		c.beginLocked()
	case http.StateHijacked, http.StateClosed:
		c.waiting = false
		c.guard.noteIdle(c, false)
		c.account.endRequest()
	}
}

// waitLocked notes that the connection waits for a request. What the last one has taken is returned.
func (c *Conn) waitLocked(state http.ConnState) {
	if state == http.StateNew && c.waiting {
		return
	}
	c.account.endRequest()
	c.waiting, c.begun, c.headBytes, c.headLines = true, false, 0, 0
	c.guard.noteIdle(c, true)
}

// Read implements [net.Conn].
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.allowLastLook() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		if why, ok := c.admit(b[:n]); !ok {
			c.guard.refuse(c, why)
			return 0, errRefused
		}
	}
	return n, err
}

// allowLastLook extends the time for a head for one more read, if it is this time that is over.
func (c *Conn) allowLastLook() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.headDeadline.IsZero() || now.Before(c.headDeadline) || !c.readDeadline.IsZero() && !now.Before(c.readDeadline) {
		return false
	}
	metrics.Add("headsLate", 1)
	c.setHeadDeadlineLocked(now.Add(lastLookTime.Duration()))
	return true
}

// admit counts what has been read of a head. It returns false if the request is to be refused.
func (c *Conn) admit(read []byte) (refusal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return refusal{}, false
	}
	if !c.waiting {
		return refusal{}, true
	}
	if !c.begun {
		c.begun = true
		c.guard.noteIdle(c, false)
		c.heads = c.guard.o.Heads()
		if c.heads.TimeoutMs > 0 {
			c.setHeadDeadlineLocked(time.Now().Add(c.heads.TimeoutMs.Duration()))
		}
		c.beginLocked() // without a place, the handler refuses a request whose head is not large
	}
	c.headBytes += len(read)
	c.headLines += bytes.Count(read, []byte{'\n'})
	if c.headBytes > c.heads.MaxBytes+headSlackBytes {
		return refusalTooLarge, false
	}
	cost := costOfHead(c.headBytes, c.headLines)
	if !c.account.takeHead(cost) && cost > usualHeadBytes {
		return refusalNoMemory, false
	}
	return refusal{}, true
}

// beginLocked takes the place of a request, if there is one. Connections that wait give way.
func (c *Conn) beginLocked() {
	for c.account.begin() == errFull && c.guard.closeIdle() {
	}
}

// refuse sends the client of a connection that no answer is being sent to why its request is refused.
func (g *Guard) refuse(c *Conn, why refusal) {
	c.mu.Lock()
	first := !c.refused
	c.refused = true
	c.mu.Unlock()
	if !first {
		return
	}
	g.note(why, c.RemoteAddr().String())
	retry := ""
	if why.status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + g.retryAfter() + "\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime.Duration()))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", why.status, http.StatusText(why.status), retry)
}

// evict closes a connection that waits for a request.
func (c *Conn) evict() {
	c.account.close()
	_ = c.Conn.Close() // whoever reads it closes it once more
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.mu.Lock()
	discards := c.refused && !c.closing && c.guard.o.Budget.calm()
	c.closing = true
	c.mu.Unlock()
	if discards {
		c.discard()
	}
	c.guard.noteIdle(c, false)
	err := c.Conn.Close()
	c.account.close()
	return err
}

// discard reads what the client of a refused request goes on to send, so that it gets the refusal. It keeps the place of
// the connection meanwhile, so that it is for calm only.
func (c *Conn) discard() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(refusalReadTime.Duration())) != nil {
		return
	}
	buffer := make([]byte, headSlackBytes)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}

// Write implements [net.Conn]. It fails if a part makes no progress for the guard's UnreadAnswerMs.
func (c *Conn) Write(b []byte) (written int, err error) {
	for {
		part := b[written:min(len(b), written+writePartBytes)]
		own := time.Now().Add(c.guard.o.UnreadAnswerMs.Duration())
		if err := c.limitWrite(own); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(own) {
			c.guard.note(refusalUnread, c.RemoteAddr().String())
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// limitWrite sets the deadline of the next write.
func (c *Conn) limitWrite(own time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.Conn.SetWriteDeadline(earlier(own, c.writeDeadline))
}

// SetWriteDeadline implements [net.Conn].
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements [net.Conn].
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(earlier(t, c.headDeadline))
}

func (c *Conn) setHeadDeadlineLocked(t time.Time) {
	if c.headDeadline.IsZero() && t.IsZero() {
		return
	}
	c.headDeadline = t
	_ = c.Conn.SetReadDeadline(earlier(c.readDeadline, t)) // fails only if the connection is closed
}

// earlier returns the earlier of two deadlines, of which zero is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// CloseWrite closes the sending side, for net/http, which does so to let clients read an answer that they got
// before they had sent all of their request.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements [syscall.Conn].
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
