package e2e

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
)

// Every request has one verdict, which is correct and available after the daemon
// that recorded it has died, also while the object store is unavailable.
// HEMLOCK_BREAK=noPeers sets the probe interval to one hour, which leaves the daemon
// without a peer to hold copies.
func TestVerdictOutlivesItsDaemon(t *testing.T) {
	opts := options{daemons: 3}
	if mechanismDisabled("noPeers") {
		opts.probeMs, opts.unconverged = 3_600_000, true
	}
	d := deploy(t, opts)
	survivor := d.daemons[2]
	Convey("a daemon refuses a request and is killed, while the object store is down", t, func() {
		d.injectFault("objects", "down", nil)
		refused := d.daemons[0].call(http.MethodPost, "/services/order-desk/placements", `{}`)
		ran := d.daemons[0].complete("a pole of ash", 3)
		d.daemons[0].kill()
		So(refused.problem.Ran, ShouldEqual, problem.RanNo)
		So(ran.status, ShouldEqual, http.StatusOK)
		v, ok := survivor.verdict(refused.id())
		So(ok, ShouldBeTrue)
		So(v.Source, ShouldEqual, "copy")
		So(v.Verdict.Outcome, ShouldEqual, verdict.OutcomeRefused)
		So(v.Verdict.Reason, ShouldEqual, refused.problem.Reason)
		So(v.Verdict.Ran, ShouldEqual, problem.RanNo)
		v, ok = survivor.verdict(ran.id())
		So(ok, ShouldBeTrue)
		So(v.Verdict.Ran, ShouldEqual, problem.RanYes)
		So(verdict.Verify([]byte(daemonKey), verdict.Verdict{
			RequestID: refused.id(), Team: "quotes", Outcome: verdict.OutcomeRefused, Ran: refused.problem.Ran,
			Reason: refused.problem.Reason, Status: refused.status, Daemon: d.daemons[0].name,
		}, refused.problem.Receipt), ShouldBeTrue)
		Convey("after the object store recovers, the verdict is read from it by replaced daemons", func() {
			d.eventually("the daemon's death is detected", 5*time.Second, func() bool {
				return survivor.metric("verdicts", "rescued")+d.daemons[1].metric("verdicts", "rescued") > 0
			})
			d.clearFaults()
			d.eventually("the copies are stored", 10*time.Second, func() bool {
				return survivor.metric("verdicts", "uploads")+d.daemons[1].metric("verdicts", "uploads") > 0
			})
			time.Sleep(1500 * time.Millisecond) // one more upload interval, for the remaining verdicts
			for _, m := range d.daemons[1:] {
				m.kill()
			}
			for _, m := range d.daemons {
				m.start()
				m.waitReady()
			}
			v, ok := d.daemons[0].verdict(refused.id())
			So(ok, ShouldBeTrue)
			So(v.Source, ShouldEqual, "store")
			So(v.Verdict.Ran, ShouldEqual, problem.RanNo)
		})
	})
	Convey("the outcome of a request in flight at a killed daemon is unknown", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		done := make(chan response, 1)
		go func() {
			done <- d.daemons[0].callAs(ctx, teamKey, http.MethodPost, "/v1/completions", completionBody("long", 900, true))
		}()
		d.eventually("the daemon has opened the request", 5*time.Second, func() bool { return d.daemons[0].metric("daemon", "openRequests") == 1 })
		time.Sleep(600 * time.Millisecond)
		d.daemons[0].kill()
		a := <-done
		So(a.id(), ShouldNotBeBlank)
		d.eventually("the verdict gives the outcome as unknown", 5*time.Second, func() bool {
			v, ok := survivor.verdict(a.id())
			return ok && v.Verdict.Outcome == verdict.OutcomeUnknown && v.Verdict.Reason == problem.DaemonLost && v.Verdict.Ran == problem.RanUnknown
		})
	})
}
