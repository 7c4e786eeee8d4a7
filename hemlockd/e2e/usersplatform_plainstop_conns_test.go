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

// keptConn is a connection that a caller goes on using as long as no answer closes it.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

// keep opens a connection to a daemon.
func (p *usersPlatform) keep(d *platformDaemon) *keptConn {
	p.t.Helper()
	c, err := net.Dial("tcp", d.setting("Front"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &keptConn{conn: c, reader: bufio.NewReader(c)}
}

// ask sends a request and reads its answer. An error before the status of an answer leaves the status 0.
func (k *keptConn) ask(attempt, path, headers string) platformResponse {
	text := "POST " + path + " HTTP/1.1\r\nHost: " + testHost + "\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 8\r\n" + headers + "\r\na prompt"
	if _, err := io.WriteString(k.conn, text); err != nil {
		return platformResponse{err: err}
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return platformResponse{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return platformResponse{status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}

// keptStreamHeaders returns the headers of a stream that lasts for a time, and the number of its events.
func keptStreamHeaders(lasts, deadline time.Duration) (headers string, events int) {
	const interval = 20 * time.Millisecond
	s := stopStream{events: max(2, int(lasts/interval)), interval: interval}
	s.hintEvents, s.limitEvents = s.events, s.events
	var b strings.Builder
	for name, value := range s.headers() {
		if name != "X-Deadline-Ms" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	return b.String(), s.events
}

// checkNext checks the answer to a request on a kept connection to a stopping daemon: it is served whole, refused with a
// promise, or its connection has been closed before it was read.
func (p *usersPlatform) checkNext(what, attempt, want string, d *platformDaemon, a platformResponse) string {
	p.t.Helper()
	read := strings.Contains(d.log.String(), fmt.Sprintf("%q:%q", "request", attempt))
	runs := p.runCount(attempt)
	switch {
	case a.status == 0 && !read && len(p.arrivals(attempt)) == 0:
		return "closed before it was read"
	case a.err == nil && a.status == http.StatusServiceUnavailable && runs == 0 && a.closes && a.header.Get("Retry-After") != "":
		return "refused"
	case a.err == nil && a.status == http.StatusOK && runs == 1 && (want == "" || a.body == want):
		return "served"
	}
	p.t.Errorf("%s: status %d, error %v, %d runs, read %v, connection closed %v, %d bytes", what, a.status, a.err, runs, read, a.closes, len(a.body))
	return "wrong"
}

// Guards against requests that are lost on a connection that its caller keeps because no answer has said that the daemon
// stops: idle ones, and ones whose answer had begun before the signal (LOST).
func TestPlatformRequestsOnKeptConnectionsAreAnsweredDuringAStop(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	for _, id := range []string{"i-dec3", "i-dec4", "i-dec5"} {
		p.addServer(id, "models", "decode")
	}
	d := p.daemons[0]
	p.knowEachOther()
	time.Sleep(500 * time.Millisecond)
	spans := []time.Duration{100 * time.Millisecond, time.Second, 2700 * time.Millisecond, 3 * time.Second, 5 * time.Second, 7 * time.Second}
	var ready, all sync.WaitGroup
	signal := make(chan time.Time)
	var mu sync.Mutex
	ends := map[string]int{}
	for _, span := range spans {
		for _, kind := range []string{"lookup", "order", "once"} {
			for _, first := range []string{"idle", "busy"} {
				what := fmt.Sprintf("%s at %v on a connection that was %s", kind, span, first)
				id := strings.ReplaceAll(what, " ", "-")
				all.Add(1)
				ready.Add(1)
				go func() {
					defer all.Done()
					k := p.keep(d)
					next, events := keptStreamHeaders(300*time.Millisecond, 4*time.Second)
					want := expectedStream(events)
					if kind != "once" {
						next, want = "X-Deadline-Ms: 4000\r\n", ""
					}
					var signalled time.Time
					if first == "idle" {
						k.ask("first-"+id, "/lookup/x", "")
						ready.Done()
						signalled = <-signal
						time.Sleep(time.Until(signalled.Add(span)))
					} else {
						headers, _ := keptStreamHeaders(span*95/100+250*time.Millisecond, 14*time.Second) // ends at about that time
						ready.Done()
						a := k.ask("first-"+id, "/once/x", headers)
						if a.err != nil || a.closes {
							return // it was cut off or refused, or began after the signal
						}
						signalled = <-signal
					}
					sent := time.Since(signalled)
					a := k.ask(id, "/"+kind+"/x", next)
					time.Sleep(100 * time.Millisecond)
					end := p.checkNext(what, id, want, d, a)
					mu.Lock()
					defer mu.Unlock()
					ends[first+", "+end]++
					t.Logf("%s, sent %v after SIGTERM: %s", what, sent.Round(10*time.Millisecond), end)
				}()
			}
		}
	}
	ready.Wait()
	time.Sleep(200 * time.Millisecond)
	p.signal(d, syscall.SIGTERM)
	signalled := time.Now()
	go func() {
		for range 2 * 3 * len(spans) {
			signal <- signalled
		}
	}()
	all.Wait()
	<-d.exited
	t.Log(ends)
	if ends["idle, closed before it was read"] == 0 || ends["busy, served"] == 0 || ends["busy, refused"] == 0 {
		t.Errorf("ends %v: not every way was taken", ends)
	}
}
