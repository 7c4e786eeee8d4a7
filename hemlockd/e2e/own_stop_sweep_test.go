package e2e

import (
	"syscall"
	"testing"
	"time"
)

// Guards against a daemon that has just started, knows no other daemon yet, and aborts the streams of the others at the engines
// as if nobody claimed them.
func TestOwnDoorStartingDaemonAbortsNoStreamsOfOthers(t *testing.T) {
	const tokens = 500 // 5 s
	d := deployOwnStop(t, 2)
	for _, m := range d.daemons {
		other := d.daemons[0]
		if other == m {
			other = d.daemons[1]
		}
		m.signal(syscall.SIGTERM)
		d.eventually("the daemon has exited", 10*time.Second, m.exited)
		done := make(chan response, 1)
		go func() { done <- other.stream("beside the start of "+m.name, tokens) }()
		time.Sleep(2 * time.Second)
		m.start()
		if defect := checkStream(<-done, tokens); defect != "" {
			t.Errorf("stream at %s while %s starts: %s", other.name, m.name, defect)
		}
		m.waitReady()
		d.waitConverged()
	}
}
