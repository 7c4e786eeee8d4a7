package e2e

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// explain runs hemlockctl over the daemons' logs.
func (p *usersPlatform) explain(id string) string {
	p.t.Helper()
	var files []string
	for _, d := range p.daemons {
		file := filepath.Join(p.dir, d.name+".log")
		if err := os.WriteFile(file, []byte(d.log.String()), 0o600); err != nil {
			p.t.Fatal(err)
		}
		files = append(files, file)
	}
	out, err := exec.Command(filepath.Join(binaries, "hemlockctl"), append([]string{"explain", id}, files...)...).CombinedOutput()
	if err != nil {
		return fmt.Sprint(err, ": ", string(out))
	}
	return string(out)
}

// TestPlatformFailuresAreExplained takes three failed requests from their ids to
// the causes: refused for want of room, lost in a crash, refused in an outage of
// the store.
func TestPlatformFailuresAreExplained(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	d := p.daemons[0]
	crashed := make(chan platformAnswer)
	go func() { crashed <- p.stream(d, "crashed", "once", 300) }()
	p.eventually(5*time.Second, "the stream runs", func() bool { return p.runs("crashed") == 1 })
	time.Sleep(time.Second) // events have come, and many are still to come
	for _, id := range []string{"i-dec1", "i-dec2"} {
		p.admin(http.MethodPost, "/servers/"+id+"/crash", nil)
	}
	if a := <-crashed; a.err == nil {
		t.Errorf("status %d, no error", a.status)
	}
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.fault(id, map[string]any{"busy": true})
	}
	if a := p.ask(d, "refused", "/order/x", "an order", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d", a.status)
	}
	p.admin(http.MethodPost, "/store/fault", map[string]any{"mode": "busy"})
	time.Sleep(3500 * time.Millisecond) // until the call that waits at the store ends
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.admin(http.MethodPost, "/servers/"+id+"/crash", nil)
	}
	if a := p.ask(d, "outage", "/order/x", "an order", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d", a.status)
	}
	for id, wants := range map[string][]string{
		"crashed": {"streamCut", "decode at i-dec", "upstream is down"},
		"refused": {"upstreamsBusy, status 503, ran: no", "notRun (busy)"},
		"outage":  {"upstreamsUnreachable, status 503, ran: no", "notRun (unreachable)", "the store changed state"},
	} {
		p.eventually(5*time.Second, "the request is explained", func() bool {
			return strings.Contains(p.explain(id), wants[0])
		})
		t.Logf("%s:\n%s", id, p.explain(id))
		for _, want := range wants {
			if got := p.explain(id); !strings.Contains(got, want) {
				t.Errorf("%s: no %q in:\n%s", id, want, got)
			}
		}
	}
}

// TestPlatformVerdictIsKept finds a verdict in the store after its daemon has
// gone.
func TestPlatformVerdictIsKept(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	if a := p.ask(p.daemons[0], "kept", "/order/x", "an order", nil); a.status != http.StatusOK {
		t.Fatalf("status %d", a.status)
	}
	if err := p.daemons[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-p.daemons[0].exited
	out, err := exec.Command(filepath.Join(binaries, "hemlockctl"), "--json", "platform", "verdict", "--store", p.addr.Store, "kept").CombinedOutput()
	if err != nil || !strings.Contains(string(out), `"outcome": "run"`) {
		t.Errorf("%v: %s", err, out)
	}
}

func TestPlatformDaemonTellsWhatItBelieves(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	p.eventually(5*time.Second, "the daemon knows the other", func() bool {
		out, err := exec.Command(filepath.Join(binaries, "hemlockctl"), "platform", "beliefs", "--daemon", p.daemons[0].setting("Control")).CombinedOutput()
		return err == nil && strings.Contains(string(out), "front-a-2") && strings.Contains(string(out), "i-dec1")
	})
}
