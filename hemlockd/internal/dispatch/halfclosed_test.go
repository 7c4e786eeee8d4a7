package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
)

// TestHalfClosedCallerGetsNoEmptyAnswer guards against an empty answer with status 200 to a
// caller that has closed its sending side after the request: net/http sends one if the handler
// returns without an answer, and the caller takes it for whole.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	s := newSetup(noFaults)
	s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) { return slowPlain(ctx, 300*time.Millisecond, "whole") }
	server := httptest.NewServer(s.dispatcher)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /order/x HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 4\r\n\r\nbody")
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return // nothing was sent: the caller can tell
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(body) != "whole" {
		t.Errorf("status %d, answer %q", resp.StatusCode, body)
	}
}
