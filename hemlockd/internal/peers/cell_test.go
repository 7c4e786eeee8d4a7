package peers

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// countingNetwork counts the datagrams and bytes that are sent to each address.
type countingNetwork struct {
	mu    sync.Mutex
	sent  map[string]int
	bytes int
}

func (n *countingNetwork) ListenPacket(string) (net.PacketConn, error) {
	return datagramCounter{n}, nil
}

func (n *countingNetwork) Listen(string) (net.Listener, error) {
	return net.Listen("tcp4", "127.0.0.1:0")
}

func (n *countingNetwork) Dial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }

type datagramCounter struct{ n *countingNetwork }

func (c datagramCounter) WriteTo(b []byte, to net.Addr) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.n.sent[to.String()]++
	c.n.bytes += len(b)
	return len(b), nil
}

func (c datagramCounter) ReadFrom([]byte) (int, net.Addr, error) { return 0, nil, net.ErrClosed }
func (c datagramCounter) Close() error                           { return nil }
func (c datagramCounter) LocalAddr() net.Addr                    { return nil }
func (c datagramCounter) SetDeadline(time.Time) error            { return nil }
func (c datagramCounter) SetReadDeadline(time.Time) error        { return nil }
func (c datagramCounter) SetWriteDeadline(time.Time) error       { return nil }

// fleetMember is the first daemon of a fleet with others of which it hears.
type fleetMember struct {
	*Peers
	time    *clock.Manual
	network *countingNetwork
	others  []State
}

const testDataCentres = 6

func dataCentre(i int) string { return string(rune('a' + i%testDataCentres)) }

// joinFleet returns a daemon of data centre a that has heard of all others of a fleet.
func joinFleet(t testing.TB, size int) *fleetMember {
	m := &fleetMember{time: clock.NewManual(clock.Minute), network: &countingNetwork{sent: map[string]int{}}}
	view := capacity.NewView(capacity.DefaultLimits())
	p, closePeers, err := New(Options{
		Log: zap.NewNop(), Clock: m.time.Clock(), Name: "d0", DataCentre: dataCentre(0), Address: "10.0.0.0:9", Control: "10.0.0.0:8", StartedMs: 1,
		BytesPerSecond: 1 << 30, Network: m.network,
	}, Handlers{
		Config: func() directory.Revision { return directory.Revision{Version: 1} }, List: func() directory.Revision { return directory.Revision{Version: 1} }, FollowsStore: func() bool { return false },
		View: view, Suspects: suspects.New(), Prompts: prompts.New(),
		Gate:            upstreamgate.New(upstreamlimits.New("d0", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}),
		CapacityChanged: func() {}, Revisions: func(string, directory.Revision, directory.Revision, bool) {}, Unreachable: func([]string) {}, ChangingRole: func([]string) {},
		Leaving: func([]upstreamgate.Target, string) {}, Load: func() EngineLoad { return EngineLoad{MemoryUse: 0.4, Runs: 3} },
		Freshness: func() *Freshness { return &Freshness{} }, Confirmed: func(Freshness, directory.Revision, directory.Revision) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closePeers)
	m.Peers = p
	for i := 1; i < size; i++ {
		m.others = append(m.others, State{
			Name: fmt.Sprintf("d%d", i), StartedMs: 1, Sequence: 1, Address: fmt.Sprintf("10.0.%d.%d:9", i/250, i%250), DataCentre: dataCentre(i), Full: true,
			Load: &EngineLoad{MemoryUse: 0.5, Runs: 4},
		})
	}
	m.hearAll()
	m.sendFullState(false)
	m.network.sent, m.network.bytes = map[string]int{}, 0
	return m
}

func (m *fleetMember) hearAll() {
	for i := range m.others {
		m.others[i].Sequence++
		m.apply(m.others[i])
	}
}

// sentTo returns the numbers of datagrams to each data centre.
func (m *fleetMember) sentTo() map[string]int {
	to := map[string]int{}
	for _, s := range m.others {
		to[s.DataCentre] += m.network.sent[s.Address]
	}
	return to
}

// TestRunsAreToldToTheCellOfTheirEngine checks who learns of a run, by the number of daemons.
func TestRunsAreToldToTheCellOfTheirEngine(t *testing.T) {
	run := []capacity.Run{{ID: "r", Engine: "e"}}
	for _, size := range []int{6, 82, 295, 760} {
		m := joinFleet(t, size)
		m.Broadcast(Update{DataCentres: []string{"c"}, Runs: run})
		to, total := m.sentTo(), 0
		for _, n := range to {
			total += n
		}
		switch {
		case size <= maxCell && total != size-1:
			t.Errorf("%d daemons: %d learn of a run, want all others", size, total)
		case size > maxCell && (total != to["c"] || total < size/testDataCentres-1):
			t.Errorf("%d daemons: the run is told to %v, want those of c", size, to)
		}
		if m.InCell("c") != (size <= maxCell) || !m.InCell("a") {
			t.Errorf("%d daemons: cells are wrong", size)
		}
		m.network.sent = map[string]int{}
		m.Broadcast(Update{Unreachable: []string{"e"}})
		if n := len(m.network.sent); n != size-1 {
			t.Errorf("%d daemons: %d learn of an upstream that is down, want all others", size, n)
		}
	}
}

// TestWhatADaemonSendsDoesNotGrowWithTheFleet counts the full states and their bytes.
func TestWhatADaemonSendsDoesNotGrowWithTheFleet(t *testing.T) {
	const rounds = 120
	perRound := map[int]float64{}
	for _, size := range []int{49, 295, 760, 2000} {
		m := joinFleet(t, size)
		for range rounds {
			m.time.Advance(fullStateInterval)
			m.hearAll()
			m.sendFullState(false)
		}
		total := 0
		for _, n := range m.sentTo() {
			total += n
		}
		perRound[size] = float64(total) / rounds
		reached := len(m.network.sent)
		t.Logf("%d daemons: %.1f messages and %d bytes a round, to %d daemons in %d rounds", size, perRound[size], m.network.bytes/rounds, reached, rounds)
		if reached < min(size-1, rounds*farFanout) {
			t.Errorf("%d daemons: only %d were sent a full state in %d rounds", size, reached, rounds)
		}
	}
	if most := float64(localFanout + farFanout); perRound[295] > most || perRound[760] > most || perRound[2000] > most {
		t.Errorf("messages a round: %v, want %v at most", perRound, most)
	}
}

// TestDeathInAnotherCellIsToldByItsNeighbours guards shares of limits that a dead daemon should grant: other
// cells hear from each daemon so rarely that they would take it for alive for minutes.
func TestDeathInAnotherCellIsToldByItsNeighbours(t *testing.T) {
	m := joinFleet(t, 295)
	dead, neighbour := m.others[1], m.others[7] // both of data centre c
	has := func() bool {
		for _, d := range m.Alive() {
			if d.Name == dead.Name {
				return true
			}
		}
		return false
	}
	tell := func() {
		neighbour.Sequence++
		neighbour.Silent = []string{dead.Name, "unknown", m.others[0].Name}
		m.apply(neighbour)
	}
	m.daemons[dead.Name].hasRuns = true
	tell()
	if !has() {
		t.Error("a daemon that was just heard from counts as dead")
	}
	m.time.Advance(minAliveTimeout + 1)
	if tell(); has() {
		t.Error("a daemon that its neighbours do not hear counts as alive")
	}
	if m.forgetSilent(); m.daemons[dead.Name].hasRuns {
		t.Error("runs of a dead daemon still count as load")
	}
	if len(m.Alive()) != len(m.others)-1 {
		t.Errorf("%d of %d are alive: a daemon speaks for its own data centre only", len(m.Alive()), len(m.others))
	}
	dead.Sequence++
	if m.apply(dead); !has() {
		t.Error("a daemon that speaks again counts as dead")
	}
	m.time.Advance(m.aliveTimeoutLocked("a") + 1)
	if n := len(m.silentNeighbours()); n != maxSilent {
		t.Errorf("%d silent neighbours are told of, want %d", n, maxSilent)
	}
}

// TestFarDaemonsThatSpeakRarelyAreAlive lets each daemon of a large fleet speak as often as it does in turn.
func TestFarDaemonsThatSpeakRarelyAreAlive(t *testing.T) {
	const size = 295
	m := joinFleet(t, size)
	far := size - size/testDataCentres - 1
	interval := clock.Millis((far+farFanout-1)/farFanout) * fullStateInterval
	for range 4 {
		m.time.Advance(interval)
		if n := len(m.Alive()); n < far {
			t.Errorf("%d of %d others are alive after %d ms", n, size-1, interval)
		}
		m.hearAll()
		m.sendFullState(false)
		m.forgetSilent()
	}
	if n := m.Count(); n != size {
		t.Errorf("%d daemons are known, want %d", n, size)
	}
	if m.CellSize() != (size+testDataCentres-1)/testDataCentres {
		t.Errorf("cell of %d daemons", m.CellSize())
	}
	load, ok := m.LoadOf("b")
	if !ok || load.MemoryUse != 0.5 {
		t.Errorf("load of another cell: %+v, %v", load, ok)
	}
	m.time.Advance(loadLifetime + 1)
	if _, ok := m.LoadOf("b"); ok {
		t.Error("an old load still counts")
	}
}
