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

	"hemlockmux.example/common/problem"
)

// checkToldOfEnd returns what is wrong with an answer that the end of a shutdown has cut off, or "": the answer ends with the
// reason, whatever its form, and another daemon knows its verdict, which agrees.
func checkToldOfEnd(a response, other *daemon, reason problem.Reason, ran ...problem.Ran) string {
	if a.err != nil {
		return "no end: " + a.err.Error()
	}
	told := a.problem.Reason == reason
	if a.header.Get("Content-Type") == "text/event-stream" {
		told = strings.Contains(a.body[max(0, strings.LastIndex(a.body, "event: ")):], `"reason":"`+string(reason)+`"`)
	}
	if !told {
		return fmt.Sprintf("not told of the end: status %d, ...%s", a.status, a.body[max(0, len(a.body)-300):])
	}
	v, ok := other.verdict(a.id())
	if !ok {
		return "no verdict"
	}
	for _, r := range ran {
		if v.Verdict.Reason == reason && v.Verdict.Ran == r {
			return ""
		}
	}
	return fmt.Sprintf("verdict: reason %s, ran %s, detail %s", v.Verdict.Reason, v.Verdict.Ran, v.Verdict.Detail)
}

// Guards against requests that are in flight when drainMs is over and get a closed connection instead of the reason, and
// against verdicts that blame the caller for it.
func TestOwnDoorEndOfDrainIsTold(t *testing.T) {
	t.Run("the stopped daemon runs the streams of both", func(t *testing.T) { testEndOfDrain(t, true) })
	t.Run("the other daemon runs the streams of both", func(t *testing.T) { testEndOfDrain(t, false) })
}

func testEndOfDrain(t *testing.T, keeps bool) {
	const tokens = 600 // 6 s
	d := deployOwnStop(t, 2)
	m, other := d.modelKeeper()
	if !keeps {
		m, other = other, m
	}
	d.injectFault("brandon-a-service-1", "slow", map[string]any{"delayMs": 5500})
	var wg sync.WaitGroup
	check := func(name string, do func() response, reason problem.Reason, ran ...problem.Ran) {
		wg.Go(func() {
			a := do()
			d.eventually(m.name+" has exited", 10*time.Second, m.exited)
			if defect := checkToldOfEnd(a, other, reason, ran...); defect != "" {
				t.Errorf("%s (after %v): %s", name, a.elapsed, defect)
			}
		})
	}
	check("stream", func() response { return m.stream("end of stream", tokens) }, problem.DaemonLost, problem.RanYes, problem.RanUnknown)
	check("completion", func() response { return m.complete("end of completion", tokens) }, problem.DaemonLost, problem.RanYes, problem.RanUnknown)
	check("placement", func() response { return m.createPlacement("end", "{}") }, problem.OutcomeUnknown, problem.RanUnknown)
	check("look-up", func() response { return m.call(http.MethodGet, "/services/order-desk/placements/1", "") }, problem.DaemonLost, problem.RanUnknown)
	if keeps {
		check("stream at the other daemon", func() response { return other.stream("end of keeper", tokens) }, problem.DaemonLost, problem.RanYes, problem.RanUnknown)
	}
	time.Sleep(300 * time.Millisecond)
	check("upload", func() response { return m.uploadHalf(t) }, problem.NotReady, problem.RanNo)
	time.Sleep(100 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	wg.Wait()
	if code := m.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// uploadHalf sends half of a request and waits for the answer.
func (m *daemon) uploadHalf(t *testing.T) response {
	c, err := net.Dial("tcp", m.callers)
	if err != nil {
		return response{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	started := time.Now()
	body := completionBody("half", 5, false)
	if _, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body[:10]); err != nil {
		return response{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	a := readAnswer(resp, started)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the answer to the upload: %v, want the end of the connection", err)
	}
	return a
}
