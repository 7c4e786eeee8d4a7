// Package placements keeps the records that make non-idempotent calls run at most once. A call must
// win a conditional insert in the platform's table, keyed by team, service and idempotency key. The
// insert is the linearization point; it depends on no lease and no clock.
//
// # Usage
//
//	ledger, closeLedger := placements.New(env, table, interval)
//	claim, err := ledger.Claim(ctx, key, record)
//	switch {
//	case claim.Won:
//		// Dispatch once, then call ledger.Finish(claim, answer) or ledger.Release(claim).
//	case claim.Record.State == placements.Finished:
//		// Replay claim.Record.Answer.
//	case claim.Record.State == placements.Released:
//		// The earlier call was not run; the request may be sent again.
//	default:
//		// The outcome of the earlier call is not known.
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
	"sync/atomic"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/hemlockd/internal/process"
)

var metrics = expvar.NewMap("placements")

// State is the progress of a placement.
type State string

// The states of a record.
const (
	// Started means that the call may have been dispatched.
	Started State = "started"
	// Finished means that the call ran and that its answer is in the record.
	Finished State = "finished"
	// Released means that the call was not run and that a repeat of it may run.
	Released State = "released"
)

// Record is the row of one placement in the table.
type Record struct {
	// State is the progress of the call.
	State State `json:"state"`
	// Digest is the digest of the request's method, path and body.
	Digest string `json:"digest"`
	// Nonce identifies the attempt that owns the record.
	Nonce string `json:"nonce"`
	// Daemon is the run of the daemon that made the claim.
	Daemon string `json:"daemon"`
	// RequestID is the id of the request that made the claim.
	RequestID string `json:"requestId"`
	// ClaimedMs is the time of the claim.
	ClaimedMs clock.Millis `json:"atMs"`
	// Answer is the service's answer if State is Finished.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a service's answer, kept to be replayed.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Header holds the headers for the caller, without those of one connection.
	Header http.Header `json:"header,omitempty"`
	// Body is the response body.
	Body []byte `json:"body"`
	// BodyOmitted is true if the body was too long to be recorded.
	BodyOmitted bool `json:"omitted,omitempty"`
	// Unframed is true if only the end of the service's connection marked the end of the body, so
	// that it may be cut.
	Unframed bool `json:"unframed,omitempty"`
}

// LimitBody returns the answer as it is recorded: without its body if that is longer than limit, in
// bytes.
func (a Answer) LimitBody(limit int64) Answer {
	if int64(len(a.Body)) > limit {
		a.Body, a.BodyOmitted = nil, true
	}
	return a
}

// Claim is the result of claiming a key.
type Claim struct {
	// Won is true if the caller owns the record, and so is the only one that may dispatch the call.
	Won bool
	// Key is the key of the record.
	Key string
	// Record is the caller's own record if Won, else the record of the earlier call.
	Record Record
	// revision is the table's revision of the caller's own record.
	revision int64
}

// UnavailableError reports that no claim could be made. The call was not run, and will not be run
// under this claim.
type UnavailableError struct {
	// Err is the error of the last write.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "placement record could not be written: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

const (
	// maxClaimWrites bounds the writes that try to make one claim.
	maxClaimWrites = 3
	// maxSettleWrites bounds the writes that try, in the background, to settle or withdraw a record.
	maxSettleWrites = 40
	// initialSettleBackoff is the wait after the first failed write; it doubles up to maxSettleBackoff.
	initialSettleBackoff = 50 * clock.Millisecond
	maxSettleBackoff     = 10 * clock.Second
)

// keyPrefix is the prefix of the records' keys.
const keyPrefix = "placements/"

// Key returns the key of a placement's record.
func Key(team, service, idempotencyKey string) string {
	return keyPrefix + team + "/" + service + "/" + hex.EncodeToString([]byte(idempotencyKey))
}

// Table is the part of the platform's table that the ledger uses.
type Table interface {
	// Txn runs a transaction.
	Txn(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	// Get reads a row; ok is false if the row does not exist.
	Get(ctx context.Context, key string) (kv platform.KeyValue, ok bool, err error)
}

// Ledger reads and writes the records.
type Ledger struct {
	env   process.Environment
	table Table
	batch *batcher
	// history tells restores of the table.
	history *history
	ctx     context.Context
	// settling is the number of outcomes that are not recorded yet.
	settling atomic.Int64
	// initialBackoff is the base of the exponential backoff between writes.
	initialBackoff clock.Millis
}

// New returns a ledger and the function that stops it, after the outcomes that are not recorded yet or
// twice the platform's time-out, whichever is first. interval returns the minimum time between two
// transactions.
func New(env process.Environment, table Table, interval func() clock.Millis) (*Ledger, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{env: env, table: table, ctx: ctx, history: newHistory(env.Clock), initialBackoff: initialSettleBackoff}
	l.batch = newBatcher(table, interval, l.tableAnswered)
	go l.batch.run(ctx)
	go l.run(ctx)
	return l, func() {
		l.awaitSettled(2 * env.Config.PlatformTimeoutMs)
		cancel()
	}
}

// awaitSettled waits until all outcomes are recorded, at most the given time.
func (l *Ledger) awaitSettled(limit clock.Millis) {
	for deadline := l.env.Clock.Now() + limit; l.settling.Load() > 0; {
		if l.env.Clock.Now() >= deadline {
			metrics.Add("unsettledAtStop", l.settling.Load())
			l.env.Log.Error("placement outcomes could not be recorded before the stop", zap.Int64("outcomes", l.settling.Load()))
			return
		}
		_ = clock.Sleep(l.ctx, 5*clock.Millisecond)
	}
}

// Claim tries to create the record, or to take over a released one. If the response to a write was
// lost, the nonce in the row tells whether the write took effect. Claim returns an *UnavailableError
// if the table could not be written or other calls keep taking over the record.
func (l *Ledger) Claim(ctx context.Context, key string, record Record) (Claim, error) {
	if l.history.quiet() {
		return Claim{}, &UnavailableError{Err: errRestored}
	}
	record.State, record.Nonce = Started, newNonce()
	condition := platform.Absent(key)
	var lastErr error
	uncertain := false
	for try := range maxClaimWrites {
		if try > 0 && !clock.Sleep(ctx, l.initialBackoff<<try) {
			break
		}
		result, err := l.batch.submit(ctx, key, condition, record)
		if err != nil {
			metrics.Add("writeFailures", 1)
			uncertain = uncertain || mayHaveTakenEffect(err)
			lastErr = err
			continue
		}
		if result.written || result.row.Nonce == record.Nonce && result.row.State == Started {
			won := Claim{Won: true, Key: key, Record: record, revision: result.revision}
			if l.history.quiet() { // the answer itself told of a restore: the call may have run before
				l.Release(won)
				return Claim{}, &UnavailableError{Err: errRestored}
			}
			l.history.keep(key, record)
			metrics.Add("claimsWon", 1)
			return won, nil
		}
		if result.row.State == Released && result.row.Digest == record.Digest {
			condition = platform.Unchanged(key, result.revision)
			lastErr = errors.New("released record was claimed by other calls first")
			continue
		}
		metrics.Add("claimsLost", 1)
		return Claim{Key: key, Record: result.row}, nil
	}
	if uncertain {
		// This attempt never dispatches the call, so withdraw the record that it may have
		// written.
		l.settling.Add(1)
		go l.runWithdraw(key, record)
	}
	return Claim{}, &UnavailableError{Err: lastErr}
}

// mayHaveTakenEffect reports whether a write that returned err may have been applied.
func mayHaveTakenEffect(err error) bool {
	var unavailable *platform.UnavailableError
	return !errors.As(err, &unavailable) || unavailable.MayHaveTakenEffect
}

// Lookup reads a record and reports whether it exists.
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

// Finish records the answer of a call that was dispatched under a claim. It returns at once and
// retries in the background.
func (l *Ledger) Finish(claim Claim, answer Answer) {
	record := claim.Record
	record.State, record.Answer = Finished, &answer
	l.history.keep(claim.Key, record)
	l.settling.Add(1)
	go l.runSettle(claim.Key, claim.revision, record)
}

// Release records that the call of a won claim was not run. It returns at once and retries in the
// background.
func (l *Ledger) Release(claim Claim) {
	record := claim.Record
	record.State = Released
	l.history.drop(claim.Key)
	l.settling.Add(1)
	go l.runSettle(claim.Key, claim.revision, record)
}

// runSettle replaces the attempt's own record; it retries until the table confirms the write.
func (l *Ledger) runSettle(key string, revision int64, record Record) {
	defer l.settling.Add(-1)
	wait := l.initialBackoff
	for range maxSettleWrites {
		result, err := l.batch.submit(l.ctx, key, platform.Unchanged(key, revision), record)
		if err == nil && (result.written || result.row.Nonce == record.Nonce && result.row.State == record.State) {
			metrics.Add("settled", 1)
			return
		}
		if err == nil && result.row.Nonce != record.Nonce {
			l.env.Log.Error("placement record is no longer owned by this attempt", zap.String("key", key))
			return
		}
		if err == nil {
			revision = result.revision
		}
		if !clock.Sleep(l.ctx, wait) {
			return
		}
		wait = min(2*wait, maxSettleBackoff)
	}
	metrics.Add("settleGivenUp", 1)
	l.env.Log.Error("placement outcome could not be recorded; no retries are left", zap.String("key", key), zap.String("requestId", record.RequestID))
}

// runWithdraw releases a record that may have been written. If the record doesn't exist yet, it
// inserts a released one, so that the condition of a write still in transit fails.
func (l *Ledger) runWithdraw(key string, record Record) {
	defer l.settling.Add(-1)
	record.State = Released
	wait := l.initialBackoff
	condition := platform.Absent(key)
	for range maxSettleWrites {
		result, err := l.batch.submit(l.ctx, key, condition, record)
		if err == nil && (result.written || result.row.Nonce != record.Nonce || result.row.State != Started) {
			return
		}
		if err == nil {
			condition = platform.Unchanged(key, result.revision)
			continue
		}
		if !clock.Sleep(l.ctx, wait) {
			return
		}
		wait = min(2*wait, maxSettleBackoff)
	}
	metrics.Add("releaseGivenUp", 1)
}

func newNonce() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}
