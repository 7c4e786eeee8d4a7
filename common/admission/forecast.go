package admission

import (
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// review walks the queue in order, predicts each request's first token from
// the work ahead of it, and refuses those that would come too late.
func (g *Group) review(now clock.Millis) []Decision {
	if !g.options.Predict || len(g.queue) == 0 {
		return nil
	}
	f := g.forecast(now)
	budget := float64(g.policy.FirstTokenMs) * g.margin()
	patience := float64(g.policy.FirstTokenMs) * leastPatience
	var decisions []Decision
	waiting := g.queue[:0]
	for _, r := range g.queue {
		own := g.prefillMs(r.PromptTokens - g.bestCached(r))
		wait := f.wait()
		served := own + g.transferMs(r.PromptTokens) + g.stepMs(g.MaxBatch())
		if float64(now-r.ArrivedMs)+wait > max(budget-served, patience) {
			decisions = append(decisions, Decision{ID: r.ID, Cause: CauseOverload, RetryAfterMs: g.retryMs(f, now)})
			continue
		}
		f.add(own)
		waiting = append(waiting, r)
	}
	g.queue = waiting
	return decisions
}

// retryMs is when a refused request has a chance: after what is ahead of it has
// been prefilled and a slot has come free, spread so that callers do not come
// back at once.
func (g *Group) retryMs(f *forecast, now clock.Millis) clock.Millis {
	wait := max(f.wait(), float64(200*clock.Millisecond))
	return clock.Millis(wait * (1 + g.rng.Float64()))
}

// forecast is the work ahead of the queue's next request.
type forecast struct {
	prefillMs float64 // work ahead at all prefill engines together
	prefills  int
	free      int       // decode slots
	ends      []float64 // when further slots come free, ascending, from now
	ahead     int       // requests ahead in the queue
}

func (g *Group) forecast(now clock.Millis) *forecast {
	f := &forecast{}
	limit := g.MaxBatch()
	for _, e := range g.engines {
		switch {
		case !e.usable():
		case e.Kind == settings.KindPrefill:
			f.prefills++
			f.prefillMs += e.backlog(now)
		default:
			f.free += max(0, limit-e.batch-e.foreign)
		}
	}
	for _, r := range g.active {
		f.ends = append(f.ends, float64(max(0, r.endsMs-now)))
	}
	sort.Float64s(f.ends)
	return f
}

// wait is the predicted time until the next request can be prefilled.
func (f *forecast) wait() float64 {
	wait := f.prefillMs / float64(max(1, f.prefills))
	if over := f.ahead - f.free; over >= 0 {
		if len(f.ends) == 0 {
			return wait
		}
		wait = max(wait, f.ends[min(over, len(f.ends)-1)])
	}
	return wait
}

func (f *forecast) add(prefillMs float64) {
	f.ahead++
	f.prefillMs += prefillMs
}
