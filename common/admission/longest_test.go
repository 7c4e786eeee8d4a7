package admission

import (
	"math/rand/v2"
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// TestLongestGoesByTheSlowestEngine guards against a time that a request is said to need at most and that engines slower
// than their settings exceed.
func TestLongestGoesByTheSlowestEngine(t *testing.T) {
	model := settings.Model{Slots: 5, Pieces: 1000, PieceTokens: 16, StepBaseMs: 10, StepPerSlotMs: 1, PrefillBaseMs: 20, KVTokenKB: 1, TransferMBps: 1000}
	policy := settings.DefaultSystem().Policy
	g := NewGroup(DefaultOptions(), model, policy, rand.New(rand.NewPCG(1, 2)))
	g.SetEngines([]Engine{{Name: "p", Kind: settings.KindPrefill, Up: true}, {Name: "d", Kind: settings.KindDecode, Up: true}})
	bySettings := clock.Millis(paceAllowance * (20 + 100*14))
	if got := g.LongestMs(0, 100, 0); got != bySettings {
		t.Errorf("unobserved: %d ms, want %d", got, bySettings)
	}
	if d := g.Submit(Work{ID: "r", PromptTokens: 1, OutputTokens: 50}, 0); len(d) != 1 || d[0].Grant == nil {
		t.Fatalf("decisions %+v", d)
	}
	if got := g.LongestMs(0, 100, 0); got != bySettings+25 {
		t.Errorf("behind a prefill of 20 ms: %d ms, want %d", got, bySettings+25)
	}
	g.PrefillDone("r", 0, 20)
	g.Decoded("r", 50, 2000)
	if got, want := g.LongestMs(0, 100, 20), clock.Millis(paceAllowance*(20+100*40)); got != want {
		t.Errorf("observed at 40 ms a token: %d ms, want %d", got, want)
	}
}
