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

// mechanismDisabled reports whether HEMLOCK_BREAK names this switch. The test then
// disables the mechanism that it covers and must fail, which shows that it detects
// the loss of the mechanism.
func mechanismDisabled(name string) bool { return os.Getenv("HEMLOCK_BREAK") == name }

// A placement runs at most once when daemons are killed or paused, and when the
// table or a service loses a response or responds late.
// HEMLOCK_BREAK=blindTable makes the table ignore the conditions of transactions.
func TestPlacementRunsAtMostOnce(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a", "regina-a", "red-deer-a"}, daemons: 2})
	if mechanismDisabled("blindTable") {
		d.adminCall(http.MethodPost, "/blind")
	}
	Convey("the same key sent concurrently through every daemon", t, func() {
		for round := range 5 {
			key, body := fmt.Sprintf("race-%d", round), `{"item":"ash"}`
			answers := make([]response, len(d.daemons))
			var wg sync.WaitGroup
			for i, m := range d.daemons {
				wg.Go(func() { answers[i] = m.createPlacement(key, body) })
			}
			wg.Wait()
			So(d.runsByKey()[key], ShouldEqual, 1)
			for _, a := range answers {
				So(a.err, ShouldBeNil)
				So(a.status, ShouldEqual, http.StatusCreated)
				So(a.body, ShouldEqual, answers[0].body)
			}
		}
	})
	Convey("the same key with a different body is refused", t, func() {
		a := d.daemons[3].createPlacement("race-0", `{"item":"elm"}`)
		So(a.status, ShouldEqual, http.StatusUnprocessableEntity)
		So(a.problem.Reason, ShouldEqual, problem.IdempotencyKeyReused)
		So(a.problem.Ran, ShouldEqual, problem.RanNo)
	})
	Convey("the table applies the write and its response is lost", t, func() {
		d.injectFault("table", "loseAnswer", map[string]any{"count": 1, "match": "/txn"})
		a := d.daemons[0].createPlacement("lost-answer", `{"item":"ash"}`)
		So(a.status, ShouldEqual, http.StatusCreated)
		So(d.daemons[4].createPlacement("lost-answer", `{"item":"ash"}`).body, ShouldEqual, a.body)
		So(d.runsByKey()["lost-answer"], ShouldEqual, 1)
	})
	Convey("the table is down: placements are refused promptly as not run, and run after recovery", t, func() {
		d.injectFault("table", "down", nil)
		a := d.daemons[1].createPlacement("table-down", `{"item":"ash"}`)
		So(a.status, ShouldEqual, http.StatusServiceUnavailable)
		So(a.problem.Ran, ShouldEqual, problem.RanNo)
		So(a.header.Get("Retry-After"), ShouldNotBeBlank)
		So(a.elapsed, ShouldBeLessThan, 4*time.Second)
		So(d.ran(a.id()), ShouldBeFalse)
		So(d.daemons[1].call(http.MethodGet, "/services/order-desk/stock/ash", "").status, ShouldEqual, http.StatusOK)
		d.clearFaults()
		d.eventually("the placement runs", 5*time.Second, func() bool {
			return d.daemons[2].createPlacement("table-down", `{"item":"ash"}`).status == http.StatusCreated
		})
		So(d.runsByKey()["table-down"], ShouldEqual, 1)
	})
	Convey("the daemon is killed while the service runs: a retry reports the outcome as unknown", t, func() {
		d.injectFault("brandon-a-service-1", "slow", map[string]any{"delayMs": 1500, "count": 1, "match": "/placements"})
		claimsBefore := d.daemons[0].metric("placements", "claimsWon")
		go d.daemons[0].createPlacement("daemon-dies", `{"item":"ash"}`)
		d.eventually("the daemon has claimed the placement", 5*time.Second, func() bool {
			return d.daemons[0].metric("placements", "claimsWon") > claimsBefore
		})
		d.daemons[0].kill()
		a := d.daemons[2].createPlacement("daemon-dies", `{"item":"ash"}`)
		So(a.problem.Reason, ShouldEqual, problem.OutcomeUnknown)
		So(a.problem.Ran, ShouldEqual, problem.RanUnknown)
		time.Sleep(1500 * time.Millisecond)
		So(d.runsByKey()["daemon-dies"], ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("the daemon is paused while the service runs and resumed later", t, func() {
		d.injectFault("regina-a-service-1", "slow", map[string]any{"delayMs": 500, "count": 1, "match": "/placements"})
		claimsBefore := d.daemons[2].metric("placements", "claimsWon")
		first := make(chan response, 1)
		go func() { first <- d.daemons[2].createPlacement("daemon-freezes", `{"item":"ash"}`) }()
		d.eventually("the daemon has claimed the placement", 5*time.Second, func() bool {
			return d.daemons[2].metric("placements", "claimsWon") > claimsBefore
		})
		d.daemons[2].pause()
		a := d.daemons[4].createPlacement("daemon-freezes", `{"item":"ash"}`)
		So(a.problem.Ran, ShouldEqual, problem.RanUnknown)
		d.daemons[2].resume()
		// If the daemon resumes after its own time-out, it reports the outcome as unknown.
		late := <-first
		So(late.status == http.StatusCreated || late.problem.Ran == problem.RanUnknown, ShouldBeTrue)
		d.eventually("the late response is recorded and replayed", 3*time.Second, func() bool {
			again := d.daemons[4].createPlacement("daemon-freezes", `{"item":"ash"}`)
			return again.status == http.StatusCreated && again.header.Get("Idempotency-Replayed") == "true"
		})
		So(d.runsByKey()["daemon-freezes"], ShouldEqual, 1)
	})
	Convey("the service runs the placement and its response is lost", t, func() {
		d.injectFault("red-deer-a-service-1", "loseAnswer", map[string]any{"count": 1, "match": "/placements"})
		a := d.daemons[4].createPlacement("silent-service", `{"item":"ash"}`)
		So(a.problem.Reason, ShouldEqual, problem.OutcomeUnknown)
		So(a.problem.Ran, ShouldEqual, problem.RanUnknown)
		b := d.daemons[5].createPlacement("silent-service", `{"item":"ash"}`)
		So(b.problem.Ran, ShouldEqual, problem.RanUnknown)
		So(d.runsByKey()["silent-service"], ShouldEqual, 1)
	})
}
