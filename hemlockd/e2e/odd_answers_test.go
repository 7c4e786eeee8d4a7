package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
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

// oddAnswer is an answer that is not to reach a client as a success.
type oddAnswer struct {
	name string
	// text is the answer. HEAD stands for the header lines of a whole answer of the protocol.
	text string
}

// oddStatuses are answers whose status no final answer has.
var oddStatuses = func() []oddAnswer {
	var all []oddAnswer
	for _, status := range []string{"000", "001", "099", "20", "2000", "600", "999", "+200", "-200", "2x0"} {
		all = append(all, oddAnswer{"status " + status, "HTTP/1.1 " + status + " Odd\r\nHEADContent-Length: 4\r\n\r\nbody"})
	}
	return append(all, oddAnswer{"status 101", "HTTP/1.1 101 Switching Protocols\r\nHEADConnection: Upgrade\r\nUpgrade: x\r\n\r\nbody"})
}()

// oddHeads are answers with malformed heads and trailers.
var oddHeads = func() []oddAnswer {
	var all []oddAnswer
	for _, line := range []string{
		"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", " X-Odd: 1", "X-O\x01dd: 1", "X-O\x7fdd: 1", "X-\xc3\x96dd: 1", ": 1", "X-Odd", "X(Odd): 1", "X-Odd: a\x01b",
		"X-Odd: a\x00b", "Content-Length : 2", "Transfer-Encoding : chunked", "Connection : close",
	} {
		all = append(all, oddAnswer{"line " + strconv.Quote(line), "HTTP/1.1 200 OK\r\nHEAD" + line + "\r\nContent-Length: 4\r\n\r\nbody"})
	}
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X-O\x01dd: 1"} {
		all = append(all,
			oddAnswer{"trailer " + strconv.Quote(line), "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n"},
			oddAnswer{"interim line " + strconv.Quote(line), "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 4\r\n\r\nbody"},
		)
	}
	return append(all,
		oddAnswer{"two lengths", "HTTP/1.1 200 OK\r\nHEADContent-Length: 4\r\nContent-Length: 3\r\n\r\nbody"},
		oddAnswer{"cut by its length", "HTTP/1.1 200 OK\r\nHEADContent-Length: 9\r\n\r\nbody"},
		oddAnswer{"no last chunk", "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
	)
}()

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

// rawCalls are the calls that reach the raw servers, by kind.
var rawCalls = map[string]func(p *usersPlatform, attempt string) platformResponse{
	"idempotent": func(p *usersPlatform, a string) platformResponse {
		return p.send(p.daemons[0], a, "/rawlookup/"+a, "", nil)
	},
	"non-idempotent": func(p *usersPlatform, a string) platformResponse {
		return p.send(p.daemons[0], a, "/raworder/"+a, "order", nil)
	},
	"resumable": func(p *usersPlatform, a string) platformResponse { return p.rawStream(a, "rawresumable") },
	"stream":    func(p *usersPlatform, a string) platformResponse { return p.rawStream(a, "rawonce") },
}

// rawStream requests a stream of one event with a prompt of its own.
func (p *usersPlatform) rawStream(attempt, route string) platformResponse {
	return p.send(p.daemons[0], attempt, "/"+route+"/"+attempt, "a prompt", map[string]string{
		"X-Model": "m", "X-Token-Count": "100,10", "X-Prompt-Prefix": fmt.Sprintf("%x:100", attempt), "X-Length-Hint": "10",
	})
}

// testOddAnswers has raw servers give each answer to each kind of call and checks that no client takes one for a success.
func testOddAnswers(t *testing.T, answers []oddAnswer) {
	t.Helper()
	const sound = "HTTP/1.1 200 OK\r\nHEADContent-Length: 4\r\n\r\nbody"
	var odd atomic.Value
	odd.Store(sound)
	p := deployRaw(t, func(conn *net.TCPConn, r *http.Request, head string) {
		_, _ = io.Copy(io.Discard, r.Body)
		text := sound
		if r.Header.Get("X-Attempt-Id") != "" { // not a health check
			text = odd.Load().(string)
		}
		_, _ = io.WriteString(conn, rawText(text, r, head))
	})
	n := 0
	for kind, call := range rawCalls {
		for _, answer := range append(answers, oddAnswer{"sound", sound}) {
			odd.Store(answer.text)
			var got platformResponse
			p.eventually(10*time.Second, kind+" reaches the server", func() bool {
				n++
				got = call(p, fmt.Sprintf("odd-%d", n))
				return got.status != http.StatusServiceUnavailable // an upstream that is marked down is tried again soon
			})
			whole := got.err == nil && got.status >= 200 && got.status < 300
			if whole != (answer.name == "sound") {
				t.Errorf("%s, %s: status %d, body %q, error %v", kind, answer.name, got.status, got.body, got.err)
			}
		}
	}
}

// MIXED: an answer with a status that no answer has.
func TestPlatformAnswersWithOddStatuses(t *testing.T) { testOddAnswers(t, oddStatuses) }

// MIXED: an answer with a malformed head, interim head or trailer, or that ends early.
func TestPlatformAnswersWithOddHeads(t *testing.T) { testOddAnswers(t, oddHeads) }

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
