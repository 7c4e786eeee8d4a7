package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
)

// testServer is a server under guard.
type testServer struct {
	t       *testing.T
	budget  *Budget
	address string
	handled chan string // the paths of the requests that were handled
}

// startServer starts a server that may use so many bytes and sockets.
func startServer(t *testing.T, bytes, sockets int64, unreadMs clock.Millis) *testServer {
	t.Helper()
	s := &testServer{t: t, budget: &Budget{requestBytes: requestBytes}, handled: make(chan string, 1000)}
	s.budget.memory.limit.Store(bytes)
	s.budget.large.limit.Store(bytes * 6 / 10)
	s.budget.sockets.limit.Store(sockets)
	guard := NewGuard(Options{
		Log: zap.NewNop(), Port: "test", Budget: s.budget, UnreadAnswerMs: unreadMs,
		Heads: func() Heads { return Heads{MaxBytes: 16 << 10, TimeoutMs: 2 * clock.Second} },
	})
	config := net.ListenConfig{Control: ControlSocket}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: guard.Handler(http.HandlerFunc(s.serve)), ConnState: guard.ConnState, ConnContext: guard.ConnContext}
	go server.Serve(guard.Listener(l))
	t.Cleanup(func() { _ = server.Close() })
	s.address = l.Addr().String()
	return s
}

// serve answers with the length of the body, or with so many bytes as the path names, after /hold only when the caller
// has left.
func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.handled <- r.URL.Path
	body, err := ReadBody(r.Context(), r.Body, r.ContentLength, 8<<20)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/hold" {
		<-r.Context().Done()
		return
	}
	n, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
	_, _ = fmt.Fprintf(w, "%d%s", len(body), strings.Repeat(".", n))
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// send sends text and returns the status of the answer, 0 if there is none, and its header.
func send(conn net.Conn, text string) (int, http.Header) {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// awaitReturned waits until all that was taken has been returned.
func (s *testServer) awaitReturned() {
	s.t.Helper()
	for range 500 {
		if s.budget.Used() == 0 && s.budget.large.used.Load() == 0 && s.budget.sockets.used.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Errorf("taken and not returned: %d bytes, %d of them for large ones, %d sockets",
		s.budget.Used(), s.budget.large.used.Load(), s.budget.sockets.used.Load())
}

func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%d:\n", i)
	}
	return b.String()
}

const begin = "GET / HTTP/1.1\r\nHost: x\r\n"

func TestHeads(t *testing.T) {
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"usual", begin + "\r\n", 200},
		{"of many lines within the limit", begin + lines(2000) + "\r\n", 200},
		{"over the limit", begin + lines(9000) + "\r\n", 431},
		{"over the limit, one line", begin + "X: " + strings.Repeat("x", 40_000) + "\r\n\r\n", 431},
		{"over the limit, without end", begin + lines(9000), 431},
		{"without end", begin + lines(10), 0},
		{"empty lines", strings.Repeat("\r\n", 10_000), 400},
		{"of two requests at once", begin + "\r\n" + begin + "\r\n", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, 64<<20, 100, 0)
			conn := s.dial()
			if status, _ := send(conn, c.text); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			_ = conn.Close()
			s.awaitReturned()
		})
	}
}

// One request of the largest size is served when there is nothing else, more of them are refused, and usual requests
// are served beside them.
func TestLargeHeadsDoNotShutOutUsualOnes(t *testing.T) {
	s := startServer(t, 8<<20, 100, 0)
	for i := range 3 {
		conn := s.dial()
		_, _ = io.WriteString(conn, strings.Replace(begin, "/", "/hold", 1)+lines(2000)+"\r\n")
		if i == 0 {
			<-s.handled
		}
	}
	for range 1000 {
		if s.budget.large.used.Load() > 4<<20 { // all three have been read
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	status, header := send(s.dial(), begin+lines(3000)+"\r\n")
	if retry, err := strconv.ParseFloat(header.Get("Retry-After"), 64); status != 503 || err != nil || retry <= 0 {
		t.Errorf("a further large one: status %d, Retry-After %q, want 503 and a time", status, header.Get("Retry-After"))
	}
	if status, _ := send(s.dial(), begin+"\r\n"); status != 200 {
		t.Errorf("a usual one: status %d", status)
	}
}

// A request that comes with the body of the one before is counted too.
func TestHeadThatCameWithTheBodyBefore(t *testing.T) {
	s := startServer(t, 512<<10, 100, 0)
	conn := s.dial()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000)+begin+lines(550)+"\r\n")
	reader := bufio.NewReader(conn)
	for _, want := range []int{200, 503} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("answer %v, %v, want %d", resp, err, want)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

func TestIdleConnectionsGiveWay(t *testing.T) {
	s := startServer(t, 64<<20, 10, 0)
	first := s.dial()
	if status, _ := send(first, begin+"\r\n"); status != 200 {
		t.Fatalf("status %d", status)
	}
	for range 20 {
		s.dial()
	}
	if status, _ := send(s.dial(), begin+"\r\n"); status != 200 {
		t.Errorf("status %d beside silent connections", status)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that has been idle longest is open")
	}
	if used := s.budget.sockets.used.Load(); used > 10 {
		t.Errorf("%d sockets are taken of 10", used)
	}
}

// Connections with a request do not give way: a new one is refused, and served when there is a place again.
func TestConnectionsWithRequestsDoNotGiveWay(t *testing.T) {
	s := startServer(t, 64<<20, 6, 0)
	held := []net.Conn{s.dial(), s.dial()}
	for _, conn := range held {
		_, _ = io.WriteString(conn, strings.Replace(begin, "/", "/hold", 1)+"\r\n")
		<-s.handled
	}
	if status, _ := send(s.dial(), begin+"\r\n"); status != 503 && status != 0 {
		t.Errorf("status %d, want none or 503", status)
	}
	_ = held[0].Close()
	for range 100 {
		if status, _ := send(s.dial(), begin+"\r\n"); status == 200 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no request is served after a connection has been closed")
}

func TestBodies(t *testing.T) {
	body := strings.Repeat("x", 3<<20)
	withLength := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	inChunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for _, c := range []struct {
		name   string
		budget int64
		framed string
		status int
	}{
		{"with a length", 64 << 20, withLength, 200},
		{"in chunks", 64 << 20, inChunks, 200},
		{"with a length, no memory", 4 << 20, withLength, 503},
		{"in chunks, no memory", 4 << 20, inChunks, 503},
		{"over the limit", 64 << 20, "Content-Length: 9000000\r\n\r\n", 503}, // the server of these tests has one status for all
		{"short, little memory", 1 << 20, "Content-Length: 5\r\n\r\nhello", 200},
		{"empty chunks", 1 << 20, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200},
		{"none, little memory", 1 << 20, "\r\n", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, c.budget, 100, 0)
			conn := s.dial()
			go func() { _, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+c.framed) }()
			if status, _ := send(conn, ""); status != c.status {
				t.Errorf("status %d, want %d", status, c.status)
			}
			_ = conn.Close()
			s.awaitReturned()
		})
	}
}

// What is read is what was sent, whatever its length, with a length and in chunks.
func TestReadBody(t *testing.T) {
	for _, n := range []int{0, 1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 3 * firstBodyBytes, 8 * firstBodyBytes, 100_000} {
		body := strings.Repeat("body", n)[:n]
		for _, length := range []int64{int64(n), -1} {
			read, err := ReadBody(t.Context(), strings.NewReader(body), length, 1<<20)
			if err != nil || string(read) != body {
				t.Errorf("%d bytes, length %d: %d bytes, %v", n, length, len(read), err)
			}
		}
	}
	if _, err := ReadBody(t.Context(), strings.NewReader("abc"), 5, 10); err != io.ErrUnexpectedEOF {
		t.Errorf("a body that ends early: %v", err)
	}
}

// An answer of which nothing is read is given up. One that is read slowly is not.
func TestUnreadAnswers(t *testing.T) {
	const answerBytes = 32 << 20 // the kernel takes some megabytes
	s := startServer(t, 64<<20, 100, 2*clock.Second)
	request := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", answerBytes)
	unread := s.dial()
	_, _ = io.WriteString(unread, request)
	slow := s.dial()
	_, _ = io.WriteString(slow, request)
	n := 0
	for buffer := make([]byte, answerBytes/20); n < answerBytes; {
		time.Sleep(20 * time.Millisecond)
		read, err := slow.Read(buffer)
		n += read
		if err != nil {
			t.Fatalf("the slow reader has got %d bytes: %v", n, err)
		}
	}
	_ = slow.Close()
	s.awaitReturned() // the other one is still open
}

func TestCheckUnreadAnswer(t *testing.T) {
	for span, ok := range map[clock.Millis]bool{0: false, 999: false, 1000: true, DefaultUnreadAnswerMs: true, clock.Hour: true, clock.Hour + 1: false} {
		if err := CheckUnreadAnswer(span); (err == nil) != ok {
			t.Errorf("%d ms: %v", span, err)
		}
	}
}
