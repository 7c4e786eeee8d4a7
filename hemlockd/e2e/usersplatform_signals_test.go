package e2e

import (
	"strings"
	"syscall"
	"time"
)

// signal sends a signal to the daemon's process.
func (p *usersPlatform) signal(d *platformDaemon, s syscall.Signal) {
	p.t.Helper()
	if err := d.cmd.Process.Signal(s); err != nil {
		p.t.Error(err)
	}
}

// exitsBefore waits until the daemon has exited by itself, or kills it after the span since began. It returns
// when the daemon exited after began.
func (p *usersPlatform) exitsBefore(d *platformDaemon, began time.Time, span time.Duration) time.Duration {
	p.t.Helper()
	select {
	case <-d.exited:
	case <-time.After(time.Until(began.Add(span))):
		p.t.Errorf("%s runs %v after SIGTERM and is killed", d.name, span)
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	return time.Since(began)
}

// knowEachOther waits until the daemons have heard from each other.
func (p *usersPlatform) knowEachOther() {
	p.t.Helper()
	n := len(p.daemons)
	p.eventually(5*time.Second, "the daemons know each other", func() bool {
		heard := 0
		for _, d := range p.daemons {
			heard += strings.Count(d.log.String(), "first message received from another daemon")
		}
		return heard == n*(n-1)
	})
}
