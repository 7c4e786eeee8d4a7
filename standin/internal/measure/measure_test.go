package measure

import (
	"testing"

	"hemlockmux.example/common/admission"
)

// seeds is the number of runs of each workload and load. Several are needed because
// the standard deviation of wasted prefill between seeds is near half its mean.
const seeds = 8

// TestBoundsHold checks the users' bounds for the variant that the daemon uses: goodput
// at 140 % of capacity is at least 95 % of the best goodput at any lower load, wasted
// prefill is at most 1 % without faults and 3 % with them, and 95 % of the admitted
// requests meet both targets. It also checks that the policy weights have the intended
// effect: with the same load and faults, Poleworks' weights waste less prefill and
// Lämpöterassi's yield more goodput.
func TestBoundsHold(t *testing.T) {
	goodput, waste := map[string]float64{}, map[string]float64{}
	for _, workload := range []string{"letter", "poleworks", "lampoterassi"} {
		rows := Compare(Workloads()[workload], []Variant{{Name: "product", Options: admission.DefaultOptions()}}, seeds)
		checkBounds(t, workload, rows)
		for _, row := range rows {
			if row.Faults {
				goodput[workload] += row.MeanGoodput()
				waste[workload] += row.MeanWaste()
			}
		}
	}
	if waste["poleworks"] >= waste["lampoterassi"] || goodput["poleworks"] >= goodput["lampoterassi"] {
		t.Errorf("the weights do not have the intended effect: goodput %v, waste %v", goodput, waste)
	}
}

func checkBounds(t *testing.T, workload string, rows []Row) {
	best := 0.0
	for _, row := range rows {
		if !row.Faults && row.Load < 1.4 {
			best = max(best, row.MeanGoodput())
		}
		if !row.Faults && row.Load == 1.4 && row.MeanGoodput() < 0.95*best {
			t.Errorf("%s: goodput %.2f at 140 %% of capacity, %.2f at a lower load", workload, row.MeanGoodput(), best)
		}
		limit := 0.01
		if row.Faults {
			limit = 0.03
		}
		if row.MeanWaste() > limit {
			t.Errorf("%s at %.1f, faults %t: %.2f %% of prefill wasted", workload, row.Load, row.Faults, 100*row.MeanWaste())
		}
		if row.MetTargets() < 0.95 {
			t.Errorf("%s at %.1f, faults %t: %.1f %% of admitted requests met both targets", workload, row.Load, row.Faults, 100*row.MetTargets())
		}
	}
}
