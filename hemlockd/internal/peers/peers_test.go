package peers

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// node is a daemon under test.
type node struct {
	*Peers
	view    *capacity.View
	version atomic.Int64
	newer   chan string
	// content is what the daemon's snapshots hold.
	content []byte
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
	n := &node{view: capacity.NewView(capacity.DefaultLimits()), newer: make(chan string, 100), content: []byte("config")}
	n.view.SetEngines([]capacity.Engine{{ID: "e", MemoryTokens: 10000, Slots: 8}})
	p, closePeers, err := New(Options{
		Log: zap.NewNop(), Clock: clock.System(), Name: name, DataCentre: "a",
		Address: freeAddress(t), Control: freeAddress(t), StartedMs: started, BytesPerSecond: 20000,
	}, Handlers{
		Config: n.config, List: func() directory.Revision { return directory.Revision{} }, FollowsStore: func() bool { return true },
		View: n.view, Suspects: suspects.New(), Prompts: prompts.New(), Gate: upstreamgate.New(upstreamlimits.New(name, 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), CapacityChanged: func() {}, Revisions: n.hear,
		Unreachable: func([]string) {}, ChangingRole: func([]string) {}, Leaving: func([]upstreamgate.Target, string) {}, Load: func() EngineLoad { return EngineLoad{} },
		Freshness: func() *Freshness { return &Freshness{ListAgeMs: 1} }, Confirmed: func(Freshness, directory.Revision, directory.Revision) {},
		Snapshot: func(SnapshotRequest) (Snapshot, error) {
			return Snapshot{Revision: n.config(), Content: n.content}, nil
		},
		Beliefs: func() operatorapi.DaemonView { return operatorapi.DaemonView{Daemon: name} },
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Peers = p
	p.Start()
	t.Cleanup(closePeers)
	return n
}

// hear passes on the control address of a daemon with a newer configuration.
func (n *node) hear(control string, config, _ directory.Revision, _ bool) {
	if n.config().Before(config) {
		n.newer <- control
	}
}

// config returns the revision of the configuration in force.
func (n *node) config() directory.Revision { return directory.Revision{Version: n.version.Load()} }

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not met within 5 s: ", what)
}

func (n *node) runs() int { return n.view.Engines(clock.System().Now())[0].Runs }

func TestPlacementsAreBroadcastAndRepaired(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	b.AddAddress(a.options.Address, "")
	eventually(t, "both know each other", func() bool { return len(a.Alive()) == 1 && len(b.Alive()) == 1 })
	run, ok := a.view.Place(capacity.Run{ID: "r", PromptTokens: 100, ExpectedTokens: 10, MaxTokens: 20}, capacity.PlaceOptions{SkipPrefill: true}, 0)
	if !ok {
		t.Fatal("run was not placed")
	}
	a.Broadcast(Update{Runs: []capacity.Run{run}})
	eventually(t, "b counts the run", func() bool { return b.runs() == 1 })
	a.view.End("r") // without a broadcast, as if the update was lost
	eventually(t, "the next full state repairs it", func() bool { return b.runs() == 0 })
}

func TestStaleMessagesAreIgnored(t *testing.T) {
	a := start(t, "a", 1)
	run := func(id string) capacity.Run {
		return capacity.Run{ID: id, Engine: "e", PromptTokens: 100, ExpectedTokens: 10, MaxTokens: 20}
	}
	state := func(sequence int64, full bool, runs ...capacity.Run) State {
		return State{Name: "b", StartedMs: 5, Sequence: sequence, Address: "127.0.0.1:9", Control: "127.0.0.1:9", DataCentre: "a", Full: full, Runs: runs}
	}
	a.apply(state(3, true, run("x"), run("y")))
	a.apply(state(2, true))            // arrives after message 3
	a.apply(state(1, false, run("z"))) // older than the last full state
	if a.runs() != 2 {
		t.Errorf("%d runs, want 2", a.runs())
	}
	a.apply(state(4, false, run("z")))
	if a.runs() != 3 {
		t.Errorf("%d runs, want 3", a.runs())
	}
	restarted := state(1, true)
	restarted.StartedMs = 6
	a.apply(restarted)
	if a.runs() != 0 {
		t.Errorf("%d runs after a restart, want 0", a.runs())
	}
	// The wall clock is set back before the next start.
	again := state(1, true, run("w"))
	again.StartedMs = 2
	time.Sleep((restartSilence + 50).Duration())
	a.apply(again)
	if a.runs() != 1 {
		t.Errorf("%d runs after a restart with an earlier start time, want 1", a.runs())
	}
}

func TestNewerConfigurationIsFetched(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	a.version.Store(7)
	b.AddAddress(a.options.Address, "")
	control := <-b.newer
	s, err := b.FetchSnapshot(t.Context(), control, SnapshotRequest{})
	if err != nil || s.Revision.Version != 7 || string(s.Content) != "config" {
		t.Errorf("%+v, %v", s, err)
	}
}

func TestTwoDaemonsOfADataCentreFollowTheStore(t *testing.T) {
	a := start(t, "m", 1)
	receive := func(name string, follows bool) {
		a.apply(State{Name: name, StartedMs: 1, Sequence: 1, Address: "127.0.0.1:9", DataCentre: "a", FollowsStore: follows})
	}
	if !a.ShouldFollowStore() {
		t.Error("does not follow the store although no other daemon is known")
	}
	receive("a", true)
	receive("z1", true)
	receive("z2", true)
	if !a.ShouldFollowStore() {
		t.Error("does not follow the store although only one daemon before it does")
	}
	receive("b", true)
	if a.ShouldFollowStore() {
		t.Error("follows the store although two daemons before it do")
	}
	if a.ViewStale() {
		t.Error("view is stale although all daemons were heard from")
	}
}

// TestWidestLinksFollowTheStore guards against a daemon that reads a large configuration from
// the store over a narrow link while others of its data centre have wide ones.
func TestWidestLinksFollowTheStore(t *testing.T) {
	a := start(t, "m", 1)
	a.options.LinkMbps = 10
	receive := func(name string, mbps float64) {
		a.apply(State{Name: name, StartedMs: 1, Sequence: 1, Address: "127.0.0.1:9", DataCentre: "a", FollowsStore: true, LinkMbps: mbps})
	}
	receive("a", 1)
	receive("b", 1)
	if !a.ShouldFollowStore() {
		t.Error("leaves following the store to daemons with narrower links")
	}
	receive("z1", 200)
	receive("z2", 200)
	if a.ShouldFollowStore() {
		t.Error("follows the store although two daemons with wider links do")
	}
}

// TestUpdatesBeyondTheBudgetAreDropped exceeds the send budget, as 28 daemons in a data
// centre would. The view must then count as stale, so that engines confirm placements.
func TestUpdatesBeyondTheBudgetAreDropped(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	b.AddAddress(a.options.Address, "")
	eventually(t, "both know each other", func() bool { return len(a.Alive()) == 1 })
	before := time.Now()
	for !a.ViewStale() && time.Since(before) < 5*time.Second {
		a.Broadcast(Update{Ended: []string{"r"}})
	}
	if !a.ViewStale() {
		t.Error("no update was dropped for lack of budget within 5 s")
	}
}

func TestFollowerThatLosesTheStoreIsReplaced(t *testing.T) {
	a := start(t, "m", 1)
	for i := range 3 {
		a.apply(State{Name: fmt.Sprint("a", i), StartedMs: 1, Sequence: 1, Address: "127.0.0.1:9", DataCentre: "a", FollowsStore: false})
	}
	if !a.ShouldFollowStore() {
		t.Error("does not follow the store although the three daemons before it have lost it")
	}
}

// TestBadDatagramsEndNoDaemon guards against a daemon that is ended by one datagram: an
// address that cannot be resolved, or the daemon's own, was not among the known ones and
// was used all the same.
func TestBadDatagramsEndNoDaemon(t *testing.T) {
	a := start(t, "a", 1)
	for _, address := range []string{"", "no address", "127.0.0.1:port", "[::1]:9", a.options.Address} {
		a.apply(State{Name: "b", StartedMs: 1, Sequence: 1, Address: address, DataCentre: "a"})
		if alive := a.Alive(); len(alive) != 0 {
			t.Errorf("address %q: %+v counts as alive", address, alive)
		}
	}
	a.apply(State{Name: "b", StartedMs: 1, Sequence: 2, Address: "127.0.0.1:9", DataCentre: "a"})
	if len(a.Alive()) != 1 {
		t.Error("a good message of the same daemon is not counted")
	}
}
