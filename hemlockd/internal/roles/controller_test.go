package roles

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
)

// fakeEngines carries out orders immediately.
type fakeEngines struct {
	mu     sync.Mutex
	roles  map[string]routing.Role
	orders []calls.Order
}

func (f *fakeEngines) State(_ context.Context, to routing.Upstream) (calls.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return calls.EngineState{Prefill: f.roles[to.ID] == routing.RolePrefill}, nil
}

func (f *fakeEngines) ChangeRole(_ context.Context, to routing.Upstream, o calls.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	f.roles[to.ID] = routing.RoleDecode
	if o.Prefill {
		f.roles[to.ID] = routing.RolePrefill
	}
	return nil
}

func (f *fakeEngines) services() map[string][]routing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []routing.Upstream
	for i := range len(f.roles) {
		id := fmt.Sprint("e", i)
		all = append(all, routing.Upstream{ID: id, DataCentre: "a", Role: f.roles[id]})
	}
	return map[string][]routing.Upstream{"s": all}
}

func (f *fakeEngines) count(role routing.Role) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.roles {
		if r == role {
			n++
		}
	}
	return n
}

// alwaysWritesStore accepts every write.
type alwaysWritesStore struct{ version int64 }

func (s *alwaysWritesStore) CompareAndSwap(context.Context, directory.Topic, string, []byte, directory.Revision) (directory.Revision, error) {
	s.version++
	return directory.Revision{Version: s.version}, nil
}

// runController runs a controller for the given number of samples on a manual clock.
func runController(engines *fakeEngines, samples int, prefillUse, memoryUse float64) {
	clk := clock.NewManual(0)
	prefillWorkMs := 0.0
	c := NewController(Options{
		Log: zap.NewNop(), Clock: clk.Clock(), Engines: engines, Name: "d", DataCentre: "a",
		Lease: NewLease(&alwaysWritesStore{}, "a", "d", 3*clock.Second, func() Era { return Era{SinceMs: -clock.Minute, Known: true} }), Services: engines.services,
		Responsible: func() bool { return true }, PrefillWorkMs: func(string) float64 { return prefillWorkMs },
		MemoryUse: func() map[string]float64 {
			use := map[string]float64{}
			for i := range len(engines.roles) {
				use[fmt.Sprint("e", i)] = memoryUse
			}
			return use
		},
		OnOrder: func(string) {}, IsChanging: func(routing.Upstream) bool { return false },
	})
	for range samples {
		clk.Advance(sampleInterval)
		prefillWorkMs += prefillUse * float64(engines.count(routing.RolePrefill)) * float64(sampleInterval)
		c.step(context.Background())
	}
}

func newEngines(prefillers, decoders int) *fakeEngines {
	f := &fakeEngines{roles: map[string]routing.Role{}}
	for i := range prefillers + decoders {
		f.roles[fmt.Sprint("e", i)] = routing.RolePrefill
		if i >= prefillers {
			f.roles[fmt.Sprint("e", i)] = routing.RoleDecode
		}
	}
	return f
}

func TestIdlePrefillEnginesChangeToDecodeOneByOne(t *testing.T) {
	f := newEngines(3, 4)
	runController(f, 200, 0.1, 0.8)
	if f.count(routing.RolePrefill) != 1 || len(f.orders) != 2 {
		t.Errorf("%d prefill engines after %d orders, want 1 after 2", f.count(routing.RolePrefill), len(f.orders))
	}
}

// TestDataCentreWithoutPrefillEngines guards against a crash of the daemon when it
// ordered a new prefill engine after the last one of its data centre had left.
func TestDataCentreWithoutPrefillEngines(t *testing.T) {
	f := newEngines(0, 4)
	runController(f, 20, 0.95, 0.1)
	if f.count(routing.RolePrefill) != 1 {
		t.Errorf("%d prefill engines, want 1", f.count(routing.RolePrefill))
	}
	f = newEngines(0, 1)
	runController(f, 200, 0.95, 0.1)
	if len(f.orders) != 0 {
		t.Error("the only engine was ordered to change to prefill")
	}
}
