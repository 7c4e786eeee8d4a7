// Package measure runs the admission logic against simulated engines in virtual time.
// It compares variants of the logic, each for several seeds: for one seed, all variants
// get the same arrivals, engines and faults.
//
// # Usage
//
//	for _, row := range measure.Compare(measure.Workloads()["letter"], measure.Variants(), 5) { ... }
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
)

// Result holds the counts and measurements of one run. Only requests that arrive after
// the warm-up count.
type Result struct {
	// Offered counts the requests that arrived, Refused those that admission
	// rejected, and Failed those that failed after admission.
	Offered, Refused, Failed int
	// Good counts the requests that met both latency targets.
	Good int
	// Admitted counts the requests that admission granted.
	Admitted int
	// PrefillWork is the number of prompt tokens computed, WastedWork the number of
	// them whose result was not used, or used by a decode that failed.
	PrefillWork, WastedWork float64
	// FirstTokenMs holds the time to the first token and BetweenTokensMs the mean
	// time between tokens of each completed request, in milliseconds.
	FirstTokenMs, BetweenTokensMs []float64
	// GoodByPriority and OfferedByPriority are Good and Offered for each priority.
	GoodByPriority, OfferedByPriority [3]int
	// Seconds is the measured time without the warm-up, in virtual seconds.
	Seconds float64
}

// Goodput returns the number of requests per second that met both targets.
func (r Result) Goodput() float64 { return float64(r.Good) / r.Seconds }

// Waste returns the fraction of the prefill work that was wasted.
func (r Result) Waste() float64 { return r.WastedWork / math.Max(1, r.PrefillWork) }

// run is the state of one measurement.
type run struct {
	cfg            Config
	options        admission.Options
	timeline       *timeline
	rng            *rand.Rand
	group          *admission.Group
	prefills       map[string]*prefillEngine
	decodes        map[string]*decodeEngine
	engineNames    []string
	sharedPrefixes [][]uint64
	calls          map[string]*call
	retryBudget    float64
	result         Result
	lastID         int // ID of the last request that arrived
}

// call is the state of one request.
type call struct {
	admission.Work
	arrivedAt    float64
	counted      bool // arrived after the warm-up
	priority     int
	attempts     int
	firstTokenAt float64
	decode       string // name of the decode engine, or "" if none is chosen
}

// Run measures one variant at a load, given as a fraction of capacity.
func Run(cfg Config, options admission.Options, load float64, faults bool, seed uint64) Result {
	r := &run{
		cfg: cfg, options: options, timeline: &timeline{}, rng: rand.New(rand.NewPCG(seed, 7)),
		prefills: map[string]*prefillEngine{}, decodes: map[string]*decodeEngine{}, calls: map[string]*call{}, retryBudget: 10,
	}
	r.group = admission.NewGroup(options, cfg.Model, cfg.Policy, rand.New(rand.NewPCG(seed, 8)))
	r.addEngines(seed)
	for range cfg.SharedPrefixes {
		r.sharedPrefixes = append(r.sharedPrefixes, r.randomHashes(400))
	}
	r.scheduleArrivals(load * cfg.Capacity())
	r.scheduleReports()
	r.scheduleDecisions()
	if faults {
		r.scheduleCrashes()
		r.scheduleStalls()
	}
	end := (cfg.WarmUpSeconds + cfg.LoadSeconds) * 1000
	r.timeline.run(end + 60_000)
	r.result.Seconds = cfg.LoadSeconds
	return r.result
}

func (r *run) addEngines(seed uint64) {
	var engines []admission.Engine
	for i := range r.cfg.Prefills {
		name := fmt.Sprintf("prefill-%d", i)
		e := &prefillEngine{name: name, model: r.cfg.Model, timeline: r.timeline, rng: rand.New(rand.NewPCG(seed, uint64(100+i))), cached: map[uint64]int{}}
		e.publishEvents = func(events completions.CacheEvents) { r.group.ApplyCacheEvents(name, events) }
		r.prefills[name] = e
		engines = append(engines, admission.Engine{Name: name, Kind: settings.KindPrefill, Up: true})
	}
	for i := range r.cfg.Decodes {
		name := fmt.Sprintf("decode-%d", i)
		r.decodes[name] = &decodeEngine{name: name, model: r.cfg.Model, timeline: r.timeline, rng: rand.New(rand.NewPCG(seed, uint64(200+i)))}
		engines = append(engines, admission.Engine{Name: name, Kind: settings.KindDecode, Up: true})
	}
	for _, e := range engines {
		r.engineNames = append(r.engineNames, e.Name)
	}
	r.group.SetEngines(engines)
}

func (r *run) randomHashes(n int) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = r.rng.Uint64()
	}
	return hashes
}

// logNormal returns a random value of a log-normal distribution with the given mean.
func (r *run) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
}

// scheduleArrivals schedules the arrivals of requests as a Poisson process.
func (r *run) scheduleArrivals(perSecond float64) {
	end := (r.cfg.WarmUpSeconds + r.cfg.LoadSeconds) * 1000
	var arrive func()
	arrive = func() {
		if r.timeline.now > end {
			return
		}
		r.arrive()
		r.timeline.after(r.rng.ExpFloat64()*1000/perSecond, arrive)
	}
	r.timeline.after(0, arrive)
}

func (r *run) arrive() {
	r.lastID++
	prompt := int(min(30_000, max(20, r.logNormal(r.cfg.MeanPromptTokens, 0.9))))
	output := int(min(1000, max(4, r.logNormal(r.cfg.MeanOutputTokens, 0.7))))
	c := &call{arrivedAt: r.timeline.now, counted: r.timeline.now >= r.cfg.WarmUpSeconds*1000, priority: r.rng.IntN(3)}
	pieces := prompt / r.cfg.Model.PieceTokens
	var hashes []uint64
	if r.rng.Float64() < r.cfg.SharedPrefixShare {
		sharedPrefix := r.sharedPrefixes[int(float64(len(r.sharedPrefixes))*math.Pow(r.rng.Float64(), 2))]
		hashes = append(hashes, sharedPrefix[:min(len(sharedPrefix), pieces*3/4)]...)
	}
	hashes = append(hashes, r.randomHashes(max(0, pieces-len(hashes)))...)
	c.Work = admission.Work{
		ID: fmt.Sprint(r.lastID), Priority: c.priority, PromptTokens: prompt, OutputTokens: output,
		Hashes: hashes, ArrivedMs: r.timeline.millis(),
	}
	r.calls[c.ID] = c
	if c.counted {
		r.result.Offered++
		r.result.OfferedByPriority[c.priority]++
	}
	r.retryBudget = min(10, r.retryBudget+r.cfg.Policy.RetryRatio)
	r.apply(r.group.Submit(c.Work, r.timeline.millis()))
}

// apply carries out the group's decisions: it counts refused requests and starts the
// prefill of granted ones.
func (r *run) apply(decisions []admission.Decision) {
	for _, d := range decisions {
		c := r.calls[d.ID]
		if c == nil {
			continue
		}
		if d.Grant == nil {
			delete(r.calls, d.ID)
			if c.counted {
				r.result.Refused++
			}
			continue
		}
		if c.counted {
			r.result.Admitted++
		}
		c.decode = d.Grant.Decode
		r.prefill(c, d.Grant.Prefill)
	}
}

// prefill submits a call to a prefill engine.
func (r *run) prefill(c *call, name string) {
	c.attempts++
	e := r.prefills[name]
	j := &prefillJob{tokens: c.PromptTokens, hashes: c.Hashes}
	j.onEnd = func(cached, work int, ok bool) {
		if c.counted {
			r.result.PrefillWork += float64(work)
		}
		if !ok {
			r.prefillFailed(c, name)
			return
		}
		r.apply(r.group.PrefillDone(c.ID, cached, r.timeline.millis()))
		r.decode(c, e, work, r.timeline.now)
	}
	if !e.submit(j) {
		r.group.SetUp(name, false)
		r.prefillFailed(c, name)
	}
}

func (r *run) prefillFailed(c *call, name string) {
	next := r.group.PrefillFailed(c.ID, map[string]bool{name: true}, r.timeline.millis())
	if next == "" || !r.consumeRetry(c) {
		r.fail(c)
		return
	}
	r.timeline.after(10, func() { r.prefill(c, next) })
}

func (r *run) consumeRetry(c *call) bool {
	if c.attempts >= r.cfg.Policy.MaxAttempts || r.retryBudget < 1 {
		return false
	}
	r.retryBudget--
	return true
}

// decode transfers a prefill result, which was ready at the time resultAt (virtual ms),
// to a decode engine with free capacity. It retries until shortly before the result
// expires.
func (r *run) decode(c *call, from *prefillEngine, work int, resultAt float64) {
	excluded := map[string]bool{}
	if c.decode == "" {
		c.decode = r.group.DecodeFailed(c.ID, excluded, r.timeline.millis())
	}
	pieces := (c.PromptTokens + c.OutputTokens + r.cfg.Model.PieceTokens - 1) / r.cfg.Model.PieceTokens
	for c.decode != "" && !r.decodes[c.decode].reserve(pieces) {
		excluded[c.decode] = true
		c.decode = r.group.DecodeFailed(c.ID, excluded, r.timeline.millis())
	}
	if c.decode == "" {
		// Every engine refused: retry until the result is about to expire.
		if r.timeline.now-resultAt < resultTTLMs-50 {
			r.timeline.after(50, func() { r.decode(c, from, work, resultAt) })
			return
		}
		r.countWaste(c, work)
		r.retryPrefill(c)
		return
	}
	e := r.decodes[c.decode]
	epoch := e.epoch
	transferMs := from.transfer(c.PromptTokens)
	if timeoutMs := float64(r.group.FirstTokenTimeout(c.ID, r.timeline.millis())); transferMs > timeoutMs {
		r.timeline.after(timeoutMs, func() { r.group.MarkResultLate(c.ID, r.timeline.millis()) })
	}
	if transferMs > resultTTLMs && from.stalledUntil > r.timeline.now {
		// The link is stalled and the transfer would end after the result expires.
		r.timeline.after(resultTTLMs, func() {
			if epoch == e.epoch {
				e.release(pieces)
			}
			r.group.MarkResultLate(c.ID, r.timeline.millis())
			r.countWaste(c, work)
			r.retryPrefill(c)
		})
		return
	}
	r.timeline.after(transferMs, func() {
		if epoch != e.epoch {
			r.countWaste(c, work)
			r.retryPrefill(c)
			return
		}
		e.join(&decodeJob{pieces: pieces, tokensLeft: c.OutputTokens,
			onFirstToken: func() {
				c.firstTokenAt = r.timeline.now
				r.group.FirstToken(c.ID, r.timeline.millis())
			},
			onEnd: func(ok bool) { r.finish(c, ok, work) },
		})
	})
}

// countWaste counts the work of a prefill whose result was wasted.
func (r *run) countWaste(c *call, work int) {
	if c.counted {
		r.result.WastedWork += float64(work)
	}
}

// retryPrefill repeats the prefill of a call if the retry budget allows it; otherwise
// the call fails.
func (r *run) retryPrefill(c *call) {
	name := r.group.PrefillFailed(c.ID, nil, r.timeline.millis())
	c.decode = ""
	if name == "" || !r.consumeRetry(c) {
		r.fail(c)
		return
	}
	r.prefill(c, name)
}

func (r *run) finish(c *call, ok bool, work int) {
	if !ok && c.firstTokenAt == 0 {
		r.countWaste(c, work)
		r.retryPrefill(c)
		return
	}
	if !ok {
		r.countWaste(c, work)
		r.fail(c)
		return
	}
	delete(r.calls, c.ID)
	r.apply(r.group.Done(c.ID, r.timeline.millis()))
	if !c.counted {
		return
	}
	first := c.firstTokenAt - c.arrivedAt
	between := (r.timeline.now - c.firstTokenAt) / float64(max(1, c.OutputTokens-1))
	r.result.FirstTokenMs = append(r.result.FirstTokenMs, first)
	r.result.BetweenTokensMs = append(r.result.BetweenTokensMs, between)
	if first <= float64(r.cfg.Policy.FirstTokenMs) && between <= r.cfg.Policy.BetweenTokensMs {
		r.result.Good++
		r.result.GoodByPriority[c.priority]++
	}
}

func (r *run) fail(c *call) {
	delete(r.calls, c.ID)
	if c.counted {
		r.result.Failed++
	}
	r.apply(r.group.Done(c.ID, r.timeline.millis()))
}

// scheduleReports schedules the engines' load reports, which arrive late, and marks
// engines as up or down with them.
func (r *run) scheduleReports() {
	var tick func()
	tick = func() {
		for _, name := range r.engineNames {
			e, ok := r.decodes[name]
			if !ok {
				if p := r.prefills[name]; !p.down {
					load := completions.Load{Running: len(p.queue)}
					r.timeline.after(reportDelayMs, func() { r.group.Report(name, load); r.group.SetUp(name, !p.down) })
				}
				continue
			}
			load := e.report()
			r.timeline.after(reportDelayMs, func() { r.group.Report(name, load); r.group.SetUp(name, !e.down) })
		}
		r.timeline.after(reportIntervalMs, tick)
	}
	tick()
}

func (r *run) scheduleDecisions() {
	var tick func()
	tick = func() {
		r.apply(r.group.Schedule(r.timeline.millis()))
		r.timeline.after(10, tick)
	}
	tick()
}
