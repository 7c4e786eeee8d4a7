package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// TestSettingsOutliveARestoreOfThePlatformsTable guards against settings that are lost or ignored when the
// table comes back from an older copy: a change that was in force, and one that an operator makes after the
// restore at a version that was given out before.
func TestSettingsOutliveARestoreOfThePlatformsTable(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a", "regina-a"}, daemons: 2, services: 1})
	write := func(version int64, path string, rate int) int64 {
		return d.applySettings(version, settings.NodeChange{Path: path, After: d.teamFileText() + fmt.Sprintf("# rate %d\n", rate)})
	}
	waitInForce := func(version int64) {
		d.eventually(fmt.Sprintf("version %d is in force everywhere", version), propagationBound, func() bool {
			for _, m := range d.daemons {
				if m.settingsVersion() < version {
					return false
				}
			}
			return true
		})
	}
	d.adminCall(http.MethodPost, "/table/copy")
	lost := write(write(1, "teams/quotes", 1), "teams/quotes", 2)
	waitInForce(lost)
	d.adminCall(http.MethodPost, "/table/restore")
	d.eventually("the lost changes are in the table again", propagationBound, func() bool {
		return d.daemons[0].settingsVersion() > lost && d.daemons[3].settingsVersion() > lost
	})
	waitInForce(write(d.daemons[0].settingsVersion(), "teams/quotes", 3))
}

// TestPlacementRunsOnceAcrossARestoreOfTheTable guards against a placement that runs again: the table had
// acknowledged its record and came back from an older copy without it.
func TestPlacementRunsOnceAcrossARestoreOfTheTable(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a"}, daemons: 2})
	d.adminCall(http.MethodPost, "/table/copy")
	if a := d.daemons[0].createPlacement("lost", `{"item":"ash"}`); a.status != http.StatusCreated {
		t.Fatalf("status %d", a.status)
	}
	d.adminCall(http.MethodPost, "/table/restore")
	for i := range 4 {
		if a := d.daemons[i%2].createPlacement("lost", `{"item":"ash"}`); a.status == http.StatusServiceUnavailable && a.problem.Ran != problem.RanNo {
			t.Errorf("refused without saying that it was not run: %+v", a.problem)
		}
	}
	d.eventually("the recorded answer is replayed", 10*time.Second, func() bool {
		return d.daemons[1].createPlacement("lost", `{"item":"ash"}`).status == http.StatusCreated
	})
	if runs := d.runsByKey()["lost"]; runs != 1 {
		t.Errorf("the placement ran %d times, want once", runs)
	}
}
