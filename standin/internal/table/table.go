// Package table is a stand-in of the platform's transactional table: the range
// and txn calls of the etcd v3 JSON mapping over a map in memory.
//
// # Usage
//
//	t := table.New()
//	mux.Handle("/v3/", t.Handler())
package table

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"

	"hemlockmux.example/common/platform"
)

// Table holds the rows.
type Table struct {
	mu       sync.Mutex
	rows     map[string]platform.KeyValue
	revision int64
	// Reads and Writes count the calls, for the capacity page.
	Reads, Writes atomic.Int64
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]platform.KeyValue{}} }

// Handler serves the calls.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", func(w http.ResponseWriter, r *http.Request) {
		var req platform.RangeRequest
		if !decode(w, r, &req) {
			return
		}
		t.Reads.Add(1)
		t.mu.Lock()
		resp := t.read(req)
		t.mu.Unlock()
		_ = json.NewEncoder(w).Encode(resp)
	})
	mux.HandleFunc("POST /v3/kv/txn", func(w http.ResponseWriter, r *http.Request) {
		var req platform.TxnRequest
		if !decode(w, r, &req) {
			return
		}
		if operations(req) > platform.MaxTxnOperations {
			http.Error(w, "etcdserver: too many operations in txn request", http.StatusBadRequest)
			return
		}
		if writes(req) {
			t.Writes.Add(1)
		} else {
			t.Reads.Add(1)
		}
		t.mu.Lock()
		if writes(req) {
			t.revision++ // all writes of a transaction share one revision
		}
		resp := t.txn(req)
		t.mu.Unlock()
		_ = json.NewEncoder(w).Encode(resp)
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// operations counts the operations of one branch, as the table's limit does.
func operations(req platform.TxnRequest) int { return max(len(req.Success), len(req.Failure)) }

// writes tells whether a transaction can write.
func writes(req platform.TxnRequest) bool {
	for _, op := range append(append([]platform.RequestOp(nil), req.Success...), req.Failure...) {
		if op.RequestPut != nil || op.RequestDeleteRange != nil || op.RequestTxn != nil && writes(*op.RequestTxn) {
			return true
		}
	}
	return false
}

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
	branch := req.Success
	if !resp.Succeeded {
		branch = req.Failure
	}
	for _, op := range branch {
		resp.Responses = append(resp.Responses, t.operation(op))
	}
	resp.Header.Revision = t.revision
	return resp
}

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
