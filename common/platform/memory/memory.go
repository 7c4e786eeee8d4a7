// Package memory implements the platform's transactional table in memory, for the
// stand-in and as a fake in tests.
//
// # Usage
//
//	t := memory.New()
//	resp, err := t.Txn(ctx, platform.TxnRequest{...})
package memory

import (
	"context"
	"errors"
	"sort"
	"sync"
	"sync/atomic"

	"hemlockmux.example/common/platform"
)

// ErrTooManyOperations reports a transaction with more than platform.MaxTxnOperations
// operations. Its text is etcd's.
var ErrTooManyOperations = errors.New("etcdserver: too many operations in txn request")

// Table is a table in memory. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]platform.KeyValue
	revision int64
	// clusterID is the history's; it changes with a restore.
	clusterID uint64
	// copied is what Restore brings back; nil until Copy is called.
	copied *tableCopy
	// Reads counts the ranges and the transactions without a write. The stand-in
	// reports Reads and Writes for the figures of the capacity page.
	Reads atomic.Int64
	// Writes counts the transactions that contain a write.
	Writes atomic.Int64
	// IgnoreCompare makes the table treat all conditions of transactions as true.
	// Tests set it to show that they detect such a table.
	IgnoreCompare atomic.Bool
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]platform.KeyValue{}, clusterID: 1} }

// Range reads the rows of a range, in key order.
func (t *Table) Range(_ context.Context, req platform.RangeRequest) ([]platform.KeyValue, error) {
	t.Reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read(req).Kvs, nil
}

// Get reads one row; ok is false if it does not exist.
func (t *Table) Get(ctx context.Context, key string) (kv platform.KeyValue, ok bool, err error) {
	kvs, err := t.Range(ctx, platform.RangeRequest{Key: []byte(key)})
	if err != nil || len(kvs) == 0 {
		return platform.KeyValue{}, false, err
	}
	return kvs[0], true, nil
}

// Txn executes one transaction.
func (t *Table) Txn(_ context.Context, req platform.TxnRequest) (platform.TxnResponse, error) {
	if tooMany(req, platform.MaxTxnOperations) {
		return platform.TxnResponse{}, ErrTooManyOperations
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if writes(req) {
		t.Writes.Add(1)
		t.revision++ // one revision for all writes of a transaction
	} else {
		t.Reads.Add(1)
	}
	return t.txn(req), nil
}

// tooMany reports whether a transaction has more than limit operations. The limit for
// nested transactions is lower by the operations of the enclosing one.
func tooMany(req platform.TxnRequest, limit int) bool {
	n := max(len(req.Compare), len(req.Success), len(req.Failure))
	if n > limit {
		return true
	}
	for _, op := range append(append([]platform.RequestOp(nil), req.Success...), req.Failure...) {
		if op.RequestTxn != nil && tooMany(*op.RequestTxn, limit-n) {
			return true
		}
	}
	return false
}

// writes reports whether either branch of a transaction contains a write.
func writes(req platform.TxnRequest) bool {
	for _, op := range append(append([]platform.RequestOp(nil), req.Success...), req.Failure...) {
		if op.RequestPut != nil || op.RequestDeleteRange != nil || op.RequestTxn != nil && writes(*op.RequestTxn) {
			return true
		}
	}
	return false
}

// txn executes a transaction with t.mu held.
func (t *Table) txn(req platform.TxnRequest) platform.TxnResponse {
	resp := platform.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		row := t.rows[string(c.Key)]
		if c.Target == "CREATE" {
			resp.Succeeded = resp.Succeeded && row.CreateRevision == c.CreateRevision
		} else {
			resp.Succeeded = resp.Succeeded && row.ModRevision == c.ModRevision
		}
	}
	resp.Succeeded = resp.Succeeded || t.IgnoreCompare.Load()
	branch := req.Success
	if !resp.Succeeded {
		branch = req.Failure
	}
	for _, op := range branch {
		resp.Responses = append(resp.Responses, t.operation(op))
	}
	resp.Header.Revision, resp.Header.ClusterID = t.revision, t.clusterID
	return resp
}

// operation executes one operation with t.mu held.
func (t *Table) operation(op platform.RequestOp) platform.ResponseOp {
	switch {
	case op.RequestRange != nil:
		rows := t.read(*op.RequestRange)
		return platform.ResponseOp{ResponseRange: &rows}
	case op.RequestTxn != nil:
		resp := t.txn(*op.RequestTxn)
		return platform.ResponseOp{ResponseTxn: &resp}
	case op.RequestDeleteRange != nil:
		for _, kv := range t.read(platform.RangeRequest(*op.RequestDeleteRange)).Kvs {
			delete(t.rows, string(kv.Key))
		}
		return platform.ResponseOp{}
	}
	put := op.RequestPut
	row := t.rows[string(put.Key)]
	if row.CreateRevision == 0 {
		row.CreateRevision = t.revision
	}
	row.Key, row.Value, row.ModRevision = put.Key, put.Value, t.revision
	t.rows[string(put.Key)] = row
	return platform.ResponseOp{ResponsePut: &struct{}{}}
}

// read returns the rows of a range, in key order, with t.mu held.
func (t *Table) read(req platform.RangeRequest) platform.RangeResponse {
	if len(req.RangeEnd) == 0 {
		row, ok := t.rows[string(req.Key)]
		if !ok {
			return platform.RangeResponse{}
		}
		return platform.RangeResponse{Kvs: []platform.KeyValue{row}, Count: 1}
	}
	var resp platform.RangeResponse
	for key, row := range t.rows {
		if key >= string(req.Key) && key < string(req.RangeEnd) {
			resp.Kvs = append(resp.Kvs, row)
		}
	}
	sort.Slice(resp.Kvs, func(i, j int) bool { return string(resp.Kvs[i].Key) < string(resp.Kvs[j].Key) })
	resp.Count = int64(len(resp.Kvs))
	return resp
}
