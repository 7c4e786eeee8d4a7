package callers

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// TestStopOfDaemonIsNotCallersEnd guards against a caller that waits and is told that it has
// disconnected, when the daemon stops while the request runs.
func TestStopOfDaemonIsNotCallersEnd(t *testing.T) {
	p := newTestPort(t, "stallMs = 60000\n",
		upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
		upstream("d1", settings.KindDecode, "m", engine(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })))
	done := p.start(false)
	p.awaitRuns(1)
	time.Sleep(100 * time.Millisecond) // until it is at the engine
	p.closeKeeper()
	o := <-done
	if o.err != nil || o.problem.Reason != problem.DaemonLost || strings.Contains(o.body, "disconnected") {
		t.Errorf("status %d, error %v, body %s; want %s", o.status, o.err, o.body, problem.DaemonLost)
	}
	p.checkVerdicts()
}
