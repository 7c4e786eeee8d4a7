// Package measure drives the admission decisions against engines that run in
// virtual time, to compare ways of deciding side by side: the same arrivals,
// engines and faults for each, for several seeds.
//
// # Usage
//
//	for _, row := range measure.Compare(measure.Workloads()["letter"], measure.Ways(), 5) { ... }
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
)

// Result is what one run came to.
type Result struct {
	Offered, Refused, Failed int
	// Good counts the requests that met both targets.
	Good int
	// Admitted counts the requests that were started.
	Admitted int
	// PrefillWork and WastedWork are in tokens.
	PrefillWork, WastedWork       float64
	FirstTokenMs, BetweenTokensMs []float64
	// GoodByPriority and OfferedByPriority tell who was served.
	GoodByPriority, OfferedByPriority [3]int
	Seconds                           float64
}

// Goodput is the requests a second that met both targets.
func (r Result) Goodput() float64 { return float64(r.Good) / r.Seconds }

// Waste is the share of prefill work whose result was thrown away.
func (r Result) Waste() float64 { return r.WastedWork / math.Max(1, r.PrefillWork) }

// run is one measurement under way.
type run struct {
	cfg       Config
	options   admission.Options
	line      *timeline
	rng       *rand.Rand
	group     *admission.Group
	prefills  map[string]*prefillEngine
	decodes   map[string]*decodeEngine
	names     []string
	documents [][]uint64
	calls     map[string]*call
	budget    float64
	result    Result
	next      int
}

// call is one request.
type call struct {
	admission.Work
	at       float64
	counted  bool
	priority int
	attempts int
	firstAt  float64
	decode   string
}

// Run measures one way of deciding at a load (a fraction of capacity).
func Run(cfg Config, options admission.Options, load float64, faults bool, seed uint64) Result {
	r := &run{
		cfg: cfg, options: options, line: &timeline{}, rng: rand.New(rand.NewPCG(seed, 7)),
		prefills: map[string]*prefillEngine{}, decodes: map[string]*decodeEngine{}, calls: map[string]*call{}, budget: 10,
	}
	r.group = admission.NewGroup(options, cfg.Model, cfg.Policy, rand.New(rand.NewPCG(seed, 8)))
	r.addEngines(seed)
	for range cfg.SharedPrefixes {
		r.documents = append(r.documents, r.randomHashes(400))
	}
	r.arrivals(load * cfg.Capacity())
	r.reports()
	r.pump()
	if faults {
		r.crashes()
		r.stalls()
	}
	end := (cfg.WarmUpSeconds + cfg.LoadSeconds) * 1000
	r.line.run(end + 60_000)
	r.result.Seconds = cfg.LoadSeconds
	return r.result
}

func (r *run) addEngines(seed uint64) {
	var engines []admission.Engine
	for i := range r.cfg.Prefills {
		name := fmt.Sprintf("prefill-%d", i)
		e := &prefillEngine{name: name, model: r.cfg.Model, line: r.line, rng: rand.New(rand.NewPCG(seed, uint64(100+i))), cached: map[uint64]int{}}
		e.feed = func(events completions.CacheEvents) { r.group.ApplyCacheEvents(name, events) }
		r.prefills[name] = e
		engines = append(engines, admission.Engine{Name: name, Kind: settings.KindPrefill, Up: true})
	}
	for i := range r.cfg.Decodes {
		name := fmt.Sprintf("decode-%d", i)
		r.decodes[name] = &decodeEngine{name: name, model: r.cfg.Model, line: r.line, rng: rand.New(rand.NewPCG(seed, uint64(200+i)))}
		engines = append(engines, admission.Engine{Name: name, Kind: settings.KindDecode, Up: true})
	}
	for _, e := range engines {
		r.names = append(r.names, e.Name)
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

// logNormal draws from a log-normal distribution of the given mean.
func (r *run) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*r.rng.NormFloat64()-sigma*sigma/2)
}

// arrivals lets requests come as a Poisson process.
func (r *run) arrivals(perSecond float64) {
	end := (r.cfg.WarmUpSeconds + r.cfg.LoadSeconds) * 1000
	var arrive func()
	arrive = func() {
		if r.line.now > end {
			return
		}
		r.arrive()
		r.line.after(r.rng.ExpFloat64()*1000/perSecond, arrive)
	}
	r.line.after(0, arrive)
}

func (r *run) arrive() {
	r.next++
	prompt := int(min(30_000, max(20, r.logNormal(r.cfg.MeanPromptTokens, 0.9))))
	output := int(min(1000, max(4, r.logNormal(r.cfg.MeanOutputTokens, 0.7))))
	c := &call{at: r.line.now, counted: r.line.now >= r.cfg.WarmUpSeconds*1000, priority: r.rng.IntN(3)}
	pieces := prompt / r.cfg.Model.PieceTokens
	var hashes []uint64
	if r.rng.Float64() < r.cfg.SharedPrefixShare {
		document := r.documents[int(float64(len(r.documents))*math.Pow(r.rng.Float64(), 2))]
		hashes = append(hashes, document[:min(len(document), pieces*3/4)]...)
	}
	hashes = append(hashes, r.randomHashes(max(0, pieces-len(hashes)))...)
	c.Work = admission.Work{
		ID: fmt.Sprint(r.next), Priority: c.priority, PromptTokens: prompt, OutputTokens: output,
		Hashes: hashes, ArrivedMs: r.line.millis(),
	}
	r.calls[c.ID] = c
	if c.counted {
		r.result.Offered++
		r.result.OfferedByPriority[c.priority]++
	}
	r.budget = min(10, r.budget+r.cfg.Policy.RetryRatio)
	r.decided(r.group.Submit(c.Work, r.line.millis()))
}

// decided carries the group's decisions out.
func (r *run) decided(decisions []admission.Decision) {
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

// prefill sends a call to a prefill engine.
func (r *run) prefill(c *call, name string) {
	c.attempts++
	e := r.prefills[name]
	j := &prefillJob{tokens: c.PromptTokens, hashes: c.Hashes}
	j.done = func(cached, work int, ok bool) {
		if c.counted {
			r.result.PrefillWork += float64(work)
		}
		if !ok {
			r.prefillFailed(c, name)
			return
		}
		r.decided(r.group.PrefillDone(c.ID, cached, r.line.millis()))
		r.decode(c, e, work, r.line.now)
	}
	if !e.submit(j) {
		r.group.SetUp(name, false)
		r.prefillFailed(c, name)
	}
}

func (r *run) prefillFailed(c *call, name string) {
	next := r.group.PrefillFailed(c.ID, map[string]bool{name: true}, r.line.millis())
	if next == "" || !r.mayRetry(c) {
		r.fail(c)
		return
	}
	r.line.after(10, func() { r.prefill(c, next) })
}

func (r *run) mayRetry(c *call) bool {
	if c.attempts >= r.cfg.Policy.MaxAttempts || r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

// decode brings a prefill's result to a decode engine before it expires.
func (r *run) decode(c *call, from *prefillEngine, work int, since float64) {
	not := map[string]bool{}
	if c.decode == "" {
		c.decode = r.group.DecodeFailed(c.ID, not, r.line.millis())
	}
	pieces := (c.PromptTokens + c.OutputTokens + r.cfg.Model.PieceTokens - 1) / r.cfg.Model.PieceTokens
	for c.decode != "" && !r.decodes[c.decode].take(pieces) {
		not[c.decode] = true
		c.decode = r.group.DecodeFailed(c.ID, not, r.line.millis())
	}
	if c.decode == "" {
		// Every engine refused: try again while the result lives.
		if r.line.now-since < resultLifeMs-50 {
			r.line.after(50, func() { r.decode(c, from, work, since) })
			return
		}
		r.waste(c, work)
		r.again(c)
		return
	}
	e := r.decodes[c.decode]
	epoch := e.epoch
	way := from.transfer(c.PromptTokens)
	if late := float64(r.group.FirstTokenTimeout(c.ID, r.line.millis())); way > late {
		r.line.after(late, func() { r.group.MarkResultLate(c.ID, r.line.millis()) })
	}
	if way > resultLifeMs && from.stalledUntil > r.line.now {
		// The result dies while the link stands still.
		r.line.after(resultLifeMs, func() {
			if epoch == e.epoch {
				e.release(pieces)
			}
			r.group.MarkResultLate(c.ID, r.line.millis())
			r.waste(c, work)
			r.again(c)
		})
		return
	}
	r.line.after(way, func() {
		if epoch != e.epoch {
			r.waste(c, work)
			r.again(c)
			return
		}
		e.join(&decodeJob{pieces: pieces, left: c.OutputTokens,
			first: func() {
				c.firstAt = r.line.now
				r.group.FirstToken(c.ID, r.line.millis())
			},
			done: func(ok bool) { r.ended(c, ok, work) },
		})
	})
}

// waste counts a prefill whose result was thrown away.
func (r *run) waste(c *call, work int) {
	if c.counted {
		r.result.WastedWork += float64(work)
	}
}

// again has a call prefilled once more, where the budget allows it.
func (r *run) again(c *call) {
	name := r.group.PrefillFailed(c.ID, nil, r.line.millis())
	c.decode = ""
	if name == "" || !r.mayRetry(c) {
		r.fail(c)
		return
	}
	r.prefill(c, name)
}

func (r *run) ended(c *call, ok bool, work int) {
	if !ok && c.firstAt == 0 {
		r.waste(c, work)
		r.again(c)
		return
	}
	if !ok {
		r.waste(c, work)
		r.fail(c)
		return
	}
	delete(r.calls, c.ID)
	r.decided(r.group.Done(c.ID, r.line.millis()))
	if !c.counted {
		return
	}
	first := c.firstAt - c.at
	between := (r.line.now - c.firstAt) / float64(max(1, c.OutputTokens-1))
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
	r.decided(r.group.Done(c.ID, r.line.millis()))
}

// reports delivers the engines' load, late, and marks engines that came back.
func (r *run) reports() {
	var tick func()
	tick = func() {
		for _, name := range r.names {
			e, ok := r.decodes[name]
			if !ok {
				if p := r.prefills[name]; !p.down {
					load := completions.Load{Running: len(p.queue)}
					r.line.after(reportLagMs, func() { r.group.Report(name, load); r.group.SetUp(name, !p.down) })
				}
				continue
			}
			load := e.report()
			r.line.after(reportLagMs, func() { r.group.Report(name, load); r.group.SetUp(name, !e.down) })
		}
		r.line.after(reportEveryMs, tick)
	}
	tick()
}

func (r *run) pump() {
	var tick func()
	tick = func() {
		r.decided(r.group.Schedule(r.line.millis()))
		r.line.after(10, tick)
	}
	tick()
}
