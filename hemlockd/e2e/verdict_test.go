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

// Every request has one verdict, which is true and outlives the daemon that
// gave it, also while the object store is away.
// HEMLOCK_BREAK=noPeers leaves the daemon without a peer to hold copies.
func TestVerdictOutlivesItsDaemon(t *testing.T) {
	opts := options{daemons: 3}
	if broken("noPeers") {
		opts.daemon = "probeMs = 3600000"
	}
	d := deploy(t, opts)
	last := d.daemons[2]
	Convey("a refusal by a daemon that is killed right after it, with the store away", t, func() {
		d.fault("objects", "down", nil)
		refused := d.daemons[0].call(http.MethodPost, "/services/order-desk/placements", `{}`)
		ran := d.daemons[0].complete("a pole of ash", 3)
		d.daemons[0].kill()
		So(refused.problem.Ran, ShouldEqual, problem.RanNo)
		So(ran.status, ShouldEqual, http.StatusOK)
		v, ok := last.verdict(refused.id())
		So(ok, ShouldBeTrue)
		So(v.Source, ShouldEqual, "copy")
		So(v.Verdict.Outcome, ShouldEqual, verdict.OutcomeRefused)
		So(v.Verdict.Reason, ShouldEqual, refused.problem.Reason)
		So(v.Verdict.Ran, ShouldEqual, problem.RanNo)
		v, ok = last.verdict(ran.id())
		So(ok, ShouldBeTrue)
		So(v.Verdict.Ran, ShouldEqual, problem.RanYes)
		So(verdict.Verify([]byte(daemonKey), verdict.Verdict{
			RequestID: refused.id(), Team: "quotes", Outcome: verdict.OutcomeRefused, Ran: refused.problem.Ran,
			Reason: refused.problem.Reason, Status: refused.status, Daemon: d.daemons[0].name,
		}, refused.problem.Receipt), ShouldBeTrue)
		Convey("and when the store is back, from the store, with every daemon replaced", func() {
			d.eventually("the death is noticed", 5*time.Second, func() bool { return last.metric("verdicts", "rescued")+d.daemons[1].metric("verdicts", "rescued") > 0 })
			d.heal()
			d.eventually("the copies are stored", 10*time.Second, func() bool { return last.metric("verdicts", "uploads")+d.daemons[1].metric("verdicts", "uploads") > 0 })
			time.Sleep(1500 * time.Millisecond) // one more interval for the rest
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
	Convey("a request in flight at a daemon that dies is not known", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		done := make(chan answer, 1)
		go func() {
			done <- d.daemons[0].callAs(ctx, teamKey, http.MethodPost, "/v1/completions", completion("long", 900, true))
		}()
		d.eventually("it is taken", 5*time.Second, func() bool { return d.daemons[0].metric("daemon", "openRequests") == 1 })
		time.Sleep(600 * time.Millisecond)
		d.daemons[0].kill()
		a := <-done
		So(a.id(), ShouldNotBeBlank)
		d.eventually("its verdict says that it is not known", 5*time.Second, func() bool {
			v, ok := last.verdict(a.id())
			return ok && v.Verdict.Outcome == verdict.OutcomeUnknown && v.Verdict.Reason == problem.DaemonLost && v.Verdict.Ran == problem.RanUnknown
		})
	})
}
