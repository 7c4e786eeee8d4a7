package app

import (
	"context"
	"net"
	"net/http"

	"hemlockmux.example/common/clock"
)

// drainPollInterval is the interval at which a drain looks for connections.
const drainPollInterval = 10 * clock.Millisecond

// portListener accepts the connections of a port and makes them known to it.
type portListener struct {
	net.Listener
	p *port
}

// Accept implements [net.Listener].
func (l *portListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.p.addConn(inner), nil
}

func (p *port) addConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, state: http.StateNew}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	if p.draining {
		c.drain()
	}
	return c
}

// connStateChanged is called by the server when the state of a connection has changed.
func (p *port) connStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	c.setState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
}

// drain stops accepting connections and waits until none is left or ctx ends. A
// connection that stays silent is closed after a short while; its caller may have
// sent a request that is still on its way. The result is an error if ctx has ended
// with a request in flight.
//
// It replaces [http.Server.Shutdown], which closes idle connections at once and drops
// requests that have been read and not parsed.
func (p *port) drain(ctx context.Context) error {
	p.startDrain()
	<-p.ended
	for p.openConns() > 0 {
		if !clock.Sleep(ctx, drainPollInterval) {
			return p.interrupted(ctx)
		}
	}
	return nil
}

// startDrain closes the listener and bounds the silence of all connections.
func (p *port) startDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	for c := range p.conns {
		c.drain()
	}
	_ = p.listener.Close()
}

// isDraining reports whether the drain has begun.
func (p *port) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

func (p *port) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// interrupted returns the error of ctx if a connection has a request.
func (p *port) interrupted(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.hasRequest() {
			return ctx.Err()
		}
	}
	return nil
}
