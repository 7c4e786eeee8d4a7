package measure

import (
	"fmt"
)

// crashes lets engines crash and come back.
func (r *run) crashes() {
	var crash func()
	crash = func() {
		name := r.names[r.rng.IntN(len(r.names))]
		if e, ok := r.prefills[name]; ok && !e.down {
			e.crash()
			r.line.after(r.cfg.CrashDurationSeconds*1000, func() { e.down = false })
		} else if e, ok := r.decodes[name]; ok && !e.down {
			e.crash()
			r.line.after(r.cfg.CrashDurationSeconds*1000, func() { e.down = false })
		}
		r.line.after(r.rng.ExpFloat64()*r.cfg.CrashEverySeconds*1000, crash)
	}
	r.line.after(r.rng.ExpFloat64()*r.cfg.CrashEverySeconds*1000, crash)
}

// stalls lets links stand still for a while.
func (r *run) stalls() {
	var stall func()
	stall = func() {
		e := r.prefills[fmt.Sprintf("prefill-%d", r.rng.IntN(r.cfg.Prefills))]
		e.stalledUntil = r.line.now + r.cfg.StallDurationSeconds*1000
		r.line.after(r.rng.ExpFloat64()*r.cfg.StallEverySeconds*1000, stall)
	}
	r.line.after(r.rng.ExpFloat64()*r.cfg.StallEverySeconds*1000, stall)
}
