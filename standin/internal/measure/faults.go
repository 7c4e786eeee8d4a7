package measure

import (
	"fmt"
)

// scheduleCrashes schedules crashes of random engines, at exponentially distributed
// intervals. A crashed engine restarts after CrashDurationSeconds.
func (r *run) scheduleCrashes() {
	var crash func()
	crash = func() {
		name := r.engineNames[r.rng.IntN(len(r.engineNames))]
		if e, ok := r.prefills[name]; ok && !e.down {
			e.crash()
			r.timeline.after(r.cfg.CrashDurationSeconds*1000, func() { e.down = false })
		} else if e, ok := r.decodes[name]; ok && !e.down {
			e.crash()
			r.timeline.after(r.cfg.CrashDurationSeconds*1000, func() { e.down = false })
		}
		r.timeline.after(r.rng.ExpFloat64()*r.cfg.CrashEverySeconds*1000, crash)
	}
	r.timeline.after(r.rng.ExpFloat64()*r.cfg.CrashEverySeconds*1000, crash)
}

// scheduleStalls schedules stalls of the links of random prefill engines, at
// exponentially distributed intervals.
func (r *run) scheduleStalls() {
	var stall func()
	stall = func() {
		e := r.prefills[fmt.Sprintf("prefill-%d", r.rng.IntN(r.cfg.Prefills))]
		e.stalledUntil = r.timeline.now + r.cfg.StallDurationSeconds*1000
		r.timeline.after(r.rng.ExpFloat64()*r.cfg.StallEverySeconds*1000, stall)
	}
	r.timeline.after(r.rng.ExpFloat64()*r.cfg.StallEverySeconds*1000, stall)
}
