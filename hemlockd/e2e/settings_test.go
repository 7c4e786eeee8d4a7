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

// inForceBound is the users' bound for an accepted change.
const inForceBound = 4 * time.Second

// An accepted change is in force everywhere within 4 s and never reverts, with
// operators racing, answers lost, a data centre cut off from the platform, and
// daemons killed and started throughout; the audit trail matches.
// HEMLOCK_BREAK=noSpread keeps daemons from telling each other.
func TestSettingsSpreadAndNeverRevert(t *testing.T) {
	opts := options{dataCentres: []string{"brandon-a", "regina-a", "red-deer-a"}, daemons: 2, services: 1}
	if broken("noSpread") {
		opts.daemon = "pollMs = 3600000"
	}
	d := deploy(t, opts)
	everywhere := func(version int64, daemons []*daemon) {
		d.eventually(fmt.Sprintf("version %d is in force everywhere", version), inForceBound, func() bool {
			for _, m := range daemons {
				if m.version() < version {
					return false
				}
			}
			return true
		})
	}
	team := func(rate int) settings.NodeChange {
		return settings.NodeChange{Path: "teams/quotes", After: d.teamFile() + fmt.Sprintf("# rate %d\n", rate)}
	}
	stop := make(chan struct{})
	var watch sync.WaitGroup
	defer watch.Wait()
	defer close(stop)
	for _, m := range d.daemons[1:] {
		watch.Go(func() { neverReverts(t, m, stop) })
	}
	version := int64(1)
	Convey("one change after the other", t, func() {
		for i := range 3 {
			version = d.apply(version, team(i))
			everywhere(version, d.daemons)
		}
	})
	Convey("two operators at once: one wins, the other is shown what changed", t, func() {
		var all sync.WaitGroup
		status := make([]int, 2)
		refusals := make([]operatorapi.Refusal, 2)
		for i := range 2 {
			all.Go(func() {
				change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: version, Nodes: []settings.NodeChange{team(100 + i)}}
				status[i], _ = d.daemons[2*i].operator(http.MethodPost, "/v1/settings", change, &refusals[i])
			})
		}
		all.Wait()
		So(status[0]+status[1], ShouldEqual, http.StatusOK+http.StatusConflict)
		for i := range 2 {
			if status[i] == http.StatusConflict {
				So(refusals[i].Code, ShouldEqual, operatorapi.CodeConflict)
				So(len(refusals[i].Conflicting), ShouldEqual, 1)
				So(refusals[i].Conflicting[0].Changes[0].After, ShouldContainSubstring, "# rate 10")
			}
		}
		version++
		everywhere(version, d.daemons)
	})
	Convey("the answer to the write is lost: it is settled truthfully", t, func() {
		d.fault("table", "loseAnswer", map[string]any{"count": 2, "match": "/txn"})
		version = d.apply(version, team(200))
		d.heal()
		everywhere(version, d.daemons)
	})
	Convey("bad settings are refused with the line and a suggestion, and change nothing", t, func() {
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
	Convey("a data centre is cut off from the others, and meets them again", t, func() {
		d.cuts.isolate("regina-a", opts.dataCentres, true)
		time.Sleep(time.Second)
		version = d.apply(version, team(300))
		everywhere(version, d.daemons) // it still reaches the platform
		d.cuts.isolate("regina-a", opts.dataCentres, false)
		d.waitFormed()
	})
	Convey("daemons are killed and started while settings change", t, func() {
		for i, m := range []*daemon{d.daemons[0], d.daemons[3], d.daemons[4]} {
			m.kill()
			survivor := d.daemons[5]
			change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: version, Nodes: []settings.NodeChange{team(400 + i)}}
			var out operatorapi.ApplyResponse
			status, err := survivor.operator(http.MethodPost, "/v1/settings", change, &out)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			version = out.Version
			m.start()
			m.waitReady()
			everywhere(version, d.daemons)
		}
	})
	Convey("a fresh daemon learns the settings from its peers while the platform is down", t, func() {
		d.fault("table", "down", nil)
		m := d.daemons[1]
		m.kill()
		m.start()
		m.waitReady()
		So(m.version(), ShouldEqual, version)
		d.heal()
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

// neverReverts fails the test if a daemon's version goes down. A daemon that
// was started anew begins without settings.
func neverReverts(t *testing.T, m *daemon, stop <-chan struct{}) {
	last, started := int64(0), ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		process := fmt.Sprint(m.metric("daemon", "startedMs"))
		version := int64(m.metric("daemon", "settingsVersion"))
		if process != started || process == "0" || version == 0 {
			last, started = 0, process
			continue
		}
		if version < last {
			t.Errorf("%s went from version %d to %d", m.name, last, version)
		}
		last = version
	}
}
