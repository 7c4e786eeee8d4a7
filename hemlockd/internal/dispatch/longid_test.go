package dispatch

import (
	"strings"
	"sync"
	"testing"

	"hemlockmux.example/hemlockd/internal/peers"
)

// recordingPeers keeps the ids of the runs that the other daemons are told of.
type recordingPeers struct {
	fakePeers
	mu  sync.Mutex
	ids map[string]bool
}

func (p *recordingPeers) Broadcast(u peers.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, run := range u.Runs {
		p.ids[run.ID] = true
	}
	for _, id := range u.Ended {
		p.ids[id] = true
	}
}

// TestRunsOfLongIDsFitIntoMessages guards against callers whose ids are as long as a head may be: the runs of a few of them
// did not fit into a message to the other daemons, which then knew of none.
func TestRunsOfLongIDsFitIntoMessages(t *testing.T) {
	s := newSetup(noFaults)
	p := &recordingPeers{ids: map[string]bool{}}
	s.dispatcher.opts.Peers = p
	for _, id := range []string{"usual", strings.Repeat("x", 10_000), strings.Repeat("x", 10_001)} {
		if answer, cut := s.ask(id, "/once/x"); cut || answer.Code != 200 {
			t.Fatalf("an id of %d bytes: status %d", len(id), answer.Code)
		}
	}
	if !p.ids["usual"] || len(p.ids) != 3 {
		t.Errorf("%d ids of runs, want that of each request", len(p.ids))
	}
	for id := range p.ids {
		if len(id) > maxRunIDBytes {
			t.Errorf("an id of %d bytes", len(id))
		}
	}
}
