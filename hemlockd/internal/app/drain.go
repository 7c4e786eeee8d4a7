package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/intake"
)

// drainPollInterval is the interval at which a drain looks for connections.
const drainPollInterval = 10 * clock.Millisecond

func (p *port) addConn(inner *intake.Conn) *conn {
	c := &conn{Conn: inner, p: p, state: http.StateNew}
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
	c.Conn.SetState(state)
	c.setState(state)
	if state == http.StateClosed && !c.isLingering() || state == http.StateHijacked {
		p.forget(c)
	}
}

// connContext makes what a connection may hold known to the handlers of its requests.
func (p *port) connContext(ctx context.Context, nc net.Conn) context.Context {
	return nc.(*conn).Conn.Context(ctx)
}

func (p *port) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// drain accepts the connections that have been established, then no more, and waits
// until none is left or ctx ends. A connection that stays silent is closed after a
// short while; its caller may have sent a request that is still on its way. The result
// is an error if ctx has ended with a request in flight.
//
// It replaces [http.Server.Shutdown], which closes the listener and idle connections at
// once and drops requests that have been read and not parsed.
func (p *port) drain(ctx context.Context) error {
	p.startDrain()
	select {
	case <-p.ended:
	case <-ctx.Done():
		_ = p.listener.Close()
		<-p.ended
	}
	for p.openConns() > 0 {
		if !clock.Sleep(ctx, drainPollInterval) {
			return p.interrupted(ctx)
		}
	}
	return nil
}

// startDrain bounds the wait for connections and the silence of all connections.
func (p *port) startDrain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.draining, p.acceptUntil = true, now.Add(acceptTime.Duration())
	for c := range p.conns {
		c.drain()
	}
	// Ends a wait that has begun without a deadline. It fails only if the listener is closed.
	_ = p.listener.SetDeadline(now.Add(acceptSilence.Duration()))
}

// acceptsUntil reports whether the port is draining, and until when it then accepts
// connections at most.
func (p *port) acceptsUntil() (until time.Time, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acceptUntil, p.draining
}

// startStop makes connections linger when they are closed, see [conn.Close].
func (p *port) startStop() { p.stopping.Store(true) }

// endWrites ends writes to callers that don't read, so that the requests that wait for them end.
func (p *port) endWrites() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetWriteDeadline(time.Now()) // fails only if the connection is closed
	}
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
