package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lateCall is a plain call that is sent to a stopping daemon.
type lateCall struct {
	route    string
	after    time.Duration // since the signal
	deadline time.Duration
}

func (c lateCall) String() string {
	return fmt.Sprintf("%s sent %v after SIGTERM with a deadline of %v", c.route, c.after, c.deadline)
}

// checkRefusedAtStop checks that an answer refuses a call in a way that its caller can follow, and that the call has
// not been sent on.
func (p *usersPlatform) checkRefusedAtStop(what, attempt string, a platformResponse, took time.Duration) {
	p.t.Helper()
	switch {
	case a.err != nil || a.status != http.StatusServiceUnavailable:
		p.t.Errorf("%s: status %d, error %v after %v, want a refusal", what, a.status, a.err, took)
	case a.header.Get("Retry-After") == "" || !a.closes:
		p.t.Errorf("%s: refused with Retry-After %q, connection closed %v", what, a.header.Get("Retry-After"), a.closes)
	case took > 500*time.Millisecond:
		p.t.Errorf("%s: refused after %v", what, took)
	}
	if n := len(p.arrivals(attempt)); n != 0 {
		p.t.Errorf("%s: sent to %d upstreams", what, n)
	}
}

// Guards against a stopping daemon that sends a plain call on though it may take longer than is left, and ends it with a
// 504 at its exit: the answer of a call that may not be repeated is lost (LOST).
func TestPlatformStoppingDaemonRefusesPlainCallsThatMayNotFit(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	d := p.daemons[0]
	p.knowEachOther()
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.injectServerFault(id, map[string]any{"mute": true})
	}
	p.signal(d, syscall.SIGTERM)
	signalled := time.Now()
	var all sync.WaitGroup
	for _, c := range []lateCall{
		{"order", 100 * time.Millisecond, 7900 * time.Millisecond}, {"lookup", 100 * time.Millisecond, 7900 * time.Millisecond},
		{"order", 2500 * time.Millisecond, 6 * time.Second}, {"lookup", 2500 * time.Millisecond, 6 * time.Second},
		{"order", 2500 * time.Millisecond, 0}, // the route's time-out of 8 s holds
	} {
		all.Go(func() {
			time.Sleep(time.Until(signalled.Add(c.after)))
			id, sent := fmt.Sprint(c.route, c.after, c.deadline), time.Now()
			a := p.send(d, id, "/"+c.route+"/x", "a body", map[string]string{"X-Deadline-Ms": strconv.FormatInt(c.deadline.Milliseconds(), 10)})
			p.checkRefusedAtStop(c.String(), id, a, time.Since(sent))
		})
	}
	all.Wait()
	<-d.exited
}

// Guards against a stopping daemon that refuses plain calls which end before its exit in any case.
func TestPlatformStoppingDaemonServesPlainCallsThatFit(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	d := p.daemons[0]
	p.knowEachOther()
	p.signal(d, syscall.SIGTERM)
	signalled := time.Now()
	for _, c := range []lateCall{
		{"order", 100 * time.Millisecond, 6 * time.Second}, {"lookup", 200 * time.Millisecond, 6 * time.Second},
		{"order", 2500 * time.Millisecond, 4 * time.Second}, {"lookup", 2600 * time.Millisecond, 4 * time.Second},
	} {
		time.Sleep(time.Until(signalled.Add(c.after)))
		id := fmt.Sprint(c.route, c.after)
		a := p.send(d, id, "/"+c.route+"/x", "a body", map[string]string{"X-Deadline-Ms": strconv.FormatInt(c.deadline.Milliseconds(), 10)})
		if a.err != nil || a.status != http.StatusOK || p.runCount(id) != 1 || !a.closes {
			t.Errorf("%s: status %d, error %v, %d runs, connection closed %v", c, a.status, a.err, p.runCount(id), a.closes)
		}
	}
	<-d.exited
}
