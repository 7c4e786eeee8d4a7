package retries

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
)

// TestRetriesStayWithinBudget checks for any order of first attempts and retries that
// retries never exceed the reserve plus the ratio of the first attempts.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		b := NewBudget(ratio)
		firsts, retries := 0, 0
		for _, first := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if first {
				b.RecordFirstAttempt()
				firsts++
			} else if b.Take() {
				retries++
			}
			if limit := reserve + ratio*float64(firsts) + 1e-6; float64(retries) > limit {
				t.Fatalf("%d retries for %d first attempts at ratio %f", retries, firsts, ratio)
			}
		}
	})
}

func TestBackoffIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for attempt := range 40 {
		if wait := Backoff(attempt, rng); wait < 0 || wait > 500*clock.Millisecond {
			t.Errorf("attempt %d waits %d ms", attempt, wait)
		}
	}
}
