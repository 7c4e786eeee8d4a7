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

// fakeEngines carries orders out at once.
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

// orderlyStore writes whatever it is asked to.
type orderlyStore struct{ version int64 }

func (s *orderlyStore) CompareAndSwap(context.Context, directory.Topic, string, []byte, int64) (int64, error) {
	s.version++
	return s.version, nil
}

// runKeeper looks at the load so often, with time moved by hand.
func runKeeper(engines *fakeEngines, looks int, prefillUse, memory float64) {
	clk := clock.NewManual(0)
	readingMs := 0.0
	k := NewController(Options{
		Log: zap.NewNop(), Clock: clk.Clock(), Engines: engines, Name: "d", DataCentre: "a",
		Lease: NewLease(&orderlyStore{}, "a", "d", 3*clock.Second), Services: engines.services,
		Responsible: func() bool { return true }, PrefillWorkMs: func(string) float64 { return readingMs },
		MemoryUse: func() map[string]float64 {
			use := map[string]float64{}
			for i := range len(engines.roles) {
				use[fmt.Sprint("e", i)] = memory
			}
			return use
		},
		OnOrder: func(string) {}, IsChanging: func(routing.Upstream) bool { return false },
	})
	for range looks {
		clk.Advance(lookInterval)
		readingMs += prefillUse * float64(engines.count(routing.RolePrefill)) * float64(lookInterval)
		k.lookAtAll(context.Background())
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

func TestIdlePrefillEnginesTurnToDecodingOneByOne(t *testing.T) {
	f := newEngines(3, 4)
	runKeeper(f, 200, 0.1, 0.8)
	if f.count(routing.RolePrefill) != 1 || len(f.orders) != 2 {
		t.Errorf("%d prefill engines after %d orders", f.count(routing.RolePrefill), len(f.orders))
	}
}

// TestDataCentreWithoutPrefillEngines replays a hunt's day: the last prefill engine
// of a data centre had left, and the order for another crashed the daemon.
func TestDataCentreWithoutPrefillEngines(t *testing.T) {
	f := newEngines(0, 4)
	runKeeper(f, 20, 0.95, 0.1)
	if f.count(routing.RolePrefill) != 1 {
		t.Errorf("%d prefill engines", f.count(routing.RolePrefill))
	}
	f = newEngines(0, 1)
	runKeeper(f, 200, 0.95, 0.1)
	if len(f.orders) != 0 {
		t.Error("the only engine was ordered to read prompts")
	}
}
