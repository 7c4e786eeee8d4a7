// Package service is a stand-in for a plain service with idempotent lookups and
// non-idempotent calls. It never deduplicates calls, so a call that runs twice appears
// twice in the event log.
//
// # Usage
//
//	s := service.New("order-desk-1", log, injector, 20*time.Millisecond)
//	server.Handler = s.Handler()
package service

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockmux.example/standin/internal/eventlog"
	"hemlockmux.example/standin/internal/fault"
)

// Service is one instance of the plain service.
type Service struct {
	name   string
	log    *eventlog.Log
	faults *fault.Injector
	delay  time.Duration
	calls  atomic.Int64
	// OnCrash is called when a request crashes the instance.
	OnCrash func()
}

// New returns an instance that takes delay for each call.
func New(name string, log *eventlog.Log, faults *fault.Injector, delay time.Duration) *Service {
	return &Service{name: name, log: log, faults: faults, delay: delay, OnCrash: func() {}}
}

// Handler serves the health check, the lookups and the calls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		if _, leaving := s.faults.Consume(fault.ReportLeaving, ""); leaving {
			w.Header().Set("X-Upstream-State", "leaving")
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /stock/{item}", s.lookUpStock)
	mux.HandleFunc("POST /{call}", s.call)
	return mux
}

func (s *Service) lookUpStock(w http.ResponseWriter, r *http.Request) {
	s.log.Write(eventlog.Event{Event: eventlog.Run, Upstream: s.name, RequestID: r.Header.Get("X-Request-Id"), Phase: "lookup"})
	time.Sleep(s.delay)
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.PathValue("item")))
	writeJSON(w, http.StatusOK, map[string]any{"item": r.PathValue("item"), "inStock": h.Sum32() % 50})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.log.Write(eventlog.Event{
		Event: eventlog.Run, Upstream: s.name, RequestID: r.Header.Get("X-Request-Id"),
		Key: r.Header.Get("Idempotency-Key"), Phase: "call",
	})
	if _, ok := s.faults.Consume(fault.CrashOn, string(body)); ok {
		s.OnCrash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay)
	if _, ok := s.faults.Consume(fault.Stall, string(body)); ok {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Location", fmt.Sprintf("/%s/%d", r.PathValue("call"), s.calls.Load()+1))
	writeJSON(w, http.StatusCreated, map[string]any{
		"call": r.PathValue("call"), "by": s.name, "number": s.calls.Add(1), "accepted": json.RawMessage(body),
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
