package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/intake"
)

// headerTimeout bounds the time that a caller may take to send a request's headers, if no shorter one is in force.
const headerTimeout = 10 * clock.Second

// port serves HTTP on one address.
type port struct {
	name     string
	server   *http.Server
	listener deadlineListener
	guard    *intake.Guard
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
func openPort(log *zap.Logger, name, address string, handler http.Handler, guard *intake.Guard, idle clock.Millis, failed chan<- error) (*port, func(), error) {
	config := net.ListenConfig{Control: intake.ControlSocket}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	p, closePort := servePort(log, name, listener.(*net.TCPListener), handler, guard, idle, failed)
	return p, closePort, nil
}

// servePort serves a port on an open listener. It returns the port and a function
// that closes it.
func servePort(log *zap.Logger, name string, listener deadlineListener, handler http.Handler, guard *intake.Guard, idle clock.Millis, failed chan<- error) (*port, func()) {
	p := &port{name: name, listener: listener, guard: guard, failed: failed, ended: make(chan struct{}), conns: map[*conn]struct{}{}}
	p.server = &http.Server{
		Handler: guard.Handler(handler), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idle.Duration(),
		ErrorLog: zap.NewStdLog(log), ConnState: p.connStateChanged, ConnContext: p.connContext,
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
