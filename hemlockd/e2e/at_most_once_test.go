package e2e

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/problem"
)

// broken tells whether a test is to run with its mechanism broken, to show that
// it notices: HEMLOCK_BREAK holds the name of the switch.
func broken(name string) bool { return os.Getenv("HEMLOCK_BREAK") == name }

// A placement runs at most once, whatever dies, freezes or answers late.
// HEMLOCK_BREAK=blindTable makes the table ignore conditions.
func TestPlacementRunsAtMostOnce(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a", "regina-a", "red-deer-a"}, daemons: 2})
	if broken("blindTable") {
		d.adminCall(http.MethodPost, "/blind")
	}
	Convey("the same key at the same moment through every daemon", t, func() {
		for round := range 5 {
			key, body := fmt.Sprintf("race-%d", round), `{"item":"ash"}`
			answers := make([]answer, len(d.daemons))
			var all sync.WaitGroup
			for i, m := range d.daemons {
				all.Go(func() { answers[i] = m.place(key, body) })
			}
			all.Wait()
			So(d.runs()[key], ShouldEqual, 1)
			for _, a := range answers {
				So(a.err, ShouldBeNil)
				So(a.status, ShouldEqual, http.StatusCreated)
				So(a.body, ShouldEqual, answers[0].body)
			}
		}
	})
	Convey("the same key with another body is refused", t, func() {
		a := d.daemons[3].place("race-0", `{"item":"elm"}`)
		So(a.status, ShouldEqual, http.StatusUnprocessableEntity)
		So(a.problem.Reason, ShouldEqual, problem.IdempotencyKeyReused)
		So(a.problem.Ran, ShouldEqual, problem.RanNo)
	})
	Convey("the table's write takes effect and its answer is lost", t, func() {
		d.fault("table", "loseAnswer", map[string]any{"count": 1, "match": "/txn"})
		a := d.daemons[0].place("lost-answer", `{"item":"ash"}`)
		So(a.status, ShouldEqual, http.StatusCreated)
		So(d.daemons[4].place("lost-answer", `{"item":"ash"}`).body, ShouldEqual, a.body)
		So(d.runs()["lost-answer"], ShouldEqual, 1)
	})
	Convey("the table is down: refused at once as not run, and run when it is back", t, func() {
		d.fault("table", "down", nil)
		a := d.daemons[1].place("table-down", `{"item":"ash"}`)
		So(a.status, ShouldEqual, http.StatusServiceUnavailable)
		So(a.problem.Ran, ShouldEqual, problem.RanNo)
		So(a.header.Get("Retry-After"), ShouldNotBeBlank)
		So(a.took, ShouldBeLessThan, 4*time.Second)
		So(d.ran(a.id()), ShouldBeFalse)
		So(d.daemons[1].call(http.MethodGet, "/services/order-desk/stock/ash", "").status, ShouldEqual, http.StatusOK)
		d.heal()
		d.eventually("the placement runs", 5*time.Second, func() bool {
			return d.daemons[2].place("table-down", `{"item":"ash"}`).status == http.StatusCreated
		})
		So(d.runs()["table-down"], ShouldEqual, 1)
	})
	Convey("the daemon dies while the service runs: a repeat is told that it is not known", t, func() {
		d.fault("brandon-a-service-1", "slow", map[string]any{"delayMs": 1500, "count": 1, "match": "/placements"})
		won := d.daemons[0].metric("placements", "claimsWon")
		go d.daemons[0].place("daemon-dies", `{"item":"ash"}`)
		d.eventually("the call is under way", 5*time.Second, func() bool {
			return d.daemons[0].metric("placements", "claimsWon") > won
		})
		d.daemons[0].kill()
		a := d.daemons[2].place("daemon-dies", `{"item":"ash"}`)
		So(a.problem.Reason, ShouldEqual, problem.OutcomeUnknown)
		So(a.problem.Ran, ShouldEqual, problem.RanUnknown)
		time.Sleep(1500 * time.Millisecond)
		So(d.runs()["daemon-dies"], ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("the daemon freezes while the service runs and wakes later", t, func() {
		d.fault("regina-a-service-1", "slow", map[string]any{"delayMs": 500, "count": 1, "match": "/placements"})
		won := d.daemons[2].metric("placements", "claimsWon")
		first := make(chan answer, 1)
		go func() { first <- d.daemons[2].place("daemon-freezes", `{"item":"ash"}`) }()
		d.eventually("the call is under way", 5*time.Second, func() bool {
			return d.daemons[2].metric("placements", "claimsWon") > won
		})
		d.daemons[2].freeze()
		a := d.daemons[4].place("daemon-freezes", `{"item":"ash"}`)
		So(a.problem.Ran, ShouldEqual, problem.RanUnknown)
		d.daemons[2].thaw()
		// It may have woken after its own timeout: then it can't say.
		woken := <-first
		So(woken.status == http.StatusCreated || woken.problem.Ran == problem.RanUnknown, ShouldBeTrue)
		d.eventually("the late answer is recorded and replayed", 3*time.Second, func() bool {
			again := d.daemons[4].place("daemon-freezes", `{"item":"ash"}`)
			return again.status == http.StatusCreated && again.header.Get("Idempotency-Replayed") == "true"
		})
		So(d.runs()["daemon-freezes"], ShouldEqual, 1)
	})
	Convey("the service runs it and its answer never comes", t, func() {
		d.fault("red-deer-a-service-1", "loseAnswer", map[string]any{"count": 1, "match": "/placements"})
		a := d.daemons[4].place("silent-service", `{"item":"ash"}`)
		So(a.problem.Reason, ShouldEqual, problem.OutcomeUnknown)
		So(a.problem.Ran, ShouldEqual, problem.RanUnknown)
		b := d.daemons[5].place("silent-service", `{"item":"ash"}`)
		So(b.problem.Ran, ShouldEqual, problem.RanUnknown)
		So(d.runs()["silent-service"], ShouldEqual, 1)
	})
}
