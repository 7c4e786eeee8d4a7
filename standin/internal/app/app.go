// Package app runs the stand-ins of one deployment in one process: the platform, the
// model engines and the plain services, each on a port of its own, and an
// administration port for fault injection.
//
// # Usage
//
//	cfg, system, err := app.LoadConfig("standin.toml")
//	err = app.Run(ctx, cfg, system, log)
//
// On the administration port, POST /faults puts a fault in force, DELETE /faults ends
// all faults, POST /vms/{name}/{state} changes the VM list, POST /blind makes the table
// ignore the conditions of transactions, and GET /state returns a [State].
package app

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/platform/memory"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/standin/internal/engine"
	"hemlockmux.example/standin/internal/eventlog"
	"hemlockmux.example/standin/internal/fault"
	"hemlockmux.example/standin/internal/objects"
	"hemlockmux.example/standin/internal/service"
	"hemlockmux.example/standin/internal/table"
	"hemlockmux.example/standin/internal/vms"
)

// restartDelay is the time from a crash of an upstream until it listens again.
const restartDelay = 500 * time.Millisecond

// State is the answer to GET /state.
type State struct {
	// PiecesHeld is the allocated KV cache memory of each engine, in pieces.
	PiecesHeld map[string]int `json:"piecesHeld"`
	// TableReads counts the ranges and the transactions without a write since the start.
	TableReads int64 `json:"tableReads"`
	// TableWrites counts the other transactions since the start.
	TableWrites int64 `json:"tableWrites"`
	// ObjectPuts counts the PUT calls to the object store since the start.
	ObjectPuts int64 `json:"objectPuts"`
}

// App holds all stand-ins of one deployment.
type App struct {
	log     *zap.Logger
	events  *eventlog.Log
	table   *memory.Table
	objects *objects.Store
	vms     *vms.List
	engines map[string]*engine.Engine
	faults  map[string]*fault.Injector
	servers []*server
	cleanup []func()
}

// Run starts all stand-ins and serves until ctx is cancelled.
func Run(ctx context.Context, cfg Config, system settings.System, log *zap.Logger) error {
	a, closeApp, err := New(cfg, system, log)
	if err != nil {
		return err
	}
	defer closeApp()
	log.Info("stand-ins are serving", zap.Int("upstreams", len(system.Upstreams)), zap.String("admin", cfg.Admin))
	_ = a
	<-ctx.Done()
	return nil
}

// New starts all stand-ins and returns the function that stops them.
func New(cfg Config, system settings.System, log *zap.Logger) (*App, func(), error) {
	events, closeEvents, err := eventlog.Open(cfg.Events)
	if err != nil {
		return nil, nil, err
	}
	a := &App{
		log: log, events: events, table: memory.New(), objects: objects.New(),
		vms:     vms.New(vmGroups(cfg, system), time.Duration(cfg.VMLagMs)*time.Millisecond),
		engines: map[string]*engine.Engine{}, faults: map[string]*fault.Injector{},
		cleanup: []func(){closeEvents},
	}
	err = errors.Join(
		a.serve("table", cfg.Table, table.Handler(a.table)),
		a.serve("objects", cfg.Objects, a.objects.Handler()),
		a.serve("vms", cfg.VMs, a.vms.Handler()),
		a.startUpstreams(cfg, system),
		a.serve("admin", cfg.Admin, a.admin()),
	)
	if err != nil {
		a.close()
		return nil, nil, err
	}
	return a, a.close, nil
}

func (a *App) close() {
	for _, s := range a.servers {
		s.close()
	}
	for _, f := range a.cleanup {
		f()
	}
}

func (a *App) startUpstreams(cfg Config, system settings.System) error {
	cluster := engine.NewCluster()
	seed := cfg.Seed
	for name, u := range system.Upstreams {
		seed++
		injector := a.injector(name)
		if u.Kind == settings.KindService {
			s := service.New(name, a.events, injector, time.Duration(cfg.ServiceDelayMs)*time.Millisecond)
			server, err := a.newServer(name, u.Address, s.Handler())
			if err != nil {
				return err
			}
			s.OnCrash = func() {
				if server.crash() {
					go server.restart(restartDelay)
				}
			}
			continue
		}
		e, closeEngine := engine.New(engine.Config{Name: name, Kind: u.Kind, Model: system.Models[u.Model], Seed: seed}, cluster, a.events, injector)
		a.cleanup = append(a.cleanup, closeEngine)
		a.engines[name] = e
		server, err := a.newServer(name, u.Address, e.Handler())
		if err != nil {
			return err
		}
		e.OnCrash = func(downFor time.Duration) {
			if server.crash() {
				e.Reset()
				go server.restart(cmp.Or(downFor, restartDelay))
			}
		}
	}
	return nil
}

func (a *App) injector(name string) *fault.Injector {
	if _, ok := a.faults[name]; !ok {
		a.faults[name] = fault.NewInjector()
	}
	return a.faults[name]
}

func (a *App) serve(name, address string, handler http.Handler) error {
	_, err := a.newServer(name, address, handler)
	return err
}

func (a *App) newServer(name, address string, handler http.Handler) (*server, error) {
	s := &server{name: name, address: address, handler: handler, faults: a.injector(name), log: a.log}
	if err := s.start(); err != nil {
		return nil, err
	}
	a.servers = append(a.servers, s)
	return s, nil
}

func (a *App) admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", a.setFault)
	mux.HandleFunc("DELETE /faults", func(http.ResponseWriter, *http.Request) {
		for _, injector := range a.faults {
			injector.Clear()
		}
	})
	mux.HandleFunc("POST /vms/{name}/{state}", func(_ http.ResponseWriter, r *http.Request) {
		a.vms.SetState(r.PathValue("name"), r.PathValue("state"))
	})
	mux.HandleFunc("POST /blind", func(http.ResponseWriter, *http.Request) { a.table.IgnoreCompare.Store(true) })
	mux.HandleFunc("POST /table/copy", func(http.ResponseWriter, *http.Request) { a.table.Copy() })
	mux.HandleFunc("POST /table/restore", func(w http.ResponseWriter, _ *http.Request) {
		if !a.table.Restore() {
			w.WriteHeader(http.StatusConflict)
		}
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		state := State{
			PiecesHeld: map[string]int{}, TableReads: a.table.Reads.Load(),
			TableWrites: a.table.Writes.Load(), ObjectPuts: a.objects.Puts.Load(),
		}
		for name, e := range a.engines {
			state.PiecesHeld[name] = e.PiecesHeld()
		}
		_ = json.NewEncoder(w).Encode(state)
	})
	return mux
}

func (a *App) setFault(w http.ResponseWriter, r *http.Request) {
	var f fault.Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Target == "all" {
		for name := range a.engines {
			a.faults[name].Set(f)
		}
		return
	}
	injector, ok := a.faults[f.Target]
	if !ok {
		http.Error(w, fmt.Sprintf("unknown target %q: use the name of a stand-in, or all for all engines", f.Target), http.StatusNotFound)
		return
	}
	injector.Set(f)
}

// server is one HTTP server that can be restarted on the same address.
type server struct {
	name, address string
	handler       http.Handler
	faults        *fault.Injector
	log           *zap.Logger

	mu     sync.Mutex
	http   *http.Server
	closed bool
	down   bool // crashed and not yet restarted
}

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", s.name, err)
	}
	s.http = &http.Server{
		Handler: s.faults.Middleware(s.handler), ConnContext: s.faults.ConnContext, ErrorLog: zap.NewStdLog(s.log),
	}
	s.down = false
	go s.run(s.http, listener)
	return nil
}

func (s *server) run(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("HTTP server of a stand-in failed", zap.String("name", s.name), zap.Error(err))
	}
}

// crash marks the server as down; false means that it was down already.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.down
	s.down = true
	return !wasDown
}

// restart closes the listener and all connections and listens again after the given
// time.
func (s *server) restart(after time.Duration) {
	s.mu.Lock()
	_ = s.http.Close()
	s.mu.Unlock()
	time.Sleep(after)
	if err := s.start(); err != nil {
		s.log.Error("restart of a stand-in failed", zap.String("name", s.name), zap.Error(err))
	}
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.http.Close()
}
