package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"hemlockmux.example/common/clock"
)

// MaxTxnOperations is the largest number of operations that the table accepts in one
// transaction.
const MaxTxnOperations = 128

// KeyValue is one row of the table.
type KeyValue struct {
	// Key is the key of the row.
	Key []byte `json:"key"`
	// Value is the value of the row.
	Value []byte `json:"value"`
	// CreateRevision is the table's revision at which the row was created.
	CreateRevision int64 `json:"create_revision,string,omitempty"`
	// ModRevision is the table's revision at which the row was last written.
	ModRevision int64 `json:"mod_revision,string,omitempty"`
}

// RangeRequest reads the rows from Key up to, but not including, RangeEnd.
type RangeRequest struct {
	// Key is the first key of the range.
	Key []byte `json:"key"`
	// RangeEnd is the first key after the range; if it is empty, only the row of
	// Key is read.
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the result of a RangeRequest.
type RangeResponse struct {
	// Kvs holds the rows, in key order.
	Kvs []KeyValue `json:"kvs,omitempty"`
	// Count is the number of rows in the range.
	Count int64 `json:"count,string,omitempty"`
}

// PutRequest writes one row.
type PutRequest struct {
	// Key is the key of the row.
	Key []byte `json:"key"`
	// Value is the new value of the row.
	Value []byte `json:"value"`
}

// DeleteRequest deletes the rows from Key up to, but not including, RangeEnd.
type DeleteRequest struct {
	// Key is the first key of the range.
	Key []byte `json:"key"`
	// RangeEnd is the first key after the range; if it is empty, only the row of
	// Key is deleted.
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Compare is one condition of a transaction: a revision of a row equals the given
// one. Both revisions of a row that does not exist are 0.
type Compare struct {
	// Result is the required result of the comparison, always "EQUAL".
	Result string `json:"result"`
	// Target selects the revision that is compared: "CREATE" or "MOD".
	Target string `json:"target"`
	// Key is the key of the row.
	Key []byte `json:"key"`
	// CreateRevision is the required creation revision if Target is "CREATE".
	CreateRevision int64 `json:"create_revision,string,omitempty"`
	// ModRevision is the required modification revision if Target is "MOD".
	ModRevision int64 `json:"mod_revision,string,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	RequestRange       *RangeRequest  `json:"request_range,omitempty"`
	RequestPut         *PutRequest    `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRequest `json:"request_delete_range,omitempty"`
	RequestTxn         *TxnRequest    `json:"request_txn,omitempty"`
}

// TxnRequest is a transaction: the comparisons and the operations of one branch are
// executed atomically.
type TxnRequest struct {
	// Compare holds the conditions.
	Compare []Compare `json:"compare,omitempty"`
	// Success holds the operations that are executed if all conditions hold.
	Success []RequestOp `json:"success,omitempty"`
	// Failure holds the operations that are executed otherwise.
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation; at most one field is set.
type ResponseOp struct {
	ResponseRange *RangeResponse `json:"response_range,omitempty"`
	ResponsePut   *struct{}      `json:"response_put,omitempty"`
	ResponseTxn   *TxnResponse   `json:"response_txn,omitempty"`
}

// ResponseHeader is the header of a response.
type ResponseHeader struct {
	// ClusterID identifies the table's history: a table that comes back from an older copy has another
	// one. 0 if the table does not say.
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	// Revision is the table's revision after the transaction.
	Revision int64 `json:"revision,string"`
}

// TxnResponse is the result of a transaction.
type TxnResponse struct {
	// Header holds the table's revision.
	Header ResponseHeader `json:"header"`
	// Succeeded reports whether all conditions held, so that Success was executed.
	Succeeded bool `json:"succeeded,omitempty"`
	// Responses holds the results of the executed operations, in order.
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Table is a client of the platform's transactional table.
type Table struct {
	conn *connection
}

// NewTable returns a client and the function that closes its idle connections.
func NewTable(base, token string, timeout clock.Millis) (*Table, func()) {
	conn, closeConn := newConnection(base, token, timeout)
	return &Table{conn: conn}, closeConn
}

// Txn executes one transaction. It is not repeated if its response is lost.
func (t *Table) Txn(ctx context.Context, txn TxnRequest) (TxnResponse, error) {
	var resp TxnResponse
	err := t.post(ctx, t.conn.do, "txn", "/v3/kv/txn", txn, &resp)
	return resp, err
}

// Get reads one row; ok is false if it does not exist.
func (t *Table) Get(ctx context.Context, key string) (kv KeyValue, ok bool, err error) {
	var resp RangeResponse
	if err := t.post(ctx, t.conn.read, "get", "/v3/kv/range", RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return KeyValue{}, false, err
	}
	if len(resp.Kvs) == 0 {
		return KeyValue{}, false, nil
	}
	return resp.Kvs[0], true, nil
}

// Range reads the rows of a range, in key order.
func (t *Table) Range(ctx context.Context, req RangeRequest) ([]KeyValue, error) {
	var resp RangeResponse
	err := t.post(ctx, t.conn.read, "range", "/v3/kv/range", req, &resp)
	return resp.Kvs, err
}

// sender is connection.do or connection.read.
type sender func(ctx context.Context, op, method, path string, body []byte) (int, []byte, error)

// post sends in as JSON to path and decodes the response into out.
func (t *Table) post(ctx context.Context, send sender, op, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", op, err)
	}
	status, answer, err := send(ctx, op, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return &UnavailableError{Op: op, Err: fmt.Errorf("status %d: %s", status, answer)}
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return &UnavailableError{Op: op, MayHaveTakenEffect: true, Err: err}
	}
	return nil
}

// PrefixRange returns the request for all rows whose key starts with prefix. The
// prefix must not be empty nor end with the byte 0xff.
func PrefixRange(prefix string) RangeRequest {
	end := []byte(prefix)
	end[len(end)-1]++
	return RangeRequest{Key: []byte(prefix), RangeEnd: end}
}

// Put returns the operation that writes one row.
func Put(key string, value []byte) RequestOp {
	return RequestOp{RequestPut: &PutRequest{Key: []byte(key), Value: value}}
}

// Read returns the operation that reads one row.
func Read(key string) RequestOp {
	return RequestOp{RequestRange: &RangeRequest{Key: []byte(key)}}
}

// Absent returns the condition that a row does not exist.
func Absent(key string) Compare {
	return Compare{Result: "EQUAL", Target: "CREATE", Key: []byte(key)}
}

// Unchanged returns the condition that a row was last written at revision mod. Revision
// 0 means that it does not exist.
func Unchanged(key string, mod int64) Compare {
	return Compare{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: mod}
}
