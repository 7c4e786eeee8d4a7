package capacity

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// newExactView returns a view that takes callers' guesses to be right.
func newExactView() *View {
	v := NewView(exact())
	v.lengths.variance = leastSpread * leastSpread
	return v
}

func exact() Limits {
	return Limits{MaxMemoryUse: 1, MaxPrefillBacklogMs: 250}
}

func TestPeakIsJustBeforeARunEnds(t *testing.T) {
	for _, c := range []struct {
		loads []load
		want  int
	}{
		{nil, 0},
		{[]load{{held: 100, left: 50}}, 150},
		// The short run ends when both have made 10; the long one goes on alone.
		{[]load{{held: 100, left: 10}, {held: 100, left: 50}}, 220},
		{[]load{{held: 10, left: 10}, {held: 100, left: 500}}, 600},
	} {
		if got := peak(c.loads); got != c.want {
			t.Errorf("peak(%v) = %d, want %d", c.loads, got, c.want)
		}
	}
}

func TestPlaceKeepsWithinMemoryAndCountsOtherDaemons(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}, {ID: "b", MemoryTokens: 1000, Slots: 9, Cost: 0.1}})
	run := func(id string) Run { return Run{ID: id, PromptTokens: 300, ExpectedTokens: 100, MaxTokens: 200} }
	v.Add("other", Run{ID: "x", Engine: "a", PromptTokens: 300, ExpectedTokens: 100, MaxTokens: 200}, 0)
	var got []string
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		placed, ok := v.Place(run(id), PlaceOptions{SkipPrefill: true}, 0)
		if !ok {
			placed.Engine = "none"
		}
		got = append(got, placed.Engine)
	}
	want := []string{"b", "a", "b", "none", "none"}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("placed %v, want %v", got, want)
		}
	}
	v.End("2")
	if _, ok := v.Place(run("6"), PlaceOptions{SkipPrefill: true}, 0); !ok {
		t.Error("no room after a run has ended")
	}
	v.Remove("other", []string{"x"})
	if _, ok := v.Place(run("7"), PlaceOptions{SkipPrefill: true}, 0); !ok {
		t.Error("no room after another daemon's run has ended")
	}
}

func TestRunsOfOtherDaemonsGoOnBetweenMessages(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}})
	v.Add("other", Run{ID: "x", Engine: "a", PromptTokens: 300, ExpectedTokens: 300, MaxTokens: 300, Decoding: true}, 0)
	late := clock.Millis(200 * initialMsPerToken)
	if peak := v.Engines(late)[0].Peak; peak != 300+300+blockTokens {
		t.Errorf("peak %d after 200 tokens: the run ends with what it was expected to hold", peak)
	}
}

func TestEngineThatIsGoneTakesNoRuns(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}})
	v.SetEngines(nil)
	if _, ok := v.Place(Run{ID: "1", PromptTokens: 1, ExpectedTokens: 1, MaxTokens: 1}, PlaceOptions{SkipPrefill: true}, 0); ok {
		t.Error("placed at an engine that is gone")
	}
}

// TestPrefillBacklogHoldsRunsBack: a crest of long prompts must not pile up at
// the prefill engines, where they would time out and be read in vain.
func TestPrefillBacklogHoldsRunsBack(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1 << 20, Slots: 99}})
	v.SetPrefillEngines([]PrefillEngine{{ID: "p"}, {ID: "q"}})
	run := func(id string) Run { return Run{ID: id, PromptTokens: 10000, ExpectedTokens: 100, MaxTokens: 200} }
	placed := 0
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7"} {
		if _, ok := v.Place(run(id), PlaceOptions{}, 0); ok {
			placed++
		}
	}
	if placed != 4 {
		t.Errorf("%d placed; two engines with 250 ms of work ahead each take 4 prompts of 200 ms", placed)
	}
	if _, ok := v.Place(run("8"), PlaceOptions{}, 300); !ok {
		t.Error("not placed after the prompts ahead have been read")
	}
}

// TestSlowPrefillEngineGetsLess: engines differ in speed, and only their answers
// tell.
func TestSlowPrefillEngineGetsLess(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1 << 30, Slots: 1 << 20}})
	v.SetPrefillEngines([]PrefillEngine{{ID: "fast"}, {ID: "slow"}})
	pace := map[string]float64{"fast": 0.01, "slow": 0.04}
	given := map[string]int{}
	now := clock.Millis(0)
	for i := range 200 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		r, ok := v.Place(Run{ID: id, PromptTokens: 5000, ExpectedTokens: 1, MaxTokens: 1}, PlaceOptions{}, now)
		if !ok {
			t.Fatal("no place")
		}
		given[r.Prefill]++
		now += clock.Millis(5000 * pace[r.Prefill])
		v.PrefillDone(id, true, now)
		v.End(id)
		now += 10
		if i%20 == 19 { // two at once, so that both engines are heard of
			other, _ := v.Place(Run{ID: "x" + id, PromptTokens: 5000, ExpectedTokens: 1, MaxTokens: 1}, PlaceOptions{Exclude: map[string]bool{r.Prefill: true}}, now)
			v.PrefillDone("x"+id, true, now+clock.Millis(5000*pace[other.Prefill]))
			v.End("x" + id)
			now += 300
		}
	}
	if v.prefillers["slow"].readMsPerToken < 2*v.prefillers["fast"].readMsPerToken {
		t.Errorf("paces learned: fast %.3f, slow %.3f ms a token", v.prefillers["fast"].readMsPerToken, v.prefillers["slow"].readMsPerToken)
	}
}

// TestEngineThatIsDownForAMomentKeepsItsRuns: an engine is passed over while it
// does not answer; what runs there for other daemons goes on.
func TestEngineThatIsDownForAMomentKeepsItsRuns(t *testing.T) {
	v := newExactView()
	engines := []Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}}
	v.SetEngines(engines)
	v.Add("other", Run{ID: "x", Engine: "a", PromptTokens: 800, ExpectedTokens: 100, MaxTokens: 200}, 0)
	v.SetEngines(nil)
	v.SetEngines(engines)
	if _, ok := v.Place(Run{ID: "1", PromptTokens: 300, ExpectedTokens: 10, MaxTokens: 10}, PlaceOptions{SkipPrefill: true}, 0); ok {
		t.Error("placed where another daemon's run holds the memory")
	}
	v.SetEngines(nil)
	v.Remove("other", []string{"x"})
	v.SetEngines(nil)
	if len(v.engines) != 0 {
		t.Error("an engine that is gone is kept for ever")
	}
}

// TestRunsStayWithTheirService: engines of two models stand in the same list, and
// the one with more room is the other model's.
func TestRunsStayWithTheirService(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{
		{ID: "a-busy", Service: "a", MemoryTokens: 1000, Slots: 9, Cost: 0.5},
		{ID: "b-idle", Service: "b", MemoryTokens: 9000, Slots: 9},
	})
	v.SetPrefillEngines([]PrefillEngine{{ID: "b-prefill", Service: "b"}})
	placed, ok := v.Place(Run{ID: "1", Service: "a", PromptTokens: 300, ExpectedTokens: 10, MaxTokens: 20}, PlaceOptions{}, 0)
	if !ok || placed.Engine != "a-busy" || placed.Prefill != "" {
		t.Errorf("placed at %q, prompt read at %q, %v", placed.Engine, placed.Prefill, ok)
	}
	if v.Fits(Run{Service: "a", PromptTokens: 5000}) {
		t.Error("a prompt fits, by the memory of another service's engine")
	}
	if placed, ok = v.Place(Run{ID: "2", Service: "b", PromptTokens: 300, ExpectedTokens: 10, MaxTokens: 20}, PlaceOptions{}, 0); !ok || placed.Prefill != "b-prefill" {
		t.Errorf("%+v, %v", placed, ok)
	}
	if v.PrefillWorkMs("a") != 0 || v.PrefillWorkMs("b") == 0 {
		t.Errorf("reading %v for a, %v for b", v.PrefillWorkMs("a"), v.PrefillWorkMs("b"))
	}
}
