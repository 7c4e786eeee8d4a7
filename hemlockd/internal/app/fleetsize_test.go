package app

import (
	"fmt"
	"testing"

	"hemlockmux.example/common/clock"
)

// TestALargeFleetAsksTheStoreSparingly starts all daemons at once and counts their calls to the store: each
// reads what it needs once, and then only some follow it.
func TestALargeFleetAsksTheStoreSparingly(t *testing.T) {
	const topics, span = 3, 8
	for _, daemons := range []int{82, 295} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			wide := func(int) float64 { return 200 }
			runFleet(t, daemons, wide, func(t *testing.T, f *fleet) {
				start := f.store.calls.Load()
				f.pass(span * clock.Second)
				atRest := f.store.calls.Load() - start
				t.Logf("%d calls in the first %d s, %d in the next", start, span, atRest)
				if most := int64(daemons*(topics+1) + 6*span*fleetDataCentres*2); start > most {
					t.Errorf("%d calls at the start, want %d at most", start, most)
				}
				if most := int64(6 * span * fleetDataCentres * 2); atRest > most {
					t.Errorf("%d calls at rest, want %d at most", atRest, most)
				}
			})
		})
	}
}
