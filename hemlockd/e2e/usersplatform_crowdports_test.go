package e2e

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The ports that callers don't use: the readiness check's, the metrics', and the one for daemons and operators, which
// takes JSON-RPC messages with a length in front.
func TestPlatformCrowdAtOtherPorts(t *testing.T) {
	lines := shortLines(longHeadBytes)
	message := func(conn net.Conn) { // of 64 MB
		_, _ = conn.Write(append(binary.AppendUvarint(nil, 1<<26), '"'))
		forever(conn, strings.Repeat("x", 4096))
	}
	longHead := func(conn net.Conn) { _, _ = conn.Write([]byte("GET /x HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n")) }
	endless := func(conn net.Conn) {
		_, _ = conn.Write([]byte("GET /x HTTP/1.1\r\nHost: x\r\n"))
		forever(conn, lines)
	}
	for _, c := range []struct {
		port, name string
		clients    int
		misbehave  func(conn net.Conn)
	}{
		{"Ready", "long heads", ownCrowdClients, longHead},
		{"Ready", "heads without end", ownCrowdClients, endless},
		{"Ready", "silence", silentClients, waitCrowdEnd},
		{"metrics", "long heads", ownCrowdClients, longHead},
		{"metrics", "heads without end", ownCrowdClients, endless},
		{"metrics", "silence", silentClients, waitCrowdEnd},
		{"Control", "long messages", 8, message},
		{"Control", "heads without end", ownCrowdClients, endless},
		{"Control", "silence", silentClients, waitCrowdEnd},
	} {
		t.Run(c.port+", "+c.name, func(t *testing.T) { testCrowdAtPort(t, c.port, c.clients, c.misbehave) })
	}
}

// testCrowdAtPort has a crowd at a port of a daemon, and then sends an ordinary request and a readiness check.
func testCrowdAtPort(t *testing.T, port string, clients int, misbehave func(conn net.Conn)) {
	metrics := freePorts(t, 1)[0]
	p := deployUsersPlatformWith(t, platformOptions{
		daemons: 1, program: plainProgram(t), limits: fmt.Sprintf("MemoryMb = %d\nMaxFds = %d", crowdMemoryMB, crowdMaxFds),
		flags: []string{"--metrics-port", fmt.Sprint(metrics)},
	})
	d := p.daemons[0]
	address := d.setting(port)
	if port == "metrics" {
		address = fmt.Sprintf("%s:%d", d.ip, metrics)
	}
	watcher := watchUsage(d.cmd.Process.Pid)
	crowd(address, clients, func(conn net.Conn, _ int) { misbehave(conn) })
	Convey("the process lives, stays within its limits, is ready and serves an ordinary request", t, func() {
		p.eventually(20*time.Second, "an ordinary request is served", func() bool {
			return p.readinessStatus(d) == http.StatusOK && p.send(d, fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), "/lookup/x", "", nil).status == http.StatusOK
		})
		peak := watcher.end()
		t.Logf("peak: %v", peak)
		So(isClosed(d.exited), ShouldBeFalse)
		So(peak.memoryBytes, ShouldBeLessThan, crowdMemoryMB*1_000_000)
		So(peak.sockets, ShouldBeLessThanOrEqualTo, crowdMaxFds-reservedFds)
	})
}
