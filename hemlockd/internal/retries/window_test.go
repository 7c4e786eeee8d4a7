package retries

import (
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
)

// TestRepeatsOfAllDaemonsKeepTheBound lets several daemons, some of which restart, spend
// as many retries as their budgets allow, and checks their sum in every window.
func TestRepeatsOfAllDaemonsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "daemons")
		bound := Bound{Ratio: 0.2, Slack: 52, WindowMs: 10 * clock.Second}
		budgets := make([]*ServiceBudgets, n)
		start := func(at clock.Millis) *ServiceBudgets { return NewServiceBudgets(bound, at, func() int { return n }) }
		for i := range budgets {
			budgets[i] = start(0)
		}
		type event struct {
			at    clock.Millis
			retry bool
		}
		var events []event
		for now := clock.Millis(0); now < 30*clock.Second; now += 100 {
			i := rapid.IntRange(0, n-1).Draw(t, "daemon")
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				budgets[i] = start(now)
			}
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				budgets[i].RecordRequest("s", now)
				events = append(events, event{now, false})
			}
			for budgets[i].Take("s", now) {
				events = append(events, event{now, true})
			}
		}
		for from := clock.Millis(0); from < 30*clock.Second; from += 500 {
			requests, before, retries := 0.0, 0.0, 0.0
			for _, e := range events {
				inside := e.at >= from && e.at < from+bound.WindowMs
				switch {
				case inside && e.retry:
					retries++
				case inside:
					requests++
				case !e.retry && e.at >= from-bound.WindowMs && e.at < from:
					before++
				}
			}
			if limit := bound.Ratio*max(requests, before) + bound.Slack; retries > limit {
				t.Fatalf("%v retries from %d ms on, %v allowed", retries, from, limit)
			}
		}
	})
}
