package callers

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// outcome is the end of a call.
type outcome struct {
	answer
	err error
}

// start sends a completion in the background.
func (p *testPort) start(stream bool) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		a, err := p.call(http.MethodPost, completions.Path, completion(stream))
		done <- outcome{answer: a, err: err}
	}()
	return done
}

// awaitRuns waits until the keeper has so many runs in progress.
func (p *testPort) awaitRuns(n int) {
	p.t.Helper()
	for range 200 {
		if p.keeper.Active() == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatalf("%d runs, want %d", p.keeper.Active(), n)
}

// startAndQueue starts one call that occupies the only slot until the test ends, and
// one that is queued behind it.
func startAndQueue(t *testing.T) (p *testPort, policy, prefill string, queued <-chan outcome) {
	policy = "firstTokenMs = 60000\nstallMs = 60000\n"
	prefill = upstream("p1", settings.KindPrefill, "m", prefillEngine(t))
	busy := engine(t, func(w http.ResponseWriter, r *http.Request) {
		events(chunkText("a"))(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	p = newTestPort(t, policy, prefill, upstream("d1", settings.KindDecode, "m", busy))
	p.start(true)
	p.awaitRuns(1)
	time.Sleep(100 * time.Millisecond) // until it is admitted
	queued = p.start(false)
	p.awaitRuns(2)
	return p, policy, prefill, queued
}

// TestQueuedRequestRunsOnNewEngine guards against a queued request that fails, or counts as
// a crash of its engine, because it is granted an engine that the settings have since added.
func TestQueuedRequestRunsOnNewEngine(t *testing.T) {
	p, policy, prefill, queued := startAndQueue(t)
	p.apply(2, policy, prefill, upstream("d2", settings.KindDecode, "m", engine(t, events(chunkText("b"), completions.DoneEvent))))
	select {
	case o := <-queued:
		if o.err != nil || o.status != http.StatusOK || !strings.Contains(o.body, `"text":"b"`) {
			t.Errorf("status %d, error %v, body %s", o.status, o.err, o.body)
		}
	case <-time.After(5 * time.Second):
		t.Error("the queued request got no answer")
	}
}

// TestQueuedRequestOfRemovedEnginesIsRefused guards against a queued request that waits for ever
// once the settings have no engine for it.
func TestQueuedRequestOfRemovedEnginesIsRefused(t *testing.T) {
	p, _, _, queued := startAndQueue(t)
	p.apply(2, "firstTokenMs = 500\n")
	select {
	case o := <-queued:
		if o.err != nil || o.status != http.StatusServiceUnavailable || o.problem.Ran != problem.RanNo {
			t.Errorf("status %d, error %v, body %s", o.status, o.err, o.body)
		}
	case <-time.After(5 * time.Second):
		t.Error("the queued request got no answer")
	}
}
