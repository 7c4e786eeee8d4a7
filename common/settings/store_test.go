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

// faultyTable is a table whose transactions meet the faults of script, in order, and
// none once it is used up.
type faultyTable struct {
	*memory.Table
	script []string
	// delayed holds the transactions that were reported lost and have not taken
	// effect yet.
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

// Property: despite changes that are based on older versions, lost answers and delayed
// writes, each accepted change is in the audit trail exactly once, versions have no gap,
// no refused change is in it, and the nodes equal the changes of the trail applied in
// order. HEMLOCK_BREAK=blindTable makes the table ignore the transactions'
// conditions, which the test must notice.
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
				var outcomeUnknown *OutcomeUnknownError
				switch {
				case err == nil:
					accepted[change.ChangeID] = version
				case !errors.As(err, &outcomeUnknown):
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

// A first change may write more nodes than one transaction can hold: 1,100 teams
// and the system node.
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
		t.Errorf("got %d of %d nodes, error %v", len(nodes), len(change.Nodes), err)
	}
}

// checkTrail fails the test if the audit trail contradicts the accepted and refused
// changes or the stored nodes.
func checkTrail(t *rapid.T, store *Store, rows []AuditRow, accepted map[string]int64, refused map[string]bool) {
	texts := map[string]string{}
	seen := map[string]int64{}
	for i, row := range rows {
		if row.Version != int64(i+1) || row.PreviousVersion != int64(i) {
			t.Fatalf("row %d has version %d and previous version %d", i, row.Version, row.PreviousVersion)
		}
		if seen[row.ChangeID] != 0 || refused[row.ChangeID] {
			t.Fatalf("change %s is in the trail: earlier as version %d, refused: %t", row.ChangeID, seen[row.ChangeID], refused[row.ChangeID])
		}
		seen[row.ChangeID] = row.Version
		for _, c := range row.Changes {
			if c.Before != texts[c.Path] {
				t.Fatalf("version %d records that %s was %q before, want %q", row.Version, c.Path, c.Before, texts[c.Path])
			}
			texts[c.Path] = c.After
		}
	}
	for id, version := range accepted {
		if seen[id] != version {
			t.Fatalf("change %s was accepted as version %d, the trail has it as %d", id, version, seen[id])
		}
	}
	head, nodes, err := store.Snapshot(context.Background())
	if err != nil || head.Version != int64(len(rows)) {
		t.Fatalf("head is version %d after %d audit rows, error %v", head.Version, len(rows), err)
	}
	for _, node := range nodes {
		if node.Text != texts[node.Path] {
			t.Fatalf("%s is %q, want %q as in the trail", node.Path, node.Text, texts[node.Path])
		}
	}
}
