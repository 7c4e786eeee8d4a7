// Package suspects keeps the requests during which upstreams died, which may have
// crashed them. One death makes a request a suspect, which never shares an engine with
// another suspect. After two deaths the request is refused until its entry expires, in
// every data centre, also when its caller sends it again. It does no I/O.
//
// # Usage
//
//	s := suspects.New()
//	s.RecordDeath(digest, now, until)
//	if until, refused := s.Refused(digest, now); refused { ... }
package suspects

import (
	"sync"

	"hemlockmux.example/common/clock"
)

const (
	// deathsToRefusal is the number of deaths after which a request is refused.
	deathsToRefusal = 2
	// maxEntries limits the memory used; entries that expire first are evicted first.
	maxEntries = 4096
	// maxRecent is the maximum number of entries that Recent returns for one message.
	maxRecent = 8
	// shareFor is how long a changed entry is sent to other daemons.
	shareFor = 15 * clock.Second
)

// Entry records the deaths of upstreams during one request. Daemons exchange its exported
// fields under their Go names.
type Entry struct {
	// Digest identifies the request.
	Digest string
	// Deaths is the number of upstreams that died while they ran the request.
	Deaths int
	// UntilMs is when the entry expires, in ms.
	UntilMs   clock.Millis
	updatedMs clock.Millis // last change, at this daemon
}

// Suspects is the set of suspects. It is safe for concurrent use.
type Suspects struct {
	mu      sync.Mutex
	entries map[string]*Entry
	// OnUpdate is called after each change that should be sent to other daemons at once.
	OnUpdate func()
}

// New returns an empty set.
func New() *Suspects { return &Suspects{entries: map[string]*Entry{}, OnUpdate: func() {}} }

// RecordDeath records that an upstream died while it ran the request. The entry expires
// no earlier than at until.
func (s *Suspects) RecordDeath(digest string, now, until clock.Millis) {
	s.recordDeath(digest, now, until)
	s.OnUpdate()
}

func (s *Suspects) recordDeath(digest string, now, until clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.liveLocked(digest, now)
	if e == nil {
		e = &Entry{Digest: digest}
		s.entries[digest] = e
		s.evictLocked()
	}
	e.Deaths++
	e.UntilMs = max(e.UntilMs, until)
	e.updatedMs = now
}

// RecordCompletion records that an upstream ran the request to its end. This clears a
// request with a single death, which another request at the same upstream may have caused.
func (s *Suspects) RecordCompletion(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[digest]; ok && e.Deaths < deathsToRefusal {
		delete(s.entries, digest)
	}
}

// Suspected reports whether an upstream died during the request.
func (s *Suspects) Suspected(digest string, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveLocked(digest, now) != nil
}

// Refused reports whether the request is refused, and until when.
func (s *Suspects) Refused(digest string, now clock.Millis) (until clock.Millis, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.liveLocked(digest, now)
	if e == nil || e.Deaths < deathsToRefusal {
		return 0, false
	}
	return e.UntilMs, true
}

// Recent returns up to maxRecent entries that changed within shareFor, to be sent to other
// daemons.
func (s *Suspects) Recent(now clock.Millis) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []Entry
	for _, e := range s.entries {
		if now-e.updatedMs < shareFor && len(recent) < maxRecent {
			recent = append(recent, *e)
		}
	}
	return recent
}

// Merge merges an entry received from another daemon. It keeps the greater number of
// deaths, so that receiving an entry again changes nothing. It calls OnUpdate if the
// request is refused from now on.
func (s *Suspects) Merge(received Entry, now clock.Millis) {
	if s.merge(received, now) {
		s.OnUpdate()
	}
}

// merge reports whether the received entry makes the request refused from now on.
func (s *Suspects) merge(received Entry, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if received.UntilMs <= now {
		return false
	}
	e := s.liveLocked(received.Digest, now)
	if e == nil {
		e = &Entry{Digest: received.Digest}
		s.entries[received.Digest] = e
		s.evictLocked()
	}
	before := e.Deaths
	if received.Deaths > e.Deaths || received.UntilMs > e.UntilMs {
		e.Deaths, e.UntilMs, e.updatedMs = max(e.Deaths, received.Deaths), max(e.UntilMs, received.UntilMs), now
	}
	return before < deathsToRefusal && e.Deaths >= deathsToRefusal
}

// liveLocked returns the entry if it has not expired, and deletes it if it has.
func (s *Suspects) liveLocked(digest string, now clock.Millis) *Entry {
	e, ok := s.entries[digest]
	if ok && e.UntilMs <= now {
		delete(s.entries, digest)
		return nil
	}
	return e
}

// evictLocked removes entries that expire first while there are more than maxEntries.
func (s *Suspects) evictLocked() {
	for len(s.entries) > maxEntries {
		var earliest *Entry
		for _, e := range s.entries {
			if earliest == nil || e.UntilMs < earliest.UntilMs {
				earliest = e
			}
		}
		delete(s.entries, earliest.Digest)
	}
}
