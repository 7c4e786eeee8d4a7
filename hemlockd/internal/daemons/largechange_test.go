package daemons

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/process"
)

// narrowPeer is another daemon behind a link of its own, over which everything that it sends
// passes one after another.
type narrowPeer struct {
	delta configuration.Delta
	// conns is the number of connections that were opened to it.
	conns atomic.Int64
}

const (
	narrowPartBytes = 16 << 10
	narrowPartDelay = 50 * time.Millisecond
)

// narrowConn sends at the rate of a narrow link.
type narrowConn struct{ net.Conn }

// Write implements [net.Conn].
func (c narrowConn) Write(b []byte) (written int, err error) {
	for written < len(b) && err == nil {
		part := b[written:min(len(b), written+narrowPartBytes)]
		if len(part) == narrowPartBytes {
			time.Sleep(narrowPartDelay)
		}
		var n int
		n, err = c.Conn.Write(part)
		written += n
	}
	return written, err
}

// ServeHTTP implements [http.Handler].
func (p *narrowPeer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.conns.Add(1)
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: jsonrpc2\r\n\r\n")
	_ = buffer.Flush()
	stream := jsonrpc2.NewBufferedStream(narrowConn{conn}, jsonrpc2.VarintObjectCodec{})
	jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(p.handle))
}

func (p *narrowPeer) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == methodSettings {
		return p.delta, nil
	}
	return ProbeMessage{}, nil
}

// TestLargeSettingsArriveOverANarrowLink guards against a daemon that never gets a large change of
// the settings: the call that fetches it ended after 2 s however much had come, and probes of the
// same peer, which share its connection, failed behind it, so that the peer counted as dead.
func TestLargeSettingsArriveOverANarrowLink(t *testing.T) {
	const bytes = 1 << 20 // 3.2 s
	peer := &narrowPeer{delta: configuration.Delta{Version: 5, Nodes: []settings.Node{
		{Path: settings.SystemPath, Version: 5, Text: strings.Repeat("# a comment\n", bytes/12) + "[dataCentres.a]\n"},
	}}}
	server := httptest.NewServer(peer)
	defer server.Close()
	env := process.Environment{Log: zap.NewNop(), Clock: clock.System(), Invariants: invariant.New(zap.NewNop()), Config: process.Config{Name: "d", DataCentre: "a"}}
	c := configuration.New(env)
	d := New(env, c)
	defer d.pool.close()
	address := server.Listener.Addr().String()
	done := make(chan struct{})
	go func() {
		d.catchUp(address)
		close(done)
	}()
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), probeTimeout.Duration())
	defer cancel()
	var answer ProbeMessage
	if err := d.pool.call(ctx, address, methodProbe, ProbeMessage{}, &answer); err != nil {
		t.Errorf("a probe beside the settings failed: %v", err)
	}
	<-done
	if c.Version() != 5 {
		t.Errorf("settings version %d in force, want 5", c.Version())
	}
}
