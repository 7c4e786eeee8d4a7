package app

import (
	"testing"

	"hemlockmux.example/common/clock"
)

// The fleet of the users' largest deployment, and the time within which a configuration must be
// in force there.
const (
	largeFleet       = 82
	largeConfigLimit = 4 * clock.Second
	// largestRoutes is the number of routes of the largest configuration that was seen.
	largestRoutes = 4249
)

func narrowLinks(int) float64 { return 10 }

// wideAndNarrowLinks gives two daemons of each data centre a wide link.
func wideAndNarrowLinks(number int) float64 {
	if number <= 2 {
		return 200
	}
	return 10
}

// TestLargeChangesAreInForceInTimeAtAllDaemons guards against a configuration whose bytes take
// longer to spread than a change may: requests were handled by an older one 7 s after the
// store had acknowledged it.
func TestLargeChangesAreInForceInTimeAtAllDaemons(t *testing.T) {
	for _, test := range []struct {
		name string
		mbps func(number int) float64
	}{
		{"two wide links in each data centre", wideAndNarrowLinks},
		{"narrow links", narrowLinks},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, largeFleet, test.mbps, func(t *testing.T, f *fleet) {
				for _, change := range []struct {
					version int64
					routes  int
				}{{6, 1400}, {9, 1400}, {11, 2800}, {15, 2800}, {19, largestRoutes}, {22, largestRoutes}} {
					f.expectInForceInTime(t, change.version, change.routes)
				}
			})
		})
	}
}

// expectInForceInTime changes the configuration and fails the test if a daemon does not have it
// in force in time.
func (f *fleet) expectInForceInTime(t *testing.T, version int64, routes int) {
	t.Helper()
	f.store.set(largeConfig(version, routes))
	took, lacking := f.timeUntilInForce(version, 10*clock.Second)
	t.Logf("version %d, %d routes: in force after %d ms", version, routes, took)
	if took > largeConfigLimit {
		t.Errorf("version %d, %d routes: in force after %d ms, want at most %d; %d daemons lack it", version, routes, took, largeConfigLimit, lacking)
	}
}

// TestLargeChangesAreInForceInTimeBesideOtherTrouble guards the sum of the hops of a large
// change while another hop fails as well.
func TestLargeChangesAreInForceInTimeBesideOtherTrouble(t *testing.T) {
	for _, test := range []struct {
		name    string
		mbps    func(number int) float64
		trouble func(f *fleet)
	}{
		{"one daemon with a narrow link reaches the store", narrowLinks, func(f *fleet) {
			for _, d := range f.daemons[1:] {
				d.storeCut.Store(true)
			}
		}},
		{"a fifth of the daemons is silent when called", wideAndNarrowLinks, func(f *fleet) {
			for i, d := range f.daemons {
				d.silent.Store(i%5 == 0)
			}
		}},
		{"a fifth of the daemons is silent when called, narrow links", narrowLinks, func(f *fleet) {
			for i, d := range f.daemons {
				d.silent.Store(i%5 == 0)
			}
		}},
		{"a third of the datagrams is lost", wideAndNarrowLinks, func(f *fleet) { f.lossPercent.Store(33) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, largeFleet, test.mbps, func(t *testing.T, f *fleet) {
				test.trouble(f)
				f.expectInForceInTime(t, 6, largestRoutes)
				f.pass(2 * clock.Second)
				f.expectInForceInTime(t, 9, largestRoutes)
			})
		})
	}
}
