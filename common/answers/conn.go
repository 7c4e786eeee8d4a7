package answers

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// conn is a connection to a server.
type conn struct {
	net.Conn

	// writeMu is held during a write, so that a read that has found the end of the connection knows how the write has ended.
	writeMu  sync.Mutex
	writeErr error
}

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
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
	return n, err
}

// failedWrite returns the error of a write that has failed.
func (c *conn) failedWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}
