package vmlist

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/hemlockd/internal/process"
)

// TestSilentReadDelaysALeavingUpstreamWithinTheLimit guards against new work at an upstream
// more than 5 s after the list has shown that it leaves: a read without an answer took 2 s
// and the next one came no sooner than the interval, to which the second until the engines
// are looked through and the way of the call add.
func TestSilentReadDelaysALeavingUpstreamWithinTheLimit(t *testing.T) {
	const (
		limit     = 5 * clock.Second
		reconcile = clock.Second
		callReach = 500 * clock.Millisecond
	)
	var reads, leaving atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reads.Add(1) == 2 {
			<-r.Context().Done()
			return
		}
		state := "live"
		if leaving.Load() != 0 {
			state = platform.StateLeaving
		}
		_, _ = w.Write([]byte(`[{"targets":[],"labels":{"` + platform.LabelName + `":"decode-1","` + platform.LabelState + `":"` + state + `"}}]`))
	}))
	defer server.Close()
	cfg := process.DefaultConfig()
	client, closeClient := platform.NewVMs(server.URL, "", cfg.PlatformTimeoutMs)
	defer closeClient()
	l, stop := New(process.Environment{Log: zap.NewNop(), Clock: clock.System(), Config: cfg}, client, func(string) {})
	defer stop()
	for reads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // until the first read has ended
	left := time.Now()
	leaving.Store(1)
	for !l.Leaving("decode-1") && time.Since(left) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := clock.Millis(time.Since(left).Milliseconds()); took > limit-reconcile-callReach {
		t.Errorf("leaving is known after %d ms, want at most %d", took, limit-reconcile-callReach)
	}
}
