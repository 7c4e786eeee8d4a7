// Package suspects remembers requests during which upstreams died. One death
// makes a request a suspect, which never shares an engine with another suspect;
// two deaths make it refused for a while, in every data centre, also when its
// caller sends it again. It does no I/O.
//
// # Usage
//
//	s := suspects.New()
//	s.RecordDeath(digest, now, until)
//	if s.Refused(digest, now) { ... }
package suspects

import (
	"sync"

	"hemlockmux.example/common/clock"
)

const (
	// deathsToRefusal is the number of deaths after which a request is refused.
	deathsToRefusal = 2
	// maxEntries bounds the memory; the entries that end first go first.
	maxEntries = 4096
	// maxNews bounds the entries that one message carries.
	maxNews = 8
	// tellFor is how long news of a suspect is passed on.
	tellFor = 15 * clock.Second
)

// Entry is what is known of one request.
type Entry struct {
	Digest  string
	Deaths  int
	UntilMs clock.Millis
	learned clock.Millis
}

// Suspects holds the suspects.
type Suspects struct {
	mu      sync.Mutex
	entries map[string]*Entry
	// OnUpdate is called after each change that other daemons should hear of.
	OnUpdate func()
}

// New returns an empty set.
func New() *Suspects { return &Suspects{entries: map[string]*Entry{}, OnUpdate: func() {}} }

// RecordDeath takes in that an upstream died while it ran the request.
func (s *Suspects) RecordDeath(digest string, now, until clock.Millis) {
	s.died(digest, now, until)
	s.OnUpdate()
}

func (s *Suspects) died(digest string, now, until clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.liveLocked(digest, now)
	if e == nil {
		e = &Entry{Digest: digest}
		s.entries[digest] = e
		s.boundLocked()
	}
	e.Deaths++
	e.UntilMs = max(e.UntilMs, until)
	e.learned = now
}

// RecordCompletion takes in that an upstream ran the request to its end, which clears
// a request that was suspected only for the company it kept.
func (s *Suspects) RecordCompletion(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[digest]; ok && e.Deaths < deathsToRefusal {
		delete(s.entries, digest)
	}
}

// Suspected tells whether an upstream died during the request.
func (s *Suspects) Suspected(digest string, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveLocked(digest, now) != nil
}

// Refused tells whether the request is refused, and until when.
func (s *Suspects) Refused(digest string, now clock.Millis) (until clock.Millis, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.liveLocked(digest, now)
	if e == nil || e.Deaths < deathsToRefusal {
		return 0, false
	}
	return e.UntilMs, true
}

// Recent returns what was learned lately, to be told to other daemons.
func (s *Suspects) Recent(now clock.Millis) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []Entry
	for _, e := range s.entries {
		if now-e.learned < tellFor && len(news) < maxNews {
			news = append(news, *e)
		}
	}
	return news
}

// Merge takes in another daemon's news. Deaths are merged by the greater
// count, so that the same news heard twice counts once.
//
// A second death is worth passing on at once: it makes the request refused.
func (s *Suspects) Merge(news Entry, now clock.Millis) {
	if s.learn(news, now) {
		s.OnUpdate()
	}
}

// learn returns whether the news makes the request refused from now on.
func (s *Suspects) learn(news Entry, now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if news.UntilMs <= now {
		return false
	}
	e := s.liveLocked(news.Digest, now)
	if e == nil {
		e = &Entry{Digest: news.Digest}
		s.entries[news.Digest] = e
		s.boundLocked()
	}
	before := e.Deaths
	if news.Deaths > e.Deaths || news.UntilMs > e.UntilMs {
		e.Deaths, e.UntilMs, e.learned = max(e.Deaths, news.Deaths), max(e.UntilMs, news.UntilMs), now
	}
	return before < deathsToRefusal && e.Deaths >= deathsToRefusal
}

// liveLocked returns the entry if it has not ended, and forgets it if it has.
func (s *Suspects) liveLocked(digest string, now clock.Millis) *Entry {
	e, ok := s.entries[digest]
	if ok && e.UntilMs <= now {
		delete(s.entries, digest)
		return nil
	}
	return e
}

func (s *Suspects) boundLocked() {
	for len(s.entries) > maxEntries {
		var first *Entry
		for _, e := range s.entries {
			if first == nil || e.UntilMs < first.UntilMs {
				first = e
			}
		}
		delete(s.entries, first.Digest)
	}
}
