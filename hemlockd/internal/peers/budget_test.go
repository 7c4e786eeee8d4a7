package peers

import (
	"fmt"
	"testing"

	"hemlockmux.example/hemlockd/internal/capacity"
)

// TestCrestOfManyDaemonsFitsTheDefaultBudget is the load of seventy daemons, each
// of which places, starts and ends four runs a second while it generates twelve.
// Where the news of that goes beyond the budget, every place is confirmed by its
// engine, and requests are refused with engines free.
func TestCrestOfManyDaemonsFitsTheDefaultBudget(t *testing.T) {
	const others, near, perSecond, running = 69, 11, 4, 12
	p := start(t, "front-of-a-data-centre-1", 1).Peers
	run := func(i int) capacity.Run {
		return capacity.Run{
			ID: fmt.Sprintf("%016x", i), Engine: "i-0123456789", Prefill: "i-9876543210", PromptTokens: 10_000, ExpectedTokens: 5_000, MaxTokens: 10_010,
		}
	}
	size := func(s State) int {
		datagram, err := p.encode(s)
		if err != nil {
			t.Fatal(err)
		}
		return len(datagram)
	}
	var all []capacity.Run
	for i := range running {
		all = append(all, run(i))
	}
	one := []capacity.Run{run(0)}
	news := size(State{Runs: one}) + size(State{Runs: one}) + size(State{Ended: []string{one[0].ID}})
	rounds := 1000 / int(stateInterval)
	whole := size(State{Full: true, Runs: all}) * (rounds*min(near, nearFan) + rounds*(others-near)/farEvery)
	total := perSecond*others*news + whole
	t.Logf("%d bytes a second: %d of news, %d of whole states", total, perSecond*others*news, whole)
	if total > DefaultBytesPerSecond {
		t.Errorf("%d bytes a second to tell, %d may be sent", total, DefaultBytesPerSecond)
	}
}
