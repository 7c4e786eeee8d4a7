package placements

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/platform/memory"
	"hemlockmux.example/hemlockd/internal/process"
)

// faultyTable injects a platform's faults: it is down, the response is lost after the write
// took effect, or the write takes effect only after its caller gave up.
type faultyTable struct {
	*memory.Table
	mu      sync.Mutex
	script  []string
	delayed []platform.TxnRequest
}

func (t *faultyTable) Txn(ctx context.Context, req platform.TxnRequest) (platform.TxnResponse, error) {
	if onlyReads(req) {
		return t.Table.Txn(ctx, req)
	}
	t.mu.Lock()
	fault := "none"
	if len(t.script) > 0 {
		fault, t.script = t.script[0], t.script[1:]
	}
	t.mu.Unlock()
	uncertain := &platform.UnavailableError{Op: "txn", MayHaveTakenEffect: true, Err: errors.New(fault)}
	switch fault {
	case "down":
		return platform.TxnResponse{}, &platform.UnavailableError{Op: "txn", Err: errors.New(fault)}
	case "responseLost":
		_, _ = t.Table.Txn(ctx, req)
		return platform.TxnResponse{}, uncertain
	case "delayed":
		t.mu.Lock()
		t.delayed = append(t.delayed, req)
		t.mu.Unlock()
		return platform.TxnResponse{}, uncertain
	}
	return t.Table.Txn(ctx, req)
}

// applyDelayed lets one delayed write take effect.
func (t *faultyTable) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.delayed) > 0 {
		_, _ = t.Table.Txn(context.Background(), t.delayed[0])
		t.delayed = t.delayed[1:]
	}
}

func newTestLedger(t interface{ Cleanup(func()) }, table Table, name string) *Ledger {
	log := zap.NewNop()
	env := process.Environment{Log: log, Clock: clock.System(), Invariants: invariant.New(log), Config: process.Config{Name: name}}
	ledger, closeLedger := New(env, table, func() clock.Millis { return 0 })
	ledger.initialBackoff = 0
	t.Cleanup(closeLedger)
	return ledger
}

// Property: whatever faults the table has and whichever daemons make claims, the call of a key is
// dispatched at most once unless its claim is released, and a replayed answer is the recorded one.
// HEMLOCK_BREAK=blindTable makes the table ignore conditions.
func TestClaimIsWonAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &faultyTable{Table: memory.New()}
		table.IgnoreCompare.Store(os.Getenv("HEMLOCK_BREAK") == "blindTable")
		ledgers := []*Ledger{newTestLedger(t, table, "a"), newTestLedger(t, table, "b"), newTestLedger(t, table, "c")}
		running := map[string]int{} // by key: calls dispatched and not released
		finished := map[string]string{}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key := Key("team", "desk", rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"))
				faults := rapid.SampledFrom([]string{"none", "none", "down", "responseLost", "delayed"})
				table.mu.Lock()
				table.script = rapid.SliceOfN(faults, 0, 4).Draw(t, "faults")
				table.mu.Unlock()
				ledger := rapid.SampledFrom(ledgers).Draw(t, "daemon")
				claim, err := ledger.Claim(context.Background(), key, Record{Digest: "d", RequestID: "r"})
				if err == nil && !claim.Won && claim.Record.State == Finished && finished[key] != string(claim.Record.Answer.Body) {
					t.Fatalf("replayed %q, but the recorded answer was %q", claim.Record.Answer.Body, finished[key])
				}
				if err != nil || !claim.Won {
					return
				}
				running[key]++
				if running[key] > 1 {
					t.Fatalf("key %s was dispatched %d times", key, running[key])
				}
				switch rapid.SampledFrom([]string{"finish", "release", "die"}).Draw(t, "end") {
				case "finish":
					finished[key] = fmt.Sprint("answer of ", claim.Record.Nonce)
					ledger.Finish(claim, Answer{Status: 201, Body: []byte(finished[key])})
				case "release":
					running[key]--
					ledger.Release(claim)
				}
			},
			"applyDelayed": func(*rapid.T) { table.applyDelayed() },
		})
	})
}

// onlyReads reports whether a transaction is a look for a restore, which ledgers make by themselves.
func onlyReads(req platform.TxnRequest) bool {
	return !slices.ContainsFunc(req.Success, func(op platform.RequestOp) bool { return op.RequestRange == nil })
}

// heldTable holds the first transaction that writes until release is closed.
type heldTable struct {
	*memory.Table
	calls   atomic.Int64
	release chan struct{}
}

func (t *heldTable) started() int64 { return t.calls.Load() }

func (t *heldTable) Txn(ctx context.Context, req platform.TxnRequest) (platform.TxnResponse, error) {
	if !onlyReads(req) && t.calls.Add(1) == 1 {
		<-t.release
	}
	return t.Table.Txn(ctx, req)
}

// queued returns the number of writes that wait for a transaction.
func (b *batcher) queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Claims that are made during one transaction share the next ones, one for each time that a key
// occurs, and each gets its own outcome.
func TestClaimsAreBatched(t *testing.T) {
	table := &heldTable{Table: memory.New(), release: make(chan struct{})}
	ledger := newTestLedger(t, table, "a")
	const keys, claimsPerKey = maxBatch, 3
	var won sync.Map
	var all sync.WaitGroup
	claim := func(i int) {
		key := Key("team", "desk", fmt.Sprint(i%keys))
		claim, err := ledger.Claim(context.Background(), key, Record{Digest: "d"})
		if err != nil {
			t.Error(err)
		}
		if claim.Won {
			if _, twice := won.LoadOrStore(key, true); twice {
				t.Errorf("%s was won twice", key)
			}
		}
	}
	all.Go(func() { claim(0) })
	for table.started() == 0 {
		runtime.Gosched()
	}
	for i := 1; i < keys*claimsPerKey; i++ {
		all.Go(func() { claim(i) })
	}
	for ledger.batch.queued() < keys*claimsPerKey-1 {
		runtime.Gosched()
	}
	close(table.release)
	all.Wait()
	if writes := table.Writes.Load(); writes > 1+claimsPerKey {
		t.Errorf("%d transactions for %d claims, want %d at most", writes, keys*claimsPerKey, 1+claimsPerKey)
	}
	winners := 0
	won.Range(func(any, any) bool {
		winners++
		return true
	})
	if winners != keys {
		t.Errorf("%d claims were won, want %d", winners, keys)
	}
}
