package placements

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/platform/memory"
	"hemlockmux.example/hemlockd/internal/process"
)

// slowTable takes 50 ms for a transaction.
type slowTable struct{ *memory.Table }

func (t slowTable) Txn(ctx context.Context, req platform.TxnRequest) (platform.TxnResponse, error) {
	if !clock.Sleep(ctx, 50) {
		return platform.TxnResponse{}, &platform.UnavailableError{Op: "txn", Err: ctx.Err()}
	}
	return t.Table.Txn(ctx, req)
}

// TestCloseWaitsForOutcomes guards against an answer that is lost to repeats of its key, because the
// daemon ended between the answer and its record, and against a close without a bound.
func TestCloseWaitsForOutcomes(t *testing.T) {
	log := zap.NewNop()
	env := process.Environment{Log: log, Clock: clock.System(), Invariants: invariant.New(log), Config: process.Config{Name: "vm-1", PlatformTimeoutMs: 500}}
	table := memory.New()
	ledger, closeLedger := New(env, slowTable{table}, func() clock.Millis { return 1 })
	claim, err := ledger.Claim(t.Context(), "placements/k", Record{Digest: "d"})
	if err != nil || !claim.Won {
		t.Fatalf("claim %+v, error %v", claim, err)
	}
	ledger.Finish(claim, Answer{Status: 201})
	closeLedger()
	record, _, err := ledger.Lookup(t.Context(), "placements/k")
	if err != nil || record.State != Finished {
		t.Errorf("the record is %q, error %v; want %q", record.State, err, Finished)
	}

	down := &faultyTable{Table: memory.New()}
	ledger, closeLedger = New(env, down, func() clock.Millis { return 1 })
	claim, err = ledger.Claim(t.Context(), "placements/k", Record{Digest: "d"})
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		down.script = append(down.script, "down")
	}
	ledger.Finish(claim, Answer{Status: 201})
	started := time.Now()
	closeLedger()
	if elapsed := time.Since(started); elapsed > 3*time.Second {
		t.Errorf("close took %v", elapsed)
	}
}
