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
	p.injectStoreFault("silent", p.daemons[1])
	p.configure([]map[string]any{{
		"Name": "new", "Host": testHost, "Prefix": "/new/", "Kind": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 200,
		"Service": "desk", "MaxAttempts": 2,
	}})
	p.eventually(3*time.Second, "both daemons serve the new route", func() bool {
		for _, d := range p.daemons {
			if a := p.send(d, "n", "/new/x", "", nil); a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func TestPlatformLeavingServerGetsNoWork(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	p.callAdmin(http.MethodPost, "/servers/i-desk1/drain", nil)
	time.Sleep(500 * time.Millisecond)
	for i := range 10 {
		id := fmt.Sprint("d", i)
		if a := p.send(p.daemons[i%2], id, "/order/x", "an order", nil); a.status != http.StatusOK || p.arrivals(id)[0].Server != "i-desk2" {
			t.Errorf("%s: status %d, arrivals %+v", id, a.status, p.arrivals(id))
		}
	}
}

func TestPlatformShutdownCutsNothing(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	answers := make(chan platformResponse, 3)
	for i := range 3 {
		go func() { answers <- p.stream(d, fmt.Sprint("s", i), "once", 100) }()
	}
	time.Sleep(300 * time.Millisecond)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.eventually(2*time.Second, "the daemon reports that it is not ready", func() bool { return p.readinessStatus(d) == http.StatusServiceUnavailable })
	if a := p.send(d, "late", "/order/x", "an order", nil); a.status != http.StatusOK {
		t.Errorf("order after SIGTERM: status %d", a.status)
	}
	for range 3 {
		if a := <-answers; a.err != nil || a.body != expectedStream(100) {
			t.Errorf("stream was cut off: status %d, error %v, %d bytes", a.status, a.err, len(a.body))
		}
	}
	select {
	case <-d.exited:
	case <-time.After(8 * time.Second):
		t.Error("the daemon has not exited within 8 s after its streams ended")
	}
}

func TestPlatformDaemonReloadsSettingsAndKeepsThemWhenInvalid(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	good, err := os.ReadFile(d.configPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(d.configPath, []byte("NodeName = \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.eventually(5*time.Second, "the invalid file is reported", func() bool { return strings.Contains(d.log.String(), "settings are wrong") })
	if err := os.WriteFile(d.configPath, good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.eventually(5*time.Second, "the file is reloaded", func() bool { return strings.Contains(d.log.String(), "settings are read again") })
	if a := p.send(d, "l", "/lookup/x", "", nil); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
}
