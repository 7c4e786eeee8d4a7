package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"hemlockmux.example/common/clock"
)

// MaxTxnOperations is the most operations that the table takes in one
// transaction.
const MaxTxnOperations = 128

// KeyValue is one row of the table.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
}

// RangeRequest reads the rows from Key up to RangeEnd (one row where RangeEnd
// is empty).
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse holds the rows read.
type RangeResponse struct {
	Kvs   []KeyValue `json:"kvs,omitempty"`
	Count int64      `json:"count,string,omitempty"`
}

// PutRequest writes one row.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// DeleteRequest deletes the rows from Key up to RangeEnd.
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// Compare is one condition of a transaction: the target of a row is equal to
// the given revision. A row that does not exist has revision 0.
type Compare struct {
	Result         string `json:"result"` // "EQUAL"
	Target         string `json:"target"` // "CREATE" or "MOD"
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one member is set.
type RequestOp struct {
	RequestRange       *RangeRequest  `json:"request_range,omitempty"`
	RequestPut         *PutRequest    `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRequest `json:"request_delete_range,omitempty"`
	RequestTxn         *TxnRequest    `json:"request_txn,omitempty"`
}

// TxnRequest carries out Success where every comparison holds, else Failure,
// all at one point in time.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation.
type ResponseOp struct {
	ResponseRange *RangeResponse `json:"response_range,omitempty"`
	ResponsePut   *struct{}      `json:"response_put,omitempty"`
	ResponseTxn   *TxnResponse   `json:"response_txn,omitempty"`
}

// ResponseHeader carries the table's revision.
type ResponseHeader struct {
	Revision int64 `json:"revision,string"`
}

// TxnResponse tells which branch was carried out, with its results.
type TxnResponse struct {
	Header    ResponseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []ResponseOp   `json:"responses,omitempty"`
}

// Table is a client of the platform's transactional table.
type Table struct {
	conn *connection
}

// NewTable returns a client and the function that closes its connections.
func NewTable(base, token string, timeout clock.Millis) (*Table, func()) {
	conn, closeConn := newConnection(base, token, timeout)
	return &Table{conn: conn}, closeConn
}

// Txn carries out one transaction.
func (t *Table) Txn(ctx context.Context, txn TxnRequest) (TxnResponse, error) {
	var resp TxnResponse
	err := t.post(ctx, t.conn.do, "txn", "/v3/kv/txn", txn, &resp)
	return resp, err
}

// Get reads one row; ok is false where it does not exist.
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

// exchange is connection.do or connection.read.
type exchange func(ctx context.Context, op, method, path string, body []byte) (int, []byte, error)

func (t *Table) post(ctx context.Context, send exchange, op, path string, in, out any) error {
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

// PrefixRange is the request for all rows whose key starts with prefix.
func PrefixRange(prefix string) RangeRequest {
	end := []byte(prefix)
	end[len(end)-1]++
	return RangeRequest{Key: []byte(prefix), RangeEnd: end}
}

// Put is the operation that writes one row.
func Put(key string, value []byte) RequestOp {
	return RequestOp{RequestPut: &PutRequest{Key: []byte(key), Value: value}}
}

// Read is the operation that reads one row.
func Read(key string) RequestOp {
	return RequestOp{RequestRange: &RangeRequest{Key: []byte(key)}}
}

// Absent is the condition that a row does not exist.
func Absent(key string) Compare {
	return Compare{Result: "EQUAL", Target: "CREATE", Key: []byte(key)}
}

// Unchanged is the condition that a row was last written at revision mod
// (0: it does not exist).
func Unchanged(key string, mod int64) Compare {
	return Compare{Result: "EQUAL", Target: "MOD", Key: []byte(key), ModRevision: mod}
}
