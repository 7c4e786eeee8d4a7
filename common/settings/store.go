package settings

import (
	"context"
	"encoding/json"
	"fmt"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
)

// Keys of the settings in the platform's table.
const (
	headKey      = "settings/head"
	treePrefix   = "settings/tree/"
	auditPrefix  = "settings/audit/"
	changePrefix = "settings/change/"
)

// Head is the row that orders all changes.
type Head struct {
	Version  int64  `json:"version"`
	ChangeID string `json:"changeId"`
}

// AuditRow records one accepted change.
type AuditRow struct {
	Version         int64        `json:"version"`
	PreviousVersion int64        `json:"from"`
	ChangeID        string       `json:"changeId"`
	Operator        string       `json:"who"`
	AtMs            clock.Millis `json:"atMs"`
	Comment         string       `json:"comment,omitempty"`
	// Changes holds the nodes before and after.
	Changes []NodeChange `json:"changes"`
}

// NodeChange is one node of a change.
type NodeChange struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
	// Deleted says that the node was taken away.
	Deleted bool `json:"deleted,omitempty"`
}

// Table is what the store needs of the platform's table.
type Table interface {
	Txn(ctx context.Context, txn platform.TxnRequest) (platform.TxnResponse, error)
	Get(ctx context.Context, key string) (kv platform.KeyValue, ok bool, err error)
	Range(ctx context.Context, req platform.RangeRequest) ([]platform.KeyValue, error)
}

// Store reads and changes the settings in the platform's table.
type Store struct {
	table Table
	// pause is the time between two tries of an apply.
	pause clock.Millis
}

// NewStore returns a store over table.
func NewStore(table Table) *Store { return &Store{table: table, pause: retryPause} }

// Head reads the newest version; 0 means that there are no settings yet.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

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

// Snapshot reads the head and all nodes at one point in time.
func (s *Store) Snapshot(ctx context.Context) (Head, []Node, error) {
	head, nodes, _, err := s.snapshot(ctx)
	return head, nodes, err
}

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

// AuditSince reads the audit rows after a version, oldest first.
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

// ChangedSince reads the nodes that changed after a version, and the version that they
// lead to. It reads the audit rows, so its cost is that of the changes alone.
func (s *Store) ChangedSince(ctx context.Context, have int64) (int64, []Node, error) {
	rows, err := s.AuditSince(ctx, have)
	if err != nil {
		return 0, nil, err
	}
	version, nodes := have, []Node(nil)
	for _, row := range rows {
		version = row.Version
		for _, c := range row.Changes {
			nodes = append(nodes, Node{Path: c.Path, Version: row.Version, Text: c.After, Deleted: c.Deleted})
		}
	}
	return version, nodes, nil
}

func auditKey(version int64) string { return fmt.Sprintf("%s%012d", auditPrefix, version) }

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
