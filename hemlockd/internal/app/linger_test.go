package app

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a drain that waits for a caller that has its answer and sends without end.
func TestDrainEndsConnectionsOfCallersThatKeepSending(t *testing.T) {
	p := openTestPort(t, listenForTest(t), func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		serveAnswer(w, r)
	})
	p.startStop()
	c := p.dial()
	c.send(testRequest)
	go func() {
		for {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	if err := c.receive(); err != nil {
		t.Error(err)
	}
	p.waitDrained(p.startDrain(), 3*time.Second)
}

// Guards against a request that crosses the close of an idle connection and is read, but not answered: its caller could not
// tell that it has not run (LOST).
func TestDrainReadsNothingFromIdleConnectionsItHasClosed(t *testing.T) {
	p := openTestPort(t, listenForTest(t), serveAnswer)
	c := p.dial()
	c.send(testRequest)
	if err := c.receive(); err != nil {
		t.Fatal(err)
	}
	p.startStop()
	drained := p.startDrain()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("idle connection of a draining port: %v, want its end", err)
	}
	c.send(testRequest)
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Write([]byte(testRequest)); err == nil {
		t.Error("the connection is read on after its close")
	}
	p.waitDrained(drained, 3*time.Second)
}
