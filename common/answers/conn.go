package answers

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
)

// writeEndTime is how long a write that has met a reset may take to return, also in a process with a small share of a
// core.
const writeEndTime = clock.Second

// newConn returns a connection to a server.
func newConn(inner net.Conn) *conn { return &conn{Conn: inner, writing: make(chan struct{}, 1)} }

// conn is a connection to a server.
type conn struct {
	net.Conn

	// writing holds an element during a write, so that a read that has found the end of the connection knows how the write
	// has ended. writeErr is the error of a write that has failed.
	writing  chan struct{}
	writeErr error

	headMu sync.Mutex
	head   headCounter
}

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements [net.Conn]. The kernel tells just one call of a reset. If that was a write, a read finds the connection
// ended as if it had ended in order.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if writeErr := c.failedWrite(); writeErr != nil {
			metrics.Add("resets", 1)
			return n, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: fmt.Errorf("connection lost while the request was written: %w", writeErr)}
		}
	}
	if n > 0 {
		if err := c.countHead(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// failedWrite returns the error of a write that has failed. It waits for one that is under way, unless that goes on for
// long: a write that has met a reset returns at once, and one that waits for a server that does not read has met none.
func (c *conn) failedWrite() error {
	timer := time.NewTimer(writeEndTime.Duration())
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		return c.writeErr
	case <-timer.C:
		return nil
	}
}

// beginHead is called before a request is written.
func (c *conn) beginHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = headCounter{}
}

func (c *conn) countHead(read []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.count(read)
}

// headCounter counts the head of an answer as it arrives: net/http allocates for each line, however short.
type headCounter struct {
	// counted is the sum of the lines, each counted as lineBytes at least.
	counted int
	// lines is the number of lines of the current head, of the answer or of an interim answer before it.
	lines int
	// line is the number of bytes of the current line, and begin its first ones.
	line  int
	begin [len("HTTP/1.1 1")]byte
	// interim is set in the head of an interim answer, another head follows it. done is set after the end of the last.
	interim, done bool
}

// count counts bytes. It returns a *MalformedError if the head is too long, or if a line is a continuation of the one
// before, which net/http joins.
func (h *headCounter) count(read []byte) error {
	for len(read) > 0 && !h.done {
		part := read
		end := bytes.IndexByte(read, '\n')
		if end >= 0 {
			part = read[:end+1]
		}
		read = read[len(part):]
		if h.line < len(h.begin) {
			copy(h.begin[h.line:], part)
		}
		if h.line == 0 && h.lines > 0 && (part[0] == ' ' || part[0] == '\t') {
			return malformed("line", string(part))
		}
		h.line += len(part)
		if h.counted+h.line > MaxHeadBytes {
			return malformed("head of more bytes than", fmt.Sprint(MaxHeadBytes))
		}
		if end >= 0 {
			h.endLine()
		}
	}
	return nil
}

// endLine notes the end of a line.
func (h *headCounter) endLine() {
	empty := h.line == 1 || h.line == 2 && h.begin[0] == '\r'
	h.counted += max(h.line, lineBytes)
	h.line = 0
	if !empty {
		h.lines++
		if h.lines == 1 {
			h.interim = h.begin[len(h.begin)-1] == '1'
		}
		return
	}
	h.done = !h.interim
	h.lines = 0
}
