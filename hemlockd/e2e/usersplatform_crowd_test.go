package e2e

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// crowdMemoryMB and crowdMaxFds are the limits in the daemon's settings. Of the descriptors, reservedFds are for files.
	crowdMemoryMB, crowdMaxFds, reservedFds = 96, 400, 200
	// legalHeadBytes is the size of a crowd's heads within the configuration's limit of 16,384 bytes.
	legalHeadBytes = 15_500
	// longHeadBytes is that of heads beyond it.
	longHeadBytes = 900_000
	// crowdBodyBytes is the longest body that the configuration allows, as on the users' sites.
	crowdBodyBytes = 4 << 20
)

// crowdHead returns the begin of a request on a route of idempotent calls.
func crowdHead(method, attempt string) string {
	return fmt.Sprintf("%s /lookup/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\n", method, testHost, attempt)
}

// crowdServers are the servers of the service that the crowds call.
var crowdServers = []string{"i-desk1", "i-desk2", "i-desk3"}

// testCrowd has a crowd at one daemon whose servers hold each request, then ends the crowd and sends an ordinary request.
func testCrowd(t *testing.T, clients int, misbehave func(conn net.Conn, number int)) {
	t.Helper()
	testCrowdAt(t, clients, map[string]any{"mute": true}, misbehave)
}

// testCrowdAt is testCrowd with servers that have a fault.
func testCrowdAt(t *testing.T, clients int, fault map[string]any, misbehave func(conn net.Conn, number int)) {
	t.Helper()
	p := deployUsersPlatformWith(t, platformOptions{
		daemons: 1, program: plainProgram(t), maxBodyBytes: crowdBodyBytes,
		limits: fmt.Sprintf("MemoryMb = %d\nMaxFds = %d", crowdMemoryMB, crowdMaxFds),
	})
	d := p.daemons[0]
	p.callAdmin(http.MethodPost, "/servers", map[string]any{"id": "i-desk3", "service": "desk", "zone": "a", "slots": 1000})
	for _, server := range crowdServers {
		p.injectServerFault(server, fault)
	}
	p.eventually(10*time.Second, "the daemon serves", func() bool { return p.readinessStatus(d) == http.StatusOK })
	watcher := watchUsage(d.cmd.Process.Pid)
	crowd(d.setting("Front"), clients, misbehave)
	for _, server := range crowdServers {
		p.injectServerFault(server, map[string]any{})
	}
	Convey("the process lives, stays within its limits and serves an ordinary request", t, func() {
		p.eventually(20*time.Second, "an ordinary request is served", func() bool {
			return p.send(d, fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), "/lookup/x", "", nil).status == http.StatusOK
		})
		peak := watcher.end()
		t.Logf("peak: %v", peak)
		So(isClosed(d.exited), ShouldBeFalse)
		So(peak.memoryBytes, ShouldBeLessThan, crowdMemoryMB*1_000_000)
		So(peak.sockets, ShouldBeLessThanOrEqualTo, crowdMaxFds-reservedFds)
	})
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// Complete requests within the configuration's limits, whose heads are made of as many lines as can be.
func TestPlatformCrowdWithLegalHeadsOfManyLines(t *testing.T) {
	lines := shortLines(legalHeadBytes - len(crowdHead(http.MethodGet, "heads-000")) - 2)
	testCrowd(t, 100, func(conn net.Conn, n int) {
		_, _ = conn.Write([]byte(crowdHead(http.MethodGet, fmt.Sprintf("heads-%03d", n)) + lines + "\r\n"))
	})
}

// Complete heads beyond the configuration's limit, made of as many lines as can be.
func TestPlatformCrowdWithHeadsOverTheLimit(t *testing.T) {
	lines := shortLines(longHeadBytes)
	testCrowd(t, 100, func(conn net.Conn, n int) {
		_, _ = conn.Write([]byte(crowdHead(http.MethodGet, fmt.Sprintf("long-%03d", n)) + lines + "\r\n"))
	})
}

// Heads without an end: of short lines, of one line, and empty lines before any request.
func TestPlatformCrowdWithHeadsWithoutEnd(t *testing.T) {
	lines := shortLines(longHeadBytes)
	for name, misbehave := range map[string]func(conn net.Conn, n int){
		"short lines": func(conn net.Conn, n int) {
			_, _ = conn.Write([]byte(crowdHead(http.MethodGet, fmt.Sprintf("endless-%03d", n))))
			forever(conn, lines)
		},
		"one line": func(conn net.Conn, n int) {
			_, _ = conn.Write([]byte(crowdHead(http.MethodGet, fmt.Sprintf("endless-%03d", n)) + "X-Long: "))
			forever(conn, strings.Repeat("x", 4096))
		},
		"empty lines before a request":      func(conn net.Conn, _ int) { forever(conn, strings.Repeat("\r\n", 2048)) },
		"empty lines after a first request": func(conn net.Conn, _ int) { emptyLinesAfterRequest(conn) },
		"a head that comes byte by byte": func(conn net.Conn, n int) {
			for _, b := range []byte(crowdHead(http.MethodGet, fmt.Sprintf("slow-%03d", n)) + lines) {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) { testCrowd(t, 100, misbehave) })
	}
}

// emptyLinesAfterRequest sends a request that is answered at once, and then empty lines.
func emptyLinesAfterRequest(conn net.Conn) {
	_, _ = conn.Write([]byte("POST /nothing HTTP/1.1\r\nHost: " + testHost + "\r\nContent-Length: 0\r\n\r\n"))
	forever(conn, strings.Repeat("\r\n", 2048))
}

// Requests sent ahead without end on connections whose answers are not read.
func TestPlatformCrowdThatSendsAhead(t *testing.T) {
	ahead := func(change func(head string) string) func(conn net.Conn, n int) {
		return func(conn net.Conn, n int) {
			forever(conn, strings.Repeat(change(crowdHead(http.MethodGet, fmt.Sprintf("ahead-%03d", n)))+"\r\n", 100))
			waitCrowdEnd(conn)
		}
	}
	t.Run("calls that servers hold", func(t *testing.T) {
		testCrowd(t, 150, ahead(func(head string) string { return head }))
	})
	t.Run("unknown paths", func(t *testing.T) {
		testCrowd(t, 150, ahead(func(head string) string { return strings.Replace(head, "/lookup/", "/nothing/", 1) }))
	})
	t.Run("calls with long answers", func(t *testing.T) {
		testCrowdAt(t, 150, map[string]any{}, ahead(func(head string) string { return head + "X-Standin-Bytes: 250000\r\n" }))
	})
}

// Bodies of the longest size at once, also without a length.
func TestPlatformCrowdWithLongBodies(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	for name, framed := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			testCrowd(t, 40, func(conn net.Conn, n int) {
				_, _ = conn.Write([]byte(crowdHead(http.MethodPost, fmt.Sprintf("body-%03d", n)) + framed))
			})
		})
	}
}

// Connections that stay silent, more than the process may have sockets. They stay open while the ordinary request is sent.
func TestPlatformCrowdOfSilentConnections(t *testing.T) {
	testCrowd(t, 300, func(conn net.Conn, _ int) { waitCrowdEnd(conn) })
}
