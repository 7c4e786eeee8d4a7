package app

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/intake"
)

const (
	// testReadDelay is the time by which slow connections delay the bytes that they
	// have read.
	testReadDelay = 300 * time.Millisecond
	// testRequest is a request that testPort answers with testAnswer.
	testRequest = "GET / HTTP/1.1\r\nHost: t.example\r\n\r\n"
	testAnswer  = "answered"
	// testDrainTime bounds each drain.
	testDrainTime = 10 * time.Second
)

// slowListener accepts connections that are slow to deliver the bytes of the last
// request, as on a busy machine.
type slowListener struct {
	*net.TCPListener
	slow chan struct{} // closed when reads become slow
	read chan struct{} // receives a value for each slow read that has its bytes
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: c, l: l}, nil
}

type slowConn struct {
	net.Conn
	l *slowListener
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.l.slow:
		if n > 0 {
			c.l.read <- struct{}{}
			time.Sleep(testReadDelay)
		}
	default:
	}
	return n, err
}

// announcingListener announces each connection that it has accepted.
type announcingListener struct {
	deadlineListener
	accepted chan struct{}
}

func (l *announcingListener) Accept() (net.Conn, error) {
	c, err := l.deadlineListener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
	}
	return c, err
}

// testPort is a port that serves testAnswer, with its callers.
type testPort struct {
	t *testing.T
	*port
	listener *announcingListener
	failed   chan error
}

func listenForTest(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func openTestPort(t *testing.T, l deadlineListener, handler http.HandlerFunc) *testPort {
	t.Helper()
	p := &testPort{t: t, listener: &announcingListener{l, make(chan struct{}, 99)}, failed: make(chan error, 1)}
	var closePort func()
	p.port, closePort = servePort(zap.NewNop(), "callers", p.listener, handler, testGuard(), 30*clock.Second, p.failed)
	t.Cleanup(closePort)
	return p
}

// testGuard returns a guard whose limits no test meets.
func testGuard() *intake.Guard {
	return intake.NewGuard(intake.Options{
		Log: zap.NewNop(), Port: "test", Budget: intake.NewPortBudget(1000), Heads: func() intake.Heads { return intake.Heads{MaxBytes: 1 << 20} },
	})
}

func serveAnswer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, testAnswer) }

// testCaller is one connection to a testPort.
type testCaller struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection and waits until the port has accepted it.
func (p *testPort) dial() *testCaller {
	p.t.Helper()
	c := p.dialOnly()
	<-p.listener.accepted
	return c
}

// dialOnly opens a connection.
func (p *testPort) dialOnly() *testCaller {
	p.t.Helper()
	c, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testDrainTime))
	return &testCaller{t: p.t, Conn: c, reader: bufio.NewReader(c)}
}

func (c *testCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads an answer and returns what is wrong with it.
func (c *testCaller) receive() error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != testAnswer {
		return fmt.Errorf("answer %q: %w", body, err)
	}
	return nil
}

// startDrain begins the drain and returns the channel of its result.
func (p *testPort) startDrain() <-chan error {
	ctx, cancel := context.WithTimeout(p.t.Context(), testDrainTime)
	p.t.Cleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- p.drain(ctx) }()
	return done
}

// waitDrained fails the test unless the drain ends without an error within limit and
// without the port having failed.
func (p *testPort) waitDrained(done <-chan error, limit time.Duration) {
	p.t.Helper()
	select {
	case err := <-done:
		if err != nil {
			p.t.Errorf("drain: %v", err)
		}
	case <-time.After(limit):
		p.t.Fatalf("the drain has not ended within %v", limit)
	}
	select {
	case err := <-p.failed:
		p.t.Errorf("the drain made the port fail: %v", err)
	default:
	}
}

// Guards against losing a request that the process has read from a kept connection
// but not yet parsed when the drain begins: the connection was still idle to net/http.
func TestDrainAnswersRequestReadFromKeptConnection(t *testing.T) {
	l := &slowListener{TCPListener: listenForTest(t), slow: make(chan struct{}), read: make(chan struct{}, 9)}
	p := openTestPort(t, l, serveAnswer)
	c := p.dial()
	c.send(testRequest)
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	close(l.slow)
	c.send(testRequest)
	<-l.read
	done := p.startDrain()
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	p.waitDrained(done, testDrainTime)
}

// Guards against losing the first request of a connection that has been read but not
// yet parsed when the drain begins: net/http dropped it as the server was stopping.
func TestDrainAnswersFirstRequestThatWasRead(t *testing.T) {
	l := &slowListener{TCPListener: listenForTest(t), slow: make(chan struct{}), read: make(chan struct{}, 9)}
	close(l.slow)
	p := openTestPort(t, l, serveAnswer)
	c := p.dial()
	c.send(testRequest)
	<-l.read
	done := p.startDrain()
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	p.waitDrained(done, testDrainTime)
}

// Guards against losing a request that arrives on a kept connection just after the
// drain has begun: the connection was closed although its caller was about to use it.
func TestDrainAnswersRequestSentAsItBegins(t *testing.T) {
	p := openTestPort(t, listenForTest(t), serveAnswer)
	c := p.dial()
	c.send(testRequest)
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	done := p.startDrain()
	time.Sleep(10 * time.Millisecond) // the drain has begun
	c.send(testRequest)
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	p.waitDrained(done, testDrainTime)
}

// lateListener accepts connections whose reads, once they have timed out, wait before
// they say so, as those of a process that is not running.
type lateListener struct {
	*net.TCPListener
	expired chan struct{} // receives a value when a read has timed out
	resume  chan struct{} // closed when that read goes on
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c, l: l}, nil
}

type lateConn struct {
	net.Conn
	l *lateListener
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.l.expired <- struct{}{}
		<-c.l.resume
	}
	return n, err
}

// Guards against losing a request that waits in the kernel because the process was not
// running while its connection's read deadline passed.
func TestDrainAnswersRequestThatWaitsInTheKernel(t *testing.T) {
	l := &lateListener{TCPListener: listenForTest(t), expired: make(chan struct{}, 9), resume: make(chan struct{})}
	p := openTestPort(t, l, serveAnswer)
	c := p.dial()
	done := p.startDrain()
	select {
	case <-l.expired:
	case err := <-done:
		t.Fatalf("the connection was closed without a last read; drain: %v", err)
	}
	c.send(testRequest)
	time.Sleep(20 * time.Millisecond) // the bytes reach the kernel
	close(l.resume)
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	p.waitDrained(done, testDrainTime)
}

// Guards against a drain that waits for connections that stay silent.
func TestDrainEndsSilentConnections(t *testing.T) {
	p := openTestPort(t, listenForTest(t), serveAnswer)
	kept, fresh := p.dial(), p.dial()
	kept.send(testRequest)
	if err := kept.receive(); err != nil {
		t.Fatal(err)
	}
	p.waitDrained(p.startDrain(), 3*time.Second)
	for name, c := range map[string]*testCaller{"kept": kept, "fresh": fresh} {
		if n, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%s connection: read %d bytes, %v", name, n, err)
		}
	}
}

// Guards against cutting off a request whose body arrives during the drain: the read
// deadline of a connection that waits for a request must not outlive the wait.
func TestDrainWaitsForBodies(t *testing.T) {
	p := openTestPort(t, listenForTest(t), func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		serveAnswer(w, r)
	})
	before, after := p.dial(), p.dial()
	const head = "POST / HTTP/1.1\r\nHost: t.example\r\nContent-Length: 4\r\n\r\n"
	before.send(head)
	time.Sleep(50 * time.Millisecond)
	done := p.startDrain()
	after.send(head)
	time.Sleep((newSilence + 200*clock.Millisecond).Duration())
	for _, c := range []*testCaller{before, after} {
		c.send("body")
		if err := c.receive(); err != nil {
			t.Error(err)
		}
	}
	p.waitDrained(done, testDrainTime)
}

// Guards against a connection that becomes idle during the drain and keeps the drain
// waiting until its idle time-out.
func TestDrainEndsConnectionsThatBecomeIdle(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	p := openTestPort(t, listenForTest(t), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(testAnswer)))
		_ = http.NewResponseController(w).Flush()
		close(begun)
		<-finish
		serveAnswer(w, r)
	})
	c := p.dial()
	c.send(testRequest)
	<-begun
	done := p.startDrain()
	time.Sleep((2 * idleSilence).Duration())
	close(finish)
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	p.waitDrained(done, 3*time.Second)
}

// Guards against a drain whose time has ended and that reports requests in flight
// where there are only silent connections, or none where there is one.
func TestDrainReportsRequestsInFlightAtItsEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	silent := openTestPort(t, listenForTest(t), serveAnswer)
	silent.dial()
	if err := silent.drain(ctx); err != nil {
		t.Errorf("with a silent connection: %v", err)
	}
	begun, finish := make(chan struct{}), make(chan struct{})
	defer close(finish)
	busy := openTestPort(t, listenForTest(t), func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-finish
	})
	busy.dial().send(testRequest)
	<-begun
	if err := busy.drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("with a request in flight: %v", err)
	}
}

// heldListener does not accept before it is released, as in a process that is not
// running.
type heldListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// Guards against resetting connections that the kernel has established and that wait to
// be accepted, with their requests, as the listener is closed.
func TestDrainAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	l := &heldListener{TCPListener: listenForTest(t), release: make(chan struct{})}
	p := openTestPort(t, l, serveAnswer)
	callers := make([]*testCaller, 5)
	for i := range callers {
		callers[i] = p.dialOnly()
		callers[i].send(testRequest)
	}
	done := p.startDrain()
	time.Sleep(50 * time.Millisecond) // longer than one wait for connections
	close(l.release)
	for i, c := range callers {
		if err := c.receive(); err != nil {
			t.Errorf("caller %d: %v", i, err)
		}
	}
	p.waitDrained(done, testDrainTime)
}

// Guards against a drain that accepts connections without end because they keep coming.
func TestDrainEndsWhileConnectionsKeepComing(t *testing.T) {
	p := openTestPort(t, listenForTest(t), serveAnswer)
	drained := make(chan struct{})
	dialled := make(chan int, 1)
	go func() {
		n := 0
		defer func() { dialled <- n }()
		for {
			select {
			case <-drained:
				return
			case <-p.listener.accepted: // keeps room for more
			case <-time.After(time.Millisecond):
				if c, err := net.Dial("tcp", p.listener.Addr().String()); err == nil {
					n++
					_ = c.Close()
				}
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	done := p.startDrain()
	p.waitDrained(done, 3*time.Second)
	close(drained)
	if n := <-dialled; n < 10 {
		t.Errorf("only %d connections came", n)
	}
}
