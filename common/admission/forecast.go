package admission

import (
	"sort"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// rejectLate predicts the time to the first token of each queued request, in order,
// from the work ahead of it, and refuses those that would miss the target.
func (g *Group) rejectLate(now clock.Millis) []Decision {
	if !g.options.Predict || len(g.queue) == 0 {
		return nil
	}
	f := g.forecast(now)
	budget := float64(g.policy.FirstTokenMs) * g.margin()
	minWait := float64(g.policy.FirstTokenMs) * minWaitShare
	var decisions []Decision
	waiting := g.queue[:0]
	for _, r := range g.queue {
		own := g.prefillMs(r.PromptTokens - g.bestCached(r))
		wait := f.wait()
		service := own + g.transferMs(r.PromptTokens) + g.stepMs(g.MaxBatch())
		if float64(now-r.ArrivedMs)+wait > max(budget-service, minWait) {
			decisions = append(decisions, Decision{ID: r.ID, Cause: CauseOverload, RetryAfterMs: g.retryMs(f, now)})
			continue
		}
		f.add(own)
		waiting = append(waiting, r)
	}
	g.queue = waiting
	return decisions
}

// retryMs returns the time after which a refused request has a chance: when the work
// ahead of it has been prefilled and a slot has become free. The time is randomized so
// that callers do not all return at once.
func (g *Group) retryMs(f *forecast, now clock.Millis) clock.Millis {
	wait := max(f.wait(), float64(200*clock.Millisecond))
	return clock.Millis(wait * (1 + g.rng.Float64()))
}

// forecast is the predicted work ahead of the next request in the queue.
type forecast struct {
	prefillMs float64   // sum of the backlogs of all prefill engines
	prefills  int       // usable prefill engines
	free      int       // free decode slots
	slotEnds  []float64 // times in ms from now at which further slots become free, ascending
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
		f.slotEnds = append(f.slotEnds, float64(max(0, r.endsMs-now)))
	}
	sort.Float64s(f.slotEnds)
	return f
}

// wait returns the predicted time in ms until the next request can be prefilled.
func (f *forecast) wait() float64 {
	wait := f.prefillMs / float64(max(1, f.prefills))
	if over := f.ahead - f.free; over >= 0 {
		if len(f.slotEnds) == 0 {
			return wait
		}
		wait = max(wait, f.slotEnds[min(over, len(f.slotEnds)-1)])
	}
	return wait
}

func (f *forecast) add(prefillMs float64) {
	f.ahead++
	f.prefillMs += prefillMs
}
