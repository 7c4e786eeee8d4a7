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
	if longest, ok := v.LongestDuration(run, 0); ok {
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
		if longest, ok := v.LongestDuration(c.run, clock.Minute); !ok || longest < c.least || longest > c.most {
			t.Errorf("%s: %d ms, known %v; want %d to %d", c.name, longest, ok, c.least, c.most)
		}
	}
}

// TestLongestDurationRemembersSlowness guards against a stream that is admitted during a shutdown by the pace of a quiet moment,
// at an engine that is slow from time to time, as one that reads prompts itself.
func TestLongestDurationRemembersSlowness(t *testing.T) {
	v := NewView(DefaultLimits())
	v.SetEngines([]Engine{{ID: "e", Service: "s", MemoryTokens: 100_000, Slots: 8}})
	placed, ok := v.Place(Run{ID: "r", Service: "s", PromptTokens: 100, MaxTokens: 50_000}, PlaceOptions{}, 0)
	if !ok {
		t.Fatal("not placed")
	}
	now := 700 * clock.Millisecond // the engine has read the prompt
	generated := 0
	progress := func(events int, pace clock.Millis) {
		for range events {
			generated, now = generated+10, now+10*pace
			v.Progress(placed.ID, generated, now)
		}
	}
	progress(50, 1)
	progress(20, 6)
	progress(50, 1)
	next := Run{ID: "next", Service: "s", PromptTokens: 100, MaxTokens: 1000}
	longest, ok := v.LongestDuration(next, now)
	if !ok || longest < 4700 || longest > 8000 {
		t.Errorf("just after a slow time: %d ms, known %v; want 5 ms a token and 700 ms", longest, ok)
	}
	longest, ok = v.LongestDuration(next, now+clock.Minute)
	if !ok || longest > 2500 {
		t.Errorf("a minute later: %d ms, known %v; want some 1.3 ms a token", longest, ok)
	}
}

// TestLongestDurationLeavesOutAPrefillThatIsDone guards against refusing, during a shutdown, a stream that ends before the
// exit because its prefill is counted twice.
func TestLongestDurationLeavesOutAPrefillThatIsDone(t *testing.T) {
	v := NewView(DefaultLimits())
	v.SetEngines([]Engine{{ID: "e", Service: "s", MemoryTokens: 200_000, Slots: 8}})
	v.SetPrefillEngines([]PrefillEngine{{ID: "p", Service: "s"}})
	observePace(t, v, "e", 1)
	waiting := Run{ID: "r", Service: "s", PromptTokens: 20_000, MaxTokens: 100, Engine: "e", Prefill: "p"}
	read := waiting
	read.Prefill = ""
	before, _ := v.LongestDuration(waiting, clock.Minute)
	after, _ := v.LongestDuration(read, clock.Minute)
	if before < 900 || after > 300 {
		t.Errorf("%d ms before the prefill, %d ms after it", before, after)
	}
}
