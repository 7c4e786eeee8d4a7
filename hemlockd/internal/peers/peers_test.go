package peers

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/suspects"
)

// node is one daemon of a test.
type node struct {
	*Peers
	view    *capacity.View
	version atomic.Int64
	newer   chan string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func start(t *testing.T, name string, started clock.Millis) *node {
	t.Helper()
	n := &node{view: capacity.NewView(capacity.DefaultLimits()), newer: make(chan string, 100)}
	n.view.SetEngines([]capacity.Engine{{ID: "e", MemoryTokens: 10000, Slots: 8}})
	p, closePeers, err := New(Options{
		Log: zap.NewNop(), Clock: clock.System(), Name: name, DataCentre: "a",
		Address: freeAddress(t), Control: freeAddress(t), StartedMs: started, BytesPerSecond: 20000,
	}, Handlers{
		Version: func() int64 { return n.version.Load() }, ListVersion: func() int64 { return 0 }, FollowsStore: func() bool { return true },
		View: n.view, Suspects: suspects.New(), CapacityChanged: func() {}, NewerVersion: func(control string) { n.newer <- control },
		Unreachable: func([]string) {}, ChangingRole: func([]string) {},
		Snapshot: func(SnapshotRequest) Snapshot { return Snapshot{Version: n.version.Load(), Config: []byte("config")} },
		Beliefs:  func() operatorapi.Beliefs { return operatorapi.Beliefs{Daemon: name} },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Peers = p
	p.Start()
	t.Cleanup(closePeers)
	return n
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("not in time: ", what)
}

func (n *node) runs() int { return n.view.Engines(clock.System().Now())[0].Runs }

func TestPlacementsAreToldAtOnceAndRepaired(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	b.AddAddress(a.options.Address)
	eventually(t, "both know each other", func() bool { return len(a.Alive()) == 1 && len(b.Alive()) == 1 })
	run, ok := a.view.Place(capacity.Run{ID: "r", PromptTokens: 100, ExpectedTokens: 10, MaxTokens: 20}, capacity.PlaceOptions{SkipPrefill: true}, 0)
	if !ok {
		t.Fatal("no place")
	}
	a.Broadcast(Update{Runs: []capacity.Run{run}})
	eventually(t, "b counts the run", func() bool { return b.runs() == 1 })
	a.view.End("r") // and the news of it is lost
	eventually(t, "the next whole state repairs it", func() bool { return b.runs() == 0 })
}

func TestOldMessagesChangeNothing(t *testing.T) {
	a := start(t, "a", 1)
	run := func(id string) capacity.Run {
		return capacity.Run{ID: id, Engine: "e", PromptTokens: 100, ExpectedTokens: 10, MaxTokens: 20}
	}
	state := func(number int64, whole bool, runs ...capacity.Run) State {
		return State{Name: "b", StartedMs: 5, Sequence: number, Address: "127.0.0.1:9", Control: "127.0.0.1:9", DataCentre: "a", Full: whole, Runs: runs}
	}
	a.take(state(3, true, run("x"), run("y")))
	a.take(state(2, true))            // overtaken by the third
	a.take(state(1, false, run("z"))) // older than what was told whole
	if a.runs() != 2 {
		t.Errorf("%d runs, want 2", a.runs())
	}
	a.take(state(4, false, run("z")))
	if a.runs() != 3 {
		t.Errorf("%d runs, want 3", a.runs())
	}
	restarted := state(1, true)
	restarted.StartedMs = 6
	a.take(restarted)
	if a.runs() != 0 {
		t.Errorf("%d runs of a daemon that has restarted", a.runs())
	}
	// The time of day has jumped back before the next start.
	again := state(1, true, run("w"))
	again.StartedMs = 2
	time.Sleep((restartSilence + 50).Duration())
	a.take(again)
	if a.runs() != 1 {
		t.Errorf("%d runs after a start at an earlier time of day", a.runs())
	}
}

func TestNewsOfAConfigurationIsFetched(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	a.version.Store(7)
	b.AddAddress(a.options.Address)
	control := <-b.newer
	s, err := FetchSnapshot(t.Context(), control, SnapshotRequest{})
	if err != nil || s.Version != 7 || string(s.Config) != "config" {
		t.Errorf("%+v, %v", s, err)
	}
}

func TestTwoDaemonsOfADataCentreFollowTheStore(t *testing.T) {
	a := start(t, "m", 1)
	tell := func(name string, follows bool) {
		a.take(State{Name: name, StartedMs: 1, Sequence: 1, Address: "127.0.0.1:9", DataCentre: "a", FollowsStore: follows})
	}
	if !a.ShouldFollowStore() {
		t.Error("a daemon that knows no other must follow")
	}
	tell("a", true)
	tell("z1", true)
	tell("z2", true)
	if !a.ShouldFollowStore() {
		t.Error("only one before it follows")
	}
	tell("b", true)
	if a.ShouldFollowStore() {
		t.Error("two before it follow")
	}
	if a.ViewStale() {
		t.Error("in the dark while all are heard")
	}
}

// TestNewsBeyondTheBudgetIsLeftOut: at the size of 28 daemons a data centre not
// everything can be told; then engines confirm what is placed.
func TestNewsBeyondTheBudgetIsLeftOut(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	b.AddAddress(a.options.Address)
	eventually(t, "both know each other", func() bool { return len(a.Alive()) == 1 })
	before := time.Now()
	for !a.ViewStale() && time.Since(before) < 5*time.Second {
		a.Broadcast(Update{Ended: []string{"r"}})
	}
	if !a.ViewStale() {
		t.Error("all was told, at any rate")
	}
}

func TestWhoeverLosesTheStoreIsReplaced(t *testing.T) {
	a := start(t, "m", 1)
	for i := range 3 {
		a.take(State{Name: fmt.Sprint("a", i), StartedMs: 1, Sequence: 1, Address: "127.0.0.1:9", DataCentre: "a", FollowsStore: false})
	}
	if !a.ShouldFollowStore() {
		t.Error("three before it do not follow, since they have lost the store")
	}
}
