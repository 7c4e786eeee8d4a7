package daemons

import (
	"bufio"
	"net"
	"time"
)

// noDeadline removes a connection's deadline.
var noDeadline time.Time

// bufferedConn is a connection some of whose bytes have already been read into a
// buffer. It counts the bytes received in expvar.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements io.Reader.
func (c *bufferedConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	metrics.Add("bytesIn", int64(n))
	return n, err
}

// countingConn counts the bytes of control messages sent in expvar.
type countingConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	metrics.Add("bytesOut", int64(n))
	return n, err
}
