package settings

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/platform/memory"
)

// faultyTable loses answers and requests as a script says.
type faultyTable struct {
	*memory.Table
	script  []string
	delayed []platform.TxnRequest
}

func (t *faultyTable) Txn(ctx context.Context, req platform.TxnRequest) (platform.TxnResponse, error) {
	fault := "none"
	if len(t.script) > 0 {
		fault, t.script = t.script[0], t.script[1:]
	}
	lost := &platform.UnavailableError{Op: "txn", MayHaveTakenEffect: true, Err: errors.New(fault)}
	switch fault {
	case "lost":
		_, _ = t.Table.Txn(ctx, req)
		return platform.TxnResponse{}, lost
	case "delayed":
		t.delayed = append(t.delayed, req)
		return platform.TxnResponse{}, lost
	case "down":
		return platform.TxnResponse{}, &platform.UnavailableError{Op: "txn", Err: errors.New(fault)}
	}
	return t.Table.Txn(ctx, req)
}

// Property: with operators racing, answers lost and writes that arrive late,
// an accepted change is in the audit trail exactly once, versions have no gap,
// what is refused never shows, and the nodes are what the audit trail adds up
// to. HEMLOCK_BREAK=blindTable makes the table ignore conditions.
func TestChangesAreAuditedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &faultyTable{Table: memory.New()}
		table.IgnoreCompare.Store(os.Getenv("HEMLOCK_BREAK") == "blindTable")
		store, ctx := NewStore(table), context.Background()
		store.pause = 0
		first := Change{ChangeID: "first", Operator: "a", Nodes: []NodeChange{{Path: SystemPath, After: goodSystem}}}
		if _, err := store.Apply(ctx, first); err != nil {
			t.Fatal(err)
		}
		accepted, refused := map[string]int64{"first": 1}, map[string]bool{}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				n++
				table.script = rapid.SliceOfN(rapid.SampledFrom([]string{"none", "lost", "delayed", "down"}), 0, 4).Draw(t, "faults")
				from := int64(rapid.IntRange(0, len(accepted)).Draw(t, "from"))
				path := rapid.SampledFrom([]string{"teams/a", "teams/b"}).Draw(t, "path")
				change := Change{ChangeID: fmt.Sprint("c", n), Operator: "a", BaseVersion: from, Nodes: []NodeChange{{Path: path, After: fmt.Sprintf("priority = %d\n# %d\n", n%10, n)}}}
				version, err := store.Apply(ctx, change)
				var unsettled *OutcomeUnknownError
				switch {
				case err == nil:
					accepted[change.ChangeID] = version
				case !errors.As(err, &unsettled):
					refused[change.ChangeID] = true
				}
			},
			"arrive": func(*rapid.T) {
				for _, req := range table.delayed {
					_, _ = table.Table.Txn(ctx, req)
				}
				table.delayed = nil
			},
		})
		for _, req := range table.delayed {
			_, _ = table.Table.Txn(ctx, req)
		}
		table.script = nil
		rows, err := store.AuditSince(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		checkTrail(t, store, rows, accepted, refused)
	})
}

// All teams of the letter come in one change, as the first one does.
func TestManyTeamsInOneChange(t *testing.T) {
	store := NewStore(memory.New())
	change := Change{ChangeID: "all", Operator: "a", Nodes: []NodeChange{{Path: SystemPath, After: goodSystem}}}
	for i := range 1100 {
		change.Nodes = append(change.Nodes, NodeChange{Path: fmt.Sprint(TeamsPrefix, "team-", i), After: "priority = 3\n"})
	}
	if _, err := store.Apply(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	_, nodes, err := store.Snapshot(context.Background())
	if err != nil || len(nodes) != len(change.Nodes) {
		t.Errorf("%d of %d nodes: %v", len(nodes), len(change.Nodes), err)
	}
}

func checkTrail(t *rapid.T, store *Store, rows []AuditRow, accepted map[string]int64, refused map[string]bool) {
	texts := map[string]string{}
	seen := map[string]int64{}
	for i, row := range rows {
		if row.Version != int64(i+1) || row.PreviousVersion != int64(i) {
			t.Fatalf("row %d is version %d from %d", i, row.Version, row.PreviousVersion)
		}
		if seen[row.ChangeID] != 0 || refused[row.ChangeID] {
			t.Fatalf("change %s: seen before at %d, refused: %t", row.ChangeID, seen[row.ChangeID], refused[row.ChangeID])
		}
		seen[row.ChangeID] = row.Version
		for _, c := range row.Changes {
			if c.Before != texts[c.Path] {
				t.Fatalf("version %d says %s was %q, it was %q", row.Version, c.Path, c.Before, texts[c.Path])
			}
			texts[c.Path] = c.After
		}
	}
	for id, version := range accepted {
		if seen[id] != version {
			t.Fatalf("change %s was accepted as %d and stands at %d", id, version, seen[id])
		}
	}
	head, nodes, err := store.Snapshot(context.Background())
	if err != nil || head.Version != int64(len(rows)) {
		t.Fatalf("head %d with %d rows: %v", head.Version, len(rows), err)
	}
	for _, node := range nodes {
		if node.Text != texts[node.Path] {
			t.Fatalf("%s is %q, the trail says %q", node.Path, node.Text, texts[node.Path])
		}
	}
}
