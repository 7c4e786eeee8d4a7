package placements

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform/memory"
	"hemlockmux.example/hemlockd/internal/process"
)

// TestRecordsOutliveARestoreOfTheTable guards against a placement that runs again since the table has lost its
// record: claims are refused as not run until all daemons have written theirs again, whichever daemon
// is asked, also the one that had made the record.
func TestRecordsOutliveARestoreOfTheTable(t *testing.T) {
	for _, state := range []State{Started, Finished} {
		for asked := range 2 {
			synctest.Test(t, func(t *testing.T) {
				now := clock.NewManual(clock.Minute)
				table := memory.New()
				env := process.Environment{Log: zap.NewNop(), Clock: now.Clock(), Invariants: invariant.New(zap.NewNop()), Config: process.Config{Name: "d", PlatformTimeoutMs: 500}}
				var ledgers []*Ledger
				for range 2 {
					l, closeLedger := New(env, table, func() clock.Millis { return 1 })
					defer closeLedger()
					ledgers = append(ledgers, l)
				}
				pass := func(span clock.Millis) {
					now.Advance(span)
					time.Sleep(span.Duration())
					synctest.Wait()
				}
				pass(100)
				table.Copy()
				claim, err := ledgers[0].Claim(t.Context(), "placements/k", Record{Digest: "d"})
				if err != nil || !claim.Won {
					t.Fatalf("claim %+v, error %v", claim, err)
				}
				if state == Finished {
					ledgers[0].Finish(claim, Answer{Status: 201})
				}
				pass(100)
				table.Restore()
				var refused *UnavailableError
				if c, err := ledgers[asked].Claim(t.Context(), "placements/k", Record{Digest: "d"}); !errors.As(err, &refused) {
					t.Errorf("%s, asked %d: claim %+v, error %v just after the restore, want a refusal", state, asked, c, err)
				}
				pass(restoreQuiet + clock.Second)
				c, err := ledgers[asked].Claim(t.Context(), "placements/k", Record{Digest: "d"})
				if err != nil || c.Won || c.Record.State != state || c.Record.Nonce != claim.Record.Nonce {
					t.Errorf("%s, asked %d: claim %+v, error %v, want the record of the first", state, asked, c, err)
				}
				c, err = ledgers[asked].Claim(t.Context(), "placements/other", Record{Digest: "d"})
				if err != nil || !c.Won {
					t.Errorf("a new key: claim %+v, error %v", c, err)
				}
			})
		}
	}
}
