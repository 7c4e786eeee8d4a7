package app

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// TestLargeChangesAreInForceInTimeAtAllDaemons guards against a configuration whose bytes take
// longer to spread than a change may: requests were handled by an older one 7 s after the
// store had acknowledged it.
func TestLargeChangesAreInForceInTimeAtAllDaemons(t *testing.T) {
	const daemons, configLimit = 82, 4 * clock.Second
	for _, test := range []struct {
		name string
		mbps func(number int) float64
	}{
		{"two wide links in each data centre", func(number int) float64 {
			if number <= 2 {
				return 200
			}
			return 10
		}},
		{"narrow links", func(int) float64 { return 10 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, daemons, test.mbps, func(t *testing.T, f *fleet) {
				for _, change := range []struct {
					version int64
					routes  int
				}{{6, 1400}, {9, 1400}, {11, 2800}, {15, 2800}, {19, 4249}, {22, 4249}} {
					f.store.set(largeConfig(change.version, change.routes))
					took, lacking := f.timeUntilInForce(change.version, 10*clock.Second)
					t.Logf("version %d, %d routes: in force after %d ms", change.version, change.routes, took)
					if took > configLimit {
						t.Errorf("version %d, %d routes: in force after %d ms, want at most %d; %d daemons lack it", change.version, change.routes, took, configLimit, lacking)
					}
				}
			})
		})
	}
}
