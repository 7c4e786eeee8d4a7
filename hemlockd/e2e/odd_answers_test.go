package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawServer is an upstream in the test's own process that answers with any bytes.
type rawServer struct {
	id, address string
	answer      rawAnswer
}

// rawAnswer answers a request whose head has been read; the connection is closed when it returns. head holds the header
// lines of an answer to the request, in the platform's protocol.
type rawAnswer func(conn *net.TCPConn, r *http.Request, head string)

// startRawServer starts a server.
func startRawServer(t *testing.T, id string, answer rawAnswer) *rawServer {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{id: id, address: l.Addr().String(), answer: answer}
	go s.run(l)
	return s
}

func (s *rawServer) run(l *net.TCPListener) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *rawServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, 4096))
	if err != nil {
		return
	}
	s.answer(conn, r, s.head(r))
}

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// deployRaw starts a deployment with a plain service and one of model engines that raw servers serve.
func deployRaw(t *testing.T, answer rawAnswer) *usersPlatform {
	t.Helper()
	p := deployUsersPlatformWith(t, platformOptions{daemons: 1, maxBodyBytes: crowdBodyBytes})
	for service, stage := range map[string]string{"rawplain": "", "rawmodels": "decode"} {
		s := startRawServer(t, "i-"+service, answer)
		p.callAdmin(http.MethodPost, "/servers", map[string]any{"id": s.id, "service": service, "zone": "a", "stage": stage, "slots": 8, "address": s.address})
	}
	p.extraServices = []any{
		map[string]any{"Name": "rawplain", "HealthPath": "/health", "MaxConns": 90, "Protocol": "h1"},
		map[string]any{"Name": "rawmodels", "HealthPath": "/health", "MaxConns": 90, "Protocol": "h1", "Engine": map[string]any{
			"Slots": 8, "KvCapacity": 4000, "Stride": 10, "KvHoldS": 0.5, "SwapS": 1.0,
		}},
	}
	route := func(name, kind, service string, attempts int, resumable, sticky bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": testHost, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 3000, "TargetLatencyMs": 900,
			"Priority": 1, "Service": service, "MaxAttempts": attempts, "Sticky": sticky, "Resumable": resumable, "GapTargetMs": 300,
		}
	}
	p.configure([]map[string]any{
		route("rawlookup", "idempotent", "rawplain", 2, false, false), route("raworder", "non_idempotent", "rawplain", 1, false, false),
		route("rawresumable", "streaming", "rawmodels", 2, true, true), route("rawonce", "streaming", "rawmodels", 1, false, true),
	})
	d := p.daemons[0]
	p.eventually(10*time.Second, "the routes of the raw server are in force", func() bool {
		return p.send(d, "probe", "/rawlookup/x", "", nil).status != http.StatusNotFound
	})
	return p
}

// head returns the header lines of an answer to a request, in the platform's protocol.
func (s *rawServer) head(r *http.Request) string {
	kind := "text/plain"
	if r.Header.Get("X-Token-Count") != "" {
		kind = "text/event-stream"
	}
	return fmt.Sprintf("X-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Seal: seal\r\nContent-Type: %s\r\n", r.Header.Get("X-Attempt-Id"), s.id, kind)
}

// rawText returns an odd answer to a request. The bodies of streams are an event.
func rawText(text string, r *http.Request, head string) string {
	text = strings.Replace(text, "HEAD", head, 1)
	if r.Header.Get("X-Token-Count") == "" {
		return text
	}
	const event = "id: 1\ndata: piece 1\n\n"
	text = strings.Replace(text, "Content-Length: 4", fmt.Sprintf("Content-Length: %d", len(event)), 1)
	text = strings.Replace(text, "4\r\nbody\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(event), event), 1)
	return strings.Replace(text, "body", event, 1)
}

// MIXED: a server answers a long upload at once, with no length, sends a part of the body and resets the connection while
// the upload is still being written.
func TestPlatformAnswerResetDuringUpload(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	p := deployRaw(t, func(conn *net.TCPConn, r *http.Request, head string) {
		if r.ContentLength < int64(len(body)) {
			_, _ = io.WriteString(conn, rawText("HTTP/1.1 200 OK\r\nHEADContent-Length: 4\r\n\r\nbody", r, head))
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 100_000)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\nthe first part of the body")
		time.Sleep(20 * time.Millisecond) // until the part is on its way
		reset(conn)
	})
	for _, route := range []string{"raworder", "rawlookup"} {
		for i := range 30 {
			attempt := fmt.Sprintf("%s-reset-%d", route, i)
			got := p.send(p.daemons[0], attempt, "/"+route+"/"+attempt, body, nil)
			if got.err == nil && got.status >= 200 && got.status < 300 {
				t.Errorf("%s, try %d: status %d, body %q", route, i+1, got.status, got.body)
			}
		}
	}
}

// An answer with no length that comes while a long upload is written, and ends in order, is whole.
func TestPlatformAnswerEndsInOrderDuringUpload(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	p := deployRaw(t, func(conn *net.TCPConn, r *http.Request, head string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\nthe whole body")
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for i := range 10 {
		got := p.send(p.daemons[0], fmt.Sprintf("order-%d", i), "/raworder/x", body, nil)
		if got.err != nil || got.status != http.StatusOK || got.body != "the whole body" {
			t.Errorf("try %d: status %d, body %q, error %v", i+1, got.status, got.body, got.err)
		}
	}
}
