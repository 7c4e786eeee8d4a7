package e2e

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// partitions simulates network partitions between data centres: relays drop the
// connections of a blocked direction.
type partitions struct {
	mu      sync.Mutex
	blocked map[[2]string]bool  // whether a direction is blocked, by {from, to}
	conns   map[net.Conn]string // direction "from>to" of each open connection
}

func newPartitions() *partitions {
	return &partitions{blocked: map[[2]string]bool{}, conns: map[net.Conn]string{}}
}

// set blocks or unblocks connections from one data centre to another. Blocking
// closes the connections that are open in this direction.
func (p *partitions) set(from, to string, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[[2]string{from, to}] = blocked
	if !blocked {
		return
	}
	for conn, link := range p.conns {
		if link == from+">"+to {
			_ = conn.Close()
		}
	}
}

// isolate blocks or unblocks both directions between a data centre and all others.
func (p *partitions) isolate(dc string, others []string, blocked bool) {
	for _, other := range others {
		if other != dc {
			p.set(dc, other, blocked)
			p.set(other, dc, blocked)
		}
	}
}

// relay is a TCP proxy in front of a daemon's port for other daemons. It refuses
// connections from data centres that a partition blocks. It derives the data centre
// of a client from its address, 127.0.N.M.
type relay struct {
	partitions *partitions
	target     string // host:port of the daemon
	dataCentre string // data centre of the daemon
	listener   net.Listener
}

// dataCentreOf maps the third byte of an address, as decimal text, to a data centre.
// newRelay fills it in.
var dataCentreOf sync.Map

func newRelay(t *testing.T, listen, target string, p *partitions, dataCentre string) *relay {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{partitions: p, target: target, dataCentre: dataCentre, listener: listener}
	dataCentreOf.Store(strings.Split(listen, ".")[2], dataCentre)
	go r.acceptLoop()
	t.Cleanup(func() { _ = listener.Close() })
	return r
}

func (r *relay) acceptLoop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(conn net.Conn) {
	defer conn.Close()
	loaded, _ := dataCentreOf.Load(strings.Split(conn.RemoteAddr().String(), ".")[2])
	from, _ := loaded.(string)
	r.partitions.mu.Lock()
	blocked := r.partitions.blocked[[2]string{from, r.dataCentre}]
	r.partitions.conns[conn] = from + ">" + r.dataCentre
	r.partitions.mu.Unlock()
	defer func() {
		r.partitions.mu.Lock()
		delete(r.partitions.conns, conn)
		r.partitions.mu.Unlock()
	}()
	if blocked {
		return
	}
	upstream, err := net.Dial("tcp", r.target)
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
