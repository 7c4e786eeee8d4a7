package prompts

import (
	"slices"

	"hemlockmux.example/common/clock"
)

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
