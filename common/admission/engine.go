package admission

import (
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
)

// Engine is one engine as described by the settings and its reports.
type Engine struct {
	// Name is the engine's upstream name.
	Name string
	// Kind is settings.KindPrefill or settings.KindDecode.
	Kind string
	// Up says that the engine answers.
	Up bool
	// Leaving says that the engine is leaving or no longer in the settings and gets no new
	// requests.
	Leaving bool
}

// engine is one engine with the requests granted to it.
type engine struct {
	Engine
	batch  int // decode slots granted
	pieces int // pieces of memory granted
	// foreign is the number of requests that the engine holds for other daemons, which
	// managed it before.
	foreign int
	// foreignPieces is the number of pieces of memory that those requests hold.
	foreignPieces int
	// suspect is the id of the suspect request at the engine, if any.
	suspect string
	// outstanding holds the predicted durations of the prefills given to the engine, in
	// order; the first is running.
	outstanding []outstanding
	// headSince is the time at which the first outstanding prefill started.
	headSince clock.Millis
	report    completions.Load
	index     *prefixIndex
	// linkBusyUntil is the time at which all results on the engine's link are predicted to
	// have arrived.
	linkBusyUntil float64
	// msPerToken is the mean time per token that was observed here; 0: none.
	msPerToken float64
	// avoidedUntil is the time until which this prefill engine is avoided after one of its
	// results was late or lost.
	avoidedUntil clock.Millis
}

// outstanding is one prefill given to an engine, with its predicted duration.
type outstanding struct {
	id string
	ms float64
}

func (e *engine) usable() bool { return e.Up && !e.Leaving }

// backlog returns the predicted time, in ms, to finish the engine's outstanding prefills.
func (e *engine) backlog(now clock.Millis) float64 {
	if len(e.outstanding) == 0 {
		return 0
	}
	total := max(0, e.outstanding[0].ms-float64(now-e.headSince))
	for _, o := range e.outstanding[1:] {
		total += o.ms
	}
	return total
}

// transfer adds a result to the engine's link and returns its predicted arrival time.
func (e *engine) transfer(now clock.Millis, transferMs float64) float64 {
	e.linkBusyUntil = max(e.linkBusyUntil, float64(now)) + transferMs
	return e.linkBusyUntil
}

// updateCache compares the expected with the actual cache hit of a prefill and records
// that its prompt is cached now.
func (e *engine) updateCache(r *request, cachedTokens int) {
	e.index.confirm(r.expectedCached, cachedTokens)
	e.index.store(r.Hashes)
}

// SetEngines sets the engines. Grants on engines that remain are kept.
func (g *Group) SetEngines(engines []Engine) {
	names := map[string]bool{}
	for _, e := range engines {
		names[e.Name] = true
		old, ok := g.engines[e.Name]
		if !ok {
			old = &engine{index: newPrefixIndex(g.model.Pieces)}
			g.engines[e.Name] = old
		}
		old.Engine = e
	}
	for name, e := range g.engines {
		if !names[name] {
			e.Leaving = true
			if e.batch == 0 && len(e.outstanding) == 0 {
				delete(g.engines, name)
			}
		}
	}
}

// Engines returns all engines, sorted by name, with the requests and pieces of memory
// granted.
func (g *Group) Engines() []EngineStatus {
	all := make([]EngineStatus, 0, len(g.engines))
	for _, e := range g.sorted("") {
		all = append(all, EngineStatus{Engine: e.Engine, InFlight: e.batch + len(e.outstanding), Pieces: e.pieces})
	}
	return all
}

// EngineStatus is an engine with its granted work.
type EngineStatus struct {
	Engine
	// InFlight is the number of outstanding prefills and granted decode slots.
	InFlight int
	// Pieces is the number of granted pieces of memory.
	Pieces int
}

// Report records an engine's load report.
func (g *Group) Report(name string, load completions.Load) {
	if e, ok := g.engines[name]; ok {
		e.report = load
	}
}

// SetForeign records the requests and pieces of memory that an engine holds for other
// daemons.
func (g *Group) SetForeign(name string, requests, pieces int) {
	if e, ok := g.engines[name]; ok {
		e.foreign, e.foreignPieces = requests, pieces
	}
}

// SetUp records whether an engine answers.
func (g *Group) SetUp(name string, up bool) {
	if e, ok := g.engines[name]; ok {
		e.Up = up
		if !up {
			e.index.clear()
		}
	}
}

// SetLeaving records whether an engine is leaving.
func (g *Group) SetLeaving(name string, leaving bool) {
	if e, ok := g.engines[name]; ok {
		e.Leaving = leaving
	}
}

// Leaving reports whether an engine is known to be leaving.
func (g *Group) Leaving(name string) bool {
	e, ok := g.engines[name]
	return ok && e.Leaving
}

// ApplyCacheEvents applies changes to an engine's prefix cache, as the engine reports
// them.
func (g *Group) ApplyCacheEvents(name string, events completions.CacheEvents) {
	if e, ok := g.engines[name]; ok {
		e.index.apply(events)
	}
}

// sorted returns the engines of a kind ("" for all) by name, so that every choice is
// reproducible with a seed.
func (g *Group) sorted(kind string) []*engine {
	all := make([]*engine, 0, len(g.engines))
	for _, e := range g.engines {
		if kind == "" || e.Kind == kind {
			all = append(all, e)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// eligible returns the engines of a kind that may take r.
func (g *Group) eligible(r *request, kind string, exclude map[string]bool) []*engine {
	var eligible []*engine
	for _, e := range g.sorted(kind) {
		separate := !r.Suspect || e.suspect == "" || e.suspect == r.ID
		if e.usable() && r.allows(e) && !exclude[e.Name] && separate && !g.heldBack(e) {
			eligible = append(eligible, e)
		}
	}
	return eligible
}

// heldBack reports whether an engine gets no new work just now because of what it has announced.
func (g *Group) heldBack(e *engine) bool {
	return g.options.HeldBack != nil && g.options.HeldBack(e.Name)
}

// chooseDecode returns the engine with the lowest load that has a free slot and enough
// memory, or nil.
func (g *Group) chooseDecode(r *request, exclude map[string]bool) *engine {
	var candidates []*engine
	limit := g.MaxBatch()
	for _, e := range g.eligible(r, settings.KindDecode, exclude) {
		fits := e.batch+e.foreign < limit && e.pieces+e.foreignPieces+r.pieces <= g.model.Pieces
		if fits || !g.options.ReserveDecode {
			candidates = append(candidates, e)
		}
	}
	return g.cheapest(candidates, func(e *engine) float64 {
		if g.options.Strategy == ReportedLoad {
			return float64(e.report.Running)
		}
		return float64(e.batch + e.foreign)
	})
}

// choosePrefill returns the engine that is predicted to finish the prefill first, or
// nil.
func (g *Group) choosePrefill(r *request, exclude map[string]bool, now clock.Millis) *engine {
	return g.cheapest(g.eligible(r, settings.KindPrefill, exclude), func(e *engine) float64 {
		work := g.prefillMs(r.PromptTokens - g.cached(r, e))
		if g.options.Strategy == ReportedLoad {
			return float64(e.report.Running)
		}
		return e.backlog(now) + work + float64(max(0, e.avoidedUntil-now))
	})
}

// FirstTokenTimeout returns how long to wait, from now on, for the first token of a
// request whose prefill has ended, before the transfer of its KV cache is considered
// stalled. It covers the predicted transfer, queued behind the others on the link, and a
// reserve.
func (g *Group) FirstTokenTimeout(id string, now clock.Millis) clock.Millis {
	r, ok := g.active[id]
	if !ok {
		return timeoutReserve
	}
	transferMs := max(0, r.arrivesMs-float64(now))
	return clock.Millis(1.5*transferMs+2*g.stepMs(g.MaxBatch())) + timeoutReserve
}

// MarkResultLate records that the result of a request's prefill is late or lost in
// transit. Since the engine's link may be at fault, choosePrefill adds a cost to the
// engine for some time, which grows with the weight of waste.
func (g *Group) MarkResultLate(id string, now clock.Millis) {
	r, ok := g.active[id]
	if !ok || r.prefilledBy == nil {
		return
	}
	weight := min(maxAvoidWeight, g.policy.WasteWeight/g.policy.GoodputWeight)
	r.prefilledBy.avoidedUntil = now + clock.Millis(weight*float64(avoidPeriod))
}

// cheapest returns the candidate with the lowest cost, chosen at random in case of a
// tie. With the strategy Random it returns any candidate at random.
func (g *Group) cheapest(candidates []*engine, cost func(*engine) float64) *engine {
	if len(candidates) == 0 {
		return nil
	}
	if g.options.Strategy == Random {
		return candidates[g.rng.IntN(len(candidates))]
	}
	var best []*engine
	bestCost := 0.0
	for _, e := range candidates {
		c := cost(e)
		if len(best) == 0 || c < bestCost {
			best, bestCost = best[:0], c
		}
		if c == bestCost {
			best = append(best, e)
		}
	}
	return best[g.rng.IntN(len(best))]
}

// cached returns the number of prompt tokens expected in the engine's prefix cache.
func (g *Group) cached(r *request, e *engine) int {
	if !g.options.PrefixRouting {
		return 0
	}
	return min(e.index.expect(r.Hashes)*g.model.PieceTokens, r.PromptTokens)
}

// bestCached returns the highest number of prompt tokens that any usable prefill engine
// is expected to have cached.
func (g *Group) bestCached(r *request) int {
	best := 0
	for _, e := range g.engines {
		if e.Kind == settings.KindPrefill && e.usable() {
			best = max(best, g.cached(r, e))
		}
	}
	return best
}

func (g *Group) reserveDecode(r *request, e *engine, now clock.Millis) {
	if e == nil {
		return
	}
	r.decode = e
	e.batch++
	e.pieces += r.pieces
	if r.Suspect {
		e.suspect = r.ID
	}
	wait := g.prefillMs(r.PromptTokens) + g.transferMs(r.PromptTokens) + float64(r.OutputTokens)*g.stepMs(e.batch)
	r.endsMs = now + clock.Millis(wait)
}

func (g *Group) releaseDecode(r *request) {
	e := r.decode
	if e == nil {
		return
	}
	r.decode = nil
	e.batch--
	e.pieces -= r.pieces
	if e.suspect == r.ID {
		e.suspect = ""
	}
}

func (g *Group) reservePrefill(r *request, e *engine, now clock.Millis) {
	r.prefill = e
	r.expectedCached = g.cached(r, e)
	r.prefillMs = g.prefillMs(r.PromptTokens - r.expectedCached)
	if len(e.outstanding) == 0 {
		e.headSince = now
	}
	e.outstanding = append(e.outstanding, outstanding{id: r.ID, ms: r.prefillMs})
	if r.Suspect {
		e.suspect = r.ID
	}
}

func (g *Group) releasePrefill(r *request, now clock.Millis) {
	e := r.prefill
	if e == nil {
		return
	}
	r.prefill, r.prefilledBy = nil, e
	if e.suspect == r.ID {
		e.suspect = ""
	}
	for i, o := range e.outstanding {
		if o.id != r.ID {
			continue
		}
		e.outstanding = append(e.outstanding[:i], e.outstanding[i+1:]...)
		if i == 0 {
			e.headSince = now
		}
		return
	}
}
