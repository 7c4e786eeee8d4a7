// Package intake bounds what clients can make a daemon hold, whatever they send: connections, heads and
// bodies of requests, and answers that they do not read.
//
// A [Guard] wraps the connections of a port below net/http. It counts the bytes and lines of each head as
// they arrive, before they are parsed, and refuses the request once they exceed the port's limits or the
// daemon's [Budget]. A request that finds no place, and whose head is not large, is refused by the port's own handler
// for that, which can record it. What a request holds of its body and answer is taken from the same budget by its
// handler, see [Of]. A request that is refused has not been handled.
//
// Small heads and bodies are served as long as there is any memory; large ones get a part of the budget
// only, so that they can't shut out the others. An idle connection is closed if a new one needs its place.
//
// # Usage
//
//	budget := intake.NewBudget(intake.Capacity{MemoryBytes: 134e6, Descriptors: 4100})
//	guard := intake.NewGuard(intake.Options{Log: log, Port: "callers", Budget: budget, Heads: heads})
//	server := &http.Server{Handler: guard.Handler(handler), ConnState: guard.ConnState, ConnContext: guard.ConnContext}
//	err := server.Serve(guard.Listener(listener))
//
//	body, err := intake.ReadBody(r.Context(), r.Body, r.ContentLength, limit) // in a handler
package intake

import (
	"container/list"
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
)

var metrics = expvar.NewMap("intake")

const (
	// refusalLinesPerSecond limits the log lines for refused connections and requests of a port.
	refusalLinesPerSecond = 10
	// minRetryAfter is the shortest time after which a client that is refused for want of memory may come back, and the
	// range of what is added to it.
	minRetryAfter = 300 * clock.Millisecond
	// DefaultUnreadAnswerMs is the time without any progress after which an answer is given up.
	DefaultUnreadAnswerMs = 30 * clock.Second
	// minUnreadAnswerMs and maxUnreadAnswerMs bound that time in the settings.
	minUnreadAnswerMs, maxUnreadAnswerMs = clock.Second, clock.Hour
	// DefaultMaxHeadBytes is the longest head where the settings name no limit.
	DefaultMaxHeadBytes = 64 << 10
)

// Heads limits the heads of requests.
type Heads struct {
	// MaxBytes is the longest head.
	MaxBytes int
	// TimeoutMs is the longest time from the first to the last byte of a head; 0: not limited here.
	TimeoutMs clock.Millis
}

// Options holds the settings of a guard.
type Options struct {
	// Log is the daemon's log.
	Log *zap.Logger
	// Port is the port's name in log lines.
	Port string
	// Budget is what the port's connections may take. Ports may share one.
	Budget *Budget
	// Heads returns the limits of heads that are in force.
	Heads func() Heads
	// UnreadAnswerMs is the time after which a write without progress fails; 0: DefaultUnreadAnswerMs.
	UnreadAnswerMs clock.Millis
	// Refuse answers requests that are refused after their head was read, with status 503; nil: an empty answer. The
	// header Retry-After is set.
	Refuse http.Handler
	// WholeSeconds is set if Retry-After may not have a fraction.
	WholeSeconds bool
}

// Guard bounds what the connections of one port hold. It is safe for concurrent use.
type Guard struct {
	o     Options
	lines *rate.Limiter

	mu sync.Mutex
	// idle holds the connections that wait for a request, the longest wait first.
	idle list.List
}

// NewGuard returns a guard of a port.
func NewGuard(o Options) *Guard {
	if o.UnreadAnswerMs <= 0 {
		o.UnreadAnswerMs = DefaultUnreadAnswerMs
	}
	g := &Guard{o: o, lines: rate.NewLimiter(refusalLinesPerSecond, refusalLinesPerSecond)}
	g.idle.Init()
	return g
}

// retryAfter returns when a client may come back, in seconds. It is spread, so that they do not come back together.
func (g *Guard) retryAfter() string {
	ms := minRetryAfter + rand.N(minRetryAfter)
	if g.o.WholeSeconds {
		return strconv.FormatInt(int64((ms+clock.Second-1)/clock.Second), 10)
	}
	return strconv.FormatFloat(float64(ms)/float64(clock.Second), 'f', 3, 64)
}

// CheckUnreadAnswer returns an error if a time may not be set as UnreadAnswerMs.
func CheckUnreadAnswer(span clock.Millis) error {
	if span < minUnreadAnswerMs || span > maxUnreadAnswerMs {
		return fmt.Errorf("the time for an unread answer is %d ms, outside %d to %d", span, minUnreadAnswerMs, maxUnreadAnswerMs)
	}
	return nil
}

// Accept takes a new connection under guard. It returns nil if there is no place for it; the connection is
// closed then.
func (g *Guard) Accept(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, guard: g, account: &Account{budget: g.o.Budget}}
	for !c.account.open() {
		if !g.closeIdle() {
			g.refuse(c, refusalNoPlace)
			_ = inner.Close()
			return nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitLocked(http.StateNew)
	return c
}

// closeIdle closes the connection that has waited longest for a request. It returns false if none waits.
func (g *Guard) closeIdle() bool {
	g.mu.Lock()
	first := g.idle.Front()
	if first == nil {
		g.mu.Unlock()
		return false
	}
	g.idle.Remove(first)
	c := first.Value.(*Conn)
	c.place = nil
	g.mu.Unlock()
	metrics.Add("idleClosed", 1)
	c.evict()
	return true
}

// noteIdle adds a connection to those that wait, or removes it from them.
func (g *Guard) noteIdle(c *Conn, idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case idle && c.place == nil:
		c.place = g.idle.PushBack(c)
	case !idle && c.place != nil:
		g.idle.Remove(c.place)
		c.place = nil
	}
}

// Listener returns a listener whose connections are under guard.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

// listener accepts connections for a guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.Accept(inner); c != nil {
			return c, nil
		}
	}
}

// ConnState is for [http.Server].
func (g *Guard) ConnState(nc net.Conn, state http.ConnState) { nc.(*Conn).SetState(state) }

// ConnContext is for [http.Server]. It makes the connection's account known to its handlers.
func (g *Guard) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return nc.(*Conn).Context(ctx)
}

// Handler returns a handler that refuses requests for which there is no place or too little memory.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cost := headCost(r)
		if Of(r.Context()).takeHead(cost) {
			next.ServeHTTP(w, r)
			return
		}
		g.note(refusalNoMemory, r.RemoteAddr)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", g.retryAfter())
		if g.o.Refuse != nil && cost <= usualHeadBytes {
			g.o.Refuse.ServeHTTP(w, r)
			return
		}
		clear(r.Header) // the answer may take its time
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// headCost returns the memory that the head of a request takes.
func headCost(r *http.Request) int64 {
	lines, bytes := 1, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return costOfHead(bytes, lines)
}

// note counts a refusal and logs it if there is not too much of the like.
func (g *Guard) note(why refusal, remote string) {
	metrics.Add(why.counter, 1)
	if !g.lines.Allow() {
		metrics.Add("linesLeftOut", 1)
		return
	}
	g.o.Log.Warn("a connection or request was refused before it was handled", zap.String("port", g.o.Port), zap.String("reason", why.counter),
		zap.Int("status", why.status), zap.String("remote", remote), zap.Int64("usedBytes", g.o.Budget.Used()))
}
