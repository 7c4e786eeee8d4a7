// Package admission decides, for the engines of one group (one model in one data
// centre, managed by one daemon), which requests are admitted, in which order and to
// which engines. It does no I/O and reads no clock.
//
// A request waits in the group until a decode slot and memory for it can be reserved
// and a prefill engine is nearly idle. Only then is it prefilled, since the result of
// a prefill is kept for less than a second. A request that is predicted to miss its
// target for the first token is refused immediately, the lowest priority first.
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

// Strategy says which load figures the choice of an engine is based on.
type Strategy int

// The strategies.
const (
	// Random chooses any usable engine at random.
	Random Strategy = iota
	// ReportedLoad uses the engine's last load report.
	ReportedLoad
	// GrantedLoad uses the work that this group has granted and what it knows to be
	// held for other daemons.
	GrantedLoad
)

// Options turns the parts of the admission algorithm on and off, so that each can be
// measured against the others.
type Options struct {
	// Strategy is the basis for comparing engines.
	Strategy Strategy
	// ReserveDecode reserves a decode engine before the prefill starts.
	ReserveDecode bool
	// PrefixRouting takes the prompt tokens expected in an engine's prefix cache into
	// account.
	PrefixRouting bool
	// Predict refuses requests that are predicted to miss the target for the first token
	// and limits batches by the target for the time between tokens.
	Predict bool
	// Priorities orders the queue by priority before arrival.
	Priorities bool
	// HeldBack, if not nil, reports whether an engine gets no new work just now because of
	// what it has announced: a limit, a pause or its shutdown.
	HeldBack func(engine string) bool
}

// DefaultOptions returns the options that daemons use.
func DefaultOptions() Options {
	return Options{Strategy: GrantedLoad, ReserveDecode: true, PrefixRouting: true, Predict: true, Priorities: true}
}

// Work is one request as admission sees it.
type Work struct {
	// ID identifies the request.
	ID string
	// Priority orders requests in the queue; higher values come first.
	Priority int
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// OutputTokens is the number of output tokens to reserve memory for.
	OutputTokens int
	// Hashes are the hashes of the prompt's pieces.
	Hashes []uint64
	// ArrivedMs is the time at which the request arrived.
	ArrivedMs clock.Millis
	// Suspect says that upstreams crashed while serving this request. It never shares an
	// engine with another suspect.
	Suspect bool
	// Allowed holds the names of the engines that the team may use; nil allows all.
	Allowed map[string]bool
}

// Grant names the engines that a request was admitted to.
type Grant struct {
	// Prefill is the name of the prefill engine.
	Prefill string
	// Decode is the name of the decode engine, "" if decode is not reserved beforehand.
	Decode string
	// PrefillMs is the predicted time until the prefill has ended.
	PrefillMs clock.Millis
}

// Cause is the reason why a request was refused.
type Cause string

// The causes of a refusal.
const (
	CauseOverload Cause = "overload" // the first token would miss its target
	CauseNoEngine Cause = "noEngine" // no usable engine of one of the kinds
	CauseTooLarge Cause = "tooLarge" // the request exceeds an engine's memory
)

// Decision is the start or the refusal of one request.
type Decision struct {
	// ID is the id of the request.
	ID string
	// Grant holds the engines of a started request; it is nil for a refusal.
	Grant *Grant
	// Cause is the reason for a refusal.
	Cause Cause
	// RetryAfterMs is the time in ms after which a refused request may be retried.
	RetryAfterMs clock.Millis
}

// maxPrefillBacklog is the predicted backlog of a prefill engine up to which it is
// given another request; it covers the network delay of the next request.
const maxPrefillBacklog = 30 * clock.Millisecond

// minWaitShare is the fraction of the first-token target that every request may wait.
// A prompt so long that it misses the target even on an idle pool is thereby served
// once the pool is nearly idle, since retrying later would not help it.
const minWaitShare = 0.15

const (
	// avoidPeriod is how long a prefill engine is avoided after one of its results was
	// late or lost, if waste and goodput have equal weights.
	avoidPeriod = 2 * clock.Second
	// maxAvoidWeight bounds the factor that the weights apply to avoidPeriod.
	maxAvoidWeight = 4
	// timeoutReserve is added to the predicted time of a transfer before it is considered
	// late.
	timeoutReserve = 100 * clock.Millisecond
)

// Group admits requests to the engines of one model in one data centre. It is not safe
// for concurrent use.
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
	// prefilledBy is the engine of the last prefill attempt that ended.
	prefilledBy    *engine
	decode         *engine
	prefillMs      float64
	expectedCached int
	arrivesMs      float64      // predicted end of the transfer
	endsMs         clock.Millis // predicted end of decoding
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

// margin returns the fraction of the first-token target that admission plans with. It
// is lower the more a wasted prefill weighs compared to an answer in time.
func (g *Group) margin() float64 {
	share := g.policy.GoodputWeight / (g.policy.GoodputWeight + g.policy.WasteWeight)
	return 0.55 + 0.4*share
}

// MaxBatch returns the maximum number of requests that a decode engine serves within
// the target for the time between tokens.
func (g *Group) MaxBatch() int {
	if !g.options.Predict || g.model.StepPerSlotMs <= 0 {
		return g.model.Slots
	}
	limit := 1 + int((g.policy.BetweenTokensMs-g.model.StepBaseMs)/g.model.StepPerSlotMs)
	return max(1, min(g.model.Slots, limit))
}

// stepMs returns the expected duration of a decode step in ms.
func (g *Group) stepMs(batch int) float64 {
	return g.model.StepBaseMs + g.model.StepPerSlotMs*float64(max(0, batch-1))
}

// prefillMs returns the expected time in ms to prefill the given number of tokens that
// are not in the prefix cache.
func (g *Group) prefillMs(tokens int) float64 {
	return float64(g.model.PrefillBaseMs) + float64(tokens)*float64(g.model.PrefillTokenUs)/1000
}

// transferMs returns the expected time in ms to transfer the KV cache of a prompt.
func (g *Group) transferMs(tokens int) float64 {
	return float64(tokens) * g.model.KVTokenKB / g.model.TransferMBps
}

// Submit adds a new request. The returned decisions include its own unless it waits in
// the queue.
func (g *Group) Submit(w Work, now clock.Millis) []Decision {
	r := &request{Work: w}
	r.pieces = (w.PromptTokens + w.OutputTokens + g.model.PieceTokens - 1) / g.model.PieceTokens
	if r.pieces > g.model.Pieces {
		return []Decision{{ID: w.ID, Cause: CauseTooLarge}}
	}
	if !g.servable(r) {
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

// servable reports whether a usable engine of each kind may take the request.
func (g *Group) servable(r *request) bool {
	prefill, decode := false, false
	for _, e := range g.engines {
		usable := e.usable() && r.allows(e)
		prefill = prefill || usable && e.Kind == settings.KindPrefill
		decode = decode || usable && e.Kind == settings.KindDecode
	}
	return prefill && decode
}

func (r *request) allows(e *engine) bool { return r.Allowed == nil || r.Allowed[e.Name] }

// Schedule starts requests that can start and refuses those that are predicted to miss
// the target for the first token.
func (g *Group) Schedule(now clock.Millis) []Decision {
	decisions := g.admitWaiting(now)
	return append(decisions, g.rejectLate(now)...)
}

// admitWaiting admits queued requests in order. A request that cannot start does not
// block later ones.
func (g *Group) admitWaiting(now clock.Millis) []Decision {
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

// admit reserves a decode slot and a prefill engine together, or neither.
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

// Cancel removes a request from the queue. Use Done for an admitted request.
func (g *Group) Cancel(id string) {
	for i, r := range g.queue {
		if r.ID == id {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return
		}
	}
}

// PrefillDone records that a prefill has completed and how many prompt tokens it found
// in the prefix cache.
func (g *Group) PrefillDone(id string, cachedTokens int, now clock.Millis) []Decision {
	r, ok := g.active[id]
	if !ok || r.prefill == nil {
		return nil
	}
	r.prefill.updateCache(r, cachedTokens)
	r.arrivesMs = r.prefill.transfer(now, g.transferMs(r.PromptTokens))
	g.releasePrefill(r, now)
	return g.Schedule(now)
}

// PrefillFailed records that a prefill failed and reserves another prefill engine. It
// returns its name, or "" if there is none.
func (g *Group) PrefillFailed(id string, exclude map[string]bool, now clock.Millis) string {
	r, ok := g.active[id]
	if !ok {
		return ""
	}
	g.releasePrefill(r, now)
	next := g.choosePrefill(r, exclude, now)
	if next == nil {
		return ""
	}
	g.reservePrefill(r, next, now)
	return next.Name
}

// DecodeFailed releases the reserved decode slot and reserves another. It returns the
// name of the engine, or "" if there is none. It also makes the first choice if decode
// slots are not reserved beforehand.
func (g *Group) DecodeFailed(id string, exclude map[string]bool, now clock.Millis) string {
	r, ok := g.active[id]
	if !ok {
		return ""
	}
	g.releaseDecode(r)
	next := g.chooseDecode(r, exclude)
	if next == nil {
		return ""
	}
	g.reserveDecode(r, next, now)
	return next.Name
}

// FirstToken records that decoding has begun, which allows a more exact prediction of
// its end.
func (g *Group) FirstToken(id string, now clock.Millis) {
	if r, ok := g.active[id]; ok && r.decode != nil {
		r.endsMs = now + clock.Millis(float64(r.OutputTokens)*g.stepMs(r.decode.batch))
	}
}

// Done releases everything that a request holds.
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

// Queued returns the number of waiting requests.
func (g *Group) Queued() int { return len(g.queue) }

// Active returns the number of admitted requests.
func (g *Group) Active() int { return len(g.active) }
