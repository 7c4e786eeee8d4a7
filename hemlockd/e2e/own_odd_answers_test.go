package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/settings"
)

// serviceAddress matches the address of the service's instance in the system's settings.
var serviceAddress = regexp.MustCompile(`(?s)(\[upstreams\.brandon-a-service-1\].*?address = )"[^"]*"`)

// deployOwnRaw starts a deployment of one daemon whose plain service is served by a raw server.
func deployOwnRaw(t *testing.T, o options, answer rawAnswer) *daemon {
	t.Helper()
	o.daemons, o.policy, o.team = 1, fmt.Sprintf("maxBodyBytes = %d", crowdBodyBytes), "requestsPerSecond = 1000.0\nburst = 1000"
	d := deploy(t, o)
	s := startRawServer(t, "desk", answer)
	text := serviceAddress.ReplaceAllString(d.systemSettings, fmt.Sprintf("${1}%q", s.address))
	if text == d.systemSettings {
		t.Fatal("the service's address is not in the settings")
	}
	version := d.applySettings(1, settings.NodeChange{Path: "system", After: text})
	m := d.daemons[0]
	d.eventually("the raw server is in force", 10*time.Second, func() bool { return m.settingsVersion() == version })
	return m
}

// ownRawCalls are the calls that reach the raw server, by kind.
var ownRawCalls = map[string]func(m *daemon, id string) response{
	"idempotent": func(m *daemon, id string) response {
		return m.call(http.MethodGet, "/services/order-desk/stock/"+id, "")
	},
	"non-idempotent": func(m *daemon, id string) response { return m.createPlacement(id, "{}") },
}

// MIXED at the own door: no odd answer reaches a caller as a success.
func TestOddAnswersOfServices(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	var odd atomic.Value
	odd.Store(sound)
	m := deployOwnRaw(t, options{}, func(conn *net.TCPConn, r *http.Request, _ string) {
		_, _ = io.Copy(io.Discard, r.Body)
		text := sound
		if r.Header.Get("X-Request-Id") != "" { // not a health check
			text = odd.Load().(string)
		}
		_, _ = io.WriteString(conn, strings.Replace(text, "HEAD", "", 1))
	})
	n := 0
	for kind, call := range ownRawCalls {
		answers := append(append([]oddAnswer{}, oddStatuses...), oddHeads...)
		for _, answer := range append(answers, oddAnswer{"sound", sound}) {
			odd.Store(answer.text)
			var got response
			m.deployment.eventually(kind+" reaches the server", 10*time.Second, func() bool {
				n++
				got = call(m, fmt.Sprintf("odd-%d", n))
				return got.status != http.StatusServiceUnavailable // an instance that counts as down is tried again soon
			})
			whole := got.err == nil && got.status >= 200 && got.status < 300
			if whole != (answer.name == "sound") {
				t.Errorf("%s, %s: status %d, body %q, error %v", kind, answer.name, got.status, got.body, got.err)
			}
		}
	}
}

// MIXED at the own door: see TestPlatformAnswerResetDuringUpload.
func TestAnswerOfServiceResetDuringUpload(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	m := deployOwnRaw(t, options{}, func(conn *net.TCPConn, r *http.Request, _ string) {
		if r.ContentLength < int64(len(body)) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 100_000)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nthe first part of the body")
		time.Sleep(20 * time.Millisecond) // until the part is on its way
		reset(conn)
	})
	for i := range 30 {
		got := m.createPlacement(fmt.Sprintf("reset-%d", i), body)
		if got.err == nil && got.status >= 200 && got.status < 300 {
			t.Errorf("try %d: status %d, body %q", i+1, got.status, got.body)
		}
	}
}

// Clients that ask for long answers and do not read them.
func TestCrowdWithLongAnswersOfServices(t *testing.T) {
	answer := strings.Repeat("x", 8<<20)
	m := deployOwnRaw(t, options{program: plainProgram(t), daemon: ownCrowdLimits}, func(conn *net.TCPConn, r *http.Request, _ string) {
		text := "sound"
		if strings.HasSuffix(r.URL.Path, "/long") {
			text = answer
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	watcher := watchUsage(m.cmd.Process.Pid)
	request := "GET /services/order-desk/stock/long HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + teamKey + "\r\n\r\n"
	crowd(m.callers, 40, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, request)
		waitCrowdEnd(conn)
	})
	m.deployment.eventually("an ordinary request is served", 20*time.Second, func() bool {
		return m.call(http.MethodGet, "/services/order-desk/stock/ash", "").status == http.StatusOK
	})
	peak := watcher.end()
	t.Logf("peak: %v", peak)
	if peak.memoryBytes >= crowdMemoryMB*1_000_000 || m.exited() {
		t.Errorf("peak: %v, exited: %v", peak, m.exited())
	}
}
