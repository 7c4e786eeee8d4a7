// Package capacity keeps what is known of the memory of decode engines: the
// runs that this daemon has placed there and those that other daemons have told
// of. It predicts how much memory the runs of an engine will need at the most
// and chooses the engine for the next run. It does no I/O and takes the time as
// an argument.
//
// # Usage
//
//	v := capacity.NewView(capacity.DefaultLimits())
//	v.SetEngines(engines)
//	if placed, ok := v.Place(run, capacity.PlaceOptions{}, now); ok { ... v.Progress(run.ID, generated, now) ... v.End(run.ID) }
//	v.Replace("other-daemon", itsRuns, now)
package capacity

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"hemlockmux.example/common/clock"
)

// own is the owner of this daemon's runs.
const own = ""

const (
	// blockTokens rounds the memory of a run up.
	blockTokens = 16
	// initialMsPerToken is the pace of an engine of which nothing is known yet.
	initialMsPerToken = 1.0
	// leastFarShare is the least part of the places at an engine that daemons far
	// from it may take while those near it look for places too.
	leastFarShare = 0.25
	// paceWeight is the weight of a new observation of an engine's pace.
	paceWeight = 0.2
)

// Engine is a decode engine as the view needs to know it.
type Engine struct {
	ID           string
	Service      string
	DataCentre   string
	MemoryTokens int
	Slots        int
	// Margin is the part of the memory that is left free: news of runs that other
	// daemons place at an engine far away comes late.
	Margin float64
	// UpdateDelayMs is how long news takes from daemons that place runs there at the same
	// time.
	UpdateDelayMs float64
	// Cost is added to the fraction of the engine's memory in use when engines
	// are compared: for distance, for doubt.
	Cost float64
}

type engine struct {
	Engine
	msPerToken float64
	// runs holds the runs of each owner by id.
	runs map[string]map[string]Run
}

// View is the memory of all decode engines. It is safe for concurrent use.
type View struct {
	mu       sync.Mutex
	forecast Limits
	lengths  lengths
	engines  map[string]*engine
	// prefillers holds the prefill engines.
	prefillers map[string]*prefiller
	// readingMs is the time that all prompts counted so far take to read, by service.
	readingMs map[string]float64
	// where holds the engine of each of this daemon's runs.
	where map[string]string
	// draw returns a random number from 0 to 1.
	draw func() float64
}

// NewView returns a view without engines.
func NewView(f Limits) *View {
	return &View{forecast: f, lengths: newLengths(), engines: map[string]*engine{}, prefillers: map[string]*prefiller{}, where: map[string]string{}, readingMs: map[string]float64{}, draw: rand.Float64}
}

// SetEngines takes over which engines take work. Others are forgotten once nothing
// runs there: an engine may be back in a moment.
func (v *View) SetEngines(engines []Engine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	usable := map[string]bool{}
	for _, e := range engines {
		usable[e.ID] = true
		v.engineLocked(e.ID).Engine = e
	}
	for id, e := range v.engines {
		if !usable[id] {
			e.MemoryTokens = 0
		}
		if !usable[id] && e.count() == 0 {
			delete(v.engines, id)
		}
	}
}

func (v *View) engineLocked(id string) *engine {
	e, ok := v.engines[id]
	if !ok {
		e = &engine{Engine: Engine{ID: id}, msPerToken: v.usualPaceLocked(), runs: map[string]map[string]Run{own: {}}}
		v.engines[id] = e
	}
	return e
}

// usualPaceLocked is the mean pace of the engines known.
func (v *View) usualPaceLocked() float64 {
	total := 0.0
	for _, e := range v.engines {
		total += e.msPerToken
	}
	if len(v.engines) == 0 {
		return initialMsPerToken
	}
	return total / float64(len(v.engines))
}

// ExpectedDuration is how long a run is expected to generate.
func (v *View) ExpectedDuration(r Run) clock.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return clock.Millis(float64(v.lengths.expect(r.ExpectedTokens, 0, r.MaxTokens)) * v.usualPaceLocked())
}

// PlaceOptions says for what kind of place a run looks.
type PlaceOptions struct {
	// SkipPrefill says that the prompt has been read: it needs no prefill engine.
	SkipPrefill bool
	// Exclude holds engines that are passed over.
	Exclude map[string]bool
	// CompetingRuns is the number of runs of all daemons that are thought to look for a
	// place now, and RetryIntervalMs the time in which each of them looks once.
	CompetingRuns, RetryIntervalMs float64
}

// Place chooses a decode engine that will have room for the run, and a prefill
// engine that can read its prompt soon unless it has been read, and books both.
// It returns the run with its engines.
func (v *View) Place(r Run, s PlaceOptions, now clock.Millis) (Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best, need := v.chooseLocked(r, s, now)
	if best == nil {
		return r, false
	}
	r.Engine, r.atMs, r.Prefill = best.ID, now, ""
	r.MemoryUse = float64(need) / float64(best.MemoryTokens)
	if !s.SkipPrefill {
		p := v.choosePrefillerLocked(best, s.Exclude, now)
		if p == nil && v.prefillersLocked(r.Service) > 0 {
			return r, false
		}
		if p != nil { // else the decode engine reads the prompt
			v.bookLocked(p, r, now)
			r.Prefill = p.ID
		}
	}
	best.runs[own][r.ID] = r
	v.where[r.ID] = best.ID
	return r, true
}

// chooseLocked returns the decode engine that costs least of those with room, and
// the memory that its runs will need, nil where there is none.
func (v *View) chooseLocked(r Run, s PlaceOptions, now clock.Millis) (best *engine, need int) {
	bestCost := 0.0
	for _, e := range v.sortedLocked() {
		if e.Service != r.Service || s.Exclude[e.ID] || e.MemoryTokens == 0 || e.count() >= e.Slots {
			continue
		}
		n := v.peakLocked(e, &r, now)
		free := (v.forecast.MaxMemoryUse-e.Margin)*float64(e.MemoryTokens) - float64(n)
		if free < 0 || !v.mayTakeLocked(e, s, 1+math.Floor(free/float64(r.PromptTokens+r.ExpectedTokens+1))) {
			continue
		}
		cost := float64(n)/float64(e.MemoryTokens) + e.Cost
		if best == nil || cost < bestCost {
			best, bestCost, need = e, cost, n
		}
	}
	return best, need
}

// mayTakeLocked draws whether one of so many places at an engine may be taken by this
// daemon. Others look at the same time, and their news is still on the way: each
// takes a place only as often as there are places for all of them.
func (v *View) mayTakeLocked(e *engine, s PlaceOptions, places float64) bool {
	if s.CompetingRuns == 0 {
		return true
	}
	blind := min(1, e.UpdateDelayMs/s.RetryIntervalMs) // the part of the others' looks not heard of
	unseen, share := s.CompetingRuns*blind, places*max(leastFarShare, 1-blind)
	return unseen <= share || v.draw()*unseen < share
}

// Fits tells whether any engine of the run's service could ever hold it alone.
func (v *View) Fits(r Run) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.engines {
		if e.Service == r.Service && r.PromptTokens < e.MemoryTokens {
			return true
		}
	}
	return false
}

func (v *View) sortedLocked() []*engine {
	all := make([]*engine, 0, len(v.engines))
	for _, id := range slices.Sorted(maps.Keys(v.engines)) {
		all = append(all, v.engines[id])
	}
	return all
}

func (e *engine) count() int {
	n := 0
	for _, runs := range e.runs {
		n += len(runs)
	}
	return n
}

// peakLocked predicts the most memory that the engine's runs will need, with
// one more if extra is set.
func (v *View) peakLocked(e *engine, extra *Run, now clock.Millis) int {
	loads := make([]load, 0, e.count()+1)
	add := func(r Run) {
		made := r.madeBy(now, e.msPerToken)
		loads = append(loads, load{held: r.PromptTokens + made + blockTokens, left: v.lengths.expect(r.ExpectedTokens, made, r.MaxTokens) - made})
	}
	for _, runs := range e.runs {
		for _, r := range runs {
			add(r)
		}
	}
	if extra != nil {
		add(*extra)
	}
	return peak(loads)
}

// Progress takes in how many tokens one of this daemon's runs has generated.
func (v *View) Progress(id string, made int, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, r, ok := v.ownLocked(id)
	if !ok {
		return
	}
	if more := made - r.GeneratedTokens; r.Decoding && more > 0 && now > r.atMs {
		pace := float64(now-r.atMs) / float64(more)
		e.msPerToken += paceWeight * (pace - e.msPerToken)
	}
	r.GeneratedTokens, r.Decoding, r.atMs = max(r.GeneratedTokens, made), true, now
	r.Prefill = ""
	e.runs[own][id] = r
}

func (v *View) ownLocked(id string) (*engine, Run, bool) {
	e, ok := v.engines[v.where[id]]
	if !ok {
		return nil, Run{}, false
	}
	r, ok := e.runs[own][id]
	return e, r, ok
}

// End frees what one of this daemon's runs has booked.
func (v *View) End(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, _, ok := v.ownLocked(id); ok {
		delete(e.runs[own], id)
	}
	delete(v.where, id)
}

// Run returns one of this daemon's runs as it is known now.
func (v *View) Run(id string) (Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, r, ok := v.ownLocked(id)
	return r, ok
}

// ObserveLength takes in the length of an answer that has ended and that its caller had
// guessed.
func (v *View) ObserveLength(guess, length int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lengths.learn(guess, length)
}

// LocalRuns returns this daemon's runs, for the other daemons.
func (v *View) LocalRuns(now clock.Millis) []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Run
	for _, e := range v.sortedLocked() {
		for _, id := range slices.Sorted(maps.Keys(e.runs[own])) {
			r := e.runs[own][id]
			r.GeneratedTokens = r.madeBy(now, e.msPerToken)
			all = append(all, r)
		}
	}
	return all
}

// Replace takes over all runs of another daemon.
func (v *View) Replace(owner string, runs []Run, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.engines {
		delete(e.runs, owner)
	}
	for _, r := range runs {
		v.addLocked(owner, r, now)
	}
}

// Add takes in one more run of another daemon.
func (v *View) Add(owner string, r Run, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addLocked(owner, r, now)
}

func (v *View) addLocked(owner string, r Run, now clock.Millis) {
	e := v.engineLocked(r.Engine)
	if e.runs[owner] == nil {
		e.runs[owner] = map[string]Run{}
	}
	r.atMs = now
	e.runs[owner][r.ID] = r
	if p, ok := v.prefillers[r.Prefill]; ok {
		p.expire(now)
		v.bookLocked(p, r, now)
	}
}

// Remove takes in that runs of another daemon have ended.
func (v *View) Remove(owner string, ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.engines {
		for _, id := range ids {
			delete(e.runs[owner], id)
		}
	}
}

// MemoryUse returns the part of each decode engine's memory that its runs need.
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

// Summary says in a few words on what a decision for want of room rests: the
// decode engines with their runs and the memory forecast for them, and the
// prefill engines with the work ahead of them.
func (v *View) Summary(now clock.Millis) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var b strings.Builder
	for _, e := range v.sortedLocked() {
		if e.MemoryTokens > 0 {
			fmt.Fprintf(&b, "%s: %d runs, %d %%; ", e.ID, e.count(), 100*v.peakLocked(e, nil, now)/e.MemoryTokens)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.prefillers)) {
		fmt.Fprintf(&b, "%s: %.0f ms ahead; ", id, v.prefillers[id].backlog(now))
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// Status is one engine as operators see it.
type Status struct {
	Engine
	Runs, Peak int
	MsPerToken float64
}

// Engines returns what is known of each engine.
func (v *View) Engines(now clock.Millis) []Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Status
	for _, e := range v.sortedLocked() {
		all = append(all, Status{Engine: e.Engine, Runs: e.count(), Peak: v.peakLocked(e, nil, now), MsPerToken: e.msPerToken})
	}
	return all
}
