package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
)

// reachableUpstreams answers the health checks of all upstreams that have an id.
type reachableUpstreams struct{ *fakeUpstreams }

func (reachableUpstreams) Probe(_ context.Context, to routing.Upstream, _ string) error {
	if to.ID == "" {
		return errors.New("no address")
	}
	return nil
}

// TestLostStreamOfUnlistedEngineIsNoCrash guards against a request that is refused as one that
// crashes engines because its engine was taken off the list during its stream, as a planned
// change does: the health check had no address.
func TestLostStreamOfUnlistedEngineIsNoCrash(t *testing.T) {
	s := newSetup(noFaults)
	s.dispatcher.opts.Upstreams = reachableUpstreams{s.upstreams}
	dir := s.dispatcher.opts.Directory.(*fakeDirectory)
	listed := dir.upstreams["model"]
	s.upstreams.decode = func(context.Context, routing.Upstream, calls.Delivery) *calls.Reply {
		dir.upstreams["model"] = listed[:2] // the prefill engines
		body := (&slowStream{pieces: []string{eventsAfter(events - 2)}}).newReply(context.Background()).Body
		return &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true, Body: io.NopCloser(brokenBody{body})}
	}
	for range 2 {
		s.ask("r", "/once/x")
		dir.upstreams["model"] = listed
		s.dispatcher.RefreshEngines()
		time.Sleep(20 * time.Millisecond)
	}
	if answer, _ := s.ask("r", "/once/x"); answer.Code == http.StatusServiceUnavailable {
		t.Errorf("the request is refused: %s", answer.Body.String())
	}
}
