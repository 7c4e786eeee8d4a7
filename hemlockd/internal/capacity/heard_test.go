package capacity

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// TestPaceIsLearnedFromOtherDaemonsRuns guards against a daemon that has served no stream and takes the runs of others, some of
// which may be told late, for faster than they are.
func TestPaceIsLearnedFromOtherDaemonsRuns(t *testing.T) {
	v := NewView(DefaultLimits())
	v.SetEngines([]Engine{{ID: "e", Service: "s", MemoryTokens: 10_000, Slots: 8}})
	const pace = 8 // ms for a token
	run := Run{ID: "r", Engine: "e", PromptTokens: 100, ExpectedTokens: 2000, MaxTokens: 2000, Decoding: true}
	for i, late := range []clock.Millis{0, 20, 5, 30, 0, 10, 0} {
		at := clock.Minute + clock.Millis(i)*500
		run.GeneratedTokens = int(at-clock.Minute) / pace
		v.Replace("other", []Run{run}, at+late)
		v.Add("other", run, at+late+1) // a repeated message is no sample
		v.Replace("other", []Run{run}, at+late+2)
	}
	now := clock.Minute + 3500
	if got := v.Engines(now)[0].MsPerToken; got < 0.9*pace || got > 1.1*pace {
		t.Errorf("%.2f ms a token, want %d", got, pace)
	}
	if longest, ok := v.LongestDuration(Run{Service: "s", PromptTokens: 10, MaxTokens: 100}, now); !ok || longest < 100*pace {
		t.Errorf("longest duration %d ms, known %v", longest, ok)
	}
}
