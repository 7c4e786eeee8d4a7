package placements

import (
	"context"
	"errors"
	"maps"
	"sync"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
)

const (
	// keptSpan is how long a daemon keeps the records that it has written: a table that comes back from
	// a copy may have lost those of that time.
	keptSpan = clock.Minute
	// maxKeptBytes bounds the answers in them.
	maxKeptBytes = 8 << 20
	// restoreCheckInterval is the time between two looks for a restore while records are kept.
	restoreCheckInterval = 2 * clock.Second
	// restoreQuiet is how long no claim is made after a restore: by then each daemon has seen it and has
	// written again what it keeps.
	restoreQuiet = 5 * clock.Second
)

// errRestored is why no claim is made for a while.
var errRestored = errors.New("the table has come back from an older copy; records are being written again")

// keptRecord is a record that this daemon has written lately.
type keptRecord struct {
	record Record
	atMs   clock.Millis
}

// history tells a restore of the table and keeps what has to be written again then. It is safe for
// concurrent use.
type history struct {
	clk clock.Clock

	mu sync.Mutex
	// clusterID is that of the table's answers; 0 if it has not answered or does not say.
	clusterID    uint64
	quietUntilMs clock.Millis
	kept         map[string]keptRecord // by key
	keptBytes    int
}

func newHistory(clk clock.Clock) *history { return &history{clk: clk, kept: map[string]keptRecord{}} }

// answered records an answer of the table and reports whether it tells of a restore.
func (h *history) answered(clusterID uint64) (restored bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	restored = h.clusterID != 0 && clusterID != 0 && clusterID != h.clusterID
	if clusterID != 0 {
		h.clusterID = clusterID
	}
	if restored {
		h.quietUntilMs = h.clk.Now() + restoreQuiet
	}
	return restored
}

// known reports whether the table has told its cluster ID.
func (h *history) known() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clusterID != 0
}

// quiet reports whether no claim may be made now.
func (h *history) quiet() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clk.Now() < h.quietUntilMs
}

// keep keeps a record, in place of an earlier one of its key.
func (h *history) keep(key string, r Record) {
	now := h.clk.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropLocked(key)
	h.kept[key] = keptRecord{record: r, atMs: now}
	h.keptBytes += r.bytes()
	for k, old := range h.kept {
		if k != key && (now-old.atMs > keptSpan || h.keptBytes > maxKeptBytes) {
			h.dropLocked(k)
		}
	}
}

// drop forgets the record of a key.
func (h *history) drop(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropLocked(key)
}

func (h *history) dropLocked(key string) {
	if old, ok := h.kept[key]; ok {
		h.keptBytes -= old.record.bytes()
		delete(h.kept, key)
	}
}

// all returns the records that are kept.
func (h *history) all() map[string]keptRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clk.Now()
	maps.DeleteFunc(h.kept, func(_ string, k keptRecord) bool {
		if now-k.atMs <= keptSpan {
			return false
		}
		h.keptBytes -= k.record.bytes()
		return true
	})
	return maps.Clone(h.kept)
}

// bytes returns the size of the record's answer.
func (r Record) bytes() int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body)
}

// run looks for a restore while records are kept, also when there are no claims, and until the table's
// cluster ID is known.
func (l *Ledger) run(ctx context.Context) {
	for first := true; first || clock.Sleep(ctx, restoreCheckInterval); first = false {
		if l.history.known() && len(l.history.all()) == 0 {
			continue
		}
		resp, err := l.table.Txn(ctx, platform.TxnRequest{Success: []platform.RequestOp{platform.Read(keyPrefix)}})
		if err == nil {
			l.tableAnswered(resp.Header)
		}
	}
}

// tableAnswered records an answer of the table, and has the kept records written again after a restore.
func (l *Ledger) tableAnswered(header platform.ResponseHeader) {
	if !l.history.answered(header.ClusterID) {
		return
	}
	kept := l.history.all()
	l.env.Log.Warn("the table has come back from an older copy; writing placement records again", zap.Int("records", len(kept)))
	metrics.Add("restores", 1)
	for key, k := range kept {
		l.settling.Add(1)
		go l.runRewrite(key, k.record)
	}
}

// runRewrite writes a record again unless the table has the call's own or a finished one. A row that
// another call has made since the restore gives way once it is released: that call was not run.
func (l *Ledger) runRewrite(key string, record Record) {
	defer l.settling.Add(-1)
	wait, condition := l.initialBackoff, platform.Absent(key)
	for range maxSettleWrites {
		result, err := l.batch.submit(l.ctx, key, condition, record)
		if err == nil && (result.written || result.row.State == Finished || result.row.Nonce == record.Nonce) {
			return
		}
		if err == nil && result.row.State == Released {
			condition = platform.Unchanged(key, result.revision)
			continue
		}
		condition = platform.Absent(key)
		if !clock.Sleep(l.ctx, wait) {
			return
		}
		wait = min(2*wait, maxSettleBackoff)
	}
	metrics.Add("rewriteGivenUp", 1)
	l.env.Log.Error("placement record could not be written again", zap.String("key", key), zap.String("requestId", record.RequestID))
}
