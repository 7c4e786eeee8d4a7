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
	"strings"
	"sync"
	"time"
)

// deskOptions configures the servers of a plain service. The names that the platform gives to calls and
// headers are flags.
type deskOptions struct {
	store, txPath, table, service, zone, healthPath                                  string
	idHeader, expectHeader, instanceHeader, sealHeader, notRunHeader, poison, record string
	count, slots, restartMs, heartbeatMs, workMs                                     int
}

// desk serves a plain service until the process is killed. A request whose path contains the word
// poison crashes the server that begins to run it: its connections are reset, and it is back after a
// while as another process with another id. Each request that reaches a server is recorded.
func desk(args []string) error {
	var o deskOptions
	f := flag.NewFlagSet("desk", flag.ExitOnError)
	f.StringVar(&o.store, "store", "", "IP:port of the store")
	f.StringVar(&o.txPath, "tx-path", "", "path of the store's transactions")
	f.StringVar(&o.table, "table", "servers", "table of the servers")
	f.StringVar(&o.service, "service", "desk", "name of the service")
	f.StringVar(&o.zone, "zone", "", "zone of the servers")
	f.StringVar(&o.healthPath, "health-path", "/health", "path of the health check")
	f.StringVar(&o.idHeader, "id-header", "", "header that names an attempt")
	f.StringVar(&o.expectHeader, "expect-header", "", "header with the id of the only server that may run a request")
	f.StringVar(&o.instanceHeader, "instance-header", "", "header with the id of the server that answers")
	f.StringVar(&o.sealHeader, "seal-header", "", "header with the server's signature")
	f.StringVar(&o.notRunHeader, "not-run-header", "", "header that says that a request was not run")
	f.StringVar(&o.poison, "poison", "", "word in the path of a request that crashes servers; empty: none does")
	f.StringVar(&o.record, "record", "", "file that records what reaches servers")
	f.IntVar(&o.count, "count", 3, "number of servers")
	f.IntVar(&o.slots, "slots", 6, "requests that a server runs at once")
	f.IntVar(&o.restartMs, "restart", 3000, "time until a crashed server is back, in ms")
	f.IntVar(&o.heartbeatMs, "heartbeat", 1200, "time between two writes of a server's entry, in ms")
	f.IntVar(&o.workMs, "work", 15, "time that a request takes, in ms")
	if err := f.Parse(args); err != nil {
		return err
	}
	record, err := os.Create(o.record)
	if err != nil {
		return err
	}
	d := &deskService{o: o, record: record}
	for i := range o.count {
		if err := d.start(fmt.Sprintf("i-desk%d", i+1), 1); err != nil {
			return err
		}
	}
	select {}
}

type deskService struct {
	o      deskOptions
	mu     sync.Mutex
	record *os.File
}

// note writes a line of the record.
func (d *deskService) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// deskServer is one process of a server.
type deskServer struct {
	d        *deskService
	name     string
	start    int // number of the process
	id       string
	address  string
	bornMs   int64
	listener net.Listener
	http     *http.Server
	crashed  chan struct{}
	once     sync.Once
	slots    chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int
}

func (d *deskService) start(name string, start int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &deskServer{
		d: d, name: name, start: start, id: fmt.Sprintf("%s-%d", name, start), address: listener.Addr().String(),
		bornMs: time.Now().UnixMilli(), listener: listener, crashed: make(chan struct{}), slots: make(chan struct{}, d.o.slots), conns: map[net.Conn]bool{},
	}
	s.http = &http.Server{Handler: s, ConnState: s.connState}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat()
	return nil
}

// connState keeps track of the connections.
func (s *deskServer) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = true
	}
	if state == http.StateClosed {
		delete(s.conns, c)
	}
}

// beat writes the server's entry at intervals. The platform removes it three intervals after the last.
func (s *deskServer) beat() {
	interval := time.Duration(s.d.o.heartbeatMs) * time.Millisecond
	for {
		s.write(true)
		select {
		case <-s.crashed:
			time.Sleep(3 * interval)
			s.write(false)
			return
		case <-time.After(interval):
		}
	}
}

// row is a row of the store.
type row struct {
	Table string
	Part  string `json:"part"`
	Key   string
	Value []byte `json:",omitempty"`
}

// write writes or removes the server's entry.
func (s *deskServer) write(listed bool) {
	s.sequence++
	value, err := json.Marshal(map[string]any{
		"Service": s.d.o.service, "Address": s.address, "Zone": s.d.o.zone, "Version": "v1", "Slots": s.d.o.slots, "State": "ready",
		"ColdLeftMs": 0, "Sequence": s.sequence, "born": s.bornMs,
	})
	if err != nil {
		return
	}
	tx := struct{ Expected, SetKeys, Remove []row }{[]row{}, []row{}, []row{}}
	one := row{Table: s.d.o.table, Key: s.id}
	if listed {
		one.Value = value
		tx.SetKeys = append(tx.SetKeys, one)
	} else {
		tx.Remove = append(tx.Remove, one)
	}
	body, err := json.Marshal(tx)
	if err != nil {
		return
	}
	resp, err := http.Post("http://"+s.d.o.store+s.d.o.txPath, "application/json", bytes.NewReader(body))
	if err != nil {
		s.d.note("entry of %s not written: %v", s.id, err)
		return
	}
	_ = resp.Body.Close()
}

// ServeHTTP implements [http.Handler].
func (s *deskServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o := s.d.o
	w.Header().Set(o.instanceHeader, s.id)
	if r.URL.Path == o.healthPath {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(o.idHeader)
	w.Header().Set(o.idHeader, id)
	if expected := r.Header.Get(o.expectHeader); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set(o.notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	poison := o.poison != "" && strings.Contains(r.URL.Path, o.poison)
	s.d.note("run %s %s %s crash=%t", id, s.id, r.RequestURI, poison)
	time.Sleep(time.Duration(o.workMs) * time.Millisecond)
	if poison {
		s.once.Do(s.crash)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(o.sealHeader, "seal-"+s.id)
	_, _ = fmt.Fprintf(w, "answer to %d bytes", len(body))
}

// crash resets the connections of the server, and has it start again later.
func (s *deskServer) crash() {
	s.d.note("crash %s", s.id)
	close(s.crashed)
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	time.AfterFunc(time.Duration(s.d.o.restartMs)*time.Millisecond, func() {
		if err := s.d.start(s.name, s.start+1); err != nil {
			s.d.note("%s not started again: %v", s.name, err)
		}
	})
}
