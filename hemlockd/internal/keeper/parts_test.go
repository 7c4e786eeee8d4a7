package keeper

import (
	"fmt"
	"testing"

	"hemlockmux.example/common/clock"
)

// run is a run that a crash broke.
type run struct {
	daemon        int
	engine        string
	begun, broken clock.Millis
}

func TestProcesses(t *testing.T) {
	const at = 1000 * crashStep
	for _, c := range []struct {
		name     string
		runs     []run
		min, max int // number of processes
	}{
		{"one crash, many runs", []run{{0, "e", 0, at}, {0, "e", 5, at}, {0, "e", at - 1, at + 1}}, 1, 1},
		{"one crash at the end of a step", []run{{0, "e", 0, at - 1}, {0, "e", 0, at + 1}}, 1, 1},
		{"a connection that the crashing engine accepted last", []run{{0, "e", 0, at}, {0, "e", at + 100, at + crashStep}}, 1, 1},
		{"the next process", []run{{0, "e", 0, at}, {0, "e", at + 2*clock.Second, at + crashStep}}, 2, 2},
		{"the next process within the step", []run{{0, "e", 0, at}, {0, "e", at + clock.Second, at + 2*clock.Second}}, 1, 1},
		{"two engines", []run{{0, "e", 0, at}, {0, "f", 0, at}}, 2, 2},
		{"one crash seen by daemons whose clocks differ", []run{{0, "e", 0, at - 2000}, {1, "e", 0, at - 500}, {2, "e", 0, at + 1500}, {3, "e", 0, at}}, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			daemons := map[int]*crashes{}
			processes := map[string]bool{}
			for _, r := range c.runs {
				if daemons[r.daemon] == nil {
					seen := newCrashes()
					daemons[r.daemon] = &seen
				}
				processes[daemons[r.daemon].process(r.engine, r.begun, r.broken)] = true
			}
			if n := len(processes); n < c.min || n > c.max {
				t.Errorf("%d processes, want %d to %d: %v", n, c.min, c.max, processes)
			}
		})
	}
}

// An engine that crashes every 2 s must count as several processes, so that a part is blamed by
// its fifth crash also if the model has one engine.
func TestProcessesOfOneEngine(t *testing.T) {
	for offset := clock.Millis(0); offset < crashStep; offset += 100 {
		seen, processes := newCrashes(), map[string]bool{}
		for i := range clock.Millis(5) {
			at := 1000*crashStep + offset + i*2*clock.Second
			processes[seen.process("e", at-100, at)] = true
		}
		if len(processes) < 3 {
			t.Error(fmt.Sprint("offset ", offset, ": ", processes))
		}
	}
}
