package engines

import (
	"context"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestHeadsWithoutEndAreNoAnswer guards against an engine in trouble that sends the head of
// an answer without end: up to 10 MB of it were read for each call.
func TestHeadsWithoutEndAreNoAnswer(t *testing.T) {
	// maxAccepted is the head, and what the buffers of both sockets hold.
	const maxAccepted = 1 << 20
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var written atomic.Int64
	closed := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetWriteBuffer(32 << 10)
			_, err = conn.Read(make([]byte, 4096))
			text := "HTTP/1.1 200 OK\r\n"
			for err == nil {
				var n int
				n, err = io.WriteString(conn, text)
				written.Add(int64(n))
				text = strings.Repeat("X-A: b\r\n", 512)
			}
			_ = conn.Close()
			closed <- struct{}{}
		}
	}()
	c, closeClient := NewClient(upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), clock.System(), zap.NewNop())
	defer closeClient()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := c.Load(ctx, Engine{Name: "e", Address: listener.Addr().String()}, false); err == nil {
		t.Error("a head without end was taken for an answer")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed")
	}
	if n := written.Load(); n > maxAccepted {
		t.Errorf("%d bytes accepted, want at most %d", n, maxAccepted)
	}
}
