package prompts

import (
	"cmp"
	"slices"

	"hemlockmux.example/common/clock"
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

// Merge merges a report received from another daemon. Malformed reports are ignored. It
// calls OnMerge if the report changed what is refused.
func (e *Evidence) Merge(r Report, now clock.Millis) {
	if r.valid() && e.merge(r, now) {
		e.OnMerge()
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
