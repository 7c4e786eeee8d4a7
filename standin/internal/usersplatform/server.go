package usersplatform

import (
	"cmp"
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

// ServerSpec describes a server to start.
type ServerSpec struct {
	// ID identifies the server; it is the key of its row in the table "servers".
	ID string `json:"id"`
	// Service is the name of the service that the server belongs to.
	Service string `json:"service"`
	// Zone is the zone in the server's entry.
	Zone string `json:"zone"`
	// Stage is "prefill", "decode" or "" for a plain service.
	Stage string `json:"stage"`
	// Slots is the number of requests that the server runs at the same time; less
	// than 1 means 1.
	Slots int `json:"slots"`
	// Software is the version of the server's software; "" means v1. The events of other versions
	// than v1 name it.
	Software string `json:"software"`
	// Address is that of a server that the test itself runs: only an entry is written for it.
	Address string `json:"address"`
}

// software returns the version of the server's software.
func (s ServerSpec) software() string { return cmp.Or(s.Software, firstSoftware) }

// firstSoftware is the version whose events do not name it.
const firstSoftware = "v1"

// ServerFault describes how a server fails.
type ServerFault struct {
	// Busy answers 503 and X-Not-Executed to every request.
	Busy bool `json:"busy"`
	// DropResponses runs plain requests and then resets the connection.
	DropResponses bool `json:"loseAnswers"`
	// ResetAfterEvents resets a stream after this number of events, in the
	// middle of the next one; 0 means never.
	ResetAfterEvents int `json:"cutAfter"`
	// Once clears the fault after the next request.
	Once bool `json:"once"`
	// NeverRespond accepts requests and never answers them.
	NeverRespond bool `json:"mute"`
	// EndWithConnection sends answers, streams too, with neither a length nor chunks:
	// they end when their connection does.
	EndWithConnection bool `json:"untilClose"`
	// EndAfterEvents ends a stream properly after this number of events, in the middle
	// of the next one; 0 means never.
	EndAfterEvents int `json:"endAfter"`
	// StallAfterEvents sends nothing more of a stream after this number of events, until the
	// request ends; 0 means never.
	StallAfterEvents int `json:"stallAfter"`
}

// Arrival is one request that reached a server.
type Arrival struct {
	// Attempt is the X-Attempt-Id header.
	Attempt string `json:"attempt"`
	// Server is the ID of the server.
	Server string `json:"server"`
	// Phase is "prefill", "decode" or "run" (a plain call).
	Phase string `json:"phase"`
	// Ran is false if the server rejected the request as not executed, and for
	// prefills.
	Ran bool `json:"ran"`
	// Software is the version of the server's software, and SourceSoftware that of the server whose
	// prefill result it fetched.
	Software       string `json:"software"`
	SourceSoftware string `json:"sourceSoftware,omitempty"`
	// After is the Last-Event-Id header.
	After string `json:"after,omitempty"`
	// Target is the request URI.
	Target string `json:"target"`
	// Body is the SHA-256 of the request body in hexadecimal.
	Body string `json:"body"`
	// Parts are the IDs of the parts of the prompt, of the X-Prompt-Prefix header.
	Parts []string `json:"parts,omitempty"`
	// Crashed reports whether the server crashed while it ran the request.
	Crashed bool `json:"crashed,omitempty"`
	// AtMs is the time of arrival in Unix milliseconds.
	AtMs int64 `json:"atMs"`
	// EndMs is the time at which the server stopped to work on the request, in Unix milliseconds; 0: it still works.
	EndMs int64 `json:"endMs,omitempty"`
}

// Server is one server of the platform, on a loopback port of its own.
type Server struct {
	spec     ServerSpec
	origin   string // the ID of the first process of which this one is a restart
	platform *Platform
	address  string
	bornMs   int64 // the start time, in Unix ms
	http     *http.Server
	listener net.Listener
	done     chan struct{}
	stop     sync.Once

	mu             sync.Mutex
	conns          map[net.Conn]bool
	running        map[*Arrival]bool
	fault          ServerFault
	limit          string // the rate that answers name as the server's limit; "" if none
	announcement   ServerAnnouncement
	handles        map[string]bool
	activeRequests int
	stageChanges   int64
	state          string // in the server's entry; "" once the server has removed it
	sequence       int64  // of the last entry
}

const (
	// handleTTL is how long a prefill result can be fetched.
	handleTTL = 500 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// prefillDuration is how long every prefill takes.
	prefillDuration = 20 * time.Millisecond
	// plainCallDuration is how long every plain call takes.
	plainCallDuration = 10 * time.Millisecond
	// tokensPerEvent is the number of tokens in an event.
	tokensPerEvent = 10
)

// startServer starts a server that listens on address and writes its entry to the
// store. origin is the ID of the first process of which it is a restart, or its own.
func (p *Platform) startServer(spec ServerSpec, origin, address string) error {
	if spec.Address != "" {
		s := &Server{spec: spec, origin: origin, platform: p, address: spec.Address, bornMs: time.Now().UnixMilli()}
		s.publish("ready")
		return nil
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", spec.ID, err)
	}
	s := &Server{
		spec: spec, origin: origin, platform: p, address: listener.Addr().String(), bornMs: time.Now().UnixMilli(), listener: listener,
		handles: map[string]bool{}, conns: map[net.Conn]bool{}, running: map[*Arrival]bool{}, done: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.trackConn}
	p.mu.Lock()
	p.servers[spec.ID] = s
	p.mu.Unlock()
	go s.run()
	s.publish("ready")
	return nil
}

func (s *Server) run() { _ = s.http.Serve(s.listener) }

// publish writes the server's entry, with the given state, to the store.
func (s *Server) publish(state string) {
	s.mu.Lock()
	s.state = state
	s.sequence++
	stage, sequence := s.spec.Stage, s.sequence
	s.mu.Unlock()
	entry := map[string]any{
		"Service": s.spec.Service, "Address": s.address, "Zone": s.spec.Zone, "Version": s.spec.software(),
		"Slots": max(1, s.spec.Slots), "State": state, "ColdLeftMs": 0, "Sequence": sequence, "born": s.bornMs,
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

// unlist removes the server's entry from the store.
func (s *Server) unlist() {
	s.mu.Lock()
	s.state = ""
	s.mu.Unlock()
	s.platform.store.Set("servers", s.spec.ID, nil)
}

// currentState returns the state in the server's entry, or "" once it has been removed.
func (s *Server) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// crash closes the server and all its connections. Its entry stays in the store
// unless gone is set.
func (s *Server) crash(gone bool) {
	s.stop.Do(s.close)
	if gone {
		s.platform.store.Set("servers", s.spec.ID, nil)
	}
}

// close takes the server from the platform, marks the requests that it runs and closes
// its connections.
func (s *Server) close() {
	p := s.platform
	p.mu.Lock()
	delete(p.servers, s.spec.ID)
	s.mu.Lock()
	for a := range s.running {
		a.Crashed = true
	}
	s.mu.Unlock()
	p.mu.Unlock()
	close(s.done)
	_ = s.http.Close()
}

func (s *Server) setFault(f ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// setLimit makes answers name a rate as the server's limit; 0 means none.
func (s *Server) setLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = ""
	if perSecond > 0 {
		s.limit = strconv.FormatFloat(perSecond, 'f', -1, 64)
	}
}

func (s *Server) namedLimit() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// announce sets what the server says of itself in all answers from now on.
func (s *Server) announce(a ServerAnnouncement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announcement = a
}

func (s *Server) announced() ServerAnnouncement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcement
}

// turnAway refuses a request and tells the daemon when to come back.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request, retryAfter []string) {
	id := r.Header.Get("X-Attempt-Id")
	s.platform.record(&Arrival{Attempt: id, Server: s.spec.ID, Phase: "refused", Target: r.RequestURI, AtMs: time.Now().UnixMilli()})
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Not-Executed", "1")
	w.Header()["Retry-After"] = retryAfter
	w.WriteHeader(http.StatusServiceUnavailable)
}

// consumeFault returns the fault for the current request and clears it if it has
// Once set.
func (s *Server) consumeFault() ServerFault {
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
	if limit := s.namedLimit(); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	a := s.announced()
	if a.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case len(a.RetryAfter) > 0:
		s.turnAway(w, r, a.RetryAfter)
	case r.URL.Path == "/health":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/hemlockmux/report":
		s.report(w)
	case r.URL.Path == "/hemlockmux/order":
		s.changeStage(w, r)
	case strings.HasPrefix(r.URL.Path, "/hemlockmux/kv-handle/"):
		s.consumeHandle(r.URL.Path[len("/hemlockmux/kv-handle/"):])
	default:
		s.serve(w, r)
	}
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Stage": s.spec.Stage, "Busy": false, "Sequence": s.stageChanges, "Active": s.activeRequests})
}

func (s *Server) changeStage(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Stage, Holder string
		FencingToken  int64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stageChanges++
	s.spec.Stage = o.Stage
	s.mu.Unlock()
	s.publish("ready")
	w.WriteHeader(http.StatusAccepted)
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
	arrival := &Arrival{
		Attempt: id, Server: s.spec.ID, Phase: "run", After: r.Header.Get("Last-Event-Id"), Target: r.RequestURI,
		Body: hex.EncodeToString(digest[:]), Parts: promptParts(r), AtMs: time.Now().UnixMilli(),
	}
	switch {
	case r.Header.Get("X-Stage") == "prefill":
		arrival.Phase = "prefill"
	case s.spec.Stage == "decode":
		arrival.Phase = "decode"
	}
	arrival.Software, arrival.SourceSoftware = s.spec.software(), s.sourceSoftware(r.Header.Get("X-Kv-Source"))
	fault := s.consumeFault()
	s.mu.Lock()
	full := s.activeRequests >= max(1, s.spec.Slots)
	s.mu.Unlock()
	if fault.Busy || full || arrival.Phase == "decode" && !s.readPrompt(r.Header.Get("X-Kv-Source")) {
		s.platform.record(arrival)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	arrival.Ran = arrival.Phase != "prefill"
	s.platform.record(arrival)
	s.begin(arrival)
	defer s.end(arrival)
	if arrival.Phase == "decode" {
		s.crashByPart(arrival)
	}
	if fault.EndWithConnection {
		// net/http then sends neither a length nor chunks and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	switch {
	case fault.NeverRespond:
		<-r.Context().Done()
	case arrival.Phase == "prefill":
		s.prefill(w)
	case arrival.Phase == "decode":
		s.stream(w, r, fault)
	default:
		s.servePlain(w, r, body, fault)
	}
}

func (s *Server) begin(a *Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests++
	s.running[a] = true
}

func (s *Server) end(a *Arrival) {
	s.platform.mu.Lock()
	a.EndMs = time.Now().UnixMilli()
	s.platform.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	delete(s.running, a)
}
