package answers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// serve starts a server that has each request answered by answer, which gets the connection after the request's head.
func serve(t *testing.T, answer func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer(conn, r)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// get sends a request with a body, or a GET without one, and returns the answer's body.
func get(t *testing.T, client *http.Client, url, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

func newClient() *http.Client {
	return &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
}

// A connection that is kept serves further requests.
func TestKeptConnection(t *testing.T) {
	var conns sync.Map
	url := serve(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conns.Store(conn.RemoteAddr().String(), true)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-A: 1\r\n", 600)+"Content-Length: 4\r\n\r\nbody")
	})
	client := newClient()
	for range 5 {
		if text, err := get(t, client, url, "a request"); err != nil || text != "body" {
			t.Fatalf("%q, %v", text, err)
		}
	}
	n := 0
	for range conns.Range {
		n++
	}
	if n != 1 {
		t.Errorf("%d connections for requests one after the other", n)
	}
}

const uploadBytes = 4 << 20

// An answer with no length is not whole if its connection is reset while the request is being written.
func TestAnswerResetDuringUpload(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for _, read := range []int64{0, 10_000, 1_000_000} {
		url := serve(t, func(conn *net.TCPConn, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, read)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nfirst part")
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		})
		for range 30 {
			if text, err := get(t, newClient(), url, upload); err == nil {
				t.Errorf("reset after %d bytes: taken for a whole answer: %q", read, text)
			}
		}
	}
}

// It is whole if the connection ends in order, though the request is still being written.
func TestAnswerEndsInOrderDuringUpload(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	url := serve(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for range 30 {
		if text, err := get(t, newClient(), url, upload); err != nil || text != "whole" {
			t.Errorf("%q, %v", text, err)
		}
	}
}
