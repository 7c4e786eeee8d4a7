// Package eventlog writes a log of what the stand-ins did, one line of JSON for each
// event, so that a test can check from outside which requests ran and which memory was
// allocated.
//
// # Usage
//
//	log, closeLog, err := eventlog.Open("events.jsonl")
//	log.Write(eventlog.Event{Event: eventlog.Run, Upstream: "decode-1", RequestID: id})
package eventlog

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Kinds of events: a request starts to run, is aborted, allocates memory or frees it,
// and an engine crashes.
const (
	Run      = "run"
	Cancel   = "cancel"
	Allocate = "take"
	Free     = "free"
	Crash    = "crash"
)

// Event is one line of the log.
type Event struct {
	// Event is the kind of event.
	Event string `json:"event"`
	// Upstream is the name of the engine or service instance.
	Upstream string `json:"upstream"`
	// RequestID identifies the caller's request.
	RequestID string `json:"requestId"`
	// Attempt identifies one attempt at the request at an engine.
	Attempt string `json:"attempt,omitempty"`
	// Key is the idempotency key of a call to a plain service.
	Key string `json:"key,omitempty"`
	// Phase is "prefill" or "decode" at an engine, "lookup" or "call" at a plain
	// service.
	Phase string `json:"phase,omitempty"`
	// Pieces is the amount of KV cache memory allocated or freed, in pieces; for
	// Crash, the amount allocated before the crash.
	Pieces int `json:"pieces"`
	// Tokens is the number of prompt tokens that a prefill computes.
	Tokens int `json:"tokens,omitempty"`
	// Cached is the number of prompt tokens that a prefill found in the prefix cache.
	Cached int `json:"cached,omitempty"`
	// AtMs is the time of the event in Unix milliseconds.
	AtMs int64 `json:"atMs"`
}

// Log appends events to a file.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the log for appending, creates it if needed, and returns the function that
// closes it.
func Open(path string) (*Log, func(), error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("open event log: %w", err)
	}
	return &Log{file: file}, func() { _ = file.Close() }, nil
}

// Write sets the time of the event and appends it. Errors are ignored.
func (l *Log) Write(e Event) {
	e.AtMs = time.Now().UnixMilli()
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(line, '\n'))
}
