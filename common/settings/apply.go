package settings

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
)

// maxTries is the number of times that Apply tries a change. It tries again after
// a lost answer, a failure of the platform or a concurrent change to other nodes.
const maxTries = 20

// errContended is the cause if every try lost against a concurrent change.
var errContended = errors.New("each try was overtaken by another operator's change")

// retryPause is the time between two tries of Apply.
const retryPause = 50 * clock.Millisecond

// nodesPerTxn is the number of nodes that one transaction nested in that of a
// change writes. It keeps each transaction within platform.MaxTxnOperations.
const nodesPerTxn = 64

// Change is an operator's request to change some nodes.
type Change struct {
	// ChangeID makes the change idempotent: it is accepted at most once.
	ChangeID string `json:"changeId"`
	// Operator is the name of the operator who asks for the change. The daemon sets it.
	Operator string `json:"who"`
	// AtMs is the time at which the daemon received the change, in ms since the Unix
	// epoch. The daemon sets it.
	AtMs clock.Millis `json:"atMs"`
	// Comment is the operator's reason, for the audit trail.
	Comment string `json:"comment,omitempty"`
	// BaseVersion is the version that the operator edited. If one of Nodes has
	// changed since, the change is refused with a ConflictError.
	BaseVersion int64 `json:"from"`
	// Nodes are the nodes to write; their field Before is ignored.
	Nodes []NodeChange `json:"nodes"`
}

// NewChangeID returns a random id for a change, under which it can be repeated
// safely if its answer was lost.
func NewChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}

// ConflictError reports that a node of a change was changed after the version that
// the change is based on.
type ConflictError struct {
	// BaseVersion is the version that the refused change is based on.
	BaseVersion int64
	// HeadVersion is the newest version.
	HeadVersion int64
	// Conflicting are the accepted changes since BaseVersion to the same nodes.
	Conflicting []AuditRow
}

// Error implements error.
func (e *ConflictError) Error() string {
	who := make([]string, 0, len(e.Conflicting))
	for _, row := range e.Conflicting {
		who = append(who, fmt.Sprintf("version %d by %s", row.Version, row.Operator))
	}
	return fmt.Sprintf("the same settings were changed since version %d: %s", e.BaseVersion, strings.Join(who, ", "))
}

// OutcomeUnknownError reports that a change may have been accepted: the answer to a
// write was lost, and the later tries to find out failed. Applying the change again
// with the same id is safe and returns the outcome.
type OutcomeUnknownError struct {
	// ChangeID is the id of the change.
	ChangeID string
	// Err is the last failure of the platform.
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("not known whether the change was accepted: the platform did not answer; "+
		"apply again with --change-id %s to find out: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Apply makes one change and returns its version. It writes the nodes, the head
// and the audit row in one transaction. For a change id that was accepted before
// it returns the version that it was accepted as.
//
// A write whose answer was lost is sent again. Both are conditional on the head's
// revision and on the absence of the change id, so at most one takes effect.
func (s *Store) Apply(ctx context.Context, change Change) (int64, error) {
	uncertain := false
	lastErr := errContended
	for try := range maxTries {
		if try > 0 && !clock.Sleep(ctx, s.pause) {
			break
		}
		version, done, err := s.applyOnce(ctx, change)
		var lost *lostWriteError
		var unavailable *platform.UnavailableError
		switch {
		case err == nil && done:
			return version, nil
		case errors.As(err, &lost):
			uncertain, lastErr = true, lost.err
		case errors.As(err, &unavailable):
			lastErr = err
		case err != nil && uncertain:
			// The head has moved on, so an earlier write of this change has
			// either taken effect by now or never will.
			return s.resolveOutcome(ctx, change.ChangeID, err)
		case err != nil:
			return 0, err
		}
	}
	if uncertain {
		return 0, &OutcomeUnknownError{ChangeID: change.ChangeID, Err: lastErr}
	}
	return 0, fmt.Errorf("the change was not made after %d tries: %w", maxTries, lastErr)
}

// resolveOutcome returns the version of a change if one of its earlier writes took
// effect, else refusal.
func (s *Store) resolveOutcome(ctx context.Context, changeID string, refusal error) (int64, error) {
	version, accepted, err := s.changeVersion(ctx, changeID)
	if err != nil {
		return 0, &OutcomeUnknownError{ChangeID: changeID, Err: err}
	}
	if accepted {
		return version, nil
	}
	return 0, refusal
}

// lostWriteError reports a write that may have taken effect: its answer is
// missing.
type lostWriteError struct{ err error }

func (e *lostWriteError) Error() string {
	return "no answer to a write that may have taken effect: " + e.err.Error()
}

func (e *lostWriteError) Unwrap() error { return e.err }

// applyOnce tries a change once. done is false if a concurrent change was accepted
// between the read and the write, so that the write's conditions failed.
func (s *Store) applyOnce(ctx context.Context, change Change) (version int64, done bool, err error) {
	if version, accepted, err := s.changeVersion(ctx, change.ChangeID); err != nil || accepted {
		return version, accepted, err
	}
	head, nodes, headRevision, err := s.snapshot(ctx)
	if err != nil {
		return 0, false, err
	}
	if err := s.conflict(ctx, change, head, nodes); err != nil {
		return 0, false, err
	}
	next := head.Version + 1
	merged, changes := merge(nodes, change.Nodes, next)
	if _, err := Parse(next, merged); err != nil {
		return 0, false, err
	}
	row := AuditRow{
		Version: next, PreviousVersion: head.Version, ChangeID: change.ChangeID, Operator: change.Operator,
		AtMs: change.AtMs, Comment: change.Comment, Changes: changes,
	}
	txn, err := applyTxn(row, headRevision, merged)
	if err != nil {
		return 0, false, err
	}
	resp, err := s.table.Txn(ctx, txn)
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) && unavailable.MayHaveTakenEffect {
		return 0, false, &lostWriteError{err: err}
	}
	if err != nil {
		return 0, false, err
	}
	return next, resp.Succeeded, nil
}

// conflict returns a ConflictError if a node of the change was written after the
// change's base version.
func (s *Store) conflict(ctx context.Context, change Change, head Head, nodes []Node) error {
	touched := map[string]bool{}
	for _, n := range change.Nodes {
		touched[n.Path] = true
	}
	clash := false
	for _, n := range nodes {
		clash = clash || touched[n.Path] && n.Version > change.BaseVersion
	}
	if !clash {
		return nil
	}
	rows, err := s.AuditSince(ctx, change.BaseVersion)
	if err != nil {
		return err
	}
	conflict := &ConflictError{BaseVersion: change.BaseVersion, HeadVersion: head.Version}
	for _, row := range rows {
		for _, c := range row.Changes {
			if touched[c.Path] {
				conflict.Conflicting = append(conflict.Conflicting, row)
				break
			}
		}
	}
	return conflict
}

// merge applies changes to nodes. It returns the new nodes, and the changes that
// have an effect with their field Before filled in.
func merge(nodes []Node, changes []NodeChange, version int64) ([]Node, []NodeChange) {
	merged := append([]Node(nil), nodes...)
	var effective []NodeChange
	for _, c := range changes {
		i := indexOf(merged, c.Path)
		if i < 0 {
			merged = append(merged, Node{Path: c.Path, Deleted: true})
			i = len(merged) - 1
		}
		c.Before = merged[i].Text
		if c.Before == c.After && merged[i].Deleted == c.Deleted {
			continue
		}
		merged[i] = Node{Path: c.Path, Version: version, Text: c.After, Deleted: c.Deleted}
		effective = append(effective, c)
	}
	return merged, effective
}

func indexOf(nodes []Node, path string) int {
	for i, n := range nodes {
		if n.Path == path {
			return i
		}
	}
	return -1
}

// applyTxn builds the transaction that writes a change if the head is still at
// headRevision and the change id is new.
func applyTxn(row AuditRow, headRevision int64, merged []Node) (platform.TxnRequest, error) {
	txn := platform.TxnRequest{Compare: []platform.Compare{
		platform.Unchanged(headKey, headRevision), platform.Absent(changePrefix + row.ChangeID),
	}}
	put := func(to *platform.TxnRequest, key string, v any) error {
		value, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode %s: %w", key, err)
		}
		to.Success = append(to.Success, platform.Put(key, value))
		return nil
	}
	err := put(&txn, headKey, Head{Version: row.Version, ChangeID: row.ChangeID})
	err = errors.Join(err, put(&txn, auditKey(row.Version), row))
	err = errors.Join(err, put(&txn, changePrefix+row.ChangeID, row.Version))
	byPath := make(map[string]Node, len(merged))
	for _, n := range merged {
		byPath[n.Path] = n
	}
	for changes := range slices.Chunk(row.Changes, nodesPerTxn) {
		var nested platform.TxnRequest
		for _, c := range changes {
			err = errors.Join(err, put(&nested, treePrefix+c.Path, byPath[c.Path]))
		}
		txn.Success = append(txn.Success, platform.RequestOp{RequestTxn: &nested})
	}
	return txn, err
}
