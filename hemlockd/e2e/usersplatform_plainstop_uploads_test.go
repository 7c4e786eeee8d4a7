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

// slowUpload is an order whose body is being sent when its daemon is told to stop.
type slowUpload struct {
	name     string
	framing  string        // header lines of the body's framing
	chunked  bool          // the body is sent in chunks, else as it is
	ends     time.Duration // after the signal; 0: the body doesn't end
	silent   bool          // nothing is sent between the first and the last part
	deadline time.Duration // of the request, from its headers
	status   int
}

// uploadParts are the parts that are sent of a body.
const uploadParts = 40

// part returns one byte of the body as it is sent.
func (u slowUpload) part() string {
	if u.chunked {
		return "1\r\nx\r\n"
	}
	return "x"
}

// lastPart returns the rest of a body of which n bytes have been sent.
func (u slowUpload) lastPart(n int) string {
	if u.chunked {
		return "1\r\nx\r\n0\r\n\r\n"
	}
	return strings.Repeat("x", uploadParts-n)
}

// upload is a slowUpload that has begun.
type upload struct {
	slowUpload
	conn net.Conn
	id   string
	sent int
}

// begin opens a connection and sends the headers and the first byte of the body.
func (u slowUpload) begin(t *testing.T, d *platformDaemon) *upload {
	t.Helper()
	c, err := net.Dial("tcp", d.setting("Front"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	started := &upload{slowUpload: u, conn: c, id: strings.ReplaceAll(u.name, " ", "-"), sent: 1}
	head := fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n%s", testHost, started.id, u.deadline.Milliseconds(), u.framing, u.part())
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	return started
}

// send sends the body, as far as it goes, until answered is closed.
func (u *upload) send(signalled time.Time, answered <-chan struct{}) (lastByte time.Time) {
	for {
		pause := 150 * time.Millisecond
		if left := time.Until(signalled.Add(u.ends)); u.ends > 0 && (u.silent || left < pause) {
			pause = left
		}
		select {
		case <-answered:
			return time.Time{}
		case <-time.After(pause):
		}
		if u.ends > 0 && time.Since(signalled) >= u.ends {
			_, _ = io.WriteString(u.conn, u.lastPart(u.sent))
			return time.Now()
		}
		if u.silent || !u.chunked && u.sent == uploadParts-1 {
			continue
		}
		_, _ = io.WriteString(u.conn, u.part())
		u.sent++
	}
}

// check sends the body and checks the answer.
func (u *upload) check(p *usersPlatform, signalled time.Time) {
	answered := make(chan struct{})
	var resp *http.Response
	var err error
	var at time.Time
	go func() {
		defer close(answered)
		r := bufio.NewReader(u.conn)
		for resp == nil || resp.StatusCode == http.StatusContinue {
			if resp, err = http.ReadResponse(r, nil); err != nil {
				return
			}
		}
		_, err = io.Copy(io.Discard, resp.Body)
		at = time.Now()
	}()
	lastByte := u.send(signalled, answered)
	<-answered
	if err != nil {
		p.t.Errorf("%s: no whole answer, %v after SIGTERM: %v", u.name, time.Since(signalled), err)
		return
	}
	if resp.StatusCode != u.status || !resp.Close || (u.status == http.StatusServiceUnavailable) != (resp.Header.Get("Retry-After") != "") {
		p.t.Errorf("%s: status %d, want %d, Retry-After %q, connection closed %v", u.name, resp.StatusCode, u.status, resp.Header.Get("Retry-After"), resp.Close)
	}
	if took := at.Sub(lastByte); !lastByte.IsZero() && took > 200*time.Millisecond {
		p.t.Errorf("%s: answered %v after its last byte", u.name, took)
	}
	want := 0
	if u.status == http.StatusOK {
		want = 1
	}
	if n := len(p.arrivals(u.id)); n != want {
		p.t.Errorf("%s: reached %d upstreams, want %d", u.name, n, want)
	}
}

// Guards against a stopping daemon that closes a connection without an answer while the request's body is being sent, or
// that serves or refuses wrongly what ends late (LOST).
func TestPlatformUploadsAcrossAStopAreAnswered(t *testing.T) {
	const length, chunks = "Content-Length: 40", "Transfer-Encoding: chunked"
	const expects = "Expect: 100-continue\r\n"
	p := deployUsersPlatform(t, 2)
	d := p.daemons[0]
	p.knowEachOther()
	var uploads []*upload
	for _, u := range []slowUpload{
		{name: "length ends in time", framing: length, ends: 3 * time.Second, deadline: 6 * time.Second, status: http.StatusOK},
		{name: "chunks end in time", framing: chunks, chunked: true, ends: 3 * time.Second, deadline: 6 * time.Second, status: http.StatusOK},
		{name: "expected chunks end in time", framing: expects + chunks, chunked: true, ends: 3 * time.Second, deadline: 6 * time.Second, status: http.StatusOK},
		{name: "length ends late", framing: length, ends: 3 * time.Second, deadline: 8 * time.Second, status: http.StatusServiceUnavailable},
		{name: "chunks end late", framing: chunks, chunked: true, silent: true, ends: 6700 * time.Millisecond, deadline: 8 * time.Second, status: http.StatusServiceUnavailable},
		{name: "length does not end", framing: length, silent: true, deadline: 6 * time.Second, status: http.StatusServiceUnavailable},
		{name: "chunks do not end", framing: chunks, chunked: true, deadline: 6 * time.Second, status: http.StatusServiceUnavailable},
		{name: "expected length does not end", framing: expects + length, deadline: 8 * time.Second, status: http.StatusServiceUnavailable},
	} {
		uploads = append(uploads, u.begin(t, d))
	}
	time.Sleep(200 * time.Millisecond)
	p.signal(d, syscall.SIGTERM)
	signalled := time.Now()
	var all sync.WaitGroup
	for _, u := range uploads {
		all.Go(func() { u.check(p, signalled) })
	}
	all.Wait()
	<-d.exited
	if t.Failed() {
		t.Log(d.log)
	}
}
