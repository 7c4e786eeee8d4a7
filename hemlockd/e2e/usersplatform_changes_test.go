package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestPlatformConfigurationReachesADaemonWithoutTheStore(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	p.admin(http.MethodPost, "/store/fault", map[string]any{"mode": "silent", "from": []string{p.daemons[1].ip}})
	p.configure([]map[string]any{{
		"Name": "new", "Host": testHost, "Prefix": "/new/", "Kind": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 200,
		"Service": "desk", "MaxAttempts": 2,
	}})
	p.eventually(3*time.Second, "both daemons serve the new route", func() bool {
		for _, d := range p.daemons {
			if a := p.ask(d, "n", "/new/x", "", nil); a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func TestPlatformLeavingServerGetsNoWork(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	p.admin(http.MethodPost, "/servers/i-desk1/drain", nil)
	time.Sleep(500 * time.Millisecond)
	for i := range 10 {
		id := fmt.Sprint("d", i)
		if a := p.ask(p.daemons[i%2], id, "/order/x", "an order", nil); a.status != http.StatusOK || p.arrivals(id)[0].Server != "i-desk2" {
			t.Errorf("%s: status %d, arrivals %+v", id, a.status, p.arrivals(id))
		}
	}
}

func TestPlatformShutdownCutsNothing(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	answers := make(chan platformAnswer, 3)
	for i := range 3 {
		go func() { answers <- p.stream(d, fmt.Sprint("s", i), "once", 100) }()
	}
	time.Sleep(300 * time.Millisecond)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.eventually(2*time.Second, "the daemon is not ready", func() bool { return p.ready(d) == http.StatusServiceUnavailable })
	if a := p.ask(d, "late", "/order/x", "an order", nil); a.status != http.StatusOK {
		t.Errorf("an order after the signal: status %d", a.status)
	}
	for range 3 {
		if a := <-answers; a.err != nil || a.body != wholeStream(100) {
			t.Errorf("a stream was cut: status %d, %v, %d bytes", a.status, a.err, len(a.body))
		}
	}
	select {
	case <-d.exited:
	case <-time.After(8 * time.Second):
		t.Error("the daemon has not ended within its time")
	}
}

func TestPlatformDaemonTakesSettingsInAndKeepsThemWhenWrong(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	good, err := os.ReadFile(d.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(d.file, []byte("NodeName = \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.eventually(5*time.Second, "the wrong file is reported", func() bool { return strings.Contains(d.log.String(), "settings are wrong") })
	if err := os.WriteFile(d.file, good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.eventually(5*time.Second, "the file is read again", func() bool { return strings.Contains(d.log.String(), "settings are read again") })
	if a := p.ask(d, "l", "/lookup/x", "", nil); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}
