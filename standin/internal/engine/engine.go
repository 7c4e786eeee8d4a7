// Package engine is a stand-in of a model engine in the prefill or the decode
// role: continuous batching, a prefix cache of limited memory, pieces of KV
// cache, cache events that come late and with gaps, and load reports that lag.
//
// An engine keeps working on a request whose connection is gone: the router
// can come back for the stream (Last-Event-ID) or must abort it.
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

// Times of the stand-in's behaviour.
const (
	// resultLife is how long a prefill's result lives.
	resultLife = 800 * time.Millisecond
	// reportLag is how old the counts of a load report are at most.
	reportLag = 300 * time.Millisecond
	// keepFinished is how long a finished stream can be resumed.
	keepFinished = 5 * time.Second
	// eventLag is the time between two batches of cache events.
	eventLag = 200 * time.Millisecond
	// eventGapChance is the chance that a batch of cache events is lost.
	eventGapChance = 0.02
)

// Config describes one engine.
type Config struct {
	Name  string
	Kind  string // settings.KindPrefill or settings.KindDecode
	Model settings.Model
	Seed  uint64
}

// Cluster lets decode engines fetch prefill results from the engines that hold
// them.
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

// Engine is one engine.
type Engine struct {
	cfg     Config
	cluster *Cluster
	log     *eventlog.Log
	faults  *fault.Injector
	// OnCrash is called when a request crashes the engine.
	OnCrash func()

	mu       sync.Mutex
	jobs     map[string]*job // all requests that hold memory, and finished streams
	waiting  []*job
	held     int // pieces held
	cache    *cache
	events   *eventFeed
	reported completions.Load
	random   *rand.Rand

	wake chan struct{}
	stop chan struct{}
	link sync.Mutex // the one link by which results leave this engine
}

// job is one request at one engine.
type job struct {
	rid string
	// requestID is the caller's request that the attempt belongs to.
	requestID string
	req       completions.Request
	chat      bool
	prompt    string
	hashes    []uint64
	pieces    int
	cached    int // prompt tokens found in the cache
	started   time.Time
	endedAt   time.Time
	tokens    int // output tokens made
	want      int // output tokens to make
	aborted   bool
	ended     bool
	done      chan struct{} // closed when a prefill has ended
	changed   chan struct{} // closed and replaced when a token is made
}

// New starts an engine and returns the function that stops it.
func New(cfg Config, cluster *Cluster, log *eventlog.Log, faults *fault.Injector) (*Engine, func()) {
	e := &Engine{
		cfg: cfg, cluster: cluster, log: log, faults: faults, OnCrash: func() {},
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

// Handler serves the engine's calls.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+completions.Path, func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
	mux.HandleFunc("POST "+completions.ChatPath, func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
	mux.HandleFunc("POST /abort_request", e.abort)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /kv_events", e.events.serve)
	return mux
}

// Reset drops everything that the engine holds, as a crash does.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log.Write(eventlog.Event{Event: eventlog.Crash, Upstream: e.cfg.Name, Pieces: e.held})
	for _, j := range e.jobs {
		e.endLocked(j, true)
	}
	clear(e.jobs)
	e.waiting = nil
	e.cache = newCache(e.cfg.Model.Pieces / 2)
}

// PiecesHeld returns the pieces held.
func (e *Engine) PiecesHeld() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	report := e.reported
	if r.URL.Query().Get("held") == "1" {
		report.Held = e.heldLocked()
	}
	e.mu.Unlock()
	if _, leaving := e.faults.Consume(fault.ReportLeaving, ""); leaving {
		report.State = "leaving"
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) heldLocked() []completions.Running {
	held := []completions.Running{}
	for _, j := range e.jobs {
		if !j.ended {
			held = append(held, completions.Running{
				RequestID: j.rid, Phase: e.cfg.Kind, Pieces: j.pieces, AgeMs: time.Since(j.started).Milliseconds(),
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
		Running: running, Waiting: len(e.waiting), FreePieces: e.cfg.Model.Pieces - e.held,
		AtMs: time.Now().UnixMilli(), State: "serving",
	}
}

// runReports makes the counts that a load report shows, late.
func (e *Engine) runReports() {
	ticker := time.NewTicker(reportLag)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		e.reported = e.loadLocked()
		for rid, j := range e.jobs {
			if j.ended && time.Since(j.endedAt) > keepFinished {
				delete(e.jobs, rid)
			}
		}
		e.mu.Unlock()
	}
}

func (e *Engine) abort(w http.ResponseWriter, r *http.Request) {
	var req completions.Abort
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ignored := e.faults.Consume(fault.IgnoreAbort, req.RequestID); !ignored {
		e.mu.Lock()
		if j, ok := e.jobs[req.RequestID]; ok && !j.ended {
			e.log.Write(eventlog.Event{Event: eventlog.Cancel, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.rid, Phase: e.cfg.Kind})
			e.endLocked(j, true)
		}
		e.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// take accepts a request and takes its memory; the error text is for a 429.
func (e *Engine) take(j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held+j.pieces > e.cfg.Model.Pieces {
		return fmt.Errorf("no memory: %d of %d pieces held, %d wanted", e.held, e.cfg.Model.Pieces, j.pieces)
	}
	if e.cfg.Kind == settings.KindDecode && e.loadLocked().Running >= e.cfg.Model.Slots {
		return fmt.Errorf("no slot: %d are taken", e.cfg.Model.Slots)
	}
	if old, ok := e.jobs[j.rid]; ok && !old.ended {
		return fmt.Errorf("request %s is running already", j.rid)
	}
	j.started = time.Now()
	e.held += j.pieces
	e.jobs[j.rid] = j
	e.log.Write(eventlog.Event{Event: eventlog.Allocate, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.rid, Phase: e.cfg.Kind, Pieces: j.pieces})
	return nil
}

// endLocked frees a request's memory once.
func (e *Engine) endLocked(j *job, aborted bool) {
	if j.ended {
		return
	}
	j.ended, j.aborted, j.endedAt = true, aborted, time.Now()
	e.held -= j.pieces
	e.log.Write(eventlog.Event{Event: eventlog.Free, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.rid, Phase: e.cfg.Kind, Pieces: j.pieces})
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

// pieces is the memory that a number of tokens needs.
func (e *Engine) pieces(tokens int) int {
	return (tokens + e.cfg.Model.PieceTokens - 1) / e.cfg.Model.PieceTokens
}

func (e *Engine) newJob(req completions.Request, rid, prompt string, chat bool) *job {
	j := &job{rid: rid, req: req, chat: chat, prompt: prompt, want: max(1, req.MaxTokens)}
	j.hashes = prefix.Hashes(prompt, e.cfg.Model.PieceTokens)
	tokens := prefix.Tokens(prompt)
	if e.cfg.Kind == settings.KindDecode {
		tokens += j.want
	}
	j.pieces = e.pieces(tokens)
	return j
}

func (e *Engine) signal() {
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
