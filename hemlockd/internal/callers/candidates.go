package callers

import (
	"slices"
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/membership"
)

// candidate is a daemon that may run a call.
type candidate struct {
	daemon     string
	dataCentre string
}

// modelDataCentres lists the data centres with engines for a call.
func (e *exchange) modelDataCentres(call keeper.Call) []string {
	return e.dataCentres(func(name string, u settings.Upstream) bool {
		return u.Kind == settings.KindDecode && u.Model == call.Model && e.team.MayUse(name, u) && !u.Leaving
	})
}

// hasEngines reports whether any data centre has engines for a call.
func (e *exchange) hasEngines(call keeper.Call) bool { return len(e.modelDataCentres(call)) > 0 }

// modelCandidates lists the daemons to try for a call: the first two keepers of its
// group in each data centre that has engines for it, the nearest data centre first.
func (e *exchange) modelCandidates(call keeper.Call) []candidate {
	var candidates []candidate
	for _, dc := range e.modelDataCentres(call) {
		live := e.c.Daemons.Keepers(dc)
		name := keeper.GroupName(e.tree, dc, call.Model, call.PrefixHashes)
		for range 2 {
			daemon := membership.Owner(name, live)
			if daemon == "" {
				break
			}
			candidates = append(candidates, candidate{daemon: daemon, dataCentre: dc})
			live = slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == daemon })
		}
	}
	return candidates
}

// dataCentres lists the data centres with a wanted upstream: this daemon's own first,
// then those of the same region, then the others by latency.
func (e *exchange) dataCentres(wanted func(string, settings.Upstream) bool) []string {
	set := map[string]bool{}
	for name, u := range e.tree.System.Upstreams {
		if wanted(name, u) {
			set[u.DataCentre] = true
		}
	}
	var names []string
	for dc := range set {
		names = append(names, dc)
	}
	own := e.c.env.Config.DataCentre
	distance := func(dc string) clock.Millis {
		switch {
		case dc == own:
			return -2
		case e.tree.System.DataCentres[dc].Region == e.tree.System.DataCentres[own].Region:
			return -1
		}
		return e.tree.System.DataCentres[dc].OneWayMs
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := distance(names[i]), distance(names[j])
		return a < b || a == b && names[i] < names[j]
	})
	return names
}
