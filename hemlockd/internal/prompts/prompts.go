// Package prompts finds parts of prompts that crash engines, and says which requests are
// refused because of them. A prompt is a list of parts, known by ids; the last part is the
// request's own and is never passed to this package. It does no I/O.
//
// The evidence on a part is the set of engine processes that crashed while they ran a
// request with it. A run that completes clears all its parts. A part is blamed if at least
// blameThreshold crashes are not explained by another blamed part, deeper ones first: the
// first part that sound and crashing requests share isn't blamed for crashes that a later
// part explains. A part that is known to have completed lately isn't suspected of the crash of
// a run that also had parts which didn't. Daemons exchange Reports; merging them is
// commutative, associative and idempotent, so that reports may be lost, repeated and reordered.
//
// # Usage
//
//	e := prompts.New()
//	e.OnUpdate = sendState
//	r, refused, try := e.Check(service, parts, mayTry, now) // before each send
//	e.RecordCrash(service, process, parts, now)
//	e.RecordCompletion(service, parts, now)
//
// A blamed part is tried again at intervals by one request. If Check returns try, the
// caller doesn't check this request again and doesn't repeat it if it crashes. In each message to
// other daemons:
//
//	message.Parts = e.Recent(now)
//	for _, r := range received.Parts { e.Merge(r, now) }
package prompts

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"hemlockmux.example/common/clock"
)

const (
	// blameThreshold is the number of crashes without another explanation from which a
	// part is blamed.
	blameThreshold = 3
	// tryInterval is the time between a blamed part's last crash or try and its next try,
	// with blameThreshold crashes. It doubles with each further crash.
	tryInterval = 30 * clock.Second
	// completedTryInterval is the time between the last crash and the first try of a blamed part by a
	// request whose parts have all completed lately: the crashes probably had another cause.
	completedTryInterval = 2 * clock.Second
	// completedRetryInterval is the time after which such a try is repeated if no crash followed it.
	completedRetryInterval = 10 * clock.Second
	// maxTryInterval is the maximum time between two tries of a part.
	maxTryInterval = clock.Hour
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfterMs.
	minRetryAfter = clock.Second
	maxRetryAfter = clock.Minute
	// forgetAfter is how long evidence is kept after the last crash.
	forgetAfter = 10 * clock.Minute
	// forgetBlamedAfter is how long a blamed part's evidence is kept after its last crash
	// or refused request. It is a little longer than forgetAfter: a part whose crashes the blamed
	// part explains must be forgotten first, although ages differ between daemons.
	forgetBlamedAfter = forgetAfter + 10*clock.Second
	// forgetEpochAfter is how long the epoch of a part without evidence is kept, so that
	// late reports don't bring back dropped evidence.
	forgetEpochAfter = 20 * clock.Minute
	// sweepInterval is the minimum time between two searches for evidence to forget.
	sweepInterval = clock.Second
	// seenInterval is the minimum time between two changes of the time at which a blamed
	// part was last seen, because Check is called often.
	seenInterval = clock.Second
	// ageSlack is how much more recent a received age must be to count. Ages grow more recent by the
	// delay of each message; without the slack they would never pass forgetAfter.
	ageSlack = 2 * clock.Second
	// shareFor is how long a changed part that isn't blamed is sent to other daemons.
	shareFor = 15 * clock.Second
	// maxRecent is the maximum number of reports in one message.
	maxRecent = 8
	// maxParts limits the number of parts in memory. If it is exceeded, evictedParts are
	// evicted at once, as choosing them takes a pass over all.
	maxParts     = 4096
	evictedParts = maxParts / 8
	// maxEngines limits the number of engines kept for a part. The smallest ids are kept,
	// which doesn't depend on the order in which reports are merged.
	maxEngines = 16
	// maxRunParts is the number of parts of a run that count; later ones are ignored.
	maxRunParts = 256
	// maxIDBytes is the maximum length of a service, part or engine id, in bytes.
	maxIDBytes = 128
	// maxEpoch and maxAge are the greatest values in a valid report.
	maxEpoch = 1 << 30
	maxAge   = 24 * clock.Hour
	// never is the time of what has not happened.
	never clock.Millis = math.MinInt64 / 2
)

// Refusal says why a request is refused.
type Refusal struct {
	// Part is the id of the blamed part; of several, the one whose try is due last.
	Part string
	// Engines is the number of engines known to have crashed, at most maxEngines.
	Engines int
	// RetryAfterMs is the time until the next try of the part, in ms, between
	// minRetryAfter and maxRetryAfter.
	RetryAfterMs clock.Millis
}

// Evidence is the evidence on the parts of all services. It is safe for concurrent use.
type Evidence struct {
	// OnUpdate is called after each change that this daemon has found and that should be
	// sent to other daemons at once.
	OnUpdate func()
	// OnMerge is called after a report of another daemon has changed what is refused. The
	// sender tells the other daemons itself, unless it can't reach all of them.
	OnMerge func()

	completed *completedParts

	size   atomic.Int64 // number of parts
	blamed atomic.Int64 // number of blamed parts

	mu       sync.RWMutex
	services map[string]map[string]*part // by service and id
	messages int64                       // number of calls of Recent
	sweptMs  clock.Millis
}

// New returns empty evidence.
func New() *Evidence {
	return &Evidence{OnUpdate: func() {}, OnMerge: func() {}, completed: newCompletedParts(rand.Uint64()), services: map[string]map[string]*part{}, sweptMs: never}
}

// RecordCrash records one run that an engine's crash broke. The engine is the id of the
// process; parts are those of the prompt without the last.
func (e *Evidence) RecordCrash(service, engine string, parts []string, now clock.Millis) {
	if e.recordCrash(service, engine, parts, now) {
		e.OnUpdate()
	}
}

// recordCrash reports whether the evidence grew.
func (e *Evidence) recordCrash(service, engine string, parts []string, now clock.Millis) bool {
	if !validID(service) || !validID(engine) || len(parts) == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked(now)
	changed, decide := false, false
	all := e.completed.hasAll(service, parts, now)
	for depth, id := range parts[:min(len(parts), maxRunParts)] {
		if !validID(id) || !all && e.completed.has(service, id, now) {
			continue
		}
		p := e.partLocked(service, id)
		p.crashMs = now
		if depth > p.depth {
			p.depth, p.changedMs, changed = depth, now, true
		}
		if engines := union(p.engines, []string{engine}); !slices.Equal(engines, p.engines) {
			p.engines, p.changedMs, changed = engines, now, true
		}
		decide = decide || len(p.engines) >= blameThreshold
	}
	if decide {
		e.blameLocked(service)
	}
	e.evictLocked()
	return changed
}

// RecordCompletion records a run that ended well, which clears its parts.
func (e *Evidence) RecordCompletion(service string, parts []string, now clock.Millis) {
	for _, id := range parts {
		e.completed.record(service, id, now)
	}
	if e.hasEvidence(service, parts) && e.recordCompletion(service, parts, now) {
		e.OnUpdate()
	}
}

func (e *Evidence) hasEvidence(service string, parts []string) bool {
	if e.size.Load() == 0 {
		return false
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	known := e.services[service]
	if known == nil {
		return false
	}
	for _, id := range parts {
		if p := known[id]; p != nil && len(p.engines) > 0 {
			return true
		}
	}
	return false
}

func (e *Evidence) recordCompletion(service string, parts []string, now clock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for _, id := range parts {
		if p := e.services[service][id]; p != nil && len(p.engines) > 0 {
			p.clear(now)
			changed = true
		}
	}
	if changed {
		e.blameLocked(service)
	}
	return changed
}

// Check reports whether a request with the parts is refused. If a try is due, it records the
// try and returns try instead. Only one daemon may set mayTry for a part; the first try by a
// request whose parts have all completed lately doesn't need it.
func (e *Evidence) Check(service string, parts []string, mayTry bool, now clock.Millis) (r Refusal, refused, try bool) {
	if e.blamed.Load() == 0 {
		return Refusal{}, false, false
	}
	r, due, refused := e.check(service, parts, mayTry, now)
	if !refused || !due {
		return r, refused, false
	}
	if e.startTry(service, parts, mayTry, now) {
		e.OnUpdate()
		return Refusal{}, false, true
	}
	r, _, refused = e.check(service, parts, mayTry, now)
	return r, refused, false
}

// check reports whether a request with the parts is refused and, if so, whether it may be
// a try.
func (e *Evidence) check(service string, parts []string, mayTry bool, now clock.Millis) (r Refusal, due, refused bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	known := e.services[service]
	var last clock.Millis
	due = true
	for _, id := range parts {
		p := known[id]
		if p == nil || !p.blamed || p.expired(now) {
			continue
		}
		p.see(now)
		completed := e.completed.hasAll(service, parts, now)
		at := p.tryDue(completed)
		due = due && p.mayTry(completed, mayTry, now)
		if !refused || at > last {
			last, refused = at, true
			r = Refusal{Part: id, Engines: len(p.engines), RetryAfterMs: min(max(at-now, minRetryAfter), maxRetryAfter)}
		}
	}
	return r, due && refused, refused
}

// startTry records a try of all blamed parts among those given. It returns false if one
// of them isn't due.
func (e *Evidence) startTry(service string, parts []string, mayTry bool, now clock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	completed := e.completed.hasAll(service, parts, now)
	var tried []*part
	for _, id := range parts {
		if p := e.services[service][id]; p != nil && p.blamed {
			if !p.mayTry(completed, mayTry, now) {
				return false
			}
			tried = append(tried, p)
		}
	}
	for _, p := range tried {
		p.tryMs, p.changedMs = now, now
	}
	return len(tried) > 0
}

// Blamed returns all blamed parts, by service and id.
func (e *Evidence) Blamed(now clock.Millis) []Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked(now)
	var blamed []Report
	for _, known := range e.services {
		for _, p := range known {
			if p.blamed {
				blamed = append(blamed, e.reportLocked(p, now))
			}
		}
	}
	slices.SortFunc(blamed, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
	})
	return blamed
}

// Lift drops the evidence on a blamed part, and that on parts not blamed which share
// crashes with it and would otherwise be blamed in its place. It reports whether the part was blamed.
func (e *Evidence) Lift(service, part string, now clock.Millis) bool {
	lifted := e.lift(service, part, now)
	if lifted {
		e.OnUpdate()
	}
	return lifted
}

func (e *Evidence) lift(service, id string, now clock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked(now)
	lifted := e.services[service][id]
	if lifted == nil || !lifted.blamed {
		return false
	}
	crashed := lifted.engines
	for _, p := range e.services[service] {
		if !p.blamed && slices.ContainsFunc(p.engines, func(engine string) bool { return slices.Contains(crashed, engine) }) {
			p.clear(now)
		}
	}
	lifted.clear(now)
	e.blameLocked(service)
	return true
}
