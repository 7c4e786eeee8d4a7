package app

import (
	"errors"
	"net"
	"os"
	"time"

	"hemlockmux.example/common/clock"
)

const (
	// acceptSilence is how long no connection may come before a draining port closes its
	// listener: the requests of connections that wait to be accepted are lost with it.
	acceptSilence = 20 * clock.Millisecond
	// emptyAccepts is the number of such waits in a row. One of them may pass while the
	// process is not running, without a look at what waits.
	emptyAccepts = 2
	// acceptTime bounds how long a draining port accepts connections.
	acceptTime = 500 * clock.Millisecond
	// acceptTimeParts is the number of parts of the time left that a wait may take at
	// most: while connections keep coming, a shorter and shorter silence is enough.
	acceptTimeParts = 8
)

// errDrained is the error with which a draining port ends to accept connections.
var errDrained = errors.New("port is draining")

// deadlineListener is a listener with a deadline for accepting connections.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// portListener accepts the connections of a port and makes them known to it. While the
// port drains, it goes on until no more connections come.
type portListener struct {
	deadlineListener
	p     *port
	empty int // waits in a row that have found no connection
}

// Accept implements [net.Listener].
func (l *portListener) Accept() (net.Conn, error) {
	for {
		if err := l.boundWait(); err != nil {
			return nil, err
		}
		inner, err := l.deadlineListener.Accept()
		switch {
		case err == nil:
			l.empty = 0
			if guarded := l.p.guard.Accept(inner); guarded != nil {
				return l.p.addConn(guarded), nil
			}
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
		l.empty++
	}
}

// boundWait sets the deadline of the next wait for a connection. It returns errDrained
// if there is to be none.
func (l *portListener) boundWait() error {
	until, draining := l.p.acceptsUntil()
	if !draining {
		return nil
	}
	now := time.Now()
	left := until.Sub(now)
	if l.empty >= emptyAccepts || left <= 0 {
		return errDrained
	}
	return l.SetDeadline(now.Add(min(acceptSilence.Duration(), left/acceptTimeParts)))
}
