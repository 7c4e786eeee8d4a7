package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hemlockmux.example/common/clock"
)

// MeanLoad returns the mean predicted peak memory, as a fraction of an engine's memory, and the mean
// number of runs of a data centre's decode engines.
func (v *View) MeanLoad(dataCentre string, now clock.Millis) (memoryUse, runs float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0.0
	for _, e := range v.engines {
		if e.DataCentre != dataCentre || e.MemoryTokens == 0 {
			continue
		}
		n++
		memoryUse += float64(v.peakLocked(e, nil, now)) / float64(e.MemoryTokens)
		runs += float64(e.count())
	}
	if n == 0 {
		return 1, 0
	}
	return memoryUse / n, runs / n
}

// MemoryUse returns, by engine id, the predicted peak memory of each decode engine
// as a fraction of its memory.
func (v *View) MemoryUse(now clock.Millis) map[string]float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	use := map[string]float64{}
	for id, e := range v.engines {
		if e.MemoryTokens > 0 {
			use[id] = float64(v.peakLocked(e, nil, now)) / float64(e.MemoryTokens)
		}
	}
	return use
}

// Summary describes the state behind a failed placement: the runs and predicted
// peak memory of each decode engine and the backlog of each prefill engine.
func (v *View) Summary(now clock.Millis) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var b strings.Builder
	for _, e := range v.sortedLocked() {
		if e.MemoryTokens > 0 {
			fmt.Fprintf(&b, "%s: %d runs, %d %% memory; ", e.ID, e.count(), 100*v.peakLocked(e, nil, now)/e.MemoryTokens)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.prefillEngines)) {
		fmt.Fprintf(&b, "%s: backlog %.0f ms; ", id, v.prefillEngines[id].backlog(now))
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// Status is the state of one decode engine.
type Status struct {
	Engine
	// Runs is the number of runs of all daemons at the engine.
	Runs int
	// Peak is the predicted peak memory in tokens.
	Peak int
	// MsPerToken is the moving average of the decode time per token.
	MsPerToken float64
}

// Engines returns the state of every known decode engine.
func (v *View) Engines(now clock.Millis) []Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Status
	for _, e := range v.sortedLocked() {
		all = append(all, Status{Engine: e.Engine, Runs: e.count(), Peak: v.peakLocked(e, nil, now), MsPerToken: e.msPerToken})
	}
	return all
}
