package e2e

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against signals that end a stopping daemon at once: a SIGHUP is caught until the process is gone, and SIGTERM
// changes nothing.
func TestPlatformSignalsDuringTheStopCutOffNothing(t *testing.T) {
	const grace = 4
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.setGrace(d, grace)
	p.signal(d, syscall.SIGHUP)
	stream := paddedStream{stopStream{hintEvents: 30, limitEvents: 30, events: 30, interval: 100 * time.Millisecond}, 10}
	long := stream
	long.events, long.limitEvents = 70, 70
	whole, cut := p.dialSmall(d), p.dialSmall(d)
	mustWrite(t, whole, stream.text("whole", "once"))
	mustWrite(t, cut, long.text("cut", "once"))
	p.eventually(5*time.Second, "the streams run", func() bool { return p.runCount("whole") > 0 && p.runCount("cut") > 0 })
	p.injectStoreFault("silent", d) // the daemon waits for it when it closes
	began := time.Now()
	p.signal(d, syscall.SIGTERM)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-d.exited:
				return
			case <-time.After(20 * time.Millisecond):
				_ = d.cmd.Process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[i%2])
			}
		}
	}()
	if err := stream.received(whole); err != nil {
		t.Error(err)
	}
	took := p.exitsBefore(d, began, grace*time.Second)
	if state := d.cmd.ProcessState; !state.Success() {
		t.Errorf("the daemon ended %v after SIGTERM: %v", took, state)
	}
	if !strings.Contains(d.log.String(), `"request":"cut"`) || !strings.Contains(d.log.String(), "daemon has stopped") {
		t.Errorf("the log is not whole:\n%s", d.log)
	}
}

// Guards against a daemon that does not stop in time, or loses what it has accepted, because SIGTERM comes while it starts.
func TestPlatformSIGTERMDuringTheStart(t *testing.T) {
	const grace = 4
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.setGrace(d, grace)
	p.signal(d, syscall.SIGKILL)
	<-d.exited
	for _, delay := range []time.Duration{0, 2, 5, 10, 15, 20, 30, 50} {
		p.start(d)
		time.Sleep(delay * time.Millisecond)
		began := time.Now()
		p.signal(d, syscall.SIGTERM)
		var status int
		for time.Since(began) < 500*time.Millisecond && status == 0 {
			a := p.send(d, fmt.Sprint("at", int(delay)), "/order/x", "an order", nil)
			if a.err != nil && !strings.Contains(a.err.Error(), "refused") {
				t.Errorf("SIGTERM %d ms after the start: %v", delay, a.err)
			}
			status = a.status
			select {
			case <-d.exited:
				status = -1
			default:
			}
		}
		took := p.exitsBefore(d, began, grace*time.Second)
		t.Logf("SIGTERM %d ms after the start: status %d, exit %v", delay, status, took)
	}
}

// keptOrders uses one connection until it is closed.
type keptOrders struct {
	served, lost int // answers that are whole, and that are not
	// unanswered is the number of requests, at most one, that crossed the close of the connection.
	unanswered int
}

func (k *keptOrders) run(d *platformDaemon, name string, pause time.Duration) {
	c, err := net.Dial("tcp", d.setting("Front"))
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(c)
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: "+testHost+"\r\nX-Attempt-Id: %s-%d\r\nX-Deadline-Ms: 6000\r\nContent-Length: 8\r\n\r\nan order", name, i); err != nil {
			k.unanswered++
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			k.unanswered++
			return
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			k.lost++
			return
		}
		k.served++
		if resp.Close {
			return
		}
		time.Sleep(time.Duration(rand.Int64N(int64(pause))))
	}
}

// Guards against requests on kept connections that a stopping daemon closes without an answer. A request that crosses the
// close of an idle connection can't be answered; the daemon has not read it.
func TestPlatformKeptConnectionsEndWithAnAnswer(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	callers := make([]keptOrders, 60)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { callers[i].run(d, fmt.Sprint("k", i), time.Duration(1+i)*20*time.Millisecond) })
	}
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	p.signal(d, syscall.SIGTERM)
	all.Wait()
	p.exitsBefore(d, began, 8*time.Second)
	var sum keptOrders
	for i := range callers {
		k := &callers[i]
		sum.served, sum.lost, sum.unanswered = sum.served+k.served, sum.lost+k.lost, sum.unanswered+k.unanswered
	}
	t.Logf("%+v", sum)
	if sum.lost > 0 {
		t.Errorf("%d answers are not whole", sum.lost)
	}
	for i := range callers {
		id := fmt.Sprint("k", i, "-", callers[i].served)
		if callers[i].unanswered > 0 && p.runCount(id) > 0 {
			t.Errorf("request %s ran and has no answer", id)
		}
	}
	if sum.unanswered > 0 {
		t.Errorf("%d of %d callers have sent a request that was not answered", sum.unanswered, len(callers))
	}
}

// Guards against the answers that a daemon gives at its exit being lost beside more bytes of their callers: another request,
// or a part of one, sent shortly before the exit and while the answer is written.
func TestPlatformLastAnswersAreWholeBesideUnreadBytes(t *testing.T) {
	const grace = 4
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.setGrace(d, grace)
	p.signal(d, syscall.SIGHUP)
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.injectServerFault(id, map[string]any{"mute": true})
	}
	text := func(id string) string {
		return "POST /order/x HTTP/1.1\r\nHost: " + testHost + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 7000\r\nContent-Length: 8\r\n\r\nan order"
	}
	var all sync.WaitGroup
	signalled := make(chan struct{})
	for i := range 40 {
		c := p.dialSmall(d)
		all.Go(func() {
			id := fmt.Sprint("mute", i)
			mustWrite(t, c, text(id))
			<-signalled
			go func() { // until the connection is closed
				for n := 0; ; n++ {
					time.Sleep(time.Duration(5+i) * time.Millisecond)
					if _, err := io.WriteString(c, text(fmt.Sprint(id, "-", n))[:10+i]); err != nil || i < 10 {
						return
					}
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("%s: no answer: %v", id, err)
				return
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode < http.StatusInternalServerError {
				t.Errorf("%s: status %d, %v", id, resp.StatusCode, err)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	p.signal(d, syscall.SIGTERM)
	close(signalled)
	all.Wait()
	p.exitsBefore(d, began, grace*time.Second)
}
