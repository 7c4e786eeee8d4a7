package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/clock"
)

// TestLargeAnswerIsReadAsLongAsItGoesOn guards against a daemon with a narrow link that never
// gets the settings: the time-out of the call knew no size.
func TestLargeAnswerIsReadAsLongAsItGoesOn(t *testing.T) {
	const pieces, timeout = 10, 300 * clock.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range pieces {
			_, _ = fmt.Fprint(w, strings.Repeat("x", 100))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	defer server.Close()
	c, closeConnection := newConnection(server.URL, "", timeout)
	defer closeConnection()
	if _, answer, err := c.do(context.Background(), "read", http.MethodGet, "/", nil); err != nil || len(answer) != 100*pieces {
		t.Errorf("%d bytes, %v", len(answer), err)
	}
}

// TestAnswerThatIsStuckIsGivenUp checks the bound that remains.
func TestAnswerThatIsStuckIsGivenUp(t *testing.T) {
	stuck := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "begun")
		_ = http.NewResponseController(w).Flush()
		<-stuck
	}))
	defer server.Close()
	defer close(stuck)
	c, closeConnection := newConnection(server.URL, "", 200*clock.Millisecond)
	defer closeConnection()
	started := time.Now()
	if _, _, err := c.do(context.Background(), "read", http.MethodGet, "/", nil); err == nil || time.Since(started) > 2*time.Second {
		t.Errorf("error %v after %v", err, time.Since(started))
	}
}
