package admission

import (
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
)

// Engine is one engine as the settings and its reports describe it.
type Engine struct {
	Name    string
	Kind    string
	Up      bool
	Leaving bool
}

// engine is one engine with what was granted on it.
type engine struct {
	Engine
	batch  int // decode slots granted
	pieces int // pieces of memory granted
	// foreign and foreignPieces are held there for other daemons, which kept
	// the engine before.
	foreign, foreignPieces int
	suspect                string
	// outstanding holds the predicted times of the prefills given to it, the
	// one that runs first.
	outstanding []outstanding
	headSince   clock.Millis
	report      completions.Load
	index       *prefixIndex
	// linkUntil is when the results on the engine's link are predicted to have
	// arrived.
	linkUntil float64
	// shunnedUntil is when results of this prefill engine are trusted to arrive
	// again after one was lost.
	shunnedUntil clock.Millis
}

type outstanding struct {
	id string
	ms float64
}

func (e *engine) usable() bool { return e.Up && !e.Leaving }

// backlog is the predicted prefill work that is left at the engine.
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

// carry puts a result on the engine's link and returns when it is predicted to
// arrive.
func (e *engine) carry(now clock.Millis, transferMs float64) float64 {
	e.linkUntil = max(e.linkUntil, float64(now)) + transferMs
	return e.linkUntil
}

// learn takes in what a prefill found in the cache, and that its prompt is in
// the cache now.
func (e *engine) learn(r *request, cachedTokens int) {
	e.index.confirm(r.cachedHint, cachedTokens)
	e.index.store(r.Hashes)
}

// SetEngines takes over the engines of the settings; grants on engines that
// stay are kept.
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

// Engines returns all engines by name, with the requests and pieces granted.
func (g *Group) Engines() []EngineStatus {
	all := make([]EngineStatus, 0, len(g.engines))
	for _, e := range g.sorted("") {
		all = append(all, EngineStatus{Engine: e.Engine, InFlight: e.batch + len(e.outstanding), Pieces: e.pieces})
	}
	return all
}

// EngineStatus is an engine with what is granted on it.
type EngineStatus struct {
	Engine
	InFlight int
	Pieces   int
}

// Report takes in an engine's report of its load.
func (g *Group) Report(name string, load completions.Load) {
	if e, ok := g.engines[name]; ok {
		e.report = load
	}
}

// SetForeign takes in what an engine holds for other daemons.
func (g *Group) SetForeign(name string, requests, pieces int) {
	if e, ok := g.engines[name]; ok {
		e.foreign, e.foreignPieces = requests, pieces
	}
}

// SetUp takes in that an engine answers, or does not.
func (g *Group) SetUp(name string, up bool) {
	if e, ok := g.engines[name]; ok {
		e.Up = up
		if !up {
			e.index.clear()
		}
	}
}

// SetLeaving takes in that an engine is leaving, or is back.
func (g *Group) SetLeaving(name string, leaving bool) {
	if e, ok := g.engines[name]; ok {
		e.Leaving = leaving
	}
}

// ApplyCacheEvents takes in what an engine tells of its prefix cache.
func (g *Group) ApplyCacheEvents(name string, events completions.CacheEvents) {
	if e, ok := g.engines[name]; ok {
		e.index.apply(events)
	}
}

// sorted returns the engines of a kind ("" for all) by name, so that a seed
// fixes every choice.
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
func (g *Group) eligible(r *request, kind string, not map[string]bool) []*engine {
	var eligible []*engine
	for _, e := range g.sorted(kind) {
		apart := !r.Suspect || e.suspect == "" || e.suspect == r.ID
		if e.usable() && r.allows(e) && !not[e.Name] && apart {
			eligible = append(eligible, e)
		}
	}
	return eligible
}

// chooseDecode returns the engine with the fewest requests that has a slot and
// memory, or nil.
func (g *Group) chooseDecode(r *request, not map[string]bool) *engine {
	var candidates []*engine
	limit := g.MaxBatch()
	for _, e := range g.eligible(r, settings.KindDecode, not) {
		fits := e.batch+e.foreign < limit && e.pieces+e.foreignPieces+r.pieces <= g.model.Pieces
		if fits || !g.options.ReserveDecode {
			candidates = append(candidates, e)
		}
	}
	return g.least(candidates, func(e *engine) float64 {
		if g.options.Strategy == ReportedLoad {
			return float64(e.report.Running)
		}
		return float64(e.batch + e.foreign)
	})
}

// choosePrefill returns the engine that is predicted to end the prefill first,
// or nil.
func (g *Group) choosePrefill(r *request, not map[string]bool, now clock.Millis) *engine {
	return g.least(g.eligible(r, settings.KindPrefill, not), func(e *engine) float64 {
		work := g.prefillMs(r.PromptTokens - g.cached(r, e))
		if g.options.Strategy == ReportedLoad {
			return float64(e.report.Running)
		}
		return e.backlog(now) + work + float64(max(0, e.shunnedUntil-now))
	})
}

// FirstTokenTimeout is how long the first token of a request may take after its prefill
// has ended before the link is thought to stand still: what is predicted of its
// transfer behind the others on the link, and a reserve.
func (g *Group) FirstTokenTimeout(id string, now clock.Millis) clock.Millis {
	r, ok := g.active[id]
	if !ok {
		return lateReserve
	}
	way := max(0, r.arrivesMs-float64(now))
	return clock.Millis(1.5*way+2*g.stepMs(g.MaxBatch())) + lateReserve
}

// MarkResultLate takes in that the result of a request's prefill is late or lost on
// its way. The engine's link may be at fault: for a while its prefills cost more
// in the eyes of choosePrefill, the longer the more waste weighs.
func (g *Group) MarkResultLate(id string, now clock.Millis) {
	r, ok := g.active[id]
	if !ok || r.prefilledBy == nil {
		return
	}
	weight := min(maxShunWeight, g.policy.WasteWeight/g.policy.GoodputWeight)
	r.prefilledBy.shunnedUntil = now + clock.Millis(weight*float64(shunFor))
}

// least returns the candidate of the smallest cost, any of them where several
// cost the same; with Choice Random any at all.
func (g *Group) least(candidates []*engine, cost func(*engine) float64) *engine {
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

// cached is the number of prompt tokens expected in the engine's cache.
func (g *Group) cached(r *request, e *engine) int {
	if !g.options.PrefixRouting {
		return 0
	}
	return min(e.index.expect(r.Hashes)*g.model.PieceTokens, r.PromptTokens)
}

// bestCached is the most that any engine is expected to have in its cache.
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
	r.cachedHint = g.cached(r, e)
	r.prefillMs = g.prefillMs(r.PromptTokens - r.cachedHint)
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
