package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// stopCaller sends requests one after another, on one connection for as long as it is open.
type stopCaller struct {
	s       *stopSoak
	name    string
	rng     *rand.Rand
	daemon  int
	conn    net.Conn
	in      *bufio.Reader
	process *stopProcess // of the connection
}

// stopRequest is one request and how it ended.
type stopRequest struct {
	id, route string
	process   *stopProcess
	stream    stopStream
	body      int // size of the request's body in bytes
	slow      time.Duration
	bytes     int           // added to the answer to a plain call
	takes     time.Duration // of a plain call
	deadline  time.Duration

	beganAt, sentAt, endedAt time.Time
	whole                    bool // sent whole
	kept                     bool // on a connection that had been used
	status                   int
	header                   http.Header
	answer                   string
	err                      error
}

func (q *stopRequest) isStream() bool { return q.route == "talk" || q.route == "tell" }

func (c *stopCaller) run() {
	for n := 0; ; n++ {
		select {
		case <-c.s.done:
			c.close()
			return
		case <-time.After(time.Duration(c.rng.IntN(40)) * time.Millisecond):
		}
		kept := c.conn != nil
		if !kept && !c.connect() {
			continue
		}
		q := c.draw(fmt.Sprintf("%s-%d", c.name, n))
		q.kept = kept
		keep := c.exchange(q)
		c.s.mu.Lock()
		c.s.requests = append(c.s.requests, q)
		c.s.mu.Unlock()
		if !keep {
			c.close()
		}
	}
}

func (c *stopCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to the same daemon as before or to another.
func (c *stopCaller) connect() bool {
	if c.rng.IntN(2) == 0 {
		c.daemon = c.rng.IntN(len(c.s.daemons))
	}
	p := c.s.latest(c.daemon)
	conn, err := net.DialTimeout("tcp4", p.front, time.Second)
	if err != nil {
		c.daemon = c.rng.IntN(len(c.s.daemons))
		return false
	}
	if p != c.s.latest(c.daemon) { // it is not certain to which process the connection goes
		_ = conn.Close()
		return false
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10)
	c.conn, c.in, c.process = conn, bufio.NewReader(conn), p
	return true
}

// draw draws a request.
func (c *stopCaller) draw(id string) *stopRequest {
	rng := c.rng
	q := &stopRequest{id: id, process: c.process, route: []string{"talk", "talk", "tell", "tell", "lookup", "order"}[rng.IntN(6)], body: 8, deadline: 14 * time.Second}
	if rng.IntN(8) == 0 {
		q.deadline = time.Duration(3000+rng.IntN(5000)) * time.Millisecond
	}
	if rng.IntN(5) == 0 {
		q.slow = time.Duration(10+rng.IntN(90)) * time.Millisecond
	}
	if q.isStream() {
		hint := 5 + rng.IntN(80)
		limit := hint * (4 + rng.IntN(9)) / 4
		q.stream = stopStream{hintEvents: hint, limitEvents: limit, events: max(1, min(limit, hint*(2+rng.IntN(17))/6)), interval: c.s.pace}
		if c.s.pace == 0 {
			q.stream.interval = time.Duration(15+rng.IntN(46)) * time.Millisecond
		}
		return q
	}
	q.takes = time.Duration(10+rng.IntN(1500)) * time.Millisecond
	if q.slow > 0 {
		q.bytes = rng.IntN(600_000)
	}
	if q.route == "lookup" {
		q.body = 0
	} else if rng.IntN(2) == 0 {
		q.body = 20_000 + rng.IntN(40_000)
	}
	return q
}

// head returns the request line and the header of the request.
func (q *stopRequest) head() string {
	var b strings.Builder
	method := http.MethodPost
	if q.body == 0 {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n", method, q.route, testHost, q.id, q.body)
	headers := map[string]string{"X-Standin-Interval": fmt.Sprint(q.takes.Milliseconds()), "X-Standin-Bytes": fmt.Sprint(q.bytes)}
	if q.isStream() {
		headers = q.stream.headers()
	}
	headers["X-Deadline-Ms"] = fmt.Sprint(q.deadline.Milliseconds())
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	return b.String() + "\r\n"
}

// exchange sends a request and receives its answer. It reports whether the connection stays open.
func (c *stopCaller) exchange(q *stopRequest) bool {
	q.beganAt = time.Now()
	_ = c.conn.SetDeadline(q.beganAt.Add(q.deadline + time.Second))
	q.whole = c.send(q)
	q.sentAt = time.Now()
	resp, err := http.ReadResponse(c.in, nil)
	if err == nil {
		q.status, q.header = resp.StatusCode, resp.Header
		var body []byte
		body, err = io.ReadAll(slowReader{resp.Body, q.slow})
		_ = resp.Body.Close()
		q.answer = string(body)
	}
	q.err, q.endedAt = err, time.Now()
	return err == nil && !resp.Close && q.whole
}

// send sends a request, a large body slowly, and reports whether all of it was sent.
func (c *stopCaller) send(q *stopRequest) bool {
	if _, err := io.WriteString(c.conn, q.head()); err != nil {
		return false
	}
	for left := q.body; left > 0; {
		n := min(left, 4000)
		if _, err := io.WriteString(c.conn, strings.Repeat("x", n)); err != nil {
			return false
		}
		if left -= n; left > 0 {
			time.Sleep(time.Duration(10+c.rng.IntN(400)) * time.Millisecond)
		}
	}
	return true
}

// slowReader waits after each read.
type slowReader struct {
	io.Reader
	wait time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	if r.wait > 0 && len(p) > 8<<10 {
		p = p[:8<<10]
	}
	n, err := r.Reader.Read(p)
	time.Sleep(r.wait)
	return n, err
}

// stopCounts says how requests met the stops.
type stopCounts struct {
	Served, Refused, NotRead, AtDeadline, UpstreamBroke int
	AcceptedAfterSignal, RefusedThatFit, CutInLastSixth int
	Otherwise                                           int // answered in other ways, as with 502 or 504
}

// lossSlack is LossSlackMs: within that time after its last byte a request may be closed if no server got it.
const lossSlack = 200 * time.Millisecond

// exitTime is what the platform grants a daemon before the kill to end by itself.
const exitTime = 700 * time.Millisecond

// judge counts a request and returns the fault, if its end is one.
func (c *stopCounts) judge(q *stopRequest, arrivals []arrival, lines string) string {
	ran, broke, atWork := false, false, false
	for _, a := range arrivals {
		ran, broke = ran || a.Ran, broke || a.Crashed
		atWork = atWork || a.Ran && (a.EndMs == 0 || time.UnixMilli(a.EndMs).After(q.process.termAt.Add(q.process.lastSixth)))
	}
	stopped := !q.process.termAt.IsZero()
	late := stopped && q.sentAt.After(q.process.termAt)
	if late && q.isStream() && q.status == http.StatusOK {
		c.AcceptedAfterSignal++
	}
	switch {
	case q.refused() && ran:
		return "(c) refused, but a server ran it"
	case q.status == http.StatusOK:
		if what := q.wrongAnswer(); what != "" {
			return "(c) " + what
		}
		if q.err == nil {
			c.Served++
			return ""
		}
	}
	age := q.endedAt.Sub(q.beganAt)
	switch {
	case q.refused() && q.err == nil:
		c.Refused++
		if late && q.isStream() && q.fitted() {
			c.RefusedThatFit++
		}
	case q.status != 0 && q.err == nil:
		c.Otherwise++
	case errors.Is(q.err, os.ErrDeadlineExceeded) || age > min(q.deadline, q.timeout())-50*time.Millisecond:
		c.AtDeadline++
	case broke:
		c.UpstreamBroke++
	case len(arrivals) > 0 && stopped && atWork && !q.sentAt.After(q.process.termAt.Add(3*time.Second)):
		c.CutInLastSixth++
	case len(arrivals) > 0:
		return "(a) passed on and not answered"
	case q.status != 0:
		return "(b) an answer of the daemon's own was cut"
	case q.whole && q.endedAt.Sub(q.sentAt) > lossSlack && (lines != "" || !errors.Is(q.err, syscall.ECONNRESET)):
		return "(b) read and not answered"
	default:
		c.NotRead++
	}
	return ""
}

// refused reports whether the answer promises that no server runs the request.
func (q *stopRequest) refused() bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, q.status)
}

// fitted reports whether the stream that was refused would have ended before the daemon.
func (q *stopRequest) fitted() bool {
	needs := time.Duration(q.stream.events)*q.stream.interval + 200*time.Millisecond
	return q.endedAt.Add(needs).Before(q.process.termAt.Add(q.process.killAfter - exitTime))
}

// timeout returns the time-out of the request's route.
func (q *stopRequest) timeout() time.Duration {
	if q.isStream() {
		return minStopTimeout
	}
	return 8 * time.Second
}

// wrongAnswer says what is wrong with an answer with status 200, as far as it has come.
func (q *stopRequest) wrongAnswer() string {
	want := fmt.Sprintf("answer of %d bytes asked", q.body) + strings.Repeat(".", q.bytes)
	if q.isStream() {
		want = expectedStream(q.stream.events)
	}
	switch {
	case q.header.Get("X-Attempt-Id") != q.id:
		return "the answer is to " + q.header.Get("X-Attempt-Id")
	case !strings.HasPrefix(want, q.answer):
		return "the answer has a gap or is another's"
	case q.err == nil && len(q.answer) < len(want):
		return fmt.Sprintf("the answer looks complete with %d of %d bytes", len(q.answer), len(want))
	}
	return ""
}

// describe says how a request was sent and ended, with times relative to the SIGTERM of its process.
func (q *stopRequest) describe(arrivals []arrival) string {
	var b strings.Builder
	last, _ := receivedEvents(q.answer)
	fmt.Fprintf(&b, "%s on %s, %+v, kept connection %v, body %d, sent whole %v, slow %v, status %d, %d bytes, event %d, error %v", q.id, q.route, q.stream, q.kept,
		q.body, q.whole, q.slow, q.status, len(q.answer), last, q.err)
	p, base := q.process, q.process.termAt
	if base.IsZero() {
		base = q.sentAt
		fmt.Fprintf(&b, "; %s, not stopped, times after it was sent: ", p.daemon.name)
	} else {
		fmt.Fprintf(&b, "; %s, GraceS %v (before %v), times after SIGTERM: ", p.daemon.name, p.grace, p.before)
	}
	since := func(t time.Time) int64 { return t.Sub(base).Milliseconds() }
	fmt.Fprintf(&b, "begun %d, sent %d, ended %d ms", since(q.beganAt), since(q.sentAt), since(q.endedAt))
	for _, a := range arrivals {
		fmt.Fprintf(&b, "; %s at %s, ran %v, from %d to %d ms", a.Phase, a.Server, a.Ran, since(time.UnixMilli(a.AtMs)), since(time.UnixMilli(a.EndMs)))
	}
	return b.String()
}
