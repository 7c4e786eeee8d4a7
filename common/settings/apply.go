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

// maxTries bounds how often an apply is sent again after a lost answer or a
// change by another operator to another subtree.
const maxTries = 20

// errContended is the cause where only other operators' changes stood in the way.
var errContended = errors.New("other operators' changes kept coming between")

// retryPause is the time between two tries of an apply.
const retryPause = 50 * clock.Millisecond

// nodesPerTxn is the number of nodes that are written by one transaction nested
// in that of a change, within the table's limit on operations.
const nodesPerTxn = 64

// Change is what an operator asks for.
type Change struct {
	ChangeID string       `json:"changeId"`
	Operator string       `json:"who"`
	AtMs     clock.Millis `json:"atMs"`
	Comment  string       `json:"comment,omitempty"`
	// BaseVersion is the version that the operator looked at; each node changed since
	// then by another operator is a conflict.
	BaseVersion int64        `json:"from"`
	Nodes       []NodeChange `json:"nodes"` // Before is not used
}

// NewChangeID returns an id that settles a lost answer.
func NewChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails.
	return hex.EncodeToString(b[:])
}

// ConflictError reports that another operator changed the same subtree.
type ConflictError struct {
	BaseVersion, HeadVersion int64
	// Conflicting are the other operators' changes since BaseVersion to the same nodes.
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

// OutcomeUnknownError reports that it could not be found out whether a change was
// accepted; asking again with the same change id settles it.
type OutcomeUnknownError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the answer was lost and the platform can't be asked; "+
		"apply again with --change-id %s to settle it: %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Apply carries out one change and returns its version. The subtree, the head
// and the audit row are written in one transaction; a change id that was
// already accepted returns its version again.
//
// A write whose answer was lost is sent again: the head and the change id in
// its conditions let at most one of the two take effect.
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
			return s.settle(ctx, change.ChangeID, err)
		case err != nil:
			return 0, err
		}
	}
	if uncertain {
		return 0, &OutcomeUnknownError{ChangeID: change.ChangeID, Err: lastErr}
	}
	return 0, fmt.Errorf("nothing was changed, given up after %d tries: %w", maxTries, lastErr)
}

// settle returns the version of a change that took effect after all, else its
// refusal.
func (s *Store) settle(ctx context.Context, changeID string, refusal error) (int64, error) {
	version, accepted, err := s.changeVersion(ctx, changeID)
	if err != nil {
		return 0, &OutcomeUnknownError{ChangeID: changeID, Err: err}
	}
	if accepted {
		return version, nil
	}
	return 0, refusal
}

// lostWriteError reports a write of which it is not known whether it took
// effect.
type lostWriteError struct{ err error }

func (e *lostWriteError) Error() string { return "answer to a write lost: " + e.err.Error() }

func (e *lostWriteError) Unwrap() error { return e.err }

// applyOnce tries a change once; done is false where another change to other
// nodes came between.
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

// conflict returns a ConflictError where a node of the change was written
// after the version that the operator looked at.
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

// merge lays changes over nodes and returns the new nodes with the changes
// that make a difference.
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

// applyTxn builds the one transaction of a change.
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
