package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/streams"
)

// maxBodyBytes bounds the body of a request that is handed over.
const maxBodyBytes = 65 << 20

// Server serves the requests that other daemons hand over to this one. It is the handler for the
// daemons' port.
type Server struct {
	http.Handler
	inFlight atomic.Int64

	configuration *configuration.Configuration
	keeper        *keeper.Keeper
	services      *services.Services
	dataCentre    string
	shutdown      *process.Shutdown
	storeCopies   func(daemons.CopyRequest) daemons.CopyAnswer
}

// NewServer returns the server. storeCopies stores copies of the verdicts on
// requests that run here for another daemon of this data centre.
func NewServer(env process.Environment, cfg *configuration.Configuration, k *keeper.Keeper, s *services.Services, storeCopies func(daemons.CopyRequest) daemons.CopyAnswer) *Server {
	server := &Server{configuration: cfg, keeper: k, services: s, dataCentre: env.Config.DataCentre, shutdown: env.Shutdown, storeCopies: storeCopies}
	r := chi.NewRouter()
	r.Use(server.count)
	r.Post("/models", server.model)
	r.Post("/services", server.service)
	r.Post("/cancel", server.cancel)
	r.Post("/bound", server.bound)
	server.Handler = r
	return server
}

// InFlight returns the number of requests of other daemons whose response has not been written.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// readCall decodes the call header into out and reads the body. It answers a malformed header or a
// body that can't be read with status 400, a body that is too long with 413, one without memory for it with 503.
func readCall(w http.ResponseWriter, r *http.Request, out any) ([]byte, bool) {
	if err := json.Unmarshal([]byte(r.Header.Get(headerCall)), out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	body, err := intake.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, maxBodyBytes)
	if errors.Is(err, intake.ErrNoMemory) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return nil, false
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var id string
	if _, ok := readCall(w, r, &id); !ok {
		return
	}
	if run, ok := s.keeper.Find(id); ok {
		run.Cancel()
	}
}

func (s *Server) bound(w http.ResponseWriter, r *http.Request) {
	var call boundCall
	if _, ok := readCall(w, r, &call); !ok {
		return
	}
	if run, ok := s.keeper.Find(call.RequestID); ok {
		run.Bound(call.LeftMs)
	}
}

func (s *Server) model(w http.ResponseWriter, r *http.Request) {
	var call keeper.Call
	body, ok := readCall(w, r, &call)
	if !ok {
		return
	}
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-ID")); err == nil {
		from = last + 1
	}
	if _, known := s.keeper.Find(call.RequestID); from > 0 && !known {
		// A new run would generate another answer than the one whose begin the caller has.
		metrics.Add("forgottenRuns", 1)
		http.Error(w, "this daemon does not know the request's run", http.StatusGone)
		return
	}
	if call.FrontDataCentre == s.dataCentre {
		s.storeCopies(daemons.CopyRequest{From: call.Front, Opened: []verdict.Verdict{openVerdict(call)}})
	}
	run, p := s.begin(call, body)
	writer := newEventWriter(w)
	if p != nil {
		_ = writer.result(&keeper.Result{Problem: p, Ran: p.Ran})
		return
	}
	stop := make(chan struct{})
	var keepAlives sync.WaitGroup
	keepAlives.Go(func() { writer.keepAlive(stop) })
	defer keepAlives.Wait()
	defer close(stop)
	for chunks := range run.Chunks(r.Context(), from) {
		if err := writer.chunks(chunks); err != nil {
			return
		}
	}
	if result := run.Result(); result != nil {
		s.copyResult(call, result)
		_ = writer.result(result)
	}
}

// copyResult stores a copy of the verdict on a request that succeeded here. For any other request
// it closes the open copy: the front daemon sends that verdict to the holder of its copies itself.
func (s *Server) copyResult(call keeper.Call, result *keeper.Result) {
	if call.FrontDataCentre != s.dataCentre {
		return
	}
	n := len(result.Attempts)
	if result.Problem != nil || n == 0 {
		s.storeCopies(daemons.CopyRequest{From: call.Front, Closed: []string{call.RequestID}})
		return
	}
	v := openVerdict(call)
	v.Outcome, v.Ran, v.Status, v.Attempts = verdict.OutcomeRun, problem.RanYes, http.StatusOK, result.Attempts
	v.EndMs = call.ArrivedMs + result.Attempts[n-1].EndMs - result.Attempts[0].StartMs
	s.storeCopies(daemons.CopyRequest{From: call.Front, Verdicts: []verdict.Verdict{v}})
}

// openVerdict returns the verdict on a call that has not ended, as far as the call determines it.
func openVerdict(call keeper.Call) verdict.Verdict {
	front, _, _ := verdict.ParseID(call.RequestID)
	return verdict.Verdict{
		RequestID: call.RequestID, Team: call.Team, Target: call.Model, Daemon: front, DataCentre: call.FrontDataCentre,
		SettingsVersion: call.SettingsVersion, StartMs: call.ArrivedMs, EndMs: call.ArrivedMs,
		Outcome: verdict.OutcomeUnknown, Ran: problem.RanUnknown,
	}
}

// begin derives the fields of the call that are not sent with it, and starts it.
func (s *Server) begin(call keeper.Call, body []byte) (*keeper.Run, *problem.Problem) {
	tree := s.configuration.Tree()
	var req completions.Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, problem.New(problem.BadRequest, "%v", err)
	}
	text, err := req.Text()
	if err != nil {
		return nil, problem.New(problem.BadRequest, "%v", err)
	}
	call.Body, call.SharedParts = body, req.SharedParts()
	if tree != nil {
		call.PrefixHashes = prefix.BlockHashes(text, pieceTokens(tree, call.Model))
	}
	return s.keeper.Begin(call)
}

// pieceTokens returns the number of tokens in a piece of the prompt.
func pieceTokens(tree *settings.Tree, model string) int {
	return max(1, tree.System.Models[model].PieceTokens)
}

func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	var call serviceCall
	body, ok := readCall(w, r, &call)
	if !ok {
		return
	}
	if s.configuration.Tree() == nil {
		writeOutcome(w, services.Outcome{Problem: problem.New(problem.NotReady, "this daemon has no settings yet")})
		return
	}
	ctx, cancel := s.shutdown.WithEnd(r.Context())
	defer cancel()
	writeOutcome(w, s.services.Run(ctx, services.Call{
		RequestID: call.RequestID, Team: call.Team, Service: call.Service, Method: call.Method,
		Path: call.Path, Key: call.Key, Digest: call.Digest, Header: call.Header, Body: body,
	}))
}

func writeOutcome(w http.ResponseWriter, outcome services.Outcome) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(serviceResult(outcome))
}

// eventWriter writes a run's events, with keep-alive comments in between. It is safe for concurrent
// use.
type eventWriter struct {
	mu         sync.Mutex
	w          http.ResponseWriter
	controller *http.ResponseController
	buffer     []byte
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	e := &eventWriter{w: w, controller: http.NewResponseController(w)}
	_ = e.send([]byte(": begun\n\n"))
	return e
}

func (e *eventWriter) send(data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, err := e.w.Write(data); err != nil {
		return err
	}
	return e.controller.Flush()
}

func (e *eventWriter) keepAlive(stop <-chan struct{}) {
	ticker := time.NewTicker(keepAliveInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if e.send([]byte(": alive\n\n")) != nil {
				return
			}
		}
	}
}

func (e *eventWriter) chunks(chunks []streams.Chunk) error {
	e.buffer = streams.AppendEvents(e.buffer[:0], chunks)
	return e.send(e.buffer)
}

func (e *eventWriter) result(result *keeper.Result) error {
	data, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	return e.send(fmt.Appendf(nil, "event: %s\ndata: %s\n\n", resultEvent, data))
}
