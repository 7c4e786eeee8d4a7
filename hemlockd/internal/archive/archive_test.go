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

// fakeObjects is an object store in memory that fails while unavailable is set.
type fakeObjects struct {
	mu          sync.Mutex
	unavailable bool
	objects     map[string][]byte
}

func (f *fakeObjects) PutObject(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return errors.New("down")
	}
	f.objects[name] = data
	return nil
}

// TestVerdictsOutliveAnOutageOfTheStore checks that verdicts recorded during an outage of
// the store are stored after it.
func TestVerdictsOutliveAnOutageOfTheStore(t *testing.T) {
	objects := &fakeObjects{unavailable: true, objects: map[string][]byte{}}
	a, closeArchive := New(Options{Log: zap.NewNop(), Clock: clock.System(), Objects: objects, Daemons: func() int { return 1 }, Daemon: "d", StartedMs: 7})
	a.Record(verdict.Verdict{RequestID: "first", Outcome: verdict.OutcomeRefused})
	a.store(context.Background())
	a.Record(verdict.Verdict{RequestID: "second", Outcome: verdict.OutcomeRun})
	a.store(context.Background())
	if len(objects.objects) != 0 {
		t.Fatal("an object was stored while the store was unavailable")
	}
	objects.mu.Lock()
	objects.unavailable = false
	objects.mu.Unlock()
	closeArchive()
	found := map[string]verdict.Outcome{}
	for name, data := range objects.objects {
		if !strings.HasPrefix(name, verdict.BatchPrefix+"d~7~") {
			t.Errorf("unexpected object name %q", name)
		}
		all, err := verdict.DecodeBatch(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range all {
			found[v.RequestID] = v.Outcome
		}
	}
	if found["first"] != verdict.OutcomeRefused || found["second"] != verdict.OutcomeRun {
		t.Errorf("found %v", found)
	}
}

// TestVerdictsOutliveARestoreOfTheStore guards against verdicts that are gone for good: the store had
// acknowledged them and came back from an older copy.
func TestVerdictsOutliveARestoreOfTheStore(t *testing.T) {
	objects := &fakeObjects{objects: map[string][]byte{}}
	now := clock.NewManual(clock.Minute)
	a, closeArchive := New(Options{Log: zap.NewNop(), Clock: now.Clock(), Objects: objects, Daemons: func() int { return 1 }, Daemon: "d", StartedMs: 7})
	defer closeArchive()
	for _, id := range []string{"old", "recent", "last"} {
		a.Record(verdict.Verdict{RequestID: id})
		a.store(context.Background())
		now.Advance(keptSpan/2 + clock.Second)
	}
	clear(objects.objects)
	a.Restored()
	a.store(context.Background())
	if _, ok := objects.objects[verdict.BatchPrefix+"d~7~3"]; !ok || len(objects.objects) != 2 {
		t.Errorf("stored again: %d batches, want the two of the last minute", len(objects.objects))
	}
	if len(a.waiting) != 0 || a.waitingBytes != 0 {
		t.Errorf("%d batches of %d bytes still wait", len(a.waiting), a.waitingBytes)
	}
}

// TestWaitingVerdictsAreBounded checks the limit on the batches that wait during an
// outage of the store.
func TestWaitingVerdictsAreBounded(t *testing.T) {
	objects := &fakeObjects{unavailable: true, objects: map[string][]byte{}}
	a, closeArchive := New(Options{Log: zap.NewNop(), Clock: clock.System(), Objects: objects, Daemons: func() int { return 1 }, Daemon: "d"})
	defer closeArchive()
	for range 3 {
		a.mu.Lock()
		a.waiting = append(a.waiting, object{name: "x", data: make([]byte, maxWaitingBytes/2)})
		a.waitingBytes += maxWaitingBytes / 2
		a.mu.Unlock()
		a.Record(verdict.Verdict{RequestID: "r"})
		a.store(context.Background())
	}
	if a.waitingBytes > maxWaitingBytes {
		t.Errorf("%d bytes are waiting", a.waitingBytes)
	}
}
