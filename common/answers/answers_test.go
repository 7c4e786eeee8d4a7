package answers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
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

func TestAnswers(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	with := func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 4\r\n\r\nbody" }
	for _, c := range []struct {
		name, text string
		ok         bool
	}{
		{"whole", whole, true},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", true},
		{"chunks and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		{"usual fields", with("X-One: 1\r\nX-Empty:\r\nX-Tab: a\tb\r\n"), true},
		{"many fields", with(strings.Repeat("X-A: 1\r\n", 900)), true},
		{"interim answers", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + whole, true},
		{"a body that looks like a head", with("") + " folded: 1\r\n", true},
		{"line feeds only", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", true},
		{"status 404", "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nbody", true},
		{"status 000", "HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\nbody", false},
		{"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\nbody", false},
		{"status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody", false},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbody", false},
		{"a blank in a name", with("X Odd: 1\r\n"), false},
		{"a blank after a name", with("X-Odd : 1\r\n"), false},
		{"a blank after the name of the length", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length : 2\r\n\r\nbody", false},
		{"a control byte in a name", with("X-O\x01dd: 1\r\n"), false},
		{"a control byte in a value", with("X-Odd: a\x01b\r\n"), false},
		{"a continued line", with("X-One: 1\r\n continued\r\n"), false},
		{"a continued line after a tab", with("X-One: 1\r\n\tcontinued\r\n"), false},
		{"a trailer with a blank in a name", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n", false},
		{"an interim answer with a blank in a name", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + whole, false},
		{"too many lines", with(strings.Repeat("a:\n", 5000)), false},
		{"too many lines in interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+strings.Repeat("a:\n", 300)+"\r\n", 4) + whole, false},
		{"a line too long", with("X-Long: " + strings.Repeat("x", 70_000) + "\r\n"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := serve(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, c.text)
				_ = conn.Close()
			})
			text, err := get(t, newClient(), url, "")
			if c.ok != (err == nil) || c.ok && text != "body" {
				t.Errorf("%q, %v", text, err)
			}
		})
	}
}

func TestMalformedAnswerIsTold(t *testing.T) {
	url := serve(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nbody")
	})
	_, err := get(t, newClient(), url, "")
	var bad *MalformedError
	if !errors.As(err, &bad) || bad.Part != "field name" || bad.Text != "X Odd" {
		t.Errorf("%v", err)
	}
}

// A connection that is kept serves further requests; the head of each answer is counted anew.
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

// It is whole also if the server has ended it in order and reads nothing of the request.
func TestAnswerEndsInOrderBesideAnUploadThatIsNotRead(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	url := serve(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		<-t.Context().Done()
	})
	if text, err := get(t, newClient(), url, upload); err != nil || text != "whole" {
		t.Errorf("%q, %v", text, err)
	}
}

// TestHeadCounter checks that the count does not depend on how an answer is split into reads.
func TestHeadCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"A: 1\r\n", "b:\n", "\r\n", "\n", " folded\r\n", "HTTP/1.1 100 Continue\r\n"}), 0, 40).Draw(t, "lines")
		text := []byte("HTTP/1.1 " + rapid.SampledFrom([]string{"200", "103", "404"}).Draw(t, "status") + " x\r\n" + strings.Join(lines, ""))
		var whole, split headCounter
		want := whole.count(text)
		var got error
		for rest := text; len(rest) > 0 && got == nil; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			got = split.count(rest[:n])
			rest = rest[n:]
		}
		if (want == nil) != (got == nil) || want == nil && (whole.done != split.done || whole.counted != split.counted) {
			t.Fatalf("%q: whole %+v, %v; split %+v, %v", text, whole, want, split, got)
		}
	})
}

// The allocations of a head are bounded whatever its lines are.
func TestHeadOfShortLinesIsRefusedEarly(t *testing.T) {
	var h headCounter
	lines := 0
	for h.count([]byte("a:\n")) == nil {
		lines++
		if lines > MaxHeadBytes/lineBytes {
			t.Fatalf("%d lines were let through", lines)
		}
	}
}
