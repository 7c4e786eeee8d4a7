package upstreamlimits

import (
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/membership"
)

// TestLimitIsKeptWhileTheGranterShutsDown guards against two daemons that grant shares of one limit: the one that shuts
// down and, since the others leave it out, its successor.
func TestLimitIsKeptWhileTheGranterShutsDown(t *testing.T) {
	for _, n := range []int{2, 4, 8} {
		f := newFleet(1, n, 7.3, 40)
		var names []string
		for _, d := range f.daemons {
			names = append(names, d.name)
		}
		f.run(6 * clock.Second)
		from := f.now
		for _, d := range f.daemons {
			if d.name == membership.Owner(upstreamID, names) {
				d.leaving = true
				d.limits.Leave()
			}
		}
		f.run(8 * clock.Second)
		if most := f.most(from); float64(most) > allowed(7.3) {
			t.Errorf("%d daemons: %d calls in 4 s, at most %.0f are allowed", n, most, allowed(7.3))
		}
		t.Logf("%d daemons: at most %d calls in 4 s (%.0f allowed), %d in 8 s", n, f.most(from), allowed(7.3), f.total(from))
	}
}
