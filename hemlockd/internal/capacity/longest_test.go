package capacity

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// observePace lets a run at an engine generate tokens until the view knows the engine's pace.
func observePace(t *testing.T, v *View, engine string, msPerToken float64) {
	t.Helper()
	r := Run{ID: "pace-" + engine, Service: "s", PromptTokens: 1, MaxTokens: 10000, Engine: engine}
	v.mu.Lock()
	v.engines[engine].runs[localOwner][r.ID], v.engineOf[r.ID] = r, engine
	v.mu.Unlock()
	for i := range 100 {
		v.Progress(r.ID, 100*i, clock.Millis(float64(100*i)*msPerToken))
	}
	v.End(r.ID)
}

// TestLongestDuration guards against a stream that is taken for shorter than it may become: by its expected length, by
// the pace of other engines, or by a pace that nobody has seen.
func TestLongestDuration(t *testing.T) {
	v := NewView(DefaultLimits())
	v.SetEngines([]Engine{{ID: "fast", Service: "s", MemoryTokens: 10000, Slots: 8}, {ID: "slow", Service: "s", MemoryTokens: 10000, Slots: 8}, {ID: "other", Service: "o", MemoryTokens: 10000, Slots: 8}})
	run := Run{ID: "r", Service: "s", PromptTokens: 100, ExpectedTokens: 10, MaxTokens: 1000}
	if longest, ok := v.LongestDuration(run); ok {
		t.Errorf("%d ms with engines that nobody has seen at work", longest)
	}
	observePace(t, v, "fast", 1)
	observePace(t, v, "slow", 4)
	observePace(t, v, "other", 50)
	placed, decoding := run, run
	placed.Engine = "fast"
	decoding.Engine, decoding.Decoding, decoding.GeneratedTokens = "fast", true, 900
	for _, c := range []struct {
		name        string
		run         Run
		least, most clock.Millis
	}{
		{"not placed: the slowest engine of the service", run, 4000, 8000},
		{"placed: that engine", placed, 1000, 2000},
		{"decoding: what is left", decoding, 100, 200},
	} {
		if longest, ok := v.LongestDuration(c.run); !ok || longest < c.least || longest > c.most {
			t.Errorf("%s: %d ms, known %v; want %d to %d", c.name, longest, ok, c.least, c.most)
		}
	}
}
