// Package eventlog writes what the stand-ins did, one JSON line an event, so
// that a test can check from outside what ran and what memory was held.
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

// Kinds of events.
const (
	Run      = "run"
	Cancel   = "cancel"
	Allocate = "take"
	Free     = "free"
	Crash    = "crash"
)

// Event is one line of the log.
type Event struct {
	Event     string `json:"event"`
	Upstream  string `json:"upstream"`
	RequestID string `json:"requestId"`
	// Attempt is the id by which an engine knows one attempt at the request.
	Attempt string `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
	Phase   string `json:"phase,omitempty"`
	Pieces  int    `json:"pieces"`
	Tokens  int    `json:"tokens,omitempty"`
	// Cached is the number of prompt tokens that a prefill took from the cache.
	Cached int   `json:"cached,omitempty"`
	AtMs   int64 `json:"atMs"`
}

// Log appends events to a file.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the log for appending and returns the function that closes it.
func Open(path string) (*Log, func(), error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("open event log: %w", err)
	}
	return &Log{file: file}, func() { _ = file.Close() }, nil
}

// Write appends one event and stamps it with the time.
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
