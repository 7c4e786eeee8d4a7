// Package fault injects faults into a stand-in: refused or slow requests, responses
// that are lost after the request took effect, connections that stop answering,
// crashes, and stream chunks that are reordered, duplicated or dropped.
//
// # Usage
//
//	injector := fault.NewInjector()
//	server.Handler = injector.Middleware(handler)
//	server.ConnContext = injector.ConnContext
//	injector.Set(fault.Fault{Kind: fault.DropResponse, Count: 1})
package fault

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// Down closes the connection of each request without a response.
	Down Kind = "down"
	// Slow delays each request by DelayMs.
	Slow Kind = "slow"
	// DropResponse carries the request out and then closes the connection without a
	// response.
	DropResponse Kind = "loseAnswer"
	// Silent makes all connections that are open now stop answering for good; new
	// connections work.
	Silent Kind = "silent"
	// CrashOn crashes the upstream when a prompt or a request body contains Match.
	CrashOn Kind = "crashOn"
	// CrashOnPart crashes a decode engine that begins a prompt one of whose parts, but
	// the last, is one of Texts; see the package engine for what a part is.
	CrashOnPart Kind = "crashOnPart"
	// Reorder swaps neighbouring chunks.
	Reorder Kind = "reorder"
	// Duplicate sends chunks twice.
	Duplicate Kind = "duplicate"
	// DropChunk omits a chunk.
	DropChunk Kind = "dropChunk"
	// Stall makes an engine stop sending in the middle of a stream while it continues to
	// generate, and a plain service leave a call that has run without a response.
	Stall Kind = "stall"
	// IgnoreAbort confirms aborts without carrying them out.
	IgnoreAbort Kind = "ignoreAbort"
	// ReportLeaving makes the upstream report that it is leaving.
	ReportLeaving Kind = "leave"
	// NameLimit makes the upstream name PerSecond as its limit in all answers. It does not
	// enforce it.
	NameLimit Kind = "limit"
	// AnnounceLeaving makes the upstream say in all answers that it shuts down.
	AnnounceLeaving Kind = "announceLeaving"
	// TurnAway makes the upstream refuse requests with status 503, with RetryAfter as the time to
	// wait.
	TurnAway Kind = "turnAway"
)

// headerLimit is the number of requests per second that an upstream takes from all daemons together.
const headerLimit = "Upstream-Limit"

// headerLeaving is "1" in all answers of an upstream that shuts down.
const headerLeaving = "Upstream-Leaving"

// Fault is a fault to put in force.
type Fault struct {
	// Target is the name of a stand-in, or "all" for all engines.
	Target string `json:"target"`
	// Kind selects what fails.
	Kind Kind `json:"fault"`
	// Count is how many times the fault occurs; 0 means without limit.
	Count int64 `json:"count,omitempty"`
	// ForMs is how long the fault stays in force, in milliseconds; 0 means until it
	// is cleared.
	ForMs int64 `json:"forMs,omitempty"`
	// DelayMs is the delay that Slow adds to each request, in milliseconds.
	DelayMs int64 `json:"delayMs,omitempty"`
	// PerSecond is the limit that NameLimit names, in requests per second.
	PerSecond float64 `json:"perSecond,omitempty"`
	// RetryAfter is the value of the header Retry-After that TurnAway sends.
	RetryAfter string `json:"retryAfter,omitempty"`
	// Match limits the fault to requests whose text contains it: the path, the
	// prompt, the body or the attempt ID, depending on Kind.
	Match string `json:"match,omitempty"`
	// Texts are the parts of prompts at which CrashOnPart acts.
	Texts []string `json:"texts,omitempty"`
	// RestartMs is the time from a crash by CrashOnPart until the engine listens
	// again, in milliseconds; 0 means the time that other crashes take.
	RestartMs int64 `json:"restartMs,omitempty"`
}

type active struct {
	Fault
	expires   time.Time
	remaining int64
}

// Injector holds the faults in force of one stand-in.
type Injector struct {
	mu             sync.Mutex
	faults         map[Kind]*active
	lastSilentConn atomic.Int64 // connections with a number up to this are silent
	lastConn       atomic.Int64
}

// NewInjector returns an injector without faults.
func NewInjector() *Injector { return &Injector{faults: map[Kind]*active{}} }

// Set puts a fault in force. It replaces a fault of the same kind.
func (i *Injector) Set(f Fault) {
	if f.Kind == Silent {
		i.lastSilentConn.Store(i.lastConn.Add(1))
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	a := &active{Fault: f, remaining: f.Count}
	if f.ForMs > 0 {
		a.expires = time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
	}
	i.faults[f.Kind] = a
}

// Clear ends all faults, except that silent connections stay silent.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.faults)
}

// Consume returns the fault of a kind if it is in force and text contains its Match.
// Each such call uses up one occurrence of a fault that has a Count.
func (i *Injector) Consume(kind Kind, text string) (Fault, bool) {
	return i.consumeIf(kind, func(f Fault) bool { return strings.Contains(text, f.Match) })
}

// ConsumeParts is Consume for CrashOnPart: it returns the fault if one of the parts,
// but the last, is one of its Texts.
func (i *Injector) ConsumeParts(parts []string) (Fault, bool) {
	return i.consumeIf(CrashOnPart, func(f Fault) bool {
		return len(parts) > 1 && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool { return slices.Contains(f.Texts, part) })
	})
}

func (i *Injector) consumeIf(kind Kind, strikes func(Fault) bool) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a, ok := i.faults[kind]
	if !ok || !strikes(a.Fault) {
		return Fault{}, false
	}
	if !a.expires.IsZero() && time.Now().After(a.expires) {
		delete(i.faults, kind)
		return Fault{}, false
	}
	if a.Count > 0 {
		a.remaining--
		if a.remaining < 0 {
			delete(i.faults, kind)
			return Fault{}, false
		}
	}
	return a.Fault, true
}

type connKey struct{}

// ConnContext gives each connection of a server a number; set it on [http.Server].
func (i *Injector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, i.lastConn.Add(1))
}

// IsConnSilent reports whether the Silent fault applies to the request's connection.
func (i *Injector) IsConnSilent(ctx context.Context) bool {
	id, ok := ctx.Value(connKey{}).(int64)
	return ok && id <= i.lastSilentConn.Load()
}

// Middleware applies the faults that concern whole requests (Silent, Down, Slow,
// DropResponse, NameLimit, AnnounceLeaving, TurnAway) to next.
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
		if f, ok := i.Consume(NameLimit, r.URL.Path); ok {
			w.Header().Set(headerLimit, strconv.FormatFloat(f.PerSecond, 'f', -1, 64))
		}
		if _, ok := i.Consume(AnnounceLeaving, r.URL.Path); ok {
			w.Header().Set(headerLeaving, "1")
		}
		if f, ok := i.Consume(TurnAway, r.URL.Path); ok {
			w.Header().Set("Retry-After", f.RetryAfter)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
