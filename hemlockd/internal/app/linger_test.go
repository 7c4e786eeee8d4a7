package app

import (
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
