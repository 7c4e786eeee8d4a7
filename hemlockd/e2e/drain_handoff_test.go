package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A daemon that drains ends the calls to services that another daemon has handed to it before it exits.
// This guards against such a call that ran and is told as daemonLost.
func TestDrainEndsHandedOverCalls(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a", "colville-b"}, daemons: 1})
	front, other := d.daemons[0], d.daemons[1]
	Convey("the other data centre's daemon drains during a call", t, func() {
		d.injectFault("brandon-a-service-1", "leave", nil)
		d.eventually("calls are handed over", 5*time.Second, func() bool {
			_ = front.createPlacement("warm-up-"+time.Now().String(), "{}")
			return front.metric("handoff", "services") > 0
		})
		d.injectFault("colville-b-service-1", "slow", map[string]any{"delayMs": 1800, "match": "/placements"})
		done := make(chan response, 1)
		go func() { done <- front.createPlacement("drained", "{}") }()
		time.Sleep(100 * time.Millisecond)
		other.signal(syscall.SIGTERM)
		a := <-done
		So(a.err, ShouldBeNil)
		So(a.body, ShouldContainSubstring, `"accepted"`)
		So(a.status, ShouldEqual, http.StatusCreated)
		d.eventually("the daemon has exited", 20*time.Second, other.exited)
	})
}
