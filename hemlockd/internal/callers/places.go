package callers

import (
	"slices"
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/membership"
)

// place is a daemon that may run a call.
type place struct {
	daemon     string
	dataCentre string
}

// modelCentres lists the data centres with engines for a call.
func (e *exchange) modelCentres(call keeper.Call) []string {
	return e.dataCentres(func(name string, u settings.Upstream) bool {
		return u.Kind == settings.KindDecode && u.Model == call.Model && e.team.MayUse(name, u) && !u.Leaving
	})
}

func (e *exchange) hasEngines(call keeper.Call) bool { return len(e.modelCentres(call)) > 0 }

// modelPlaces lists the daemons to try: the keeper of the group here, then
// keepers in other data centres that have engines, the nearest first.
func (e *exchange) modelPlaces(call keeper.Call) []place {
	var places []place
	for _, dc := range e.modelCentres(call) {
		live := e.c.Daemons.Live(dc)
		name := keeper.GroupName(e.tree, dc, call.Model, call.PrefixHashes)
		for range 2 {
			daemon := membership.Owner(name, live)
			if daemon == "" {
				break
			}
			places = append(places, place{daemon: daemon, dataCentre: dc})
			live = slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == daemon })
		}
	}
	return places
}

// dataCentres lists the data centres with an upstream that is wanted: the own
// one first, then those of the same region, then by latency.
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
	own := e.c.common.Config.DataCentre
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
