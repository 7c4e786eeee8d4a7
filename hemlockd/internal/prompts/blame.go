package prompts

import (
	"cmp"
	"slices"
)

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
