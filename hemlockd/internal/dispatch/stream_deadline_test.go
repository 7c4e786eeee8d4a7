package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
)

// TestStreamEndsAtItsDeadline guards against a request that is held for good after its time
// limit, with its connection and its placement, because the end of the stream went unnoticed.
// It depended on a random choice, hence the number of requests.
func TestStreamEndsAtItsDeadline(t *testing.T) {
	s := newSetup(noFaults)
	s.waitUpTo(100)
	s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
		reader, writer := io.Pipe()
		context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
		return &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true, Body: reader}
	}
	s.route("once").TimeoutMs = 100
	var all sync.WaitGroup
	for i := range 12 {
		for _, route := range []string{"once", "resumable"} {
			all.Go(func() { s.ask(fmt.Sprint(route, i), "/"+route+"/x") })
		}
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Errorf("%d of 24 requests are still held 3 s after their limit of 100 ms", s.dispatcher.OpenRequests())
	}
}
