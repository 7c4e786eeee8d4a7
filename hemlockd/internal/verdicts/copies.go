package verdicts

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/daemons"
)

// keepCopies is how much longer than its original a copy is kept: its end is
// put together from times that two VMs took.
const keepCopies = 30 * clock.Second

// copies holds other daemons' verdicts, by the run of the daemon.
type copies struct {
	byRun map[string]*runCopies
}

// runCopies is what is held for one run of a daemon.
type runCopies struct {
	open  map[string]verdict.Verdict
	ended map[string]verdict.Verdict
	// batches wait for the object store, by their keys.
	batches map[string]segment
	dead    bool
}

func newCopies() copies { return copies{byRun: map[string]*runCopies{}} }

func (c copies) of(run string) *runCopies {
	held, ok := c.byRun[run]
	if !ok {
		held = &runCopies{open: map[string]verdict.Verdict{}, ended: map[string]verdict.Verdict{}, batches: map[string]segment{}}
		c.byRun[run] = held
	}
	return held
}

// add takes a message in and returns how many verdicts are held for its sender.
func (c copies) add(req daemons.CopyRequest) int {
	if held, ok := c.byRun[req.From]; ok && held.dead {
		// It was taken for dead, and what was held then is stored by this daemon.
		delete(c.byRun, req.From)
	}
	held := c.of(req.From)
	for _, v := range req.Opened {
		held.open[v.RequestID] = v
	}
	for _, v := range req.Verdicts {
		delete(held.open, v.RequestID)
		held.ended[v.RequestID] = v
	}
	for _, id := range req.Closed {
		delete(held.open, id)
	}
	for _, b := range req.Batches {
		held.batches[b.Key] = segment{key: b.Key, body: b.Body, firstEndMs: b.FirstEndMs, lastEndMs: b.LastEndMs}
	}
	for id, v := range held.ended {
		if v.EndMs+keepCopies < req.StoredUpToMs {
			delete(held.ended, id)
		}
	}
	for key, b := range held.batches {
		if b.lastEndMs+keepCopies < req.StoredUpToMs {
			delete(held.batches, key)
		}
	}
	return len(held.ended)
}

func (c copies) find(id string) (verdict.Verdict, bool) {
	for _, held := range c.byRun {
		if v, ok := held.ended[id]; ok {
			return v, true
		}
		if v, ok := held.open[id]; ok && held.dead {
			return v, true
		}
		for _, b := range held.batches {
			if v, ok := b.find(id); ok {
				return v, true
			}
		}
	}
	return verdict.Verdict{}, false
}

// died turns what is held for a dead daemon into verdicts to be stored: a
// request without a verdict may or may not have run.
// Batches that were not stored come beside them.
func (c copies) died(run string, now clock.Millis) ([]verdict.Verdict, []segment) {
	held, ok := c.byRun[run]
	if !ok || held.dead {
		return nil, nil
	}
	held.dead = true
	var batches []segment
	for _, b := range held.batches {
		batches = append(batches, b)
	}
	var verdicts []verdict.Verdict
	for _, v := range held.ended {
		verdicts = append(verdicts, v)
	}
	for id, v := range held.open {
		v.Outcome, v.Ran, v.Reason = verdict.Unknown, problem.RanUnknown, problem.DaemonLost
		v.Detail = "the daemon that took the request died before it ended"
		v.EndMs = now
		held.open[id] = v
		verdicts = append(verdicts, v)
	}
	return verdicts, batches
}

// AcceptCopies keeps another daemon's verdicts.
func (r *Recorder) AcceptCopies(req daemons.CopyRequest) daemons.CopyAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.copies.byRun[req.From]; !known && len(req.Opened)+len(req.Verdicts)+len(req.Batches) == 0 {
		return daemons.CopyAnswer{}
	}
	held := r.copies.add(req)
	return daemons.CopyAnswer{Held: held}
}

// DaemonDied stores the copies held for a daemon that died.
func (r *Recorder) DaemonDied(run, daemon string) {
	now := r.common.Clock.Now()
	r.mu.Lock()
	verdicts, batches := r.copies.died(run, now)
	r.segments = append(r.segments, batches...)
	r.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	metrics.Add("rescued", int64(len(verdicts)))
	s, err := newSegment(verdicts, daemon, "copy-"+r.common.Config.Name, now)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.segments = append(r.segments, s)
	r.mu.Unlock()
}
