package app

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/prompts"
)

// fakePartsTable keeps entries in memory and fails while down is set.
type fakePartsTable struct {
	entries map[string][]byte
	down    bool
}

func (f *fakePartsTable) Read(context.Context, directory.Topic) (directory.Page, error) {
	return directory.Page{}, nil
}

func (f *fakePartsTable) Put(_ context.Context, _ directory.Topic, key string, value []byte) error {
	if f.down {
		return errors.New("down")
	}
	f.entries[key] = value
	return nil
}

// TestRefusedPartsAreStoredAgainAfterARestore guards against refused parts of prompts that a restored
// store lacks, and those that have been lifted and that it lists again. Only the daemon that is
// responsible for a part writes.
func TestRefusedPartsAreStoredAgainAfterARestore(t *testing.T) {
	now := clock.NewManual(clock.Minute)
	table := &fakePartsTable{entries: map[string][]byte{}}
	b := newBlameStore(zap.NewNop(), now.Clock(), table, prompts.New(), func(part string) bool { return part != "other" })
	for _, part := range []string{"lifted", "other"} {
		r := prompts.Report{Service: "s", Part: part}
		b.stored[blameKey(r)] = storedBlame{Report: r, AtMs: clock.Minute}
	}
	b.update(t.Context())
	if len(table.entries) != 0 {
		t.Fatalf("%d entries written without a restore", len(table.entries))
	}
	b.restored.Store(true)
	table.down = true
	b.update(t.Context())
	table.down = false
	b.update(t.Context())
	if _, ok := table.entries[blameKey(prompts.Report{Service: "s", Part: "lifted"})]; !ok || len(table.entries) != 1 {
		t.Errorf("%d entries written again, want the one that this daemon is responsible for", len(table.entries))
	}
	b.update(t.Context())
	if b.restored.Load() {
		t.Error("written again and again")
	}
}
