package usersplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Platform is the stand-in platform: one store and any number of servers.
type Platform struct {
	store *Store

	mu       sync.Mutex
	servers  map[string]*Server
	arrivals []*Arrival
	crashes  []Crash
	parts    CrashParts
	starts   map[string]int // by the ID of the first process: the processes started after it
}

// NewPlatform returns a platform without servers.
func NewPlatform() *Platform {
	return &Platform{store: NewStore(), servers: map[string]*Server{}, starts: map[string]int{}}
}

func (p *Platform) record(r *Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, r)
}

// runs returns copies of all arrivals.
func (p *Platform) runs() []Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := []Arrival{}
	for _, a := range p.arrivals {
		runs = append(runs, *a)
	}
	return runs
}

func (p *Platform) serverAt(address string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

func (p *Platform) server(id string) *Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[id]
}

// AdminHandler serves the calls by which tests control the platform:
//
//	PUT  /config              the operator's configuration
//	POST /servers             start a server (ServerSpec)
//	POST /servers/ID/fault    ServerFault
//	POST /servers/ID/limit    name a limit in all answers (ServerLimit)
//	POST /servers/ID/announce say something of itself in all answers (ServerAnnouncement)
//	POST /servers/ID/drain    set the server's state to draining
//	POST /servers/ID/unlist   remove the server's entry; it goes on serving
//	POST /servers/ID/crash    stop the server; ?gone=1 also removes its entry
//	POST /store/fault         StoreFault
//	POST /store/addresses     open one more address of the store ([StoreAddress]), so
//	                          that a fault can strike some daemons only
//	POST /store/forget        drop the store's change history
//	POST /store/copy          copy the store's content
//	POST /store/restore       restore the store from the copy (StoreRestore)
//	PUT  /crash-parts         the parts of prompts that crash decode engines (CrashParts)
//	GET  /runs                all requests that reached servers ([]Arrival)
//	GET  /crashes             all crashes by parts of prompts, in order ([]Crash)
func (p *Platform) AdminHandler() http.Handler {
	r := chi.NewRouter()
	r.Put("/config", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.store.Set("op", "config", body)
	})
	r.Post("/servers", func(w http.ResponseWriter, r *http.Request) {
		var spec ServerSpec
		if !decode(w, r, &spec) {
			return
		}
		if err := p.startServer(spec, spec.ID, "127.0.0.1:0"); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	r.Post("/servers/{id}/{what}", p.controlServer)
	r.Post("/store/fault", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFault
		if decode(w, r, &f) {
			p.store.SetFault(f)
		}
	})
	r.Post("/store/addresses", func(w http.ResponseWriter, _ *http.Request) {
		address, err := listen(p.store)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		reply(w, http.StatusOK, StoreAddress{Store: address})
	})
	r.Post("/store/forget", func(http.ResponseWriter, *http.Request) { p.store.CompactHistory() })
	r.Post("/store/copy", func(http.ResponseWriter, *http.Request) { p.store.Copy() })
	r.Post("/store/restore", func(w http.ResponseWriter, r *http.Request) {
		var o StoreRestore
		if decode(w, r, &o) {
			p.restoreStore(w, o)
		}
	})
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, p.runs())
	})
	r.Put("/crash-parts", func(w http.ResponseWriter, r *http.Request) {
		var parts CrashParts
		if decode(w, r, &parts) {
			p.setCrashParts(parts)
		}
	})
	r.Get("/crashes", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.allCrashes()) })
	return r
}

func (p *Platform) controlServer(w http.ResponseWriter, r *http.Request) {
	s := p.server(chi.URLParam(r, "id"))
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch chi.URLParam(r, "what") {
	case "fault":
		var f ServerFault
		if decode(w, r, &f) {
			s.setFault(f)
		}
	case "limit":
		var l ServerLimit
		if decode(w, r, &l) {
			s.setLimit(l.PerSecond)
		}
	case "announce":
		var a ServerAnnouncement
		if decode(w, r, &a) {
			s.announce(a)
		}
	case "drain":
		s.publish("draining")
	case "unlist":
		s.unlist()
	case "crash":
		s.crash(r.FormValue("gone") != "")
	}
}

// ServerLimit is the limit that a server names.
type ServerLimit struct {
	// PerSecond is the number of requests a second that the server takes from all daemons
	// together; 0 ends the limit.
	PerSecond float64 `json:"perSecond"`
}

// ServerAnnouncement is what a server says of itself in its answers.
type ServerAnnouncement struct {
	// Leaving makes all answers say that the server shuts down.
	Leaving bool `json:"leaving"`
	// RetryAfter makes the server refuse all requests with status 503 and these values of the header
	// Retry-After, unless it is empty.
	RetryAfter []string `json:"retryAfter"`
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Addresses are the listening addresses that the command prints, as host:port.
type Addresses struct {
	// Store is the address of the store.
	Store string `json:"store"`
	// Admin is the address of the administration calls.
	Admin string `json:"admin"`
}

// StoreAddress is one more address (IP:port) at which the store is served.
type StoreAddress struct {
	Store string `json:"store"`
}

// listen serves a handler on a free port until the process ends and returns the
// address.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Run starts the platform, prints its addresses and serves until the process ends.
func Run() error {
	p := NewPlatform()
	var a Addresses
	var err error
	if a.Store, err = listen(p.store); err != nil {
		return err
	}
	if a.Admin, err = listen(p.AdminHandler()); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(a); err != nil {
		return fmt.Errorf("write addresses to stdout: %w", err)
	}
	select {}
}
