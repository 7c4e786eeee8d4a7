package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	ownCrowdClients = 60
	// silentClients is more than the process may have sockets.
	silentClients = 250
)

// ownCrowdLimits are the limits of the daemon that a crowd meets.
var ownCrowdLimits = fmt.Sprintf("memoryMb = %d\nmaxFds = %d", crowdMemoryMB, crowdMaxFds)

// Heads of many lines and heads without an end, at each port of a daemon, from clients without a key.
func TestCrowdAtEachPort(t *testing.T) {
	lines := shortLines(longHeadBytes)
	heads := map[string]func(conn net.Conn){
		"long heads": func(conn net.Conn) {
			_, _ = conn.Write([]byte("GET /services/order-desk/x HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n"))
		},
		"heads without end": func(conn net.Conn) {
			_, _ = conn.Write([]byte("GET /services/order-desk/x HTTP/1.1\r\nHost: x\r\n"))
			forever(conn, lines)
		},
		"one line without end": func(conn net.Conn) {
			_, _ = conn.Write([]byte("GET /services/order-desk/x HTTP/1.1\r\nHost: x\r\nX-Long: "))
			forever(conn, strings.Repeat("x", 4096))
		},
		"requests ahead": func(conn net.Conn) {
			forever(conn, strings.Repeat("GET /services/order-desk/x HTTP/1.1\r\nHost: x\r\n\r\n", 100))
			waitCrowdEnd(conn)
		},
	}
	ports := map[string]func(*daemon) string{
		"callers":   func(m *daemon) string { return m.callers },
		"operators": func(m *daemon) string { return m.operators },
		"daemons":   func(m *daemon) string { return m.listen },
	}
	for port, address := range ports {
		for name, misbehave := range heads {
			t.Run(port+", "+name, func(t *testing.T) { testOwnCrowd(t, address, ownCrowdClients, misbehave) })
		}
		t.Run(port+", silence", func(t *testing.T) { testOwnCrowd(t, address, silentClients, waitCrowdEnd) })
	}
}

// testOwnCrowd has a crowd at a port of a daemon and then sends ordinary requests to the ports for callers and operators.
func testOwnCrowd(t *testing.T, address func(*daemon) string, clients int, misbehave func(conn net.Conn)) {
	d := deploy(t, options{daemons: 1, program: plainProgram(t), daemon: ownCrowdLimits})
	m := d.daemons[0]
	watcher := watchUsage(m.cmd.Process.Pid)
	crowd(address(m), clients, func(conn net.Conn, _ int) { misbehave(conn) })
	Convey("the process lives, stays within its limits and serves ordinary requests", t, func() {
		d.eventually("an ordinary request is served", 20*time.Second, func() bool {
			a := m.callAs(context.Background(), teamKey, http.MethodGet, "/services/order-desk/stock/ash", "")
			return a.err == nil && a.status == http.StatusOK && m.status("/readyz") == http.StatusOK
		})
		peak := watcher.end()
		t.Logf("peak: %v", peak)
		So(m.exited(), ShouldBeFalse)
		So(peak.memoryBytes, ShouldBeLessThan, crowdMemoryMB*1_000_000)
		So(peak.sockets, ShouldBeLessThanOrEqualTo, crowdMaxFds-reservedFds)
	})
}
