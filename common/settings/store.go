package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
)

// Keys and key prefixes of the settings in the platform's table.
const (
	headKey      = "settings/head"
	treePrefix   = "settings/tree/"
	auditPrefix  = "settings/audit/"
	changePrefix = "settings/change/"
)

// Head is the row that holds the newest version. Every change is conditional on it,
// which serializes all changes.
type Head struct {
	// Version is the newest version of the tree.
	Version int64 `json:"version"`
	// ChangeID is the id of the change that made Version.
	ChangeID string `json:"changeId"`
}

// AuditRow records one accepted change.
type AuditRow struct {
	// Version is the version that the change made.
	Version int64 `json:"version"`
	// PreviousVersion is the version that it replaced.
	PreviousVersion int64 `json:"from"`
	// ChangeID is the id of the change.
	ChangeID string `json:"changeId"`
	// Operator is the name of the operator who made it.
	Operator string `json:"who"`
	// AtMs is Change.AtMs, in ms since the Unix epoch.
	AtMs clock.Millis `json:"atMs"`
	// Comment is the operator's reason.
	Comment string `json:"comment,omitempty"`
	// Changes holds the changed nodes, each with its text before and after.
	Changes []NodeChange `json:"changes"`
}

// NodeChange is one node of a change.
type NodeChange struct {
	// Path is the path of the node.
	Path string `json:"path"`
	// Before is the node's TOML before the change; empty for a new node.
	Before string `json:"before"`
	// After is the node's TOML after the change; empty for a deleted node.
	After string `json:"after"`
	// Deleted reports whether the change deletes the node.
	Deleted bool `json:"deleted,omitempty"`
	// LostVersion is the version that had made the change before the table lost it; 0 otherwise.
	LostVersion int64 `json:"lostVersion,omitempty"`
}

// Table is the part of the platform's table that the store uses.
type Table interface {
	Txn(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	Get(ctx context.Context, key string) (kv platform.KeyValue, ok bool, err error)
	Range(ctx context.Context, req platform.RangeRequest) ([]platform.KeyValue, error)
}

// Store reads and changes the settings in the platform's table. It keeps no copy.
type Store struct {
	table Table
	// pause is the time between two tries of Apply.
	pause clock.Millis
}

// NewStore returns a store of the settings in table.
func NewStore(table Table) *Store { return &Store{table: table, pause: retryPause} }

// Head reads the head row; its version is 0 if there are no settings yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

// head reads the head row and its revision, 0 if it does not exist.
func (s *Store) head(ctx context.Context) (Head, int64, error) {
	kv, ok, err := s.table.Get(ctx, headKey)
	if err != nil || !ok {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(kv.Value, &head); err != nil {
		return Head{}, 0, fmt.Errorf("decode settings head: %w", err)
	}
	return head, kv.ModRevision, nil
}

// Snapshot reads the head and all nodes in one transaction, deleted nodes included.
func (s *Store) Snapshot(ctx context.Context) (Head, []Node, error) {
	head, nodes, _, err := s.snapshot(ctx)
	return head, nodes, err
}

// snapshot returns the head, all nodes and the revision of the head row.
func (s *Store) snapshot(ctx context.Context) (Head, []Node, int64, error) {
	tree := platform.PrefixRange(treePrefix)
	resp, err := s.table.Txn(ctx, platform.TxnRequest{
		Success: []platform.RequestOp{platform.Read(headKey), {RequestRange: &tree}},
	})
	if err != nil {
		return Head{}, nil, 0, err
	}
	if len(resp.Responses) != 2 || len(resp.Responses[0].ResponseRange.Kvs) == 0 {
		return Head{}, nil, 0, nil
	}
	headRow := resp.Responses[0].ResponseRange.Kvs[0]
	var head Head
	if err := json.Unmarshal(headRow.Value, &head); err != nil {
		return Head{}, nil, 0, fmt.Errorf("decode settings head: %w", err)
	}
	var nodes []Node
	for _, kv := range resp.Responses[1].ResponseRange.Kvs {
		var n Node
		if err := json.Unmarshal(kv.Value, &n); err != nil {
			return Head{}, nil, 0, fmt.Errorf("decode %s: %w", kv.Key, err)
		}
		nodes = append(nodes, n)
	}
	return head, nodes, headRow.ModRevision, nil
}

// AuditSince reads the audit rows of the versions after the given one, oldest first.
func (s *Store) AuditSince(ctx context.Context, after int64) ([]AuditRow, error) {
	from := platform.PrefixRange(auditPrefix)
	from.Key = []byte(auditKey(after + 1))
	kvs, err := s.table.Range(ctx, from)
	if err != nil {
		return nil, err
	}
	var rows []AuditRow
	for _, kv := range kvs {
		var row AuditRow
		if err := json.Unmarshal(kv.Value, &row); err != nil {
			return nil, fmt.Errorf("decode %s: %w", kv.Key, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// ErrOtherHistory reports that the change that a daemon has in force is not in the table, which has
// come back from an older copy.
var ErrOtherHistory = errors.New("the table does not have the change that is in force")

// ChangedSince returns the changes after a change, oldest first, and the nodes that they
// changed. It reads only the audit rows from there on, so its cost does not depend on the size of the
// tree. It returns [ErrOtherHistory] if the table does not have the change.
func (s *Store) ChangedSince(ctx context.Context, have ChangeRef) ([]ChangeRef, []Node, error) {
	rows, err := s.AuditSince(ctx, have.Version-1)
	if err != nil {
		return nil, nil, err
	}
	if CommonVersion([]ChangeRef{have}, rows) == 0 {
		return nil, nil, ErrOtherHistory
	}
	var changes []ChangeRef
	var nodes []Node
	for _, row := range rows[1:] {
		changes = append(changes, ChangeRef{Version: row.Version, ChangeID: row.ChangeID})
		for _, c := range row.Changes {
			nodes = append(nodes, Node{Path: c.Path, Version: row.Version, Text: c.After, Deleted: c.Deleted})
		}
	}
	return changes, nodes, nil
}

func auditKey(version int64) string { return fmt.Sprintf("%s%012d", auditPrefix, version) }

// changeVersion returns the version that a change id was accepted as, and whether it
// was accepted.
func (s *Store) changeVersion(ctx context.Context, changeID string) (int64, bool, error) {
	kv, ok, err := s.table.Get(ctx, changePrefix+changeID)
	if err != nil || !ok {
		return 0, false, err
	}
	var version int64
	if err := json.Unmarshal(kv.Value, &version); err != nil {
		return 0, false, fmt.Errorf("decode change %s: %w", changeID, err)
	}
	return version, true, nil
}
