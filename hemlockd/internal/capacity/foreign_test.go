package capacity

import (
	"fmt"
	"testing"
)

// TestCrestOfOneDataCentreSpreadsOverOthers places more runs than the engines of the own data centre hold: the
// rest goes to engines whose other runs are not known here, as far as their load allows, and to many of them.
func TestCrestOfOneDataCentreSpreadsOverOthers(t *testing.T) {
	v := newExactView()
	engines := []Engine{{ID: "own-1", DataCentre: "a", MemoryTokens: 1000, Slots: 2}, {ID: "own-2", DataCentre: "a", MemoryTokens: 1000, Slots: 2}}
	for i := range 8 {
		engines = append(engines, Engine{ID: fmt.Sprintf("near-%d", i), DataCentre: "b", MemoryTokens: 1000, Slots: 2, Foreign: &ForeignLoad{Tokens: 500, Runs: 1}})
	}
	engines = append(engines, Engine{ID: "full", DataCentre: "c", MemoryTokens: 1000, Slots: 2, Foreign: &ForeignLoad{Tokens: 990, Runs: 1}})
	engines = append(engines, Engine{ID: "no-slot", DataCentre: "c", MemoryTokens: 1000, Slots: 2, Foreign: &ForeignLoad{Tokens: 100, Runs: 2}})
	v.SetEngines(engines)
	at := map[string]int{}
	for i := range 20 {
		placed, ok := v.Place(Run{ID: fmt.Sprint(i), PromptTokens: 100, ExpectedTokens: 50, MaxTokens: 100}, PlaceOptions{SkipPrefill: true}, 0)
		if !ok {
			break
		}
		if i < 4 && placed.DataCentre != "a" {
			t.Errorf("run %d is at %s, though engines of the own data centre have room", i, placed.Engine)
		}
		at[placed.Engine]++
	}
	if at["own-1"] != 2 || at["own-2"] != 2 || at["full"] != 0 || at["no-slot"] != 0 || len(at) != 10 {
		t.Errorf("placed %v, want the own engines full and one run at each of the others that have room", at)
	}
	if use, runs := v.MeanLoad("a", 0); use <= 0.2 || runs != 2 {
		t.Errorf("mean load %v, %v", use, runs)
	}
	if use, _ := v.MeanLoad("nowhere", 0); use != 1 {
		t.Error("a data centre without engines has room")
	}
}

// TestPrefillEnginesOfOtherCellsAreTheLastChoice keeps prompts where the backlog is known.
func TestPrefillEnginesOfOtherCellsAreTheLastChoice(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "d", MemoryTokens: 1 << 20, Slots: 100}})
	v.SetPrefillEngines([]PrefillEngine{{ID: "own"}, {ID: "other-1", Foreign: true}, {ID: "other-2", Foreign: true}})
	at := map[string]int{}
	for i := range 9 {
		placed, ok := v.Place(Run{ID: fmt.Sprint(i), PromptTokens: 5000, ExpectedTokens: 10, MaxTokens: 10}, PlaceOptions{}, 0)
		if !ok {
			t.Fatalf("run %d found no engine", i)
		}
		if at[placed.Prefill]++; i < 3 && placed.Prefill != "own" {
			t.Errorf("prompt %d goes to %s, though the own prefill engine is nearly idle", i, placed.Prefill)
		}
	}
	if len(at) != 3 {
		t.Errorf("prefilled at %v", at)
	}
}
