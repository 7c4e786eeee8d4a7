package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// roleOrderSent is the log line of a daemon that has ordered an engine to change its role.
const roleOrderSent = "role change order sent"

// Guards against a stopping daemon that orders engines to change their role: the order and its lease outlive the daemon, and
// its successor has to wait for the lease to expire.
func TestPlatformStoppingDaemonLeavesRoleOrdersToOthers(t *testing.T) {
	for _, daemons := range []int{1, 2} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			leaveRoleOrders(t, daemons)
		})
	}
}

func leaveRoleOrders(t *testing.T, daemons int) {
	// Four streams take most of the decode engines' memory, and no prompt follows: a prefill engine should decode.
	s := stopStream{hintEvents: 150, limitEvents: 150, events: 150, interval: 45 * time.Millisecond}
	p := deployUsersPlatform(t, daemons)
	time.Sleep(5 * time.Second) // until the leases may be taken
	leaving, loaded := p.daemons[0], p.daemons[daemons-1]
	stop := func() { p.signal(leaving, syscall.SIGTERM) }
	if daemons > 1 {
		stop()
		time.Sleep(200 * time.Millisecond)
	}
	answers := make(chan platformResponse, 4)
	for i := range cap(answers) {
		go func() {
			answers <- sendStream(&http.Client{Transport: &http.Transport{}}, loaded, fmt.Sprint("long-", i), "once", s)
		}()
	}
	if daemons == 1 {
		p.eventually(2*time.Second, "the streams run", func() bool { return p.runCount("long-0")+p.runCount("long-3") == 2 })
		if strings.Contains(leaving.log.String(), roleOrderSent) {
			t.Fatal("the order was sent before the signal")
		}
		stop()
	}
	<-leaving.exited
	for range cap(answers) {
		<-answers
	}
	if strings.Contains(leaving.log.String(), roleOrderSent) {
		t.Errorf("a stopping daemon has sent a role change order:\n%s", leaving.log)
	}
	if daemons > 1 && !strings.Contains(loaded.log.String(), roleOrderSent) {
		t.Errorf("the daemon that serves has sent no role change order:\n%s", loaded.log)
	}
}
