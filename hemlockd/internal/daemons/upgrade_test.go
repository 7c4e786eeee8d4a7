package daemons

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/hemlockd/internal/process"
)

// TestUpgradeReadsNoEndlessHead guards against whoever has got the address of a daemon that is gone: its answer to the
// request for JSON-RPC was read for as long as the call had time.
func TestUpgradeReadsNoEndlessHead(t *testing.T) {
	// maxAccepted is what the buffers of both sockets hold.
	const maxAccepted = 4 << 20
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(32 << 10)
		sent, _ := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n")
		lines := strings.Repeat("a:\n", 1024)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, lines)
			sent += n
		}
		accepted <- sent
	}()
	p := newPool(process.Config{Daemons: "127.0.0.1:1", DaemonKey: "key"}, zap.NewNop())
	defer p.close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := p.dial(ctx, listener.Addr().String()); err == nil {
		t.Error("a head without end was taken for an answer")
	}
	if n := <-accepted; n > maxAccepted {
		t.Errorf("%d bytes of the head were accepted", n)
	}
}
