package capacity

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// TestLongestDurationCountsPromptsThatOnlyTheEngineCanRead guards against a stream that is taken for shorter than it may become because
// there are prefill engines, but none of the version of its engine, which reads the prompt itself.
func TestLongestDurationCountsPromptsThatOnlyTheEngineCanRead(t *testing.T) {
	v := NewView(DefaultLimits())
	v.SetEngines([]Engine{{ID: "e", Service: "s", Software: "v2", MemoryTokens: 100_000, Slots: 8}})
	v.SetPrefillEngines([]PrefillEngine{{ID: "p", Service: "s", Software: "v1"}})
	observePace(t, v, "e", 1)
	now := clock.Minute
	before, ok := v.Place(Run{ID: "before", Service: "s", PromptTokens: 10_000, MaxTokens: 100}, PlaceOptions{}, now)
	if !ok || before.Prefill != "" {
		t.Fatalf("placed %v, prefill at %q", ok, before.Prefill)
	}
	now += 3 * clock.Second // the engine has read the prompt
	v.Progress(before.ID, 10, now)
	next, ok := v.Place(Run{ID: "next", Service: "s", PromptTokens: 10_000, MaxTokens: 100}, PlaceOptions{}, now)
	if !ok {
		t.Fatal("not placed")
	}
	if longest, ok := v.LongestDuration(next, now); !ok || longest < 3000 {
		t.Errorf("%d ms, known %v; the engine has just taken 3 s for such a prompt", longest, ok)
	}
}
