package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func replaceOnce(s, old, with string) string { return strings.Replace(s, old, with, 1) }

// A graceful shutdown interrupts no request in flight: every daemon is replaced in
// turn, under load, with open streams. Callers use a daemon only while /readyz
// returns 200, as the platform's load balancer does.
// HEMLOCK_BREAK=hardStop sends SIGTERM twice, which ends the wait for requests in
// flight.
func TestRollingReplacementCutsOffNothing(t *testing.T) {
	d := deploy(t, options{daemons: 3})
	var served atomic.Int64
	stop := runWorkers(6, func(w, i int) {
		m := d.daemons[(w+i)%3]
		if m.status("/readyz") != http.StatusOK {
			return
		}
		const tokens = 120
		if w%2 == 0 {
			if defect := checkStream(m.stream(fmt.Sprintf("w%d i%d", w, i), tokens), tokens); defect != "" {
				t.Errorf("stream through %s: %s", m.name, defect)
			}
		} else if a := m.createPlacement(fmt.Sprintf("w%d-i%d", w, i), "{}"); a.status != http.StatusCreated {
			t.Errorf("placement through %s: status %d, body %s, error %v", m.name, a.status, a.body, a.err)
		}
		served.Add(1)
	})
	defer stop()
	time.Sleep(500 * time.Millisecond)
	Convey("every daemon is replaced", t, func() {
		for _, m := range d.daemons {
			m.signal(syscall.SIGTERM)
			if mechanismDisabled("hardStop") {
				time.Sleep(100 * time.Millisecond)
				m.signal(syscall.SIGTERM)
			}
			d.eventually(m.name+" has exited", 20*time.Second, m.exited)
			So(m.cmd.ProcessState.ExitCode(), ShouldEqual, 0)
			m.start()
			m.waitReady()
			d.waitConverged()
		}
		stop()
		So(served.Load(), ShouldBeGreaterThan, 20)
		t.Logf("%d requests served while three daemons were replaced", served.Load())
	})
}
