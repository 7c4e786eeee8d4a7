package daemons

import (
	"bufio"
	"net"
	"time"
)

// noDeadline takes a connection's deadline away.
var noDeadline time.Time

// bufferedConn is a connection of which some bytes are in a buffer already.
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

// countingConn counts the bytes of control messages sent, in expvar.
type countingConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	metrics.Add("bytesOut", int64(n))
	return n, err
}
