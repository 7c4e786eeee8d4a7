// Package fault makes a stand-in fail on request: down, slow, an answer lost
// after it took effect, connections that go silent, crashes, chunks out of
// order.
//
// # Usage
//
//	injector := fault.NewInjector()
//	server.Handler = injector.Middleware(handler)
//	server.ConnContext = injector.ConnContext
//	injector.Set(fault.Fault{Kind: fault.LoseAnswer, Count: 1})
package fault

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is a way to fail.
type Kind string

// The kinds of faults.
const (
	// Down closes every connection without an answer.
	Down Kind = "down"
	// Slow delays each request by DelayMs.
	Slow Kind = "slow"
	// DropResponse carries the request out and then closes the connection.
	DropResponse Kind = "loseAnswer"
	// Silent makes all connections open now go silent for good; new ones work.
	Silent Kind = "silent"
	// CrashOn crashes the upstream when a body contains Match.
	CrashOn Kind = "crashOn"
	// Reorder swaps neighbouring chunks.
	Reorder Kind = "reorder"
	// Duplicate sends chunks twice.
	Duplicate Kind = "duplicate"
	// DropChunk leaves a chunk out.
	DropChunk Kind = "dropChunk"
	// Stall stops a stream in the middle while the engine goes on.
	Stall Kind = "stall"
	// IgnoreAbort answers aborts and does not carry them out.
	IgnoreAbort Kind = "ignoreAbort"
	// ReportLeaving makes the upstream report that it is leaving.
	ReportLeaving Kind = "leave"
)

// Fault is one fault in force. Count 0 means until cleared; ForMs 0 likewise.
type Fault struct {
	Target  string `json:"target"`
	Kind    Kind   `json:"fault"`
	Count   int64  `json:"count,omitempty"`
	ForMs   int64  `json:"forMs,omitempty"`
	DelayMs int64  `json:"delayMs,omitempty"`
	Match   string `json:"match,omitempty"`
}

type active struct {
	Fault
	until time.Time
	left  int64
}

// Injector holds the faults of one stand-in.
type Injector struct {
	mu         sync.Mutex
	faults     map[Kind]*active
	generation atomic.Int64 // connections older than this are silent
	lastConn   atomic.Int64
}

// NewInjector returns an injector without faults.
func NewInjector() *Injector { return &Injector{faults: map[Kind]*active{}} }

// Set puts a fault in force.
func (i *Injector) Set(f Fault) {
	if f.Kind == Silent {
		i.generation.Store(i.lastConn.Add(1))
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	a := &active{Fault: f, left: f.Count}
	if f.ForMs > 0 {
		a.until = time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
	}
	i.faults[f.Kind] = a
}

// Clear ends all faults but silent connections, which stay so.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.faults)
}

// Consume returns the fault of a kind if it is in force for text, and uses up one
// of its count.
func (i *Injector) Consume(kind Kind, text string) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a, ok := i.faults[kind]
	if !ok || !strings.Contains(text, a.Match) {
		return Fault{}, false
	}
	if !a.until.IsZero() && time.Now().After(a.until) {
		delete(i.faults, kind)
		return Fault{}, false
	}
	if a.Count > 0 {
		a.left--
		if a.left < 0 {
			delete(i.faults, kind)
			return Fault{}, false
		}
	}
	return a.Fault, true
}

type connKey struct{}

// ConnContext numbers a server's connections; set it on http.Server.
func (i *Injector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, i.lastConn.Add(1))
}

// IsConnSilent tells whether the request's connection has gone silent.
func (i *Injector) IsConnSilent(ctx context.Context) bool {
	id, ok := ctx.Value(connKey{}).(int64)
	return ok && id <= i.generation.Load()
}

// Middleware lets the faults that concern whole requests act on next.
func (i *Injector) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.IsConnSilent(r.Context()) {
			<-r.Context().Done()
			return
		}
		if _, ok := i.Consume(Down, r.URL.Path); ok {
			panic(http.ErrAbortHandler)
		}
		if f, ok := i.Consume(Slow, r.URL.Path); ok {
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		}
		if _, ok := i.Consume(DropResponse, r.URL.Path); ok {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}
