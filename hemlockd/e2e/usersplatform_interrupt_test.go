package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against SIGINT that ends a stop by closed connections: callers whose answer has not begun get one.
func TestPlatformInterruptedStopIsTold(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	done := make(chan platformResponse, 1)
	go func() {
		done <- p.send(d, "waits", "/order/x", "a body", map[string]string{"X-Standin-Interval": "4000"})
	}()
	time.Sleep(300 * time.Millisecond)
	p.signal(d, syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	p.signal(d, syscall.SIGINT)
	if a := <-done; a.err != nil || a.status < http.StatusInternalServerError {
		t.Errorf("status %d: %v", a.status, a.err)
	}
}
