// Package capacity estimates the memory use of decode engines and the backlog of
// prefill engines from the runs that this daemon has placed and those that other
// daemons have reported. It predicts the peak memory that the runs of an engine
// will need and chooses the engines for the next run. It does no I/O and takes the
// time as an argument.
//
// # Usage
//
//	v := capacity.NewView(capacity.DefaultLimits())
//	v.SetEngines(engines)
//	if placed, ok := v.Place(run, capacity.PlaceOptions{}, now); ok {
//		... v.Progress(run.ID, generated, now) ... v.End(run.ID)
//	}
//	v.Replace("other-daemon", itsRuns, now)
package capacity

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"hemlockmux.example/common/clock"
)

// localOwner is the owner name under which this daemon's runs are stored.
const localOwner = ""

const (
	// blockTokens is added to the estimated memory of a run for rounding up to whole
	// blocks.
	blockTokens = 16
	// initialMsPerToken is the assumed decode time per token while no engine is known.
	initialMsPerToken = 1.0
	// minFarShare is the minimum share of an engine's capacity that a daemon far from
	// it may use while nearby daemons compete for the same capacity.
	minFarShare = 0.25
	// foreignSpread is the range of the random cost by which daemons spread over engines
	// whose runs they do not know.
	foreignSpread = 0.3
	// paceWeight is the weight of a new sample in the moving average of an engine's
	// decode time per token.
	paceWeight = 0.2
	// minHeardSpan is the shortest time between two states of another daemon's run from which a pace follows: messages take
	// differently long.
	minHeardSpan = 250 * clock.Millisecond
)

// Engine describes a decode engine.
type Engine struct {
	// ID is the engine's upstream id.
	ID string
	// Service is the name of the service that the engine belongs to.
	Service string
	// DataCentre is the name of the engine's data centre.
	DataCentre string
	// Software is the version of the engine's software.
	Software string
	// MemoryTokens is the size of the KV cache in tokens.
	MemoryTokens int
	// Slots is the maximum number of concurrent runs.
	Slots int
	// Margin is the fraction of the memory that is kept free, because updates about
	// runs that other daemons place at a distant engine arrive late.
	Margin float64
	// UpdateDelayMs is the delay, in ms, of updates from daemons that place runs at
	// the engine at the same time.
	UpdateDelayMs float64
	// Foreign is what an engine has to do for daemons whose runs are not known here; nil if
	// all are known. An engine with such runs is chosen only if no other has capacity.
	Foreign *ForeignLoad
	// Cost is added to the fraction of the memory in use when engines are compared,
	// for example for the distance to the engine.
	Cost float64
}

// ForeignLoad is an estimate of the runs that are not known at an engine.
type ForeignLoad struct {
	// Tokens is the peak memory that they will need.
	Tokens int
	// Runs is their number.
	Runs int
}

// engine is a decode engine with the runs placed there.
type engine struct {
	Engine
	// msPerToken is the moving average of the decode time per token.
	msPerToken float64
	// samples is the number of samples of the engine itself in msPerToken.
	samples int
	// slowest is the greatest moving average of late.
	slowest slowness
	// slowestStart is the longest time, in ms, of late from the placement of a run, whose prompt the engine reads itself, to
	// its first event.
	slowestStart slowness
	// runs holds the runs by owner and id.
	runs map[string]map[string]Run
}

// View is the estimated load of all engines. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	limits  Limits
	lengths lengthEstimator
	engines map[string]*engine
	// prefillEngines holds the prefill engines by id.
	prefillEngines map[string]*prefillEngine
	// prefillWorkMs is the cumulative prefill time of all prompts reserved so far, by service.
	prefillWorkMs map[string]float64
	// engineOf holds the decode engine of each of this daemon's runs.
	engineOf map[string]string
	// random returns a random number in [0, 1).
	random func() float64
}

// NewView returns a view without engines.
func NewView(limits Limits) *View {
	return &View{limits: limits, lengths: newLengthEstimator(), engines: map[string]*engine{}, prefillEngines: map[string]*prefillEngine{}, engineOf: map[string]string{}, prefillWorkMs: map[string]float64{}, random: rand.Float64}
}

// SetEngines sets the decode engines that accept runs. An engine that is no longer
// listed is kept until nothing runs there, since it may become available again
// shortly.
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
		if !usable[id] && e.known() == 0 {
			delete(v.engines, id)
		}
	}
}

func (v *View) engineLocked(id string) *engine {
	e, ok := v.engines[id]
	if !ok {
		e = &engine{Engine: Engine{ID: id}, msPerToken: v.meanPaceLocked(), runs: map[string]map[string]Run{localOwner: {}}}
		v.engines[id] = e
	}
	return e
}

// meanPaceLocked returns the mean decode time per token, in ms, of all known engines.
func (v *View) meanPaceLocked() float64 {
	total := 0.0
	for _, e := range v.engines {
		total += e.msPerToken
	}
	if len(v.engines) == 0 {
		return initialMsPerToken
	}
	return total / float64(len(v.engines))
}

func (v *View) sortedLocked() []*engine {
	all := make([]*engine, 0, len(v.engines))
	for _, id := range slices.Sorted(maps.Keys(v.engines)) {
		all = append(all, v.engines[id])
	}
	return all
}

// observePace records a sample of the decode time per token, in ms.
func (e *engine) observePace(msPerToken float64, now clock.Millis) {
	e.samples++
	e.msPerToken += max(paceWeight, 1/float64(e.samples)) * (msPerToken - e.msPerToken)
	if e.observed() {
		e.slowest.observe(e.msPerToken, e.msPerToken, now)
	}
}

// hearPaceLocked records the pace of an engine from what another daemon says of a run there, now and before. A daemon that has
// served no stream knows of no other.
func (v *View) hearPaceLocked(owner string, r Run, now clock.Millis) {
	e := v.engines[r.Engine]
	if e == nil {
		return
	}
	before, ok := e.runs[owner][r.ID]
	more := r.GeneratedTokens - before.GeneratedTokens
	if ok && before.Decoding && more > 0 && r.GeneratedTokens < r.MaxTokens && now-before.observedMs >= minHeardSpan {
		e.observePace(float64(now-before.observedMs)/float64(more), now)
	}
}

// observed reports whether msPerToken is that of the engine itself, and not a few events' only.
func (e *engine) observed() bool { return float64(e.samples)*paceWeight >= 1 }

// known returns the number of runs at the engine that are known here.
func (e *engine) known() int {
	n := 0
	for _, runs := range e.runs {
		n += len(runs)
	}
	return n
}

// count returns the number of runs at the engine, those included that are not known here.
func (e *engine) count() int {
	n := 0
	if e.Foreign != nil {
		n = e.Foreign.Runs
	}
	return n + e.known()
}

// peakLocked predicts the peak memory, in tokens, that the engine's runs will need,
// including extra if it is not nil.
func (v *View) peakLocked(e *engine, extra *Run, now clock.Millis) int {
	loads := make([]load, 0, e.known()+1)
	add := func(r Run) {
		generated := r.generatedBy(now, e.msPerToken)
		loads = append(loads, load{held: r.PromptTokens + generated + blockTokens, remaining: v.lengths.expect(r.ExpectedTokens, generated, r.MaxTokens) - generated})
	}
	for _, runs := range e.runs {
		for _, r := range runs {
			add(r)
		}
	}
	if extra != nil {
		add(*extra)
	}
	if e.Foreign != nil {
		return e.Foreign.Tokens + peak(loads)
	}
	return peak(loads)
}

// Progress records how many tokens one of this daemon's runs has generated.
func (v *View) Progress(id string, generated int, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, r, ok := v.localRunLocked(id)
	if !ok {
		return
	}
	if more := generated - r.GeneratedTokens; r.Decoding && more > 0 && now > r.observedMs {
		e.observePace(float64(now-r.observedMs)/float64(more), now)
	}
	if !r.Decoding && v.prefillEngineCountLocked(e.Service, e.Software) == 0 {
		e.slowestStart.observe(float64(now-r.observedMs), 0, now)
	}
	r.GeneratedTokens, r.Decoding, r.observedMs = max(r.GeneratedTokens, generated), true, now
	r.Prefill = ""
	e.runs[localOwner][id] = r
}

func (v *View) localRunLocked(id string) (*engine, Run, bool) {
	e, ok := v.engines[v.engineOf[id]]
	if !ok {
		return nil, Run{}, false
	}
	r, ok := e.runs[localOwner][id]
	return e, r, ok
}

// End releases the memory reserved for one of this daemon's runs.
func (v *View) End(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e, _, ok := v.localRunLocked(id); ok {
		delete(e.runs[localOwner], id)
	}
	delete(v.engineOf, id)
}

// Run returns the current state of one of this daemon's runs.
func (v *View) Run(id string) (Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, r, ok := v.localRunLocked(id)
	return r, ok
}

// ObserveLength records the length of a completed answer and the caller's guess of
// it, in tokens, to improve later estimates.
func (v *View) ObserveLength(guess, length int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lengths.observe(guess, length)
}

// LocalRuns returns this daemon's runs, with estimated progress, to be sent to the
// other daemons.
func (v *View) LocalRuns(now clock.Millis) []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all []Run
	for _, e := range v.sortedLocked() {
		for _, id := range slices.Sorted(maps.Keys(e.runs[localOwner])) {
			r := e.runs[localOwner][id]
			r.GeneratedTokens = r.generatedBy(now, e.msPerToken)
			all = append(all, r)
		}
	}
	return all
}

// Replace replaces all runs of another daemon.
func (v *View) Replace(owner string, runs []Run, now clock.Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range runs {
		v.hearPaceLocked(owner, r, now)
	}
	for _, e := range v.engines {
		delete(e.runs, owner)
	}
	for _, r := range runs {
		v.addLocked(owner, r, now)
	}
}

// Add adds or updates one run of another daemon.
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
	r.observedMs = now
	e.runs[owner][r.ID] = r
	if p, ok := v.prefillEngines[r.Prefill]; ok {
		p.expire(now)
		v.reservePrefillLocked(p, r, now)
	}
}

// Remove removes ended runs of another daemon.
func (v *View) Remove(owner string, ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.engines {
		for _, id := range ids {
			delete(e.runs[owner], id)
		}
	}
}
