// Package admission decides, for the engines of one group (one model in one
// data centre, kept by one daemon), which requests are admitted, in which order
// and to which engines. It does no I/O and reads no clock.
//
// A request waits in the group until a decode slot and its pieces of memory can
// be reserved and a prefill engine is nearly idle; only then is it prefilled,
// since a prefill's result lives less than a second. A request that is not
// predicted to get its first token in time is refused at once, the lowest
// priority first.
//
// # Usage
//
//	g := admission.NewGroup(admission.DefaultOptions(), model, policy, rng)
//	g.SetEngines(engines)
//	for _, d := range g.Submit(work, now) { ... } // started and refused requests
//	g.PrefillDone(id, cached, now)
//	for _, d := range g.Done(id, now) { ... }
//
// Every method that can start or refuse requests returns those decisions.
package admission

import (
	"math"
	"math/rand/v2"
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// Strategy says by what an engine's load is judged.
type Strategy int

// The ways to judge an engine's load.
const (
	// Random picks any engine that is up.
	Random Strategy = iota
	// ReportedLoad trusts the engine's last report.
	ReportedLoad
	// GrantedLoad counts what this keeper has granted.
	GrantedLoad
)

// Options turns the ideas of this package on and off, so that each can be
// measured against the others.
type Options struct {
	Strategy      Strategy
	ReserveDecode bool
	PrefixRouting bool
	Predict       bool
	Priorities    bool
}

// DefaultOptions returns the options that the daemon runs with.
func DefaultOptions() Options {
	return Options{Strategy: GrantedLoad, ReserveDecode: true, PrefixRouting: true, Predict: true, Priorities: true}
}

// Work is one request as far as admission needs to know it.
type Work struct {
	ID           string
	Priority     int
	PromptTokens int
	OutputTokens int
	Hashes       []uint64 // of the prompt's pieces
	ArrivedMs    clock.Millis
	// Suspect says that upstreams died of this request; it never shares an
	// engine with another suspect.
	Suspect bool
	// Allowed holds the names of the engines that the team may use; nil: all.
	Allowed map[string]bool
}

// Grant names the engines that a request was admitted to.
type Grant struct {
	Prefill string
	Decode  string // "" where decode is not reserved beforehand
	// PrefillMs is the predicted time until the prefill has ended.
	PrefillMs clock.Millis
}

// Cause says why a request was refused.
type Cause string

// The causes of a refusal.
const (
	CauseOverload Cause = "overload" // the first token would come too late
	CauseNoEngine Cause = "noEngine" // no engine is up
	CauseTooLarge Cause = "tooLarge" // no engine has that much memory
)

// Decision is the start or the refusal of one request.
type Decision struct {
	ID    string
	Grant *Grant // nil for a refusal
	Cause Cause
	// RetryAfterMs says when coming back can help.
	RetryAfterMs clock.Millis
}

// maxPrefillBacklog is the predicted work at a prefill engine up to which it is
// given another request; it covers the way there.
const maxPrefillBacklog = 30 * clock.Millisecond

// leastPatience is the part of the first-token target that every request may
// wait: a prompt so long that it misses the target on an idle pool is served
// when the pool is nearly idle, since coming back could not help it.
const leastPatience = 0.15

// shunFor is how long a prefill engine whose result was lost is avoided where
// waste and goodput weigh the same; maxShunWeight bounds what the weights make
// of it.
const (
	shunFor       = 2 * clock.Second
	maxShunWeight = 4
	// lateReserve is added to the predicted time of a transfer before it counts
	// as late.
	lateReserve = 100 * clock.Millisecond
)

// Group is the engines of one model in one data centre. It is not safe for
// concurrent use.
type Group struct {
	options Options
	model   settings.Model
	policy  settings.Policy
	rng     *rand.Rand
	engines map[string]*engine
	queue   []*request // by priority, then arrival
	active  map[string]*request
}

// request is a queued or admitted request.
type request struct {
	Work
	pieces  int
	prefill *engine
	// prefilledBy is the engine whose prefill ended last.
	prefilledBy *engine
	decode      *engine
	prefillMs   float64
	cachedHint  int
	arrivesMs   float64      // predicted end of the transfer
	endsMs      clock.Millis // predicted end of decoding
}

// NewGroup returns a group without engines.
func NewGroup(options Options, model settings.Model, policy settings.Policy, rng *rand.Rand) *Group {
	return &Group{
		options: options, model: model, policy: policy, rng: rng,
		engines: map[string]*engine{}, active: map[string]*request{},
	}
}

// Configure replaces the model's and the policy's settings.
func (g *Group) Configure(model settings.Model, policy settings.Policy) {
	g.model, g.policy = model, policy
}

// margin is the part of the first-token target that admission plans with: the
// more a wasted prefill weighs against an answer in time, the less.
func (g *Group) margin() float64 {
	share := g.policy.GoodputWeight / (g.policy.GoodputWeight + g.policy.WasteWeight)
	return 0.55 + 0.4*share
}

// MaxBatch is the most requests that a decode engine serves within the target
// for the time between tokens.
func (g *Group) MaxBatch() int {
	if !g.options.Predict || g.model.StepPerSlotMs <= 0 {
		return g.model.Slots
	}
	limit := 1 + int((g.policy.BetweenTokensMs-g.model.StepBaseMs)/g.model.StepPerSlotMs)
	return max(1, min(g.model.Slots, limit))
}

// stepMs is the expected time of a decode step.
func (g *Group) stepMs(batch int) float64 {
	return g.model.StepBaseMs + g.model.StepPerSlotMs*float64(max(0, batch-1))
}

// prefillMs is the expected time of a prefill of the tokens not in the cache.
func (g *Group) prefillMs(tokens int) float64 {
	return float64(g.model.PrefillBaseMs) + float64(tokens)*float64(g.model.PrefillTokenUs)/1000
}

// transferMs is the expected time of a transfer of a prompt's KV cache.
func (g *Group) transferMs(tokens int) float64 {
	return float64(tokens) * g.model.KVTokenKB / g.model.TransferMBps
}

// Submit takes a new request. Its own decision is among those returned, unless
// it waits.
func (g *Group) Submit(w Work, now clock.Millis) []Decision {
	r := &request{Work: w}
	r.pieces = (w.PromptTokens + w.OutputTokens + g.model.PieceTokens - 1) / g.model.PieceTokens
	if r.pieces > g.model.Pieces {
		return []Decision{{ID: w.ID, Cause: CauseTooLarge}}
	}
	if !g.reachable(r) {
		return []Decision{{ID: w.ID, Cause: CauseNoEngine, RetryAfterMs: clock.Second}}
	}
	at := len(g.queue)
	if g.options.Priorities {
		at = sort.Search(len(g.queue), func(i int) bool { return g.queue[i].Priority < w.Priority })
	}
	g.queue = append(g.queue, nil)
	copy(g.queue[at+1:], g.queue[at:])
	g.queue[at] = r
	return g.Schedule(now)
}

// reachable tells whether any engine of each kind may take the request.
func (g *Group) reachable(r *request) bool {
	prefill, decode := false, false
	for _, e := range g.engines {
		usable := e.usable() && r.allows(e)
		prefill = prefill || usable && e.Kind == settings.KindPrefill
		decode = decode || usable && e.Kind == settings.KindDecode
	}
	return prefill && decode
}

func (r *request) allows(e *engine) bool { return r.Allowed == nil || r.Allowed[e.Name] }

// Schedule starts what can be started and refuses what will come too late.
func (g *Group) Schedule(now clock.Millis) []Decision {
	decisions := g.start(now)
	return append(decisions, g.review(now)...)
}

// start admits queued requests in order. A request that can't start lets later
// ones pass only where other engines serve them.
func (g *Group) start(now clock.Millis) []Decision {
	var decisions []Decision
	waiting := g.queue[:0]
	for _, r := range g.queue {
		if grant := g.admit(r, now); grant != nil {
			decisions = append(decisions, Decision{ID: r.ID, Grant: grant})
			continue
		}
		waiting = append(waiting, r)
	}
	g.queue = waiting
	return decisions
}

// admit reserves a decode slot and a prefill engine together, or nothing.
func (g *Group) admit(r *request, now clock.Millis) *Grant {
	var decode *engine
	if g.options.ReserveDecode {
		if decode = g.chooseDecode(r, nil); decode == nil {
			return nil
		}
	}
	prefill := g.choosePrefill(r, nil, now)
	if prefill == nil {
		return nil
	}
	if g.options.ReserveDecode && prefill.backlog(now) > float64(maxPrefillBacklog) {
		return nil
	}
	g.reserveDecode(r, decode, now)
	g.reservePrefill(r, prefill, now)
	g.active[r.ID] = r
	grant := &Grant{Prefill: prefill.Name, PrefillMs: clock.Millis(math.Ceil(prefill.backlog(now)))}
	if decode != nil {
		grant.Decode = decode.Name
	}
	return grant
}

// Cancel takes a request out of the queue; an admitted one is ended by Done.
func (g *Group) Cancel(id string) {
	for i, r := range g.queue {
		if r.ID == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// PrefillDone takes in that a prefill ended, and what it found in the cache.
func (g *Group) PrefillDone(id string, cachedTokens int, now clock.Millis) []Decision {
	r, ok := g.active[id]
	if !ok || r.prefill == nil {
		return nil
	}
	r.prefill.learn(r, cachedTokens)
	r.arrivesMs = r.prefill.carry(now, g.transferMs(r.PromptTokens))
	g.releasePrefill(r, now)
	return g.Schedule(now)
}

// PrefillFailed takes in that a prefill failed and chooses another engine, or
// "" where there is none.
func (g *Group) PrefillFailed(id string, not map[string]bool, now clock.Millis) string {
	r, ok := g.active[id]
	if !ok {
		return ""
	}
	g.releasePrefill(r, now)
	next := g.choosePrefill(r, not, now)
	if next == nil {
		return ""
	}
	g.reservePrefill(r, next, now)
	return next.Name
}

// DecodeFailed gives the reserved decode slot back and reserves another, or
// returns "" where there is none. It also serves the first choice where decode
// is not reserved beforehand.
func (g *Group) DecodeFailed(id string, not map[string]bool, now clock.Millis) string {
	r, ok := g.active[id]
	if !ok {
		return ""
	}
	g.releaseDecode(r)
	next := g.chooseDecode(r, not)
	if next == nil {
		return ""
	}
	g.reserveDecode(r, next, now)
	return next.Name
}

// FirstToken takes in that decoding has begun, which makes the forecast of its
// end exact.
func (g *Group) FirstToken(id string, now clock.Millis) {
	if r, ok := g.active[id]; ok && r.decode != nil {
		r.endsMs = now + clock.Millis(float64(r.OutputTokens)*g.stepMs(r.decode.batch))
	}
}

// Done gives back everything that a request holds.
func (g *Group) Done(id string, now clock.Millis) []Decision {
	r, ok := g.active[id]
	if !ok {
		g.Cancel(id)
		return g.Schedule(now)
	}
	delete(g.active, id)
	g.releasePrefill(r, now)
	g.releaseDecode(r)
	return g.Schedule(now)
}

// Queued returns the number of requests that wait.
func (g *Group) Queued() int { return len(g.queue) }

// Active returns the number of requests admitted.
func (g *Group) Active() int { return len(g.active) }
