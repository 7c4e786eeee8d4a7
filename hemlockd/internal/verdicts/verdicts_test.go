package verdicts

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/process"
)

// fakePeers holds copies in memory. It rejects them while unavailable is set.
type fakePeers struct {
	mu          sync.Mutex
	held        copies
	unavailable bool
}

func (p *fakePeers) CopyHolder() string { return "holder" }

func (p *fakePeers) CopyVerdicts(_ context.Context, _ string, req daemons.CopyRequest) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unavailable {
		return &platform.UnavailableError{Op: "copy"}
	}
	p.held.add(req)
	return nil
}

// newTestRecorder returns a recorder whose object store responds with status 503 while
// outage has the key "down".
func newTestRecorder(t *testing.T, peers Peers, outage *sync.Map, violated *int) *Recorder {
	objects := map[string]bool{}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, down := outage.Load("down"); down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		objects[r.URL.Path] = true
	}))
	t.Cleanup(store.Close)
	client, closeClient := platform.NewObjects(store.URL, "b", "", clock.Second)
	t.Cleanup(closeClient)
	log := zap.NewNop()
	inv := invariant.New(log)
	inv.OnViolation(func(invariant.Name, string) { *violated++ })
	cfg := process.DefaultConfig()
	cfg.Name = "vm-1"
	env := process.Environment{Log: log, Clock: clock.System(), Config: cfg, Invariants: inv, Incarnation: 1}
	r, closeRecorder := New(env, client, peers, func() clock.Millis { return clock.Hour })
	t.Cleanup(closeRecorder)
	return r
}

// record opens and closes a request that ends at a given time, and returns its ID.
func record(r *Recorder, end clock.Millis) string {
	id := verdict.NewID("vm-1", end)
	v := verdict.Verdict{RequestID: id, StartMs: end, Daemon: "vm-1"}
	r.Open(v)
	v.Outcome, v.Ran, v.EndMs = verdict.OutcomeRefused, problem.RanNo, end
	r.Close(context.Background(), v)
	return id
}

func TestRequestHasOneVerdict(t *testing.T) {
	var outage sync.Map
	violated := 0
	r := newTestRecorder(t, &fakePeers{held: newCopies("vm-1")}, &outage, &violated)
	id := record(r, 1000)
	r.Close(context.Background(), verdict.Verdict{RequestID: id, Outcome: verdict.OutcomeRun})
	if violated != 1 {
		t.Errorf("a second verdict violated %d invariants, want 1", violated)
	}
	if found := r.Find(daemons.FindRequest{RequestID: id}); found.Verdict.Outcome != verdict.OutcomeRefused {
		t.Errorf("the verdict is %q after a second one, want the first", found.Verdict.Outcome)
	}
}

// TestVerdictsQuoteLittle guards against callers whose paths are as long as a head may be, and upstreams with long errors: the
// verdicts that are kept quoted all of it.
func TestVerdictsQuoteLittle(t *testing.T) {
	var outage sync.Map
	violated := 0
	r := newTestRecorder(t, &fakePeers{held: newCopies("vm-2")}, &outage, &violated)
	v := verdict.Verdict{RequestID: verdict.NewID("vm-1", 1000)}
	r.Open(v)
	v.Detail, v.Attempts = strings.Repeat("\u00e4", 30_000), []verdict.Attempt{{Upstream: "u", Cause: strings.Repeat("x", 60_000)}}
	r.Close(context.Background(), v)
	kept := r.Find(daemons.FindRequest{RequestID: v.RequestID}).Verdict
	if n := len(kept.Detail); n > maxTextBytes+len("...") || n < maxTextBytes/2 || !utf8.ValidString(kept.Detail) {
		t.Errorf("a detail of %d bytes is kept", n)
	}
	if n := len(kept.Attempts[0].Cause); n > maxTextBytes+len("...") {
		t.Errorf("a cause of %d bytes is kept", n)
	}
	if len(v.Attempts[0].Cause) != 60_000 {
		t.Error("the caller's verdict was changed")
	}
}

// TestVerdictsOfACrowd checks that a crowd of requests does not pile up verdicts in memory, here or at the holder of the
// copies, beyond what is compressed, and that each is still found.
func TestVerdictsOfACrowd(t *testing.T) {
	var outage sync.Map
	violated := 0
	peers := &fakePeers{held: newCopies("vm-2")}
	r := newTestRecorder(t, peers, &outage, &violated)
	outage.Store("down", true)
	const crowd = 4*maxUnsealed + 10
	ids := make([]string, crowd)
	var wg sync.WaitGroup
	for worker := range 16 {
		wg.Go(func() {
			for i := worker; i < crowd; i += 16 {
				ids[i] = record(r, clock.Millis(1000+i))
			}
		})
	}
	wg.Wait()
	r.mu.Lock()
	unstored, recent := len(r.unstored), len(r.recent)
	r.mu.Unlock()
	peers.mu.Lock()
	copied := len(peers.held.forRun("vm-1~1").ended)
	_, copyFound := peers.held.find(ids[0])
	peers.mu.Unlock()
	if unstored > maxUnsealed || recent > maxRecent+maxUnsealed || copied > 2*maxUnsealed {
		t.Errorf("%d verdicts are in no batch, %d are kept for lookups, the holder has %d copies", unstored, recent, copied)
	}
	for _, i := range []int{0, 1, maxUnsealed, crowd - 1} {
		if !r.Find(daemons.FindRequest{RequestID: ids[i]}).Found {
			t.Errorf("verdict %d can't be found", i)
		}
	}
	if !copyFound {
		t.Error("the copy of the first verdict can't be found")
	}
}

// TestVerdictsOutliveAnOutage checks that verdicts wait in batches, can be found and
// keep their copies during an outage of the store, and are stored after it, so that the
// copies may be deleted.
func TestVerdictsOutliveAnOutage(t *testing.T) {
	var outage sync.Map
	violated := 0
	peers := &fakePeers{held: newCopies("vm-1")}
	r := newTestRecorder(t, peers, &outage, &violated)
	outage.Store("down", true)
	var ids []string
	for i := range 500 {
		ids = append(ids, record(r, clock.Millis(1000+i)))
		if i%100 == 99 {
			r.seal()
			r.upload(context.Background())
		}
	}
	if len(r.segments) != 1 || r.StoredUpTo() != 1000 {
		t.Fatalf("%d batches are waiting, stored up to %d", len(r.segments), r.StoredUpTo())
	}
	clear(r.recent)
	for _, id := range ids {
		if !r.Find(daemons.FindRequest{RequestID: id}).Found {
			t.Fatalf("%s can't be found during the outage", id)
		}
	}
	if v, ok := peers.held.find(ids[0]); !ok || v.Ran != problem.RanNo {
		t.Error("the first verdict has no copy")
	}
	bytes := 0
	for _, s := range r.segments {
		bytes += len(s.body)
	}
	t.Logf("%d bytes for each verdict in a waiting batch", bytes/len(ids))
	outage.Delete("down")
	r.upload(context.Background())
	if len(r.segments) != 0 || r.StoredUpTo() < 2000 {
		t.Errorf("%d batches are waiting, stored up to %d", len(r.segments), r.StoredUpTo())
	}
}

// TestCopiesOfADaemonThatWasTakenForDead checks that no copies are lost if a daemon is
// frozen and so found dead, resumes, sends more copies and dies later.
func TestCopiesOfADaemonThatWasTakenForDead(t *testing.T) {
	c := newCopies("vm-1")
	c.add(daemons.CopyRequest{From: "vm-2~1", Verdicts: []verdict.Verdict{{RequestID: "before", EndMs: 1000}}})
	if verdicts, _ := c.markDead("vm-2~1", 2000); len(verdicts) != 1 {
		t.Fatalf("first death: %v", verdicts)
	}
	c.add(daemons.CopyRequest{From: "vm-2~1", Verdicts: []verdict.Verdict{{RequestID: "after", EndMs: 3000}}})
	verdicts, _ := c.markDead("vm-2~1", 4000)
	if len(verdicts) != 1 || verdicts[0].RequestID != "after" {
		t.Errorf("second death: %v, want the verdict that was copied after the first death", verdicts)
	}
}

// TestCopiesOfADeadDaemon checks the verdicts that a holder makes of a dead daemon's
// copies: those of ended requests stay as they are, open requests get an unknown
// outcome.
func TestCopiesOfADeadDaemon(t *testing.T) {
	c := newCopies("vm-1")
	c.add(daemons.CopyRequest{From: "vm-2~1", Opened: []verdict.Verdict{{RequestID: "open"}, {RequestID: "ended"}}})
	c.add(daemons.CopyRequest{From: "vm-2~1", Verdicts: []verdict.Verdict{
		{RequestID: "ended", Outcome: verdict.OutcomeRefused, Ran: problem.RanNo, EndMs: 50_000}, {RequestID: "stored", EndMs: 10_000},
	}})
	c.add(daemons.CopyRequest{From: "vm-2~1", StoredUpToMs: 20_000 + copyRetention})
	c.add(daemons.CopyRequest{From: "vm-2~1", Batches: []daemons.CopyBatch{{Key: "waits", LastEndMs: 60_000}, {Key: "gone", LastEndMs: 10_000}}, StoredUpToMs: 20_000 + copyRetention})
	got := map[string]problem.Ran{}
	verdicts, batches := c.markDead("vm-2~1", 99)
	if len(batches) != 1 || batches[0].key != "waits" {
		t.Errorf("batches: %+v", batches)
	}
	for _, v := range verdicts {
		got[v.RequestID] = v.Ran
	}
	if len(got) != 2 || got["open"] != problem.RanUnknown || got["ended"] != problem.RanNo {
		t.Errorf("%v", got)
	}
	if again, _ := c.markDead("vm-2~1", 100); again != nil {
		t.Errorf("a death is reported twice: %v", again)
	}
}

// TestCopiesThatWereLostWithAVMAreSentAgain guards against a verdict that is lost though its two VMs
// have died one long after the other: the daemon that held the copy had started again under the same
// name, or had run the request itself, and nobody copied the verdict a second time.
func TestCopiesThatWereLostWithAVMAreSentAgain(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		var outage sync.Map
		violated := 0
		peers := &fakePeers{held: newCopies("vm-1")}
		r := newTestRecorder(t, peers, &outage, &violated)
		id := verdict.NewID("vm-1", 1000)
		v := verdict.Verdict{RequestID: id, StartMs: 1000, Daemon: "vm-1"}
		r.Open(v)
		r.SetCopiedElsewhere(id, elsewhere)
		v.Outcome, v.Ran, v.EndMs = verdict.OutcomeRun, problem.RanYes, r.env.Clock.Now()
		r.Close(context.Background(), v)
		time.Sleep(2 * openCopyInterval.Duration()) // the holder is known by then
		peers.mu.Lock()
		peers.held = newCopies("vm-1") // the process that held the copy has ended
		peers.mu.Unlock()
		r.DaemonDied("holder~1", "holder")
		found := false
		for end := time.Now().Add(5 * time.Second); !found && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			peers.mu.Lock()
			_, found = peers.held.find(id)
			peers.mu.Unlock()
		}
		if !found {
			t.Errorf("copied elsewhere %t: no daemon has a copy 5 s after the death of the one that had it", elsewhere)
		}
	}
}
