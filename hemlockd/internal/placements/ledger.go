// Package placements keeps the record that lets a non-idempotent call run at
// most once: one conditional insert in the platform's table, keyed by team,
// service and idempotency key. The insert is the linearization point; no lease
// and no clock is trusted.
//
// # Usage
//
//	ledger, closeLedger := placements.New(common, table, interval)
//	claim, err := ledger.Claim(ctx, key, record)
//	switch {
//	case claim.Won:   dispatch once, then ledger.Finish(claim, answer) or ledger.Release(claim)
//	case claim.Done:  replay claim.Record
//	default:          the outcome of the earlier call is not known
//	}
package placements

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/hemlockd/internal/shared"
)

var metrics = expvar.NewMap("placements")

// State is how far a placement has come.
type State string

// The states of a record.
const (
	// Started says that the call may have been dispatched.
	Started State = "started"
	// Finished says that the call ran and its answer is in the record.
	Finished State = "finished"
	// Released says that the call was not run and that a repeat may run.
	Released State = "released"
)

// Record is the row of one placement.
type Record struct {
	State     State        `json:"state"`
	Digest    string       `json:"digest"` // of the request's method, path and body
	Nonce     string       `json:"nonce"`  // of the attempt that owns the record
	Daemon    string       `json:"daemon"`
	RequestID string       `json:"requestId"`
	ClaimedMs clock.Millis `json:"atMs"`
	Answer    *Answer      `json:"answer,omitempty"`
}

// Answer is a service's answer, kept to be replayed.
type Answer struct {
	Status int `json:"status"`
	// Header holds the headers that concern the caller, not one connection.
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body"`
	// BodyOmitted says that the body was too long to be kept.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// LimitBody returns the answer as it is kept: without its body where that is
// longer than limit.
func (a Answer) LimitBody(limit int64) Answer {
	if int64(len(a.Body)) > limit {
		a.Body, a.BodyOmitted = nil, true
	}
	return a
}

// Claim is the result of claiming a key.
type Claim struct {
	Won    bool
	Key    string
	Record Record // the own record where Won, else the one found
	// revision is the table's revision of the own record.
	revision int64
}

// UnavailableError reports that the table could not be asked; the call was not
// run and will not be under this claim.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "the record could not be written: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

const (
	// claimTries bounds the writes of one claim.
	claimTries = 3
	// settleTries bounds the writes that settle a record afterwards, in the
	// background.
	settleTries = 40
	// settlePause is the time between them at first; it doubles up to
	// maxSettlePause.
	settlePause    = 50 * clock.Millisecond
	maxSettlePause = 10 * clock.Second
)

// keyPrefix starts the keys of the records.
const keyPrefix = "placements/"

// Key names the record of a placement.
func Key(team, service, idempotencyKey string) string {
	return keyPrefix + team + "/" + service + "/" + hex.EncodeToString([]byte(idempotencyKey))
}

// Table is what the ledger needs of the platform's table.
type Table interface {
	Txn(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	Get(ctx context.Context, key string) (kv platform.KeyValue, ok bool, err error)
}

// Ledger reads and writes the records.
type Ledger struct {
	common shared.Common
	table  Table
	batch  *batcher
	ctx    context.Context
	// firstPause is the wait after the first write that failed.
	firstPause clock.Millis
}

// New returns a ledger and the function that ends it.
func New(common shared.Common, table Table, interval func() clock.Millis) (*Ledger, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{common: common, table: table, ctx: ctx, batch: newBatcher(table, interval), firstPause: settlePause}
	go l.batch.run(ctx)
	return l, cancel
}

// Claim tries to make the record the caller's own. A write whose answer was
// lost is settled by the nonce in the row.
func (l *Ledger) Claim(ctx context.Context, key string, record Record) (Claim, error) {
	record.State, record.Nonce = Started, newNonce()
	condition := platform.Absent(key)
	var lastErr error
	uncertain := false
	for try := range claimTries {
		if try > 0 && !clock.Pause(ctx, l.firstPause<<try) {
			break
		}
		result, err := l.batch.do(ctx, key, condition, record)
		if err != nil {
			metrics.Add("writeFailures", 1)
			uncertain = uncertain || mayHaveTakenEffect(err)
			lastErr = err
			continue
		}
		if result.written || result.row.Nonce == record.Nonce && result.row.State == Started {
			metrics.Add("claimsWon", 1)
			return Claim{Won: true, Key: key, Record: record, revision: result.revision}, nil
		}
		if result.row.State == Released && result.row.Digest == record.Digest {
			condition = platform.Unchanged(key, result.revision)
			lastErr = errors.New("other calls took the record over")
			continue
		}
		metrics.Add("claimsLost", 1)
		return Claim{Key: key, Record: result.row}, nil
	}
	if uncertain {
		// This attempt never dispatches, so the record that it may have
		// written says nothing; take it back.
		go l.runRelease(key, record)
	}
	return Claim{}, &UnavailableError{Err: lastErr}
}

func mayHaveTakenEffect(err error) bool {
	var unavailable *platform.UnavailableError
	return !errors.As(err, &unavailable) || unavailable.MayHaveTakenEffect
}

// Lookup reads a record.
func (l *Ledger) Lookup(ctx context.Context, key string) (Record, bool, error) {
	kv, ok, err := l.table.Get(ctx, key)
	if err != nil || !ok {
		return Record{}, false, err
	}
	var record Record
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return Record{}, false, fmt.Errorf("decode placement: %w", err)
	}
	return record, true, nil
}

// Finish records the answer of a claim that was won; it returns at once and
// goes on trying in the background.
func (l *Ledger) Finish(claim Claim, answer Answer) {
	record := claim.Record
	record.State, record.Answer = Finished, &answer
	go l.runSettle(claim.Key, claim.revision, record)
}

// Release records that a claim that was won was not run.
func (l *Ledger) Release(claim Claim) {
	record := claim.Record
	record.State = Released
	go l.runSettle(claim.Key, claim.revision, record)
}

// runSettle replaces the own record until the table confirms it.
func (l *Ledger) runSettle(key string, revision int64, record Record) {
	wait := l.firstPause
	for range settleTries {
		result, err := l.batch.do(l.ctx, key, platform.Unchanged(key, revision), record)
		if err == nil && (result.written || result.row.Nonce == record.Nonce && result.row.State == record.State) {
			metrics.Add("settled", 1)
			return
		}
		if err == nil && result.row.Nonce != record.Nonce {
			l.common.Log.Error("placement record is another's", zap.String("key", key))
			return
		}
		if err == nil {
			revision = result.revision
		}
		if !clock.Pause(l.ctx, wait) {
			return
		}
		wait = min(2*wait, maxSettlePause)
	}
	metrics.Add("settleGivenUp", 1)
	l.common.Log.Error("placement outcome was not recorded", zap.String("key", key), zap.String("requestId", record.RequestID))
}

// runRelease takes back a record that may have been written, or stops a write
// that is still on its way by putting a released record in its place.
func (l *Ledger) runRelease(key string, record Record) {
	record.State = Released
	wait := l.firstPause
	condition := platform.Absent(key)
	for range settleTries {
		result, err := l.batch.do(l.ctx, key, condition, record)
		if err == nil && (result.written || result.row.Nonce != record.Nonce || result.row.State != Started) {
			return
		}
		if err == nil {
			condition = platform.Unchanged(key, result.revision)
			continue
		}
		if !clock.Pause(l.ctx, wait) {
			return
		}
		wait = min(2*wait, maxSettlePause)
	}
	metrics.Add("releaseGivenUp", 1)
}

func newNonce() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}
