package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/settings"
)

// propagationBound is the time within which the users require an accepted change to
// be in force at every daemon.
const propagationBound = 4 * time.Second

// An accepted change is in force everywhere within 4 s and never reverts, with
// concurrent changes by operators, lost responses of the table, a data centre
// partitioned from the others, and daemons killed and restarted. The audit trail
// holds every version once.
// HEMLOCK_BREAK=noSpread sets the polling interval of settings to one hour.
func TestSettingsSpreadAndNeverRevert(t *testing.T) {
	opts := options{dataCentres: []string{"brandon-a", "regina-a", "red-deer-a"}, daemons: 2, services: 1}
	if mechanismDisabled("noSpread") {
		opts.daemon = "pollMs = 3600000"
	}
	d := deploy(t, opts)
	waitInForce := func(version int64, daemons []*daemon) {
		d.eventually(fmt.Sprintf("version %d is in force everywhere", version), propagationBound, func() bool {
			for _, m := range daemons {
				if m.settingsVersion() < version {
					return false
				}
			}
			return true
		})
	}
	teamChange := func(rate int) settings.NodeChange {
		return settings.NodeChange{Path: "teams/quotes", After: d.teamFileText() + fmt.Sprintf("# rate %d\n", rate)}
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer close(stop)
	for _, m := range d.daemons[1:] {
		watchers.Go(func() { expectVersionNeverDecreases(t, m, stop) })
	}
	version := int64(1)
	Convey("successive changes", t, func() {
		for i := range 3 {
			version = d.applySettings(version, teamChange(i))
			waitInForce(version, d.daemons)
		}
	})
	Convey("two concurrent operators: one succeeds, the other gets a conflict with the other's change", t, func() {
		var wg sync.WaitGroup
		status := make([]int, 2)
		refusals := make([]operatorapi.Refusal, 2)
		for i := range 2 {
			wg.Go(func() {
				change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: version, Nodes: []settings.NodeChange{teamChange(100 + i)}}
				status[i], _ = d.daemons[2*i].operator(http.MethodPost, "/v1/settings", change, &refusals[i])
			})
		}
		wg.Wait()
		So(status[0]+status[1], ShouldEqual, http.StatusOK+http.StatusConflict)
		for i := range 2 {
			if status[i] == http.StatusConflict {
				So(refusals[i].Code, ShouldEqual, operatorapi.CodeConflict)
				So(len(refusals[i].Conflicting), ShouldEqual, 1)
				So(refusals[i].Conflicting[0].Changes[0].After, ShouldContainSubstring, "# rate 10")
			}
		}
		version++
		waitInForce(version, d.daemons)
	})
	Convey("the response to the write is lost: the daemon determines the true outcome", t, func() {
		d.injectFault("table", "loseAnswer", map[string]any{"count": 2, "match": "/txn"})
		version = d.applySettings(version, teamChange(200))
		d.clearFaults()
		waitInForce(version, d.daemons)
	})
	Convey("invalid settings are refused with the line and a suggestion, and change nothing", t, func() {
		change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: version, Nodes: []settings.NodeChange{
			{Path: "teams/quotes", After: "priorty = 3\n"},
		}}
		var refusal operatorapi.Refusal
		status, err := d.daemons[0].operator(http.MethodPost, "/v1/settings", change, &refusal)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusUnprocessableEntity)
		So(refusal.Findings[0].Line, ShouldEqual, 1)
		So(refusal.Findings[0].Suggestion, ShouldEqual, "priority")
	})
	Convey("a data centre is partitioned from the others and rejoins", t, func() {
		d.partitions.isolate("regina-a", opts.dataCentres, true)
		time.Sleep(time.Second)
		version = d.applySettings(version, teamChange(300))
		waitInForce(version, d.daemons) // regina-a still reaches the platform
		d.partitions.isolate("regina-a", opts.dataCentres, false)
		d.waitConverged()
	})
	Convey("daemons are killed and restarted while settings change", t, func() {
		for i, m := range []*daemon{d.daemons[0], d.daemons[3], d.daemons[4]} {
			m.kill()
			survivor := d.daemons[5]
			change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: version, Nodes: []settings.NodeChange{teamChange(400 + i)}}
			var out operatorapi.ApplyResponse
			status, err := survivor.operator(http.MethodPost, "/v1/settings", change, &out)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			version = out.Version
			m.start()
			m.waitReady()
			waitInForce(version, d.daemons)
		}
	})
	Convey("a restarted daemon gets the settings from its peers while the table is down", t, func() {
		d.injectFault("table", "down", nil)
		m := d.daemons[1]
		m.kill()
		d.eventually(m.name+" has been killed", 5*time.Second, m.exited) // else its port may still be bound
		m.start()
		m.waitReady()
		So(m.settingsVersion(), ShouldEqual, version)
		d.clearFaults()
	})
	Convey("the audit trail holds each version once, in order", t, func() {
		var rows []settings.AuditRow
		_, err := d.daemons[3].operator(http.MethodGet, "/v1/settings/history", nil, &rows)
		So(err, ShouldBeNil)
		So(len(rows), ShouldEqual, int(version))
		for i, row := range rows {
			So(row.Version, ShouldEqual, int64(i+1))
			So(row.PreviousVersion, ShouldEqual, int64(i))
			So(row.Operator, ShouldNotBeBlank)
		}
	})
}

// expectVersionNeverDecreases fails the test if a daemon's settings version
// decreases. A restarted daemon begins without settings, so a change of its start
// time resets the check.
func expectVersionNeverDecreases(t *testing.T, m *daemon, stop <-chan struct{}) {
	lastVersion, lastInstance := int64(0), ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		instance := fmt.Sprint(m.metric("daemon", "startedMs"))
		version := int64(m.metric("daemon", "settingsVersion"))
		if instance != lastInstance || instance == "0" || version == 0 {
			lastVersion, lastInstance = 0, instance
			continue
		}
		if version < lastVersion {
			t.Errorf("settings version of %s decreased from %d to %d", m.name, lastVersion, version)
		}
		lastVersion = version
	}
}
