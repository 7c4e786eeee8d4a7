package archive

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
)

// fakeObjects fails while down is set.
type fakeObjects struct {
	mu      sync.Mutex
	down    bool
	objects map[string][]byte
}

func (f *fakeObjects) PutObject(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errors.New("down")
	}
	f.objects[name] = data
	return nil
}

func TestVerdictsOutliveAnOutageOfTheStore(t *testing.T) {
	objects := &fakeObjects{down: true, objects: map[string][]byte{}}
	a, closeArchive := New(Options{Log: zap.NewNop(), Clock: clock.System(), Objects: objects, Daemon: "d", StartedMs: 7})
	a.Record(verdict.Verdict{RequestID: "first", Outcome: verdict.Refused})
	a.store(context.Background())
	a.Record(verdict.Verdict{RequestID: "second", Outcome: verdict.Run})
	a.store(context.Background())
	if len(objects.objects) != 0 {
		t.Fatal("stored while the store was down")
	}
	objects.mu.Lock()
	objects.down = false
	objects.mu.Unlock()
	closeArchive()
	found := map[string]verdict.Outcome{}
	for name, data := range objects.objects {
		if !strings.HasPrefix(name, verdict.BatchPrefix+"d~7~") {
			t.Errorf("name %q", name)
		}
		all, err := verdict.DecodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range all {
			found[v.RequestID] = v.Outcome
		}
	}
	if found["first"] != verdict.Refused || found["second"] != verdict.Run {
		t.Errorf("found %v", found)
	}
}

func TestHeldVerdictsAreBounded(t *testing.T) {
	objects := &fakeObjects{down: true, objects: map[string][]byte{}}
	a, closeArchive := New(Options{Log: zap.NewNop(), Clock: clock.System(), Objects: objects, Daemon: "d"})
	defer closeArchive()
	for range 3 {
		a.mu.Lock()
		a.held = append(a.held, object{name: "x", data: make([]byte, maxHeld/2)})
		a.size += maxHeld / 2
		a.mu.Unlock()
		a.Record(verdict.Verdict{RequestID: "r"})
		a.store(context.Background())
	}
	if a.size > maxHeld {
		t.Errorf("%d bytes held", a.size)
	}
}
