package usersplatform

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServerSpec says what a server is.
type ServerSpec struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Stage is "prefill", "decode" or "" for a plain service.
	Stage string `json:"stage"`
	Slots int    `json:"slots"`
}

// ServerFault is how a server fails.
type ServerFault struct {
	// Busy refuses all work as not run.
	Busy bool `json:"busy"`
	// DropResponses runs requests and then resets the connection.
	DropResponses bool `json:"loseAnswers"`
	// ResetAfterEvents resets a stream after so many events; 0: never.
	ResetAfterEvents int `json:"cutAfter"`
	// Once clears the fault after it has struck once.
	Once bool `json:"once"`
	// NeverRespond takes requests and never answers.
	NeverRespond bool `json:"mute"`
}

// Arrival is one request that reached a server.
type Arrival struct {
	Attempt string `json:"attempt"`
	Server  string `json:"server"`
	// Phase is "prefill", "decode" or "run".
	Phase string `json:"phase"`
	// Ran is false where the server said that it did not run the request.
	Ran    bool   `json:"ran"`
	After  string `json:"after,omitempty"` // Last-Event-Id
	Target string `json:"target"`
	Body   string `json:"body"` // SHA-256
	AtMs   int64  `json:"atMs"`
}

// Server is one server.
type Server struct {
	spec     ServerSpec
	platform *Platform
	address  string
	http     *http.Server
	listener net.Listener
	done     chan struct{}

	mu      sync.Mutex
	fault   ServerFault
	handles map[string]bool
	active  int
	orders  int64
}

const (
	// handleLives is how long a prefill's result is kept.
	handleLives = 500 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 15 * time.Millisecond
	// prefillTime is how long a prompt is read, plainTime how long a plain call
	// is worked on.
	prefillTime = 20 * time.Millisecond
	plainTime   = 10 * time.Millisecond
	// stride is the number of tokens in an event.
	stride = 10
)

// startServer starts a server and enters it into the list.
func (p *Platform) startServer(spec ServerSpec) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for server %s: %w", spec.ID, err)
	}
	s := &Server{
		spec: spec, platform: p, address: listener.Addr().String(), listener: listener, handles: map[string]bool{}, done: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go s.run()
	s.enter("ready")
	return s, nil
}

func (s *Server) run() { _ = s.http.Serve(s.listener) }

// enter writes the server's entry.
func (s *Server) enter(state string) {
	s.mu.Lock()
	stage := s.spec.Stage
	s.mu.Unlock()
	entry := map[string]any{
		"Service": s.spec.Service, "Address": s.address, "Zone": s.spec.Zone, "Version": "v1",
		"Slots": max(1, s.spec.Slots), "State": state, "ColdLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	}
	if stage != "" {
		entry["Stage"] = stage
		entry["Models"] = []any{map[string]any{"Name": "m", "Version": 1}}
	}
	value, err := json.Marshal(entry)
	if err == nil {
		s.platform.store.Set("servers", s.spec.ID, value)
	}
}

// crash ends the server with all its connections; its entry stays for a while
// unless gone is set.
func (s *Server) crash(gone bool) {
	close(s.done)
	_ = s.http.Close()
	if gone {
		s.platform.store.Set("servers", s.spec.ID, nil)
	}
}

func (s *Server) setFault(f ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// takeFault returns the fault that strikes this request.
func (s *Server) takeFault() ServerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Once {
		s.fault = ServerFault{}
	}
	return f
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.spec.ID)
	switch {
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/hemlockmux/report":
		s.report(w)
	case r.URL.Path == "/hemlockmux/order":
		s.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/hemlockmux/kv-handle/"):
		s.takeHandle(r.URL.Path[len("/hemlockmux/kv-handle/"):])
	default:
		s.serve(w, r)
	}
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Stage": s.spec.Stage, "Busy": false, "Sequence": s.orders, "Active": s.active})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Stage, Holder string
		FencingToken  int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.orders++
	s.spec.Stage = o.Stage
	s.mu.Unlock()
	s.enter("ready")
	w.WriteHeader(http.StatusAccepted)
}

func (s *Server) takeHandle(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.handles[handle]
	delete(s.handles, handle)
	return ok
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.spec.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	digest := sha256.Sum256(body)
	run := Arrival{
		Attempt: id, Server: s.spec.ID, Phase: "run", After: r.Header.Get("Last-Event-Id"), Target: r.RequestURI,
		Body: hex.EncodeToString(digest[:]), AtMs: time.Now().UnixMilli(),
	}
	switch {
	case r.Header.Get("X-Stage") == "prefill":
		run.Phase = "prefill"
	case s.spec.Stage == "decode":
		run.Phase = "decode"
	}
	fault := s.takeFault()
	s.mu.Lock()
	full := s.active >= max(1, s.spec.Slots)
	s.mu.Unlock()
	if fault.Busy || full || run.Phase == "decode" && !s.fetch(r.Header.Get("X-Kv-Source")) {
		s.platform.record(run)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active--
	}()
	run.Ran = run.Phase != "prefill"
	s.platform.record(run)
	switch {
	case fault.NeverRespond:
		<-r.Context().Done()
	case run.Phase == "prefill":
		s.prefill(w)
	case run.Phase == "decode":
		s.stream(w, r, fault)
	default:
		s.plain(w, body, fault)
	}
}

func (s *Server) plain(w http.ResponseWriter, body []byte, fault ServerFault) {
	time.Sleep(plainTime)
	if fault.DropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Seal", "seal-"+s.spec.ID)
	_, _ = fmt.Fprintf(w, "answer of %d bytes asked", len(body))
}

func (s *Server) prefill(w http.ResponseWriter) {
	time.Sleep(prefillTime)
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails.
	handle := hex.EncodeToString(random[:])
	s.mu.Lock()
	s.handles[handle] = true
	s.mu.Unlock()
	time.AfterFunc(handleLives, func() { s.takeHandle(handle) })
	reply(w, http.StatusOK, map[string]any{"KvHandle": handle, "Tokens": 100, "Version": 1})
}

// fetch takes a prefill's result from the server that made it.
func (s *Server) fetch(source string) bool {
	address, handle, ok := strings.Cut(source, "/")
	if !ok {
		return false
	}
	from := s.platform.serverAt(address)
	return from != nil && from.takeHandle(handle)
}

// stream sends as many events as the most output tokens hold.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault ServerFault) {
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(out)
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after
	}
	w.Header().Set("X-Server-Seal", "seal-"+s.spec.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for i := first + 1; i <= tokens/stride; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-s.done:
			panic(http.ErrAbortHandler)
		case <-time.After(eventPause):
		}
		if fault.ResetAfterEvents > 0 && i-first > fault.ResetAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // in the middle of an event
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		if flush() != nil {
			return
		}
	}
}
