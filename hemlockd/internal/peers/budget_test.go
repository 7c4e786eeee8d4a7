package peers

import (
	"fmt"
	"testing"

	"hemlockmux.example/hemlockd/internal/capacity"
)

// TestPeakLoadOfManyDaemonsFitsTheDefaultBudget computes the traffic of seventy daemons,
// each of which places, starts and ends four runs a second while twelve are running.
// If the updates exceed the budget, engines have to confirm every placement, and
// requests are refused while engines are free.
func TestPeakLoadOfManyDaemonsFitsTheDefaultBudget(t *testing.T) {
	const others, local, perSecond, running = 69, 11, 4, 12
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
	updates := size(State{Runs: one}) + size(State{Runs: one}) + size(State{Ended: []string{one[0].ID}})
	rounds := 1000 / int(fullStateInterval)
	full := size(State{Full: true, Runs: all}) * (rounds*min(local, localFanout) + rounds*(others-local)/remoteEvery)
	total := perSecond*others*updates + full
	t.Logf("%d bytes/s: %d of updates, %d of full states", total, perSecond*others*updates, full)
	if total > DefaultBytesPerSecond {
		t.Errorf("daemon sends %d bytes/s, default budget is %d bytes/s", total, DefaultBytesPerSecond)
	}
}
