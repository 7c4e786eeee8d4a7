package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineOptions configures the model servers.
type engineOptions struct {
	n                                      names
	store, service, zone, stages, record   string
	slots, memory, stride                  int
	heartbeatMs, swapMs, eventMs, handleMs int
	prefillTokensPerMs                     float64
}

// engines serves a model until the process is killed, with one server for each stage of a list. Servers
// carry out each valid order, and each order that reaches one is recorded: when, which server, the
// holder, the fencing token, the stage and the answer.
func engines(args []string) error {
	var o engineOptions
	f := flag.NewFlagSet("engines", flag.ExitOnError)
	f.StringVar(&o.store, "store", "", "IP:port of the store")
	f.StringVar(&o.service, "service", "models", "name of the service")
	f.StringVar(&o.zone, "zone", "", "zone of the servers")
	f.StringVar(&o.stages, "stages", "", "ID=STAGE of each server, separated by commas")
	f.StringVar(&o.record, "record", "", "file that records the orders")
	f.IntVar(&o.slots, "slots", 48, "requests that a server runs at once")
	f.IntVar(&o.memory, "memory", 76160, "tokens that fit into a server's memory")
	f.IntVar(&o.stride, "stride", 10, "tokens in an event")
	f.IntVar(&o.heartbeatMs, "heartbeat", 1200, "time between two writes of a server's entry, in ms")
	f.IntVar(&o.swapMs, "swap", 6000, "time that a change of the stage takes, in ms")
	f.IntVar(&o.eventMs, "event", 20, "time between two events, in ms")
	f.IntVar(&o.handleMs, "handle", 500, "time for which the memory of a prompt is kept, in ms")
	f.Float64Var(&o.prefillTokensPerMs, "prefill", 50, "prompt tokens read in a ms")
	if err := f.Parse(args); err != nil {
		return err
	}
	var err error
	if o.n, err = loadNames(); err != nil {
		return err
	}
	record, err := os.Create(o.record)
	if err != nil {
		return err
	}
	fleet := &engineFleet{o: o, record: record, handles: map[string]bool{}}
	for one := range strings.SplitSeq(o.stages, ",") {
		id, stage, _ := strings.Cut(one, "=")
		if err := fleet.start(id, stage); err != nil {
			return err
		}
	}
	select {}
}

// engineFleet holds the servers and what they share.
type engineFleet struct {
	o       engineOptions
	mu      sync.Mutex
	record  *os.File
	handles map[string]bool // memory of prompts that can be fetched, as IP:PORT/HANDLE
	made    int             // number of handles
}

func (f *engineFleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// keep makes a handle at a server, which lapses after a while.
func (f *engineFleet) keep(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made++
	handle := fmt.Sprintf("%012x", f.made*2654435761)
	f.handles[address+"/"+handle] = true
	time.AfterFunc(time.Duration(f.o.handleMs)*time.Millisecond, func() { f.take(address + "/" + handle) })
	return handle
}

// take takes a handle, which can be done once.
func (f *engineFleet) take(source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.handles[source]
	delete(f.handles, source)
	return ok
}

// engineServer is one server.
type engineServer struct {
	f       *engineFleet
	id      string
	address string
	bornMs  int64

	mu       sync.Mutex
	stage    string
	busy     bool // an order is being carried out
	orders   int64
	active   int
	sequence int64
	writing  sync.Mutex // held while the entry is written
}

func (f *engineFleet) start(id, stage string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &engineServer{f: f, id: id, address: listener.Addr().String(), bornMs: time.Now().UnixMilli(), stage: stage}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	go s.beat()
	return nil
}

func (s *engineServer) beat() {
	for {
		s.write()
		time.Sleep(time.Duration(s.f.o.heartbeatMs) * time.Millisecond)
	}
}

// storeRow is a row of the store.
type storeRow struct {
	Table string
	Part  string `json:"part"`
	Key   string
	Value []byte
}

// write writes the server's entry.
func (s *engineServer) write() {
	s.writing.Lock()
	defer s.writing.Unlock()
	o := s.f.o
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"Service": o.service, "Address": s.address, "Zone": o.zone, "Version": "v1", "Slots": o.slots, "State": "ready",
		"ColdLeftMs": 0, "Sequence": s.sequence, "born": s.bornMs, "Stage": s.stage, "Models": models(),
	}
	s.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		return
	}
	body, err := json.Marshal(map[string]any{
		"Expected": []any{}, "Remove": []any{}, "SetKeys": []storeRow{{Table: "servers", Key: s.id, Value: value}},
	})
	if err != nil {
		return
	}
	resp, err := http.Post("http://"+o.store+o.n.RowsTx, "application/json", bytes.NewReader(body))
	if err != nil {
		s.f.note("entryNotWritten server=%s %v", s.id, err)
		return
	}
	_ = resp.Body.Close()
}

func models() []any { return []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}} }

// ServeHTTP implements [http.Handler].
func (s *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := s.f.o.n
	w.Header().Set(n.Instance, s.id)
	switch path := r.URL.Path; {
	case path == "/health":
	case path == n.Report:
		s.report(w)
	case strings.HasPrefix(path, n.Handle):
		s.f.take(s.address + "/" + strings.TrimPrefix(path, n.Handle))
	case path == n.HoldTake:
		answer(w, http.StatusOK, map[string]any{"Hold": "h"})
	case strings.HasPrefix(path, n.HoldDrop):
	case r.Header.Get(n.Expect) != "" && r.Header.Get(n.Expect) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case path == n.Order:
		s.order(w, r)
	default:
		s.request(w, r)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *engineServer) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{
		"Stage": s.stage, "Models": models(), "Busy": s.busy, "Sequence": s.orders, "Queued": 0, "Active": s.active,
		"KvUsed": 0, "KvTotal": s.f.o.memory, "KvHandles": 0,
	})
}

// order carries an order out.
func (s *engineServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode, Stage, Holder string
		FencingToken          int64
		Expected              *int64
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	status := s.accept(o.Stage, err != nil || o.Opcode != "Stage" || o.Holder == "" || o.FencingToken == 0, o.Expected)
	s.f.note("order server=%s holder=%s from=%s fence=%d stage=%s answer=%d", s.id, o.Holder, host(r.RemoteAddr), o.FencingToken, o.Stage, status)
	w.WriteHeader(status)
}

func host(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}

func (s *engineServer) accept(stage string, wrong bool, expected *int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case wrong:
		return http.StatusBadRequest
	case s.busy || expected != nil && *expected != s.orders:
		return http.StatusConflict
	case stage == s.stage:
		return http.StatusOK
	}
	s.orders++
	s.busy = true
	time.AfterFunc(time.Duration(s.f.o.swapMs)*time.Millisecond, func() { s.swap(stage) })
	return http.StatusAccepted
}

func (s *engineServer) swap(stage string) {
	s.mu.Lock()
	s.stage, s.busy = stage, false
	s.mu.Unlock()
	s.write()
}

// request serves a request: it reads a prompt, or streams an answer.
func (s *engineServer) request(w http.ResponseWriter, r *http.Request) {
	o, n := s.f.o, s.f.o.n
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set(n.Attempt, r.Header.Get(n.Attempt))
	in, out, _ := strings.Cut(r.Header.Get(n.Tokens), ",")
	prompt, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	prefill := r.Header.Get(n.Stage) == "prefill"
	status := s.begin(prefill)
	if status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set(n.NotRun, "1")
		}
		w.WriteHeader(status)
		return
	}
	defer s.end()
	if prefill {
		time.Sleep(time.Duration(float64(prompt)/o.prefillTokensPerMs) * time.Millisecond)
		answer(w, http.StatusOK, map[string]any{"KvHandle": s.f.keep(s.address), "Tokens": prompt, "Version": 1})
		return
	}
	if source := r.Header.Get(n.Source); source != "" && !s.f.take(source) {
		w.Header().Set(n.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(n.Seal, "seal-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(n.LastEvent))
	for i := first + 1; i <= max(1, output/o.stride); i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(o.eventMs) * time.Millisecond):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// begin takes a place for a request, or returns the status with which it is rejected.
func (s *engineServer) begin(prefill bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case prefill != (s.stage == "prefill"):
		return http.StatusMisdirectedRequest
	case s.busy || s.active >= s.f.o.slots:
		return http.StatusServiceUnavailable
	}
	s.active++
	return 0
}

func (s *engineServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
