package admission

import (
	"math"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

const (
	// paceAllowance is the factor by which an engine may be slower than its settings or what was observed.
	paceAllowance = 1.25
	// paceWeight is the weight of the newest observation in the mean time per token of an engine.
	paceWeight = 0.3
)

// LongestMs returns how long a request may take from its placement at the time now until all its output tokens have been
// generated: behind the shortest backlog of a prefill engine, and on the slowest decode engine with a full batch, by the
// settings or as observed.
func (g *Group) LongestMs(promptTokens, outputTokens int, now clock.Millis) clock.Millis {
	pace, backlog := g.stepMs(g.MaxBatch()), math.Inf(1)
	for _, e := range g.engines {
		switch {
		case !e.usable():
		case e.Kind == settings.KindDecode:
			pace = max(pace, e.msPerToken)
		default:
			backlog = min(backlog, e.backlog(now))
		}
	}
	if math.IsInf(backlog, 1) {
		backlog = 0
	}
	longest := backlog + g.prefillMs(promptTokens) + g.transferMs(promptTokens) + float64(outputTokens)*pace
	return clock.Millis(math.Ceil(paceAllowance * longest))
}

// Decoded records that a request's tokens have been decoded in the given time.
func (g *Group) Decoded(id string, tokens int, took clock.Millis) {
	r, ok := g.active[id]
	if !ok || r.decode == nil || tokens < 1 {
		return
	}
	e, observed := r.decode, float64(took)/float64(tokens)
	if e.msPerToken > 0 {
		observed = paceWeight*observed + (1-paceWeight)*e.msPerToken
	}
	e.msPerToken = observed
}
