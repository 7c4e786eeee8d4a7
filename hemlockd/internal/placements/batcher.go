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

// maxBatch is the maximum number of records in one transaction.
const maxBatch = 100

// batcher writes records in batches: all records submitted during one transaction go into the next,
// which keeps the number of transactions small.
type batcher struct {
	table    Table
	interval func() clock.Millis
	// onAnswer is called with the header of each answer, before its results are passed on.
	onAnswer func(platform.ResponseHeader)

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

// writeResult is the outcome of one write.
type writeResult struct {
	written  bool
	row      Record // the existing row, if the record was not written
	revision int64  // the table's revision of the written row, else of the existing one
	err      error
}

func newBatcher(table Table, interval func() clock.Millis, onAnswer func(platform.ResponseHeader)) *batcher {
	return &batcher{table: table, interval: interval, onAnswer: onAnswer, wake: make(chan struct{}, 1)}
}

// submit writes a record if the condition holds, and returns the existing row otherwise.
func (b *batcher) submit(ctx context.Context, key string, condition platform.Compare, record Record) (writeResult, error) {
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
		// The write may have been sent already.
		return writeResult{}, ctx.Err()
	}
}

// run sends batches, at most one per interval, until ctx is done.
func (b *batcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
			started := time.Now()
			b.send(ctx, batch)
			if !clock.Sleep(ctx, max(0, b.interval()-clock.Millis(time.Since(started).Milliseconds()))) {
				return
			}
		}
	}
}

// nextBatch removes the writes of the next transaction from the queue. It takes each key at most
// once, since the table refuses two writes of a row in one transaction.
func (b *batcher) nextBatch() []*write {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[string]bool{}
	var batch, later []*write
	for _, w := range b.pending {
		if len(batch) < maxBatch && !seen[w.key] {
			seen[w.key] = true
			batch = append(batch, w)
			continue
		}
		later = append(later, w)
	}
	b.pending = later
	return batch
}

// send writes a batch in one transaction and sends each write its result.
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
		err = &platform.UnavailableError{Op: "txn", MayHaveTakenEffect: true, Err: errors.New("number of results differs from the number of writes")}
	}
	if err != nil {
		reply(batch, writeResult{err: err})
		return
	}
	b.onAnswer(resp.Header)
	for i, w := range batch {
		w.result <- readResult(resp.Header.Revision, resp.Responses[i].ResponseTxn)
	}
}

// reply sends the same result to all writes of a batch.
func reply(batch []*write, result writeResult) {
	for _, w := range batch {
		w.result <- result
	}
}

// batchTxn nests a conditional transaction for each record in one transaction, so that each write
// has its own outcome.
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

// readResult converts the response to one nested transaction.
func readResult(revision int64, resp *platform.TxnResponse) writeResult {
	if resp == nil {
		return writeResult{err: &platform.UnavailableError{Op: "txn", MayHaveTakenEffect: true, Err: errors.New("transaction response lacks the result of a write")}}
	}
	if resp.Succeeded {
		return writeResult{written: true, revision: revision}
	}
	if len(resp.Responses) == 0 || resp.Responses[0].ResponseRange == nil || len(resp.Responses[0].ResponseRange.Kvs) == 0 {
		// The row was deleted meanwhile, by a retention job of the platform.
		return writeResult{}
	}
	kv := resp.Responses[0].ResponseRange.Kvs[0]
	var row Record
	if err := json.Unmarshal(kv.Value, &row); err != nil {
		return writeResult{err: fmt.Errorf("decode placement: %w", err)}
	}
	return writeResult{row: row, revision: kv.ModRevision}
}
