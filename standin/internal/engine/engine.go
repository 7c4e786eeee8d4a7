// Package engine is a stand-in for a model engine in the prefill or the decode role.
// It simulates continuous batching, a prefix cache of limited size, KV cache memory
// that is allocated in pieces, cache events that are delayed and sometimes lost, and
// load reports that are out of date.
//
// An engine continues with a request after its connection has closed: the router
// either resumes the stream (Last-Event-ID) or must abort the request.
//
// # Usage
//
//	e, closeEngine := engine.New(engine.Config{Name: "decode-1", Kind: settings.KindDecode, Model: model}, cluster, log, faults)
//	server.Handler = e.Handler()
package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/standin/internal/eventlog"
	"hemlockmux.example/standin/internal/fault"
)

// Delays and probabilities of the simulation.
const (
	// resultTTL is how long a prefill result can be fetched after the prefill.
	resultTTL = 800 * time.Millisecond
	// loadReportInterval is the time between two updates of the counts in the load
	// report, and so the greatest age of a report.
	loadReportInterval = 300 * time.Millisecond
	// finishedRetention is how long a stream can be resumed after its end.
	finishedRetention = 5 * time.Second
	// cacheEventDelay is the time from the end of a prefill until its cache events are
	// sent.
	cacheEventDelay = 200 * time.Millisecond
	// cacheEventLossProbability is the probability that a batch of cache events is
	// lost.
	cacheEventLossProbability = 0.02
)

// Config describes one engine.
type Config struct {
	// Name identifies the engine in its cluster and in the event log.
	Name string
	// Kind is settings.KindPrefill or settings.KindDecode.
	Kind string
	// Model sets the sizes of memory and batch and the duration of the work.
	Model settings.Model
	// Seed seeds the random generator that chooses which cache events are lost.
	Seed uint64
}

// Cluster holds all engines by name, so that decode engines can fetch prefill results
// from the engines that hold them.
type Cluster struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster { return &Cluster{engines: map[string]*Engine{}} }

func (c *Cluster) add(e *Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[e.cfg.Name] = e
}

func (c *Cluster) find(name string) *Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[name]
}

// Engine simulates one model engine.
type Engine struct {
	cfg     Config
	cluster *Cluster
	log     *eventlog.Log
	faults  *fault.Injector
	// OnCrash is called when a request crashes the engine. downFor is how long it is
	// to stay down, 0 for the usual time.
	OnCrash func(downFor time.Duration)

	mu         sync.Mutex
	jobs       map[string]*job // by attempt ID: running requests and those that ended recently
	waiting    []*job
	heldPieces int // KV cache memory allocated, in pieces
	cache      *cache
	events     *eventFeed
	reported   completions.Load
	random     *rand.Rand

	wake         chan struct{}
	stop         chan struct{}
	transferLink sync.Mutex // held during a transfer: an engine has one link for its results
}

// job is one attempt at a request, at one engine.
type job struct {
	attemptID string
	// requestID is the ID of the caller's request that the attempt belongs to.
	requestID    string
	req          completions.Request
	chat         bool
	prompt       string
	hashes       []uint64
	heldPieces   int
	cachedTokens int // prompt tokens found in the prefix cache
	started      time.Time
	endedAt      time.Time
	madeTokens   int // output tokens generated so far
	wantTokens   int // output tokens to generate
	aborted      bool
	ended        bool
	done         chan struct{} // closed when a prefill has ended
	changed      chan struct{} // decode only: closed and replaced at each token and at the end
}

// New starts an engine and returns the function that stops it.
func New(cfg Config, cluster *Cluster, log *eventlog.Log, faults *fault.Injector) (*Engine, func()) {
	e := &Engine{
		cfg: cfg, cluster: cluster, log: log, faults: faults, OnCrash: func(time.Duration) {},
		jobs: map[string]*job{}, cache: newCache(cfg.Model.Pieces / 2), events: newEventFeed(),
		random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		wake:   make(chan struct{}, 1), stop: make(chan struct{}),
	}
	e.reported = e.loadLocked()
	cluster.add(e)
	if cfg.Kind == settings.KindPrefill {
		go e.runPrefills()
	} else {
		go e.runSteps()
	}
	go e.runReports()
	return e, func() { close(e.stop) }
}

// Handler serves the completion, abort, load and cache event calls.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+completions.Path, func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
	mux.HandleFunc("POST "+completions.ChatPath, func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
	mux.HandleFunc("POST /abort_request", e.abort)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /kv_events", e.events.serve)
	return mux
}

// Reset aborts all requests and clears the prefix cache, as a crash does.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Write(eventlog.Event{Event: eventlog.Crash, Upstream: e.cfg.Name, Pieces: e.heldPieces})
	for _, j := range e.jobs {
		e.endLocked(j, true)
	}
	clear(e.jobs)
	e.waiting = nil
	e.cache = newCache(e.cfg.Model.Pieces / 2)
}

// PiecesHeld returns the allocated KV cache memory in pieces.
func (e *Engine) PiecesHeld() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldPieces
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	report := e.reported
	if r.URL.Query().Get("held") == "1" {
		report.Held = e.heldRequestsLocked()
	}
	e.mu.Unlock()
	if _, leaving := e.faults.Consume(fault.ReportLeaving, ""); leaving {
		report.State = "leaving"
	}
	writeJSON(w, http.StatusOK, report)
}

// heldRequestsLocked returns the requests that hold memory, also those that wait.
func (e *Engine) heldRequestsLocked() []completions.HeldRequest {
	held := []completions.HeldRequest{}
	for _, j := range e.jobs {
		if !j.ended {
			held = append(held, completions.HeldRequest{
				RequestID: j.attemptID, Phase: e.cfg.Kind, Pieces: j.heldPieces, AgeMs: time.Since(j.started).Milliseconds(),
			})
		}
	}
	return held
}

func (e *Engine) loadLocked() completions.Load {
	running := 0
	for _, j := range e.jobs {
		if !j.ended {
			running++
		}
	}
	return completions.Load{
		Running: running, Waiting: len(e.waiting), FreePieces: e.cfg.Model.Pieces - e.heldPieces,
		AtMs: time.Now().UnixMilli(), State: "serving",
	}
}

// runReports updates the load report once in each loadReportInterval and forgets
// requests that ended more than finishedRetention ago.
func (e *Engine) runReports() {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		e.reported = e.loadLocked()
		for attemptID, j := range e.jobs {
			if j.ended && time.Since(j.endedAt) > finishedRetention {
				delete(e.jobs, attemptID)
			}
		}
		e.mu.Unlock()
	}
}

func (e *Engine) abort(w http.ResponseWriter, r *http.Request) {
	var req completions.AbortRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ignored := e.faults.Consume(fault.IgnoreAbort, req.RequestID); !ignored {
		e.mu.Lock()
		if j, ok := e.jobs[req.RequestID]; ok && !j.ended {
			e.log.Write(eventlog.Event{Event: eventlog.Cancel, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.attemptID, Phase: e.cfg.Kind})
			e.endLocked(j, true)
		}
		e.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// admit allocates the memory of a request and registers it. It returns an error if the
// engine has no memory or slot for it; the error text is the body of the 429 answer.
func (e *Engine) admit(j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.heldPieces+j.heldPieces > e.cfg.Model.Pieces {
		return fmt.Errorf("no memory: %d of %d pieces are allocated, %d more are needed", e.heldPieces, e.cfg.Model.Pieces, j.heldPieces)
	}
	if e.cfg.Kind == settings.KindDecode && e.loadLocked().Running >= e.cfg.Model.Slots {
		return fmt.Errorf("no free slot: all %d are in use", e.cfg.Model.Slots)
	}
	if old, ok := e.jobs[j.attemptID]; ok && !old.ended {
		return fmt.Errorf("request %s is already running", j.attemptID)
	}
	j.started = time.Now()
	e.heldPieces += j.heldPieces
	e.jobs[j.attemptID] = j
	e.log.Write(eventlog.Event{Event: eventlog.Allocate, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.attemptID, Phase: e.cfg.Kind, Pieces: j.heldPieces})
	return nil
}

// endLocked ends a request and frees its memory; further calls do nothing.
func (e *Engine) endLocked(j *job, aborted bool) {
	if j.ended {
		return
	}
	j.ended, j.aborted, j.endedAt = true, aborted, time.Now()
	e.heldPieces -= j.heldPieces
	e.log.Write(eventlog.Event{Event: eventlog.Free, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.attemptID, Phase: e.cfg.Kind, Pieces: j.heldPieces})
	if aborted && j.done != nil {
		select {
		case <-j.done:
		default:
			close(j.done)
		}
	}
	if j.changed != nil {
		close(j.changed)
		j.changed = make(chan struct{})
	}
}

func (e *Engine) end(j *job, aborted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(j, aborted)
}

// piecesFor returns the number of pieces that hold the given number of tokens.
func (e *Engine) piecesFor(tokens int) int {
	return (tokens + e.cfg.Model.PieceTokens - 1) / e.cfg.Model.PieceTokens
}

func (e *Engine) newJob(req completions.Request, attemptID, prompt string, chat bool) *job {
	j := &job{attemptID: attemptID, req: req, chat: chat, prompt: prompt, wantTokens: max(1, req.MaxTokens)}
	j.hashes = prefix.BlockHashes(prompt, e.cfg.Model.PieceTokens)
	tokens := prefix.EstimateTokens(prompt)
	if e.cfg.Kind == settings.KindDecode {
		tokens += j.wantTokens
	}
	j.heldPieces = e.piecesFor(tokens)
	return j
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
