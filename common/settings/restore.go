package settings

import (
	"context"
	"fmt"
	"math"
	"slices"

	"hemlockmux.example/common/clock"
)

// ChangeRef names the change that made a version. A table that comes back from an older copy gives out
// versions again, so that a version alone does not say which settings it stands for.
type ChangeRef struct {
	// Version is the version that the change made.
	Version int64 `json:"version"`
	// ChangeID is the id of the change.
	ChangeID string `json:"changeId"`
}

// Held is what a daemon has in force.
type Held struct {
	// Version is the version in force.
	Version int64
	// Changes are the changes that are known of those up to Version, the oldest first.
	Changes []ChangeRef
	// Nodes are all nodes.
	Nodes []Node
}

// restoringOperator is named in the audit trail for changes that a daemon writes again.
const restoringOperator = "hemlockd"

// Restore writes again what a daemon holds and the table has lost, as one change with a version above
// both. Where an operator has changed a node since, that word counts. It does nothing if the table
// lacks nothing and its version is above the daemon's. Other daemons may write meanwhile, so after an
// error it is to be called again.
func (s *Store) Restore(ctx context.Context, held Held, at clock.Millis) error {
	if len(held.Changes) == 0 {
		return nil
	}
	head, nodes, headRevision, err := s.snapshot(ctx)
	if err != nil {
		return err
	}
	rows, err := s.AuditSince(ctx, held.Changes[0].Version-1)
	if err != nil {
		return err
	}
	common, own := CommonVersion(held.Changes, rows), held.Changes[len(held.Changes)-1]
	if common == own.Version {
		return nil // the table has all of it
	}
	lost := lostNodes(held.Nodes, rows, common)
	if len(lost) == 0 && head.Version > held.Version {
		return nil
	}
	next := max(head.Version, held.Version) + 1
	merged, changes := merge(nodes, lost, next)
	if _, err := Parse(next, merged); err != nil {
		return fmt.Errorf("the settings that the table has lost do not go with those that it has: %w", err)
	}
	row := AuditRow{
		Version: next, PreviousVersion: head.Version, ChangeID: fmt.Sprintf("restored-%d-%s", next, own.ChangeID), Operator: restoringOperator, AtMs: at,
		Comment: fmt.Sprintf("written again after the table had lost changes up to version %d", held.Version), Changes: changes,
	}
	txn, err := applyTxn(row, headRevision, merged)
	if err != nil {
		return err
	}
	resp, err := s.table.Txn(ctx, txn)
	if err == nil && !resp.Succeeded {
		return errContended
	}
	return err
}

// operatorsWord stands for an operator's change in place of a lost version: no lost one goes before it.
const operatorsWord = int64(math.MaxInt64)

// lostNodes returns the changes after a common version of the nodes that are held which no later audit row
// has written again, and that no operator has overruled.
func lostNodes(held []Node, rows []AuditRow, common int64) []NodeChange {
	written := map[string]int64{} // by path: the highest lost version that is in the table again
	for _, row := range rows {
		if row.Version <= common {
			continue
		}
		for _, c := range row.Changes {
			version := c.LostVersion
			if row.Operator != restoringOperator {
				version = operatorsWord
			}
			written[c.Path] = max(written[c.Path], version)
		}
	}
	var lost []NodeChange
	for _, n := range held {
		if n.Version > common && n.Version > written[n.Path] {
			lost = append(lost, NodeChange{Path: n.Path, After: n.Text, Deleted: n.Deleted, LostVersion: n.Version})
		}
	}
	return lost
}

// CommonVersion returns the highest version that the same change made in both, or 0 if there is none.
func CommonVersion(changes []ChangeRef, rows []AuditRow) int64 {
	for _, row := range slices.Backward(rows) {
		if slices.Contains(changes, ChangeRef{Version: row.Version, ChangeID: row.ChangeID}) {
			return row.Version
		}
	}
	return 0
}
