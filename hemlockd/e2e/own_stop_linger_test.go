package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against an answer whose end is lost because a stopping daemon closes the connection while bytes of the caller wait in
// the kernel: it is reset, and what the caller has not received yet is dropped.
func TestOwnDoorAnswerIsWholeBesideUnreadBytes(t *testing.T) {
	const tokens = 200 // 2 s
	d := deploy(t, options{
		daemons: 2, daemon: "drainMs = 8000\n", model: "prefillTokenUs = 20\nstepBaseMs = 10.0\nstepPerSlotMs = 0.1\n",
	})
	m := d.daemons[0]
	if a := m.stream("warm", 5); a.status != http.StatusOK {
		t.Fatalf("status %d, %v", a.status, a.err)
	}
	m.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	var all sync.WaitGroup
	for name, next := range map[string]string{"part of a request": "POST /v1/completions HTTP/1.1\r\nHost: x\r\n", "nothing": ""} {
		all.Go(func() {
			if defect := m.slowAnswer(name, next, tokens); defect != "" {
				t.Errorf("answer before %s: %s", name, defect)
			}
		})
	}
	all.Wait()
}

// slowAnswer asks for a stream, sends next while it runs, reads the answer once it has been written, and returns what is wrong with it.
func (m *daemon) slowAnswer(name, next string, tokens int) string {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}}
	c, err := dialer.Dial("tcp", m.callers)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	body := completionBody(name, tokens, true)
	if _, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body); err != nil {
		return err.Error()
	}
	time.Sleep(500 * time.Millisecond) // the answer has begun
	if _, err := io.WriteString(c, next); err != nil {
		return err.Error()
	}
	time.Sleep(3 * time.Second) // the daemon has written the answer
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d, %d events: %v", resp.StatusCode, strings.Count(string(text), "\n\n"), err)
	}
	return ""
}
