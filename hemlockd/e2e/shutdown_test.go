package e2e

import (
	"errors"
	"fmt"
	"io"
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
// HEMLOCK_BREAK=hardStop sends SIGINT after SIGTERM, which ends the wait for requests in
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
				m.signal(syscall.SIGINT)
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

// Guards against a repeated SIGTERM that cuts off the requests in flight: restarts come
// in series and overlap.
func TestSecondSIGTERMCutsOffNothing(t *testing.T) {
	d := deploy(t, options{daemons: 1})
	m := d.daemons[0]
	const tokens = 400
	done := make(chan response, 1)
	go func() { done <- m.stream("across two signals", tokens) }()
	d.eventually("the stream runs", 5*time.Second, func() bool { return m.metric("daemon", "keeperRuns") == 1 })
	m.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	if defect := checkStream(<-done, tokens); defect != "" {
		t.Errorf("stream: %s", defect)
	}
	d.eventually("the daemon has exited", 20*time.Second, m.exited)
	if code := m.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a repeated SIGTERM that cuts off the requests in flight on the users'
// platform.
func TestPlatformSecondSIGTERMCutsOffNothing(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	done := make(chan platformResponse, 1)
	go func() { done <- p.stream(d, "across two signals", "once", 100) }()
	p.eventually(5*time.Second, "the stream runs", func() bool { return p.runCount("across two signals") > 0 })
	for range 2 {
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if a := <-done; a.err != nil || a.body != expectedStream(100) {
		t.Errorf("stream was cut off: status %d, error %v, %d bytes", a.status, a.err, len(a.body))
	}
	select {
	case <-d.exited:
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon has not exited within 10 s")
	}
	if code := d.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// sendKept sends a request over a connection that the caller would keep, and reports
// whether the answer closes it.
func (m *daemon) sendKept(key, path, body string) (closes bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+path, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", "kept")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport, Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// Guards against answers during a shutdown that leave the caller's connection open: the
// caller would send its next request to a daemon that is about to exit.
func TestAnswersDuringShutdownCloseTheConnection(t *testing.T) {
	d := deploy(t, options{daemons: 1})
	m := d.daemons[0]
	if closes, err := m.sendKept(teamKey, "/nowhere", "{}"); closes || err != nil {
		t.Errorf("before the shutdown: connection closed %v, error %v", closes, err)
	}
	inFlight := make(chan error, 1)
	go func() {
		closes, err := m.sendKept(teamKey, "/v1/completions", completionBody("in flight", 200, false))
		if err == nil && !closes {
			err = errors.New("connection left open")
		}
		inFlight <- err
	}()
	d.eventually("the completion runs", 5*time.Second, func() bool { return m.metric("daemon", "keeperRuns") == 1 })
	m.signal(syscall.SIGTERM)
	d.eventually("the daemon is not ready", 5*time.Second, func() bool { return m.status("/readyz") != http.StatusOK })
	for _, r := range []struct{ name, key, path, body string }{
		{"plain service", teamKey, "/services/order-desk/placements", "{}"},
		{"completion", teamKey, "/v1/completions", completionBody("p", 5, false)},
		{"stream", teamKey, "/v1/completions", completionBody("p", 5, true)},
		{"unknown key", "no such key", "/v1/completions", "{}"},
		{"unknown path", teamKey, "/nowhere", "{}"},
	} {
		if closes, err := m.sendKept(r.key, r.path, r.body); !closes || err != nil {
			t.Errorf("%s: connection closed %v, error %v", r.name, closes, err)
		}
	}
	if err := <-inFlight; err != nil {
		t.Errorf("completion in flight at the signal: %v", err)
	}
}
