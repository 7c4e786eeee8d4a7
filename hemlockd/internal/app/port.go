package app

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
)

// headerTimeout bounds the time that a caller may take to send a request's headers.
const headerTimeout = 10 * clock.Second

// port serves HTTP on one address.
type port struct {
	name     string
	server   *http.Server
	listener net.Listener
	failed   chan<- error // receives the error if the server ends without being closed
}

// openPort opens a port and serves it. It returns the server and a function that
// closes it.
func openPort(log *zap.Logger, name, address string, handler http.Handler, idle clock.Millis, failed chan<- error) (*http.Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idle.Duration(),
		ErrorLog: zap.NewStdLog(log),
	}
	p := &port{name: name, server: server, listener: listener, failed: failed}
	go p.run()
	return server, func() { _ = server.Close() }, nil
}

func (p *port) run() {
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		p.failed <- fmt.Errorf("serve port for %s: %w", p.name, err)
	}
}
