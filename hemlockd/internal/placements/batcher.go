package placements

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
)

// maxBatch is the most records in one transaction.
const maxBatch = 100

// batcher writes records in groups: all that came while one transaction was
// under way go into the next, so the table sees few writes.
type batcher struct {
	table    Table
	interval func() clock.Millis

	mu      sync.Mutex
	pending []*write
	wake    chan struct{}
}

// write is one conditional write.
type write struct {
	key       string
	condition platform.Compare
	record    Record
	result    chan writeResult
}

// writeResult is the outcome of one write: the row that stands now, and its
// revision.
type writeResult struct {
	written  bool
	row      Record
	revision int64
	err      error
}

func newBatcher(table Table, interval func() clock.Millis) *batcher {
	return &batcher{table: table, interval: interval, wake: make(chan struct{}, 1)}
}

// do writes a record where the condition holds, else returns the row found.
func (b *batcher) do(ctx context.Context, key string, condition platform.Compare, record Record) (writeResult, error) {
	w := &write{key: key, condition: condition, record: record, result: make(chan writeResult, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, w)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-w.result:
		return result, result.err
	case <-ctx.Done():
		// It may be on its way by now.
		return writeResult{}, ctx.Err()
	}
}

func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for batch := b.next(); len(batch) > 0; batch = b.next() {
			started := time.Now()
			b.send(ctx, batch)
			if !clock.Pause(ctx, max(0, b.interval()-clock.Millis(time.Since(started).Milliseconds()))) {
				return
			}
		}
	}
}

// next takes the writes of the next transaction: each key at most once, since
// the table refuses two writes of a row in one transaction.
func (b *batcher) next() []*write {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{}
	var batch, rest []*write
	for _, w := range b.pending {
		if len(batch) < maxBatch && !seen[w.key] {
			seen[w.key] = true
			batch = append(batch, w)
			continue
		}
		rest = append(rest, w)
	}
	b.pending = rest
	return batch
}

func (b *batcher) send(ctx context.Context, batch []*write) {
	metrics.Add("tableWrites", 1)
	metrics.Add("records", int64(len(batch)))
	txn, err := batchTxn(batch)
	if err != nil {
		reply(batch, writeResult{err: err})
		return
	}
	resp, err := b.table.Txn(ctx, txn)
	if err == nil && len(resp.Responses) != len(batch) {
		err = &platform.UnavailableError{Op: "txn", MayHaveTakenEffect: true, Err: errors.New("answer of another length")}
	}
	if err != nil {
		reply(batch, writeResult{err: err})
		return
	}
	for i, w := range batch {
		w.result <- readResult(resp.Header.Revision, resp.Responses[i].ResponseTxn)
	}
}

func reply(batch []*write, result writeResult) {
	for _, w := range batch {
		w.result <- result
	}
}

// batchTxn nests one conditional write for each record in one transaction, so
// that each has an outcome of its own.
func batchTxn(batch []*write) (platform.TxnRequest, error) {
	var txn platform.TxnRequest
	for _, w := range batch {
		value, err := json.Marshal(w.record)
		if err != nil {
			return txn, fmt.Errorf("encode placement: %w", err)
		}
		txn.Success = append(txn.Success, platform.RequestOp{RequestTxn: &platform.TxnRequest{
			Compare: []platform.Compare{w.condition},
			Success: []platform.RequestOp{platform.Put(w.key, value)},
			Failure: []platform.RequestOp{platform.Read(w.key)},
		}})
	}
	return txn, nil
}

func readResult(revision int64, resp *platform.TxnResponse) writeResult {
	if resp == nil {
		return writeResult{err: &platform.UnavailableError{Op: "txn", MayHaveTakenEffect: true, Err: errors.New("no result")}}
	}
	if resp.Succeeded {
		return writeResult{written: true, revision: revision}
	}
	if len(resp.Responses) == 0 || resp.Responses[0].ResponseRange == nil || len(resp.Responses[0].ResponseRange.Kvs) == 0 {
		// The row has gone in between: a retention job of the platform.
		return writeResult{}
	}
	kv := resp.Responses[0].ResponseRange.Kvs[0]
	var row Record
	if err := json.Unmarshal(kv.Value, &row); err != nil {
		return writeResult{err: fmt.Errorf("decode placement: %w", err)}
	}
	return writeResult{row: row, revision: kv.ModRevision}
}
