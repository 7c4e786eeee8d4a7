package verdicts

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/daemons"
)

// copyRetention is how much longer a copy is kept than its original needs. The margin
// is needed because a copy's end time is computed from the clocks of two VMs.
const copyRetention = 30 * clock.Second

// copies holds copies of other daemons' verdicts.
type copies struct {
	// byRun maps the ID of a daemon's run to its copies.
	byRun map[string]*runCopies
	// holder is the name of this daemon.
	holder string
}

// runCopies holds the copies for one run of a daemon.
type runCopies struct {
	// open holds the requests without a verdict, by their IDs.
	open map[string]verdict.Verdict
	// ended holds the verdicts of ended requests, by the requests' IDs.
	ended map[string]verdict.Verdict
	// batches holds batches that the daemon has not stored yet, by their keys.
	batches map[string]segment
	// dead is set once the run has been found dead and its copies have been returned
	// by markDead.
	dead bool
	// compressed is the number of batches made of ended.
	compressed int
}

func newCopies(holder string) copies { return copies{byRun: map[string]*runCopies{}, holder: holder} }

// forRun returns the copies for a run, which are created if there are none.
func (c copies) forRun(run string) *runCopies {
	held, ok := c.byRun[run]
	if !ok {
		held = &runCopies{open: map[string]verdict.Verdict{}, ended: map[string]verdict.Verdict{}, batches: map[string]segment{}}
		c.byRun[run] = held
	}
	return held
}

// add applies a message of another daemon and returns the number of ended verdicts held
// for it.
func (c copies) add(req daemons.CopyRequest) int {
	if held, ok := c.byRun[req.From]; ok && held.dead {
		// The run was wrongly found dead. This daemon stores the copies held then, so
		// the run starts again without copies.
		delete(c.byRun, req.From)
	}
	held := c.forRun(req.From)
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
		if v.EndMs+copyRetention < req.StoredUpToMs {
			delete(held.ended, id)
		}
	}
	for key, b := range held.batches {
		if b.lastEndMs+copyRetention < req.StoredUpToMs {
			delete(held.batches, key)
		}
	}
	n := len(held.ended)
	if n > maxUnsealed {
		held.compress(req.From, c.holder)
	}
	return n
}

// compress makes a batch of the verdicts of ended requests that holder keeps for a run. It leaves them as they are if
// that fails.
func (h *runCopies) compress(run, holder string) {
	verdicts := slices.Collect(maps.Values(h.ended))
	var lastEndMs clock.Millis
	for _, v := range verdicts {
		lastEndMs = max(lastEndMs, v.EndMs)
	}
	h.compressed++
	daemon, _, _ := strings.Cut(run, "~") // see [process.Environment.RunID]
	s, err := newSegment(verdicts, daemon, fmt.Sprintf("copies-%s-%d", holder, h.compressed), lastEndMs)
	if err != nil {
		metrics.Add("copiesNotCompressed", 1)
		return
	}
	h.batches[s.key] = s
	clear(h.ended)
}

// find looks up the verdict of a request. Requests without a verdict are found only for
// dead runs.
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

// markDead marks a run as dead and returns the verdicts and the batches held for it,
// which are to be stored. A request without a verdict gets one with an unknown outcome,
// since it may or may not have run. Later calls for the same run return nothing.
func (c copies) markDead(run string, now clock.Millis) ([]verdict.Verdict, []segment) {
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
		v.Outcome, v.Ran, v.Reason = verdict.OutcomeUnknown, problem.RanUnknown, problem.DaemonLost
		v.Detail = "the daemon that accepted the request died before the request ended"
		v.EndMs = now
		held.open[id] = v
		verdicts = append(verdicts, v)
	}
	return verdicts, batches
}

// AcceptCopies stores copies of another daemon's verdicts.
func (r *Recorder) AcceptCopies(req daemons.CopyRequest) daemons.CopyAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.copies.byRun[req.From]; !known && len(req.Opened)+len(req.Verdicts)+len(req.Batches) == 0 {
		return daemons.CopyAnswer{}
	}
	held := r.copies.add(req)
	return daemons.CopyAnswer{Held: held}
}

// DaemonDied queues the copies held for a dead run of a daemon for the object store. The copies that
// the run held for this daemon are lost: what is not stored is copied again.
func (r *Recorder) DaemonDied(run, daemon string) {
	now := r.env.Clock.Now()
	r.mu.Lock()
	verdicts, batches := r.copies.markDead(run, now)
	r.segments = append(r.segments, batches...)
	r.holder = "" // makes unsentOpen send everything to the holder
	for i := range r.segments {
		if r.segments[i].holder == daemon {
			r.segments[i].holder = ""
		}
	}
	r.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	metrics.Add("rescued", int64(len(verdicts)))
	s, err := newSegment(verdicts, daemon, "copy-"+r.env.Config.Name, now)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.segments = append(r.segments, s)
	r.mu.Unlock()
}
