// Package usersplatform is a small stand-in for the users' platform: its store of
// rows and objects, and its servers, which run prefill, decode or plain calls.
// Faults can be injected into the store and into each server. The platform records
// the requests that its servers ran or refused, so that end-to-end tests can compare
// the record with the answers that callers received.
//
// # Usage
//
//	standin users-platform
//
// prints its addresses as one line of JSON; see [Platform.AdminHandler] for the
// administration calls.
package usersplatform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is one row of the store.
type Row struct {
	// Table, Part and Key identify the row.
	Table string
	Part  string `json:"part"`
	Key   string
	// Value is the content of the row.
	Value []byte
	// Ver is the store's version after the write; every write increments it.
	Ver int64
	// Removed marks the row as deleted.
	Removed bool `json:",omitempty"`
}

type rowID struct{ table, part, key string }

// Store holds rows and objects in memory and serves them over HTTP.
type Store struct {
	mu               sync.Mutex
	version          int64
	rows             map[rowID]Row
	history          []Row // ascending by version
	compactedVersion int64 // changes up to this version are no longer in history
	objects          map[string][]byte
	changed          chan struct{} // closed at the next change
	started          time.Time
	fault            StoreFault
	era              int64      // rises with each restore
	copied           *storeCopy // nil until a copy is made
}

// StoreFault describes how the store fails.
type StoreFault struct {
	// Mode is "" (no fault), "busy" (answer 503), "reset" (reset the connection) or
	// "silent" (never answer).
	Mode string `json:"mode"`
	// At limits Mode to callers of these addresses (IP:port) of the store, see
	// [Platform.AdminHandler]; an empty list means all callers.
	At []string `json:"at"`
	// DropWriteResponses makes the store carry out transactions and reset the connection
	// instead of answering.
	DropWriteResponses bool `json:"loseWrites"`
}

// strikes reports whether the fault's mode applies to a request.
func (f StoreFault) strikes(r *http.Request) bool {
	address, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return len(f.At) == 0 || ok && slices.Contains(f.At, address.String())
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowID]Row{}, objects: map[string][]byte{}, changed: make(chan struct{}), started: time.Now(), era: firstEra}
}

// SetFault replaces the fault in force.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// CompactHistory drops the change history. A feed that asks for changes from before
// this point then gets 410 Gone.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
}

// Set writes a row, or removes it if value is nil.
func (s *Store) Set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(Row{Table: table, Key: key, Value: value, Removed: value == nil})
	s.notifyLocked()
}

func (s *Store) setLocked(r Row) {
	s.version++
	r.Ver = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements [http.Handler].
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.strikes(r) {
		switch fault.Mode {
		case "busy":
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "reset":
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
			return
		}
	}
	s.tellEra(w)
	switch path := r.URL.Path; {
	case path == "/hemlockmux/rows-get":
		s.get(w, r)
	case path == "/hemlockmux/rows-feed":
		s.feed(w, r)
	case path == "/hemlockmux/rows-tx":
		s.transact(w, r, fault.DropWriteResponses)
	case strings.HasPrefix(path, "/hemlockmux/blob-"):
		s.blob(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type page struct {
	Rows    []Row
	HasMore bool
	Ver     int64
	NowMs   int64
}

func (s *Store) pageLocked(rows []Row) page {
	return page{Rows: rows, Ver: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rows := []Row{}
	for id, row := range s.rows {
		if id.table == r.FormValue("Table") && id.part == r.FormValue("part") && id.key >= r.FormValue("From") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	answer := s.pageLocked(rows)
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compactedVersion || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []Row
		for _, row := range s.history {
			if row.Ver > after && row.Table == r.FormValue("Table") {
				rows = append(rows, row)
			}
		}
		answer, changed := s.pageLocked(rows), s.changed
		silent := s.fault.Mode == "silent" && s.fault.strikes(r)
		s.mu.Unlock()
		if silent { // calls that were waiting when the fault began get no answer either
			<-r.Context().Done()
			return
		}
		if len(rows) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.mu.Lock()
			answer = s.pageLocked(nil)
			s.mu.Unlock()
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, dropResponse bool) {
	var tx struct{ Expected, SetKeys, Remove []Row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []Row
	conflict := false
	for _, want := range tx.Expected {
		row, ok := s.rows[rowID{want.Table, want.Part, want.Key}]
		if ok {
			current = append(current, row)
		}
		conflict = conflict || row.Ver != want.Ver
	}
	status, rows := http.StatusOK, []Row(nil)
	if conflict {
		status, rows = http.StatusPreconditionFailed, current
	} else {
		// setLocked gives each row of the transaction a version of its own.
		for _, row := range tx.SetKeys {
			s.setLocked(row)
		}
		for _, row := range tx.Remove {
			row.Removed = true
			s.setLocked(row)
		}
		s.notifyLocked()
	}
	answer := s.pageLocked(rows)
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

// blob serves the object calls: put, get, delete and list.
func (s *Store) blob(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodPut:
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.objects[name] = data
	case http.MethodDelete:
		delete(s.objects, name)
	case http.MethodGet:
		if strings.HasSuffix(r.URL.Path, "/blob-list") {
			s.listLocked(w, r)
			return
		}
		data, ok := s.objects[name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(data)
	}
}

func (s *Store) listLocked(w http.ResponseWriter, r *http.Request) {
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, r.FormValue("Prefix")) && name > r.FormValue("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	reply(w, http.StatusOK, map[string]any{"names": names, "HasMore": false})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
