package memory

import (
	"maps"

	"hemlockmux.example/common/platform"
)

// tableCopy is a copy of a table's content.
type tableCopy struct {
	rows     map[string]platform.KeyValue
	revision int64
}

// Copy makes the copy that Restore brings back.
func (t *Table) Copy() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copied = &tableCopy{rows: maps.Clone(t.rows), revision: t.revision}
}

// Restore replaces the table's content by that of the copy: what was written since is gone, and
// revisions are given out again; answers have another cluster ID. It reports whether there is a copy.
func (t *Table) Restore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.copied == nil {
		return false
	}
	t.rows, t.revision = maps.Clone(t.copied.rows), t.copied.revision
	t.clusterID++
	return true
}
