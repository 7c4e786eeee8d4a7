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

// explain returns the output of `hemlockctl explain` for a request id over the
// daemons' logs.
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
	out, err := exec.Command(filepath.Join(binaryDir, "hemlockctl"), append([]string{"explain", id}, files...)...).CombinedOutput()
	if err != nil {
		return fmt.Sprint(err, ": ", string(out))
	}
	return string(out)
}

// TestPlatformFailuresAreExplained checks that `hemlockctl explain` gives the causes
// of three failed requests: refused because all servers are busy, cut off by a crash
// of the engines, and refused during an outage of the store.
func TestPlatformFailuresAreExplained(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	d := p.daemons[0]
	crashed := make(chan platformResponse)
	go func() { crashed <- p.stream(d, "crashed", "once", 300) }()
	p.eventually(5*time.Second, "an engine runs the stream", func() bool { return p.runCount("crashed") == 1 })
	time.Sleep(time.Second) // some events have arrived, and many are outstanding
	for _, id := range []string{"i-dec1", "i-dec2"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/crash", nil)
	}
	if a := <-crashed; a.err == nil {
		t.Errorf("status %d, want an error", a.status)
	}
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.injectServerFault(id, map[string]any{"busy": true})
	}
	if a := p.send(d, "refused", "/order/x", "an order", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d", a.status)
	}
	p.callAdmin(http.MethodPost, "/store/fault", map[string]any{"mode": "busy"})
	time.Sleep(3500 * time.Millisecond) // until the pending call to the store ends
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/crash", nil)
	}
	if a := p.send(d, "outage", "/order/x", "an order", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d", a.status)
	}
	for id, texts := range map[string][]string{
		"crashed": {"streamCut", "decode at i-dec", "upstream is down"},
		"refused": {"upstreamsBusy, status 503, ran: no", "notRun (busy)"},
		"outage":  {"upstreamsUnreachable, status 503, ran: no", "notRun (unreachable)", "the store changed state"},
	} {
		p.eventually(5*time.Second, "hemlockctl explains the failed request", func() bool {
			return strings.Contains(p.explain(id), texts[0])
		})
		t.Logf("%s:\n%s", id, p.explain(id))
		for _, want := range texts {
			if got := p.explain(id); !strings.Contains(got, want) {
				t.Errorf("%s: want %q in:\n%s", id, want, got)
			}
		}
	}
}

// TestPlatformVerdictIsKept checks that the store holds a verdict after its daemon
// has shut down.
func TestPlatformVerdictIsKept(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	if a := p.send(p.daemons[0], "kept", "/order/x", "an order", nil); a.status != http.StatusOK {
		t.Fatalf("status %d", a.status)
	}
	if err := p.daemons[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-p.daemons[0].exited
	out, err := exec.Command(filepath.Join(binaryDir, "hemlockctl"), "--json", "platform", "verdict", "--store", p.addr.Store, "kept").CombinedOutput()
	if err != nil || !strings.Contains(string(out), `"outcome": "run"`) {
		t.Errorf("verdict from the store: error %v, output %s", err, out)
	}
}

func TestPlatformBeliefsListDaemonsAndServers(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	p.eventually(5*time.Second, "the daemon's beliefs list the other daemon and an engine", func() bool {
		out, err := exec.Command(filepath.Join(binaryDir, "hemlockctl"), "platform", "beliefs", "--daemon", p.daemons[0].setting("Control")).CombinedOutput()
		return err == nil && strings.Contains(string(out), "front-a-2") && strings.Contains(string(out), "i-dec1")
	})
}
