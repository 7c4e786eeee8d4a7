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

// Report is what daemons exchange about one part. Ages are durations in ms, as the clocks of machines
// differ; 0 or absent means never, and the least age sent is 1 ms.
type Report struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Part is the id of the part.
	Part string `json:"part"`
	// Depth is the greatest index at which the part was seen in a run that crashed.
	Depth int `json:"depth"`
	// Epoch is how often the evidence was dropped.
	Epoch int `json:"epoch,omitempty"`
	// Engines are the ids of the engine processes that crashed, in order.
	Engines []string `json:"engines,omitempty"`
	// CrashAgoMs is the time since the last crash, in ms.
	CrashAgoMs clock.Millis `json:"crashAgoMs,omitempty"`
	// TryAgoMs is the time since the last try, in ms.
	TryAgoMs clock.Millis `json:"tryAgoMs,omitempty"`
	// SeenAgoMs is the time since the last refused request, in ms.
	SeenAgoMs clock.Millis `json:"seenAgoMs,omitempty"`
	// CompletedAgoMs is the time since a run with the part last completed, in ms, if that
	// is known; it may be before the crashes.
	CompletedAgoMs clock.Millis `json:"completedAgoMs,omitempty"`
}

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

// part is the evidence on one part. Times are local, in ms.
type part struct {
	service, id string
	depth       int
	epoch       int
	engines     []string // sorted; empty if only the epoch is remembered
	crashMs     clock.Millis
	tryMs       clock.Millis
	seenMs      atomic.Int64 // also written with a read lock
	changedMs   clock.Millis // last change of depth, epoch or engines
	sent        int64        // number of the last message that had the part
	blamed      bool
	urgent      bool // not blamed any more; other daemons should know soon
}

// Evidence is the evidence on the parts of all services. It is safe for concurrent use.
type Evidence struct {
	// OnUpdate is called after each change that should be sent to other daemons at once.
	OnUpdate func()

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
	return &Evidence{OnUpdate: func() {}, completed: newCompletedParts(rand.Uint64()), services: map[string]map[string]*part{}, sweptMs: never}
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

// Merge merges a report received from another daemon. Malformed reports are ignored. It
// calls OnUpdate if the report changed what is refused.
func (e *Evidence) Merge(r Report, now clock.Millis) {
	if r.valid() && e.merge(r, now) {
		e.OnUpdate()
	}
}

// merge reports whether the report changed what is refused.
func (e *Evidence) merge(r Report, now clock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked(now)
	if r.expired() {
		return false
	}
	p := e.partLocked(r.Service, r.Part)
	if e.completed.merge(r.Service, r.Part, r.CompletedAgoMs, now) {
		p.changedMs = now // the sender should learn of the completion
	}
	if r.Epoch < p.epoch {
		p.changedMs = now // the sender should learn the epoch
		p.urgent = p.urgent || len(r.Engines) >= blameThreshold
		return false
	}
	newer, decide := r.Epoch > p.epoch, len(p.engines) >= blameThreshold
	if newer {
		p.reset(r.Epoch)
	}
	if completed := e.completed.ago(r.Service, r.Part, now); completed > 0 && completed < r.CrashAgoMs && r.Epoch == p.epoch && len(p.engines) == 0 {
		p.clear(now) // a run completed after the crashes, before their report came
		p.urgent = len(r.Engines) >= blameThreshold
		return decide && e.blameLocked(r.Service)
	}
	engines := union(p.engines, r.Engines)
	grown := newer || !slices.Equal(engines, p.engines) || r.Depth > p.depth
	p.engines, p.depth = engines, max(p.depth, r.Depth)
	p.crashMs = mergeAge(p.crashMs, r.CrashAgoMs, now)
	p.tryMs = mergeAge(p.tryMs, r.TryAgoMs, now)
	p.seenMs.Store(int64(mergeAge(clock.Millis(p.seenMs.Load()), r.SeenAgoMs, now)))
	if !grown {
		return false
	}
	p.changedMs = now
	changed := (decide || len(engines) >= blameThreshold) && e.blameLocked(r.Service)
	e.evictLocked()
	return changed
}

// Recent returns up to maxRecent reports to be sent to other daemons: on the blamed parts
// and on other parts that changed within shareFor, in turn.
func (e *Evidence) Recent(now clock.Millis) []Report {
	if e.size.Load() == 0 {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sweepLocked(now)
	e.messages++
	var reports []Report
	for _, p := range e.dueLocked(now) {
		p.sent = e.messages
		reports = append(reports, e.reportLocked(p, now))
	}
	return reports
}

// dueLocked returns the parts for the next message. Half of the places are for blamed
// parts and those blamed lately, a quarter for parts that have several crashes, the rest for
// the others; places that one kind doesn't need go to the next. The parts sent longest ago go first.
func (e *Evidence) dueLocked(now clock.Millis) []*part {
	var kinds [3][]*part // the first maxRecent of each kind
	for _, known := range e.services {
		for _, p := range known {
			switch {
			case p.blamed, p.urgent && now-p.changedMs < shareFor:
				kinds[0] = insertDue(kinds[0], p)
			case now-p.changedMs >= shareFor:
			case len(p.engines) > 1:
				kinds[1] = insertDue(kinds[1], p)
			default:
				kinds[2] = insertDue(kinds[2], p)
			}
		}
	}
	var due []*part
	for i, places := range [...]int{maxRecent / 2, maxRecent / 4, maxRecent / 4} {
		n := min(places, len(kinds[i]))
		due = append(due, kinds[i][:n]...)
		kinds[i] = kinds[i][n:]
	}
	for _, rest := range kinds {
		due = append(due, rest[:min(maxRecent-len(due), len(rest))]...)
	}
	return due
}

// insertDue inserts a part into an ordered list of at most maxRecent parts.
func insertDue(due []*part, p *part) []*part {
	i, _ := slices.BinarySearchFunc(due, p, comparePartsBySent)
	if i >= maxRecent {
		return due
	}
	due = slices.Insert(due, i, p)
	return due[:min(len(due), maxRecent)]
}

// comparePartsBySent orders parts by when they were last sent, then the latest changed
// first.
func comparePartsBySent(a, b *part) int {
	if a.sent != b.sent {
		return cmp.Compare(a.sent, b.sent)
	}
	if a.changedMs != b.changedMs {
		return cmp.Compare(b.changedMs, a.changedMs)
	}
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.id, b.id))
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

// partLocked returns the part, and adds it if it is not known.
func (e *Evidence) partLocked(service, id string) *part {
	known := e.services[service]
	if known == nil {
		known = map[string]*part{}
		e.services[service] = known
	}
	p := known[id]
	if p == nil {
		p = &part{service: service, id: id, changedMs: never}
		p.reset(0)
		known[id] = p
		e.size.Add(1)
	}
	return p
}

// removeLocked removes a part from memory.
func (e *Evidence) removeLocked(p *part) {
	known := e.services[p.service]
	delete(known, p.id)
	if len(known) == 0 {
		delete(e.services, p.service)
	}
	e.size.Add(-1)
	if p.blamed {
		e.blamed.Add(-1)
	}
}

// blameLocked decides which parts of a service are blamed. It reports whether that changed.
func (e *Evidence) blameLocked(service string) bool {
	known := e.services[service]
	var candidates []*part
	changed := false
	for _, p := range known {
		if len(p.engines) >= blameThreshold {
			candidates = append(candidates, p)
		} else if p.blamed {
			e.setBlamedLocked(p, false)
			changed = true
		}
	}
	slices.SortFunc(candidates, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.engines), len(a.engines)), cmp.Compare(a.id, b.id))
	})
	explained := map[string]bool{}
	for _, p := range candidates {
		unexplained := 0
		for _, engine := range p.engines {
			if !explained[engine] {
				unexplained++
			}
		}
		blamed := unexplained >= blameThreshold
		if blamed {
			for _, engine := range p.engines {
				explained[engine] = true
			}
		}
		if blamed != p.blamed {
			e.setBlamedLocked(p, blamed)
			changed = true
		}
	}
	return changed
}

func (e *Evidence) setBlamedLocked(p *part, blamed bool) {
	p.blamed, p.urgent = blamed, !blamed
	if blamed {
		e.blamed.Add(1)
	} else {
		e.blamed.Add(-1)
	}
}

// evictLocked removes parts if there are more than maxParts: those not blamed first, with
// the fewest crashes, the oldest first.
func (e *Evidence) evictLocked() {
	if e.size.Load() <= maxParts {
		return
	}
	var all []*part
	for _, known := range e.services {
		for _, p := range known {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, (*part).compareWeight)
	for i, p := range all[:len(all)-maxParts+evictedParts] {
		if p.blamed && i >= len(all)-maxParts {
			return // not before it has to be
		}
		e.removeLocked(p)
		if p.blamed {
			e.blameLocked(p.service)
		}
	}
}

// compareWeight orders parts by what their loss would cost.
func (p *part) compareWeight(other *part) int {
	if p.blamed != other.blamed {
		if other.blamed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(p.engines), len(other.engines)), cmp.Compare(max(p.crashMs, p.changedMs), max(other.crashMs, other.changedMs)),
		cmp.Compare(p.service, other.service), cmp.Compare(p.id, other.id))
}

// sweepLocked forgets old evidence, at most once within sweepInterval.
func (e *Evidence) sweepLocked(now clock.Millis) {
	if now-e.sweptMs < sweepInterval {
		return
	}
	e.sweptMs = now
	for service, known := range e.services {
		changed := false
		for _, p := range known {
			if !p.expired(now) {
				continue
			}
			changed = true
			if len(p.engines) > 0 && p.epoch > 0 {
				p.reset(p.epoch)
				p.changedMs = now - shareFor // not to be sent
				continue
			}
			e.removeLocked(p)
		}
		if changed {
			e.blameLocked(service)
		}
	}
}

// expired reports whether the part may be forgotten.
func (p *part) expired(now clock.Millis) bool {
	switch {
	case p.blamed:
		return now-max(p.crashMs, clock.Millis(p.seenMs.Load())) >= forgetBlamedAfter
	case len(p.engines) > 0:
		return now-p.crashMs >= forgetAfter
	default:
		return now-p.changedMs >= forgetEpochAfter
	}
}

// tryDue returns when the next try is due, in ms, for a request whose parts have all
// completed lately or not.
func (p *part) tryDue(completed bool) clock.Millis {
	if completed && p.untried() {
		return max(p.crashMs+completedTryInterval, p.tryMs+completedRetryInterval)
	}
	interval := tryInterval
	for range len(p.engines) - blameThreshold {
		interval = min(2*interval, maxTryInterval)
	}
	return max(p.crashMs, p.tryMs) + interval
}

// untried reports whether no engine crashed after a try.
func (p *part) untried() bool { return p.tryMs == never || p.tryMs > p.crashMs }

// mayTry reports whether a try may start now. Any daemon may start that of a request whose parts
// have all completed lately, the responsible one every try.
func (p *part) mayTry(completed, responsible bool, now clock.Millis) bool {
	return p.tryDue(completed) <= now && (responsible || completed && p.untried())
}

// see records that a request with the blamed part came.
func (p *part) see(now clock.Millis) {
	if now-clock.Millis(p.seenMs.Load()) >= seenInterval {
		p.seenMs.Store(int64(now))
	}
}

// clear drops the evidence and starts the next epoch.
func (p *part) clear(now clock.Millis) {
	p.reset(min(p.epoch+1, maxEpoch))
	p.changedMs = now
}

// reset starts an epoch without evidence.
func (p *part) reset(epoch int) {
	p.epoch, p.depth, p.engines, p.crashMs, p.tryMs = epoch, 0, nil, never, never
	p.seenMs.Store(int64(never))
}

func (e *Evidence) reportLocked(p *part, now clock.Millis) Report {
	return Report{
		Service: p.service, Part: p.id, Depth: p.depth, Epoch: p.epoch, Engines: slices.Clone(p.engines),
		CompletedAgoMs: e.completed.ago(p.service, p.id, now),
		CrashAgoMs:     ago(p.crashMs, now), TryAgoMs: ago(p.tryMs, now), SeenAgoMs: ago(clock.Millis(p.seenMs.Load()), now),
	}
}

// ago returns the age of a time as it is sent: between 1 ms and maxAge, or 0 for never.
func ago(at, now clock.Millis) clock.Millis {
	if at == never {
		return 0
	}
	return min(max(now-at, 1), maxAge)
}

// mergeAge returns the time, or that of a received age if it is more recent by ageSlack.
func mergeAge(at, ago, now clock.Millis) clock.Millis {
	if received := now - ago; ago > 0 && received >= at+ageSlack {
		return received
	}
	return at
}

// valid reports whether the report is well-formed.
func (r Report) valid() bool {
	for _, age := range [...]clock.Millis{r.CrashAgoMs, r.TryAgoMs, r.SeenAgoMs, r.CompletedAgoMs} {
		if age < 0 || age > maxAge {
			return false
		}
	}
	return validID(r.Service) && validID(r.Part) && r.Depth >= 0 && r.Depth < maxRunParts && r.Epoch >= 0 && r.Epoch <= maxEpoch &&
		len(r.Engines) <= maxEngines && !slices.ContainsFunc(r.Engines, func(id string) bool { return !validID(id) }) &&
		(len(r.Engines) == 0) == (r.CrashAgoMs == 0)
}

// expired reports whether a valid report's evidence may be forgotten.
func (r Report) expired() bool {
	age := r.CrashAgoMs
	if r.SeenAgoMs > 0 && len(r.Engines) >= blameThreshold {
		age = min(age, r.SeenAgoMs)
	}
	if len(r.Engines) == 0 {
		return r.Epoch == 0
	}
	return age >= forgetAfter
}

// union returns the maxEngines smallest ids of two lists, of which a is sorted, or a
// itself if that is the same.
func union(a, b []string) []string {
	out := a
	for _, id := range b {
		i, found := slices.BinarySearch(out, id)
		if found || i >= maxEngines {
			continue
		}
		out = slices.Insert(slices.Clone(out), i, id)
		out = out[:min(len(out), maxEngines)]
	}
	return out
}

func validID(id string) bool { return id != "" && len(id) <= maxIDBytes }
