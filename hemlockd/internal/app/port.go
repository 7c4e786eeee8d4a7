package app

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
)

// headerTimeout bounds the time that a caller may take to send a request's headers.
const headerTimeout = 10 * clock.Second

// port serves HTTP on one address.
type port struct {
	name     string
	server   *http.Server
	listener deadlineListener
	failed   chan<- error  // receives the error if the server ends without being closed
	ended    chan struct{} // closed when no more connections are accepted

	stopping atomic.Bool // connections linger when they are closed

	mu          sync.Mutex
	conns       map[*conn]struct{}
	draining    bool
	acceptUntil time.Time // when a draining port stops accepting connections at the latest
}

// openPort opens a port and serves it. It returns the port and a function that
// closes it.
func openPort(log *zap.Logger, name, address string, handler http.Handler, idle clock.Millis, failed chan<- error) (*port, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	p, closePort := servePort(log, name, listener.(*net.TCPListener), handler, idle, failed)
	return p, closePort, nil
}

// servePort serves a port on an open listener. It returns the port and a function
// that closes it.
func servePort(log *zap.Logger, name string, listener deadlineListener, handler http.Handler, idle clock.Millis, failed chan<- error) (*port, func()) {
	p := &port{name: name, listener: listener, failed: failed, ended: make(chan struct{}), conns: map[*conn]struct{}{}}
	p.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idle.Duration(),
		ErrorLog: zap.NewStdLog(log), ConnState: p.connStateChanged,
	}
	go p.run()
	return p, func() { _ = p.server.Close() }
}

func (p *port) run() {
	err := p.server.Serve(&portListener{deadlineListener: p.listener, p: p})
	close(p.ended)
	if _, draining := p.acceptsUntil(); !draining && !errors.Is(err, http.ErrServerClosed) {
		p.failed <- fmt.Errorf("serve port for %s: %w", p.name, err)
	}
}
