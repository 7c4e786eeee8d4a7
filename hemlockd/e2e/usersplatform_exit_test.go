package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// smallBuffer is the size of the receive buffer of callers that read slowly.
const smallBuffer = 4 << 10

// dialSmall opens a connection whose caller has a small receive buffer.
func (p *usersPlatform) dialSmall(d *platformDaemon) net.Conn {
	p.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	c, err := dialer.Dial("tcp", d.setting("Front"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// paddedStream is a stream with large events.
type paddedStream struct {
	stopStream
	padding int
}

// text returns the bytes of the stream's request.
func (s paddedStream) text(attempt, route string) string {
	const body = "a prompt"
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Standin-Padding: %d\r\nContent-Length: %d\r\n", route, testHost, attempt, s.padding, len(body))
	for name, value := range s.headers() {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n" + body
}

// received reads an answer and returns what is wrong with it.
func (s paddedStream) received(r io.Reader) error {
	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if n := strings.Count(string(body), "\n\n"); err != nil || n != s.events || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %d of %d events: %v", resp.StatusCode, n, s.events, err)
	}
	return nil
}

func mustWrite(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// Guards against an answer whose end is lost because the daemon closes the connection while bytes of the caller wait in
// the kernel: it is reset, and what the caller has not received yet is dropped (LOST).
func TestPlatformAnswerIsWholeBesideUnreadBytes(t *testing.T) {
	stream := paddedStream{stopStream{hintEvents: 40, limitEvents: 40, events: 40, interval: 10 * time.Millisecond}, 8 << 10}
	next := map[string]string{
		"next-request":         stream.text("next", "once"),
		"part-of-next-request": "POST /once/x HTTP/1.1\r\nHost: " + testHost + "\r\n",
		"nothing":              "",
	}
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	for i := range 4 { // the daemon knows the engines' paces
		if a := p.stream(d, fmt.Sprint("first", i), "once", 10); a.status != http.StatusOK {
			t.Fatalf("status %d", a.status)
		}
	}
	p.signal(d, syscall.SIGTERM)
	began := time.Now()
	time.Sleep(200 * time.Millisecond)
	var all sync.WaitGroup
	for name, text := range next {
		c := p.dialSmall(d)
		all.Go(func() {
			mustWrite(t, c, stream.text(name, "once"))
			time.Sleep(200 * time.Millisecond) // the answer has begun
			mustWrite(t, c, text)
			time.Sleep(2 * time.Second) // the daemon has written the answer
			if err := stream.received(c); err != nil {
				t.Errorf("answer before %s: %v", name, err)
			}
		})
	}
	all.Wait()
	p.exitsBefore(d, began, 8*time.Second)
}

// storedVerdict returns the verdict on a request that the store has, or why there is none.
func (p *usersPlatform) storedVerdict(request string) (string, error) {
	out, err := exec.Command(filepath.Join(binaryDir, "hemlockctl"), "--json", "platform", "verdict", "--store", p.addr.Store, request).CombinedOutput()
	return string(out), err
}

// Guards against a request that the exit overtakes while its answer is written to a slow caller, and that leaves neither
// a line in the log nor a verdict.
func TestPlatformExitConcludesRequestsOfSlowCallers(t *testing.T) {
	const grace = 4
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.setGrace(d, grace)
	p.signal(d, syscall.SIGHUP)
	stream := paddedStream{stopStream{hintEvents: 100, limitEvents: 100, events: 100, interval: 10 * time.Millisecond}, 200 << 10}
	var ids []string
	for i := range 4 {
		id := fmt.Sprint("slow", i)
		ids = append(ids, id)
		mustWrite(t, p.dialSmall(d), stream.text(id, "once"))
	}
	time.Sleep(time.Second) // the callers' buffers are full
	p.signal(d, syscall.SIGTERM)
	p.exitsBefore(d, time.Now(), grace*time.Second)
	for _, id := range ids {
		if strings.Contains(d.log.String(), `"request":"`+id+`","reason":"callerGone"`) {
			t.Errorf("the log says that the caller of %s has gone", id)
		}
		if !strings.Contains(d.log.String(), `"msg":"request","daemon":"`+d.name+`","request":"`+id+`"`) {
			t.Errorf("no line of request %s", id)
		}
		if strings.Contains(d.log.String(), `"msg":"daemon exits before the request has ended","daemon":"`+d.name+`","request":"`+id+`"`) {
			t.Errorf("request %s has not ended at the exit", id)
		}
		if out, err := p.storedVerdict(id); err != nil || !strings.Contains(out, `"outcome"`) {
			t.Errorf("verdict on %s: %v, %s", id, err, out)
		}
	}
	if t.Failed() {
		t.Log(d.log)
	}
}

// throttle lets the daemon's process run for a tenth of the time, until it has exited; for half of it under the race
// detector, with which a process needs several times as much.
func (p *usersPlatform) throttle(d *platformDaemon) {
	run, pause := 10*time.Millisecond, 90*time.Millisecond
	if raceEnabled {
		run, pause = 50*time.Millisecond, 50*time.Millisecond
	}
	for {
		_ = d.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		select {
		case <-d.exited:
			return
		case <-time.After(run):
		}
	}
}

// Guards against a daemon that is killed while it waits for something at its exit, and against one that ends streams
// long before the kill although it needs little time to exit (LOST).
func TestPlatformExitsByItselfShortlyBeforeTheKill(t *testing.T) {
	const grace, first = 4, 3360 * time.Millisecond
	troubles := map[string]func(p *usersPlatform, d *platformDaemon){
		"no trouble":   func(*usersPlatform, *platformDaemon) {},
		"silent store": func(p *usersPlatform, d *platformDaemon) { p.injectStoreFault("silent", d) },
		"a tenth of a core": func(p *usersPlatform, d *platformDaemon) {
			go p.throttle(d)
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			p := deployUsersPlatform(t, 1)
			d := p.daemons[0]
			p.setGrace(d, grace)
			p.signal(d, syscall.SIGHUP)
			stream := paddedStream{stopStream{hintEvents: 12, limitEvents: 12, events: 12, interval: first / 12}, 10}
			whole, cut := p.dialSmall(d), p.dialSmall(d)
			long := stream
			long.events, long.limitEvents = 70, 70
			mustWrite(t, cut, long.text("cut", "once"))
			mustWrite(t, whole, stream.text("whole", "once"))
			p.eventually(5*time.Second, "the streams run", func() bool { return p.runCount("whole") > 0 && p.runCount("cut") > 0 })
			trouble(p, d)
			began := time.Now()
			p.signal(d, syscall.SIGTERM)
			answered := make(chan time.Duration, 1)
			go func() {
				if err := stream.received(whole); err != nil {
					t.Errorf("the stream that ends before the kill: %v", err)
				}
				answered <- time.Since(began)
			}()
			took := p.exitsBefore(d, began, grace*time.Second)
			t.Logf("answer %v after SIGTERM, exit %v", <-answered, took)
			if !strings.Contains(d.log.String(), `"request":"cut"`) || !strings.Contains(d.log.String(), "daemon has stopped") {
				t.Errorf("the log is not whole:\n%s", d.log)
			}
		})
	}
}

// Guards against verdicts that wait for the exit of a stopping daemon, and are lost if the store takes nothing then.
func TestPlatformVerdictsAreStoredEarlyInAStop(t *testing.T) {
	const grace = 4
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.setGrace(d, grace)
	p.signal(d, syscall.SIGHUP)
	if a := p.send(d, "early", "/order/x", "an order", nil); a.status != http.StatusOK {
		t.Fatalf("status %d", a.status)
	}
	long := paddedStream{stopStream{hintEvents: 70, limitEvents: 70, events: 70, interval: 100 * time.Millisecond}, 10}
	mustWrite(t, p.dialSmall(d), long.text("cut", "once"))
	p.eventually(5*time.Second, "the stream runs", func() bool { return p.runCount("cut") > 0 })
	began := time.Now()
	p.signal(d, syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if a := p.send(d, "during", "/order/x", "an order", nil); a.status != http.StatusOK {
		t.Errorf("status %d", a.status)
	}
	time.Sleep(2 * time.Second)
	p.injectStoreFault("silent", d)
	p.exitsBefore(d, began, grace*time.Second)
	for _, id := range []string{"early", "during"} {
		if out, err := p.storedVerdict(id); err != nil || !strings.Contains(out, `"outcome": "run"`) {
			t.Errorf("verdict on %s: %v, %s", id, err, out)
		}
	}
}

// holdCalls has the plain service take any number of calls and answer none.
func (p *usersPlatform) holdCalls(slots int) {
	p.t.Helper()
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/crash?gone=1", nil)
		mute := id + "-mute"
		p.callAdmin(http.MethodPost, "/servers", map[string]any{"id": mute, "service": "desk", "zone": "a", "slots": slots})
		p.injectServerFault(mute, map[string]any{"mute": true})
		for _, d := range p.daemons {
			p.eventually(5*time.Second, "the server is listed", func() bool { return strings.Contains(d.log.String(), mute) })
		}
	}
}

// Guards against requests that the exit ends and that no line names, because more end at once than lines a second are
// written; and against a daemon that is killed over them at a tenth of a core.
func TestPlatformEachRequestThatTheExitEndsHasALine(t *testing.T) {
	t.Run("300 requests", func(t *testing.T) { exitUnderRequests(t, 300, false) })
	t.Run("60 requests at a tenth of a core", func(t *testing.T) { exitUnderRequests(t, 60, true) })
}

// Guards against requests that get no answer because a slow process can't answer as many in the time before the kill.
func TestPlatformManyRequestsAtTheExitOfASlowDaemon(t *testing.T) { exitUnderRequests(t, 300, true) }

// exitUnderRequests stops a daemon with so many requests that only its exit ends.
func exitUnderRequests(t *testing.T, callers int, slow bool) {
	const grace = 4
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.setGrace(d, grace)
	p.signal(d, syscall.SIGHUP)
	p.holdCalls(callers)
	answers := make(chan platformResponse, callers)
	for i := range callers {
		go func() {
			answers <- p.send(d, fmt.Sprint("mute", i), "/order/x", "an order", map[string]string{"X-Deadline-Ms": "7500"})
		}()
	}
	time.Sleep(time.Second)
	if n := len(answers); n > 0 {
		t.Fatalf("%d requests are answered before the exit", n)
	}
	if slow {
		go p.throttle(d)
	}
	began := time.Now()
	p.signal(d, syscall.SIGTERM)
	answered := 0
	for range callers {
		if a := <-answers; a.err == nil && a.status >= http.StatusInternalServerError {
			answered++
		}
	}
	last := time.Since(began)
	took := p.exitsBefore(d, began, grace*time.Second)
	named := 0
	for i := range callers {
		if strings.Contains(d.log.String(), fmt.Sprintf(`"msg":"request","daemon":"%s","request":"mute%d"`, d.name, i)) {
			named++
		}
	}
	t.Logf("last answer %v after SIGTERM, exit %v", last, took)
	if answered != callers || named != callers {
		t.Errorf("%d of %d requests are answered, %d named", answered, callers, named)
	}
}
