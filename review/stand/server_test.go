package stand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is the host name of all routes.
const host = "ficu95.example"

// roundTrip writes a request to a connection to the letter and reads the answer.
func roundTrip(conn net.Conn, method, target, id, body string, deadline time.Duration, header http.Header) (*http.Response, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	_ = header.Write(&b)
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
}

// plainServer is one server of a plain service, which may crash and start again.
type plainServer struct {
	name, service string
	slots         int
	store         *store
	work          time.Duration
	// onRun is called when the server begins to run a request. It returns true if that crashes it.
	onRun func(server, id string, r *http.Request, body []byte) (crash bool)
	// onCut is called for each other request that a crash of the server breaks off.
	onCut func(server, id string)

	mu      sync.Mutex
	id      string // of this incarnation
	starts  int
	address string
	conns   map[net.Conn]bool
	running map[string]bool
	current *http.Server
	down    bool
	beats   int64
}

// backAfter is how long a crashed server is away.
const backAfter = 2 * time.Second

// beat is the interval at which servers write their entries.
const beat = 1200 * time.Millisecond

func (s *plainServer) start() {
	l, err := net.Listen("tcp4", orDefault(s.address, "127.0.0.1:0"))
	must(err)
	s.mu.Lock()
	s.address = l.Addr().String()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	s.conns, s.running, s.down, s.beats = map[net.Conn]bool{}, map[string]bool{}, false, 0
	srv := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.track}
	s.current = srv
	born := time.Now().UnixMilli()
	id := s.id
	s.mu.Unlock()
	go srv.Serve(l)
	go s.register(id, born)
}

func orDefault(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// register writes the server's entry until its process is gone; the entry goes after three beats.
func (s *plainServer) register(id string, born int64) {
	for {
		s.mu.Lock()
		alive := s.id == id && !s.down
		s.beats++
		entry, _ := json.Marshal(map[string]any{
			"Service": s.service, "Address": s.address, "Zone": "brandon-a", "Version": "v1", "Slots": s.slots, "State": "ready",
			"ColdLeftMs": 0, "Sequence": s.beats, "born": born,
		})
		first := s.beats == 1
		s.mu.Unlock()
		if !alive {
			time.Sleep(3 * beat)
			s.store.set("servers", id, nil)
			return
		}
		if first { // later ones change nothing but the number
			s.store.set("servers", id, entry)
		}
		time.Sleep(beat)
	}
}

func (s *plainServer) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash resets all connections; the server is back after a while, as another incarnation.
func (s *plainServer) crash(by string) {
	s.mu.Lock()
	s.down = true
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	var cut []string
	for id := range s.running {
		if id != by {
			cut = append(cut, id)
		}
	}
	id, srv := s.id, s.current
	s.mu.Unlock()
	_ = srv.Close()
	for _, other := range cut {
		s.onCut(id, other)
	}
	time.AfterFunc(backAfter, s.start)
}

func (s *plainServer) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, full, down := s.id, len(s.running) >= s.slots, s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if full || attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.running[attempt] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.running, attempt)
		s.mu.Unlock()
	}()
	if s.onRun(id, attempt, r, body) {
		s.crash(attempt)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	s.mu.Lock()
	gone := s.down || s.id != id
	s.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	answer := "done " + attempt
	w.Header().Set("X-Server-Seal", "seal-"+id+"-"+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 200, "Priority": 2,
		"Service": service, "MaxAttempts": attempts, "Sticky": false, "Resumable": false, "GapTargetMs": 0,
	}
}

// configure writes a configuration with one plain service.
func configure(s *store, version int, routes ...map[string]any) {
	raw, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": "order-desk", "HealthPath": "/health", "MaxConns": 96, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.set("op", "config", raw)
}
