package capacity

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// newExactView returns a view with the smallest permitted spread, so that expected
// lengths are close to callers' guesses.
func newExactView() *View {
	v := NewView(testLimits())
	v.lengths.variance = minSpread * minSpread
	return v
}

func testLimits() Limits {
	return Limits{MaxMemoryUse: 1, MaxPrefillBacklogMs: 250}
}

func TestPeakIsJustBeforeARunEnds(t *testing.T) {
	for _, c := range []struct {
		loads []load
		want  int
	}{
		{nil, 0},
		{[]load{{held: 100, remaining: 50}}, 150},
		// The short run ends when both have generated 10 tokens; the long one continues alone.
		{[]load{{held: 100, remaining: 10}, {held: 100, remaining: 50}}, 220},
		{[]load{{held: 10, remaining: 10}, {held: 100, remaining: 500}}, 600},
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
		t.Error("no capacity after a run has ended")
	}
	v.Remove("other", []string{"x"})
	if _, ok := v.Place(run("7"), PlaceOptions{SkipPrefill: true}, 0); !ok {
		t.Error("no capacity after another daemon's run has ended")
	}
}

func TestProgressOfRemoteRunsIsEstimatedBetweenUpdates(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}})
	v.Add("other", Run{ID: "x", Engine: "a", PromptTokens: 300, ExpectedTokens: 300, MaxTokens: 300, Decoding: true}, 0)
	late := clock.Millis(200 * initialMsPerToken)
	if peak := v.Engines(late)[0].Peak; peak != 300+300+blockTokens {
		t.Errorf("peak %d after 200 estimated tokens, want the run's expected memory at its end", peak)
	}
}

func TestRemovedEngineGetsNoRuns(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}})
	v.SetEngines(nil)
	if _, ok := v.Place(Run{ID: "1", PromptTokens: 1, ExpectedTokens: 1, MaxTokens: 1}, PlaceOptions{SkipPrefill: true}, 0); ok {
		t.Error("run placed at a removed engine")
	}
}

// TestPrefillBacklogHoldsRunsBack guards against long prompts queueing at the prefill
// engines during a load peak until they time out, which wastes their prefill.
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
		t.Errorf("%d runs placed, want 4: two engines with a backlog limit of 250 ms take 2 prompts of 200 ms each", placed)
	}
	if _, ok := v.Place(run("8"), PlaceOptions{}, 300); !ok {
		t.Error("run not placed after the prompts ahead were prefilled")
	}
}

// TestSlowPrefillEngineGetsLess checks that the difference in speed between engines
// is learned from the duration of their prefills.
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
			t.Fatal("run not placed")
		}
		given[r.Prefill]++
		now += clock.Millis(5000 * pace[r.Prefill])
		v.PrefillDone(id, true, now)
		v.End(id)
		now += 10
		if i%20 == 19 { // a second prefill at the other engine, so that both are observed
			other, _ := v.Place(Run{ID: "x" + id, PromptTokens: 5000, ExpectedTokens: 1, MaxTokens: 1}, PlaceOptions{Exclude: map[string]bool{r.Prefill: true}}, now)
			v.PrefillDone("x"+id, true, now+clock.Millis(5000*pace[other.Prefill]))
			v.End("x" + id)
			now += 300
		}
	}
	if v.prefillEngines["slow"].msPerToken < 2*v.prefillEngines["fast"].msPerToken {
		t.Errorf("learned prefill times: fast %.3f, slow %.3f ms per token", v.prefillEngines["fast"].msPerToken, v.prefillEngines["slow"].msPerToken)
	}
}

// TestUnavailableEngineKeepsRemoteRuns checks that runs of other daemons at an engine
// that is temporarily unavailable still count once it is back.
func TestUnavailableEngineKeepsRemoteRuns(t *testing.T) {
	v := newExactView()
	engines := []Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}}
	v.SetEngines(engines)
	v.Add("other", Run{ID: "x", Engine: "a", PromptTokens: 800, ExpectedTokens: 100, MaxTokens: 200}, 0)
	v.SetEngines(nil)
	v.SetEngines(engines)
	if _, ok := v.Place(Run{ID: "1", PromptTokens: 300, ExpectedTokens: 10, MaxTokens: 10}, PlaceOptions{SkipPrefill: true}, 0); ok {
		t.Error("run placed in memory that another daemon's run occupies")
	}
	v.SetEngines(nil)
	v.Remove("other", []string{"x"})
	v.SetEngines(nil)
	if len(v.engines) != 0 {
		t.Error("a removed engine without runs was not forgotten")
	}
}

// TestRunsStayWithTheirService guards against placing a run at another service's
// engine that has more free memory.
func TestRunsStayWithTheirService(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{
		{ID: "a-busy", Service: "a", MemoryTokens: 1000, Slots: 9, Cost: 0.5},
		{ID: "b-idle", Service: "b", MemoryTokens: 9000, Slots: 9},
	})
	v.SetPrefillEngines([]PrefillEngine{{ID: "b-prefill", Service: "b"}})
	placed, ok := v.Place(Run{ID: "1", Service: "a", PromptTokens: 300, ExpectedTokens: 10, MaxTokens: 20}, PlaceOptions{}, 0)
	if !ok || placed.Engine != "a-busy" || placed.Prefill != "" {
		t.Errorf("decode engine %q, prefill engine %q, placed %v", placed.Engine, placed.Prefill, ok)
	}
	if v.Fits(Run{Service: "a", PromptTokens: 5000}) {
		t.Error("a prompt fits only in the memory of another service's engine")
	}
	if placed, ok = v.Place(Run{ID: "2", Service: "b", PromptTokens: 300, ExpectedTokens: 10, MaxTokens: 20}, PlaceOptions{}, 0); !ok || placed.Prefill != "b-prefill" {
		t.Errorf("run %+v, placed %v", placed, ok)
	}
	if v.PrefillWorkMs("a") != 0 || v.PrefillWorkMs("b") == 0 {
		t.Errorf("prefill work %v ms for a, %v ms for b", v.PrefillWorkMs("a"), v.PrefillWorkMs("b"))
	}
}
