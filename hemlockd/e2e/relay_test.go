package e2e

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// cuts says between which data centres nothing gets through.
type cuts struct {
	mu  sync.Mutex
	cut map[[2]string]bool // from, to
	all map[net.Conn]string
}

func newCuts() *cuts { return &cuts{cut: map[[2]string]bool{}, all: map[net.Conn]string{}} }

// set cuts or heals the way from one data centre to another.
func (c *cuts) set(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, to}] = cut
	if !cut {
		return
	}
	for conn, way := range c.all {
		if way == from+">"+to {
			_ = conn.Close()
		}
	}
}

func (c *cuts) isolate(dc string, others []string, cut bool) {
	for _, other := range others {
		if other != dc {
			c.set(dc, other, cut)
			c.set(other, dc, cut)
		}
	}
}

// relay stands before a daemon's port for other daemons and lets through what
// is not cut. It knows a caller's data centre by its address, 127.0.N.M.
type relay struct {
	cuts     *cuts
	to       string
	dc       string
	listener net.Listener
}

// dataCentreOf is filled in by deploy, from the third byte of an address.
var dataCentreOf sync.Map

func newRelay(t *testing.T, listen, to string, c *cuts, dc string) *relay {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{cuts: c, to: to, dc: dc, listener: listener}
	dataCentreOf.Store(strings.Split(listen, ".")[2], dc)
	go r.run()
	t.Cleanup(func() { _ = listener.Close() })
	return r
}

func (r *relay) run() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.runConn(conn)
	}
}

func (r *relay) runConn(conn net.Conn) {
	defer conn.Close()
	from, _ := dataCentreOf.Load(strings.Split(conn.RemoteAddr().String(), ".")[2])
	name, _ := from.(string)
	r.cuts.mu.Lock()
	cut := r.cuts.cut[[2]string{name, r.dc}]
	r.cuts.all[conn] = name + ">" + r.dc
	r.cuts.mu.Unlock()
	defer func() {
		r.cuts.mu.Lock()
		delete(r.cuts.all, conn)
		r.cuts.mu.Unlock()
	}()
	if cut {
		return
	}
	upstream, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		_, _ = io.Copy(upstream, conn)
		_ = upstream.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(conn, upstream)
}
