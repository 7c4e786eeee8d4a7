package usersplatform

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// CrashParts names the parts of prompts that crash decode engines.
type CrashParts struct {
	// Parts are the IDs of the parts, as in the X-Prompt-Prefix header. A decode engine
	// crashes crashDelay after it begins a stream whose header has such a part in any
	// place but the last.
	Parts []string `json:"parts"`
	// RestartMs is the time from a crash until a new process of the engine runs, in
	// milliseconds; 0 means that none is started.
	RestartMs int64 `json:"restartMs"`
	// ListedMs is how long the entry of a crashed engine stays in the store, in
	// milliseconds; 0 means 1000.
	ListedMs int64 `json:"listedMs"`
	// SameID gives the new process the ID of the crashed one.
	SameID bool `json:"sameId"`
	// SameAddress gives the new process the address of the crashed one.
	SameAddress bool `json:"sameAddress"`
}

// Crash is a crash of an engine by a part of a prompt.
type Crash struct {
	// Server is the ID of the engine.
	Server string `json:"server"`
	// Attempt is the X-Attempt-Id header of the request that crashed it.
	Attempt string `json:"attempt"`
	// AtMs is the time of the crash in Unix milliseconds.
	AtMs int64 `json:"atMs"`
}

const (
	// crashDelay is the time from the beginning of a stream to the crash.
	crashDelay = 50 * time.Millisecond
	// defaultListed is how long the entry of a crashed engine stays in the store.
	defaultListed = time.Second
)

func (p *Platform) setCrashParts(c CrashParts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts = c
}

func (p *Platform) crashParts() CrashParts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parts
}

func (p *Platform) allCrashes() []Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Crash{}, p.crashes...)
}

// promptParts returns the IDs of the parts of a request's prompt, in order.
func promptParts(r *http.Request) []string {
	var parts []string
	for part := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); id != "" {
			parts = append(parts, id)
		}
	}
	return parts
}

// crashes reports whether a prompt with these parts crashes an engine.
func (c CrashParts) crashes(parts []string) bool {
	for i, part := range parts {
		if i < len(parts)-1 && slices.Contains(c.Parts, part) {
			return true
		}
	}
	return false
}

// crashByPart makes the engine crash after crashDelay if the request's prompt holds a
// part that crashes engines.
func (s *Server) crashByPart(a *Arrival) {
	if c := s.platform.crashParts(); c.crashes(a.Parts) {
		time.AfterFunc(crashDelay, func() { s.stop.Do(func() { s.crashAndRestart(a, c) }) })
	}
}

// crashAndRestart resets the connections of the engine, removes its entry after a
// while and starts a new process of it.
func (s *Server) crashAndRestart(a *Arrival, c CrashParts) {
	p := s.platform
	p.mu.Lock()
	p.crashes = append(p.crashes, Crash{Server: s.spec.ID, Attempt: a.Attempt, AtMs: time.Now().UnixMilli()})
	a.Crashed = true
	p.mu.Unlock()
	s.resetOnClose()
	s.close()
	listed := defaultListed
	if c.ListedMs > 0 {
		listed = time.Duration(c.ListedMs) * time.Millisecond
	}
	time.AfterFunc(listed, s.unlistIfDown)
	if c.RestartMs > 0 {
		time.AfterFunc(time.Duration(c.RestartMs)*time.Millisecond, func() { s.restart(c) })
	}
}

// unlistIfDown removes the entry of a crashed server unless a new process has its ID.
func (s *Server) unlistIfDown() {
	if s.platform.server(s.spec.ID) == nil {
		s.platform.store.Set("servers", s.spec.ID, nil)
	}
}

// restart starts a new process of a crashed server.
func (s *Server) restart(c CrashParts) {
	s.mu.Lock()
	spec, address := s.spec, "127.0.0.1:0"
	s.mu.Unlock()
	if !c.SameID {
		spec.ID = s.platform.nextID(s.origin)
	}
	if c.SameAddress {
		address = s.address
	}
	if err := s.platform.startServer(spec, s.origin, address); err != nil {
		panic(fmt.Sprintf("restart server %s: %v", s.spec.ID, err)) // no test can go on without it
	}
}

// nextID returns the ID of the next process of a server.
func (p *Platform) nextID(origin string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts[origin]++
	return fmt.Sprintf("%s-%d", origin, p.starts[origin])
}

// trackConn keeps the server's open connections.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// resetOnClose makes the server's connections end with a reset when they are closed.
func (s *Server) resetOnClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}
