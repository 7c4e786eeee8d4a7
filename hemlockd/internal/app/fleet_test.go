package app

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/progress"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/capacity"
	inforce "hemlockmux.example/hemlockd/internal/directory"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// fleet is a number of daemons in virtual time. Each is behind a link of its own, over which
// it reaches the store and the other daemons. Daemons consist of what spreads changes:
// their directory and their peers.
type fleet struct {
	time    *clock.Manual
	store   *fleetStore
	daemons []*fleetDaemon
	byHost  map[string]*fleetDaemon
	// lossPercent is the share of datagrams that are lost, in percent.
	lossPercent atomic.Int64
}

// fleetDaemon is one daemon of a fleet.
type fleetDaemon struct {
	name, host, dataCentre string
	link                   *link
	fleet                  *fleet
	directory              *inforce.Directory
	peers                  *peers.Peers
	datagrams              chan []byte
	calls                  chan net.Conn
	// silent is set if connections to the daemon, which still open, bring nothing.
	silent atomic.Bool
	// storeCut is set if the daemon does not reach the store.
	storeCut atomic.Bool
}

const (
	fleetDatagramPort = ":9000"
	fleetControlPort  = ":9001"
	// fleetDelay is the time that a packet takes between any two machines.
	fleetDelay = 30 * clock.Millisecond
	// fleetPacketBytes is the size in which streams share links.
	fleetPacketBytes = 8 << 10
	// fleetDataCentres is the number of data centres over which daemons are spread.
	fleetDataCentres = 6
)

// link is the connection of one machine to all others. What it carries takes its time one
// after another.
type link struct {
	bytesPerMs float64

	mu      sync.Mutex
	freeAt  time.Time
	carried int64 // bytes
}

// newLink returns a link of a rate in Mbit/s.
func newLink(mbps float64) *link { return &link{bytesPerMs: mbps * 1000 / 8} }

// carry returns when a number of bytes will have passed the link.
func (l *link) carry(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerMs * float64(time.Millisecond)))
	l.carried += int64(n)
	return l.freeAt
}

// transfer takes the time that a number of bytes take over two links.
func transfer(ctx context.Context, n int, from, to *link) error {
	for ; n > 0; n -= fleetPacketBytes {
		size := min(n, fleetPacketBytes)
		sent, received := from.carry(size), to.carry(size)
		wait := max(time.Until(sent), time.Until(received))
		if !clock.Sleep(ctx, clock.Millis((wait+time.Millisecond-1)/time.Millisecond)) {
			return progress.Cause(ctx, ctx.Err())
		}
		progress.Report(ctx)
	}
	return nil
}

// linkConn is one end of a connection between two machines.
type linkConn struct {
	net.Conn
	from, to  *link
	lastWrite time.Time
}

// Write implements [net.Conn].
func (c *linkConn) Write(b []byte) (int, error) {
	if time.Since(c.lastWrite) > fleetDelay.Duration() {
		time.Sleep(fleetDelay.Duration())
	}
	written := 0
	for written < len(b) {
		size := min(len(b)-written, fleetPacketBytes)
		if err := transfer(context.Background(), size, c.from, c.to); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written : written+size])
		written += n
		c.lastWrite = time.Now()
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ListenPacket implements [peers.Network].
func (d *fleetDaemon) ListenPacket(string) (net.PacketConn, error) {
	return &fleetPackets{daemon: d, closed: make(chan struct{})}, nil
}

// Listen implements [peers.Network].
func (d *fleetDaemon) Listen(string) (net.Listener, error) {
	return &fleetListener{daemon: d, closed: make(chan struct{})}, nil
}

// Dial implements [peers.Network].
func (d *fleetDaemon) Dial(ctx context.Context, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if !clock.Sleep(ctx, 2*fleetDelay) {
		return nil, ctx.Err()
	}
	to := d.fleet.byHost[host]
	near, far := net.Pipe()
	if to.silent.Load() {
		return near, nil
	}
	select {
	case to.calls <- &linkConn{Conn: far, from: to.link, to: d.link}:
		return &linkConn{Conn: near, from: d.link, to: to.link}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fleetListener accepts the calls of other daemons.
type fleetListener struct {
	daemon *fleetDaemon
	closed chan struct{}
}

// Accept implements [net.Listener].
func (l *fleetListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.daemon.calls:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *fleetListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements [net.Listener].
func (l *fleetListener) Addr() net.Addr { return &net.TCPAddr{} }

// fleetPackets is the port for datagrams of a daemon.
type fleetPackets struct {
	net.PacketConn
	daemon *fleetDaemon
	closed chan struct{}
}

// ReadFrom implements [net.PacketConn].
func (p *fleetPackets) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case datagram := <-p.daemon.datagrams:
		return copy(b, datagram), &net.UDPAddr{}, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements [net.PacketConn].
func (p *fleetPackets) WriteTo(b []byte, at net.Addr) (int, error) {
	host, _, err := net.SplitHostPort(at.String())
	if err != nil {
		return 0, err
	}
	to, ok := p.daemon.fleet.byHost[host]
	if !ok || rand.Int64N(100) < p.daemon.fleet.lossPercent.Load() {
		return len(b), nil
	}
	datagram := append([]byte{}, b...)
	arrival := max(time.Until(p.daemon.link.carry(len(b))), time.Until(to.link.carry(len(b)))) + fleetDelay.Duration()
	time.AfterFunc(arrival, func() {
		select {
		case to.datagrams <- datagram:
		default: // lost
		}
	})
	return len(b), nil
}

// Close implements [net.PacketConn].
func (p *fleetPackets) Close() error {
	close(p.closed)
	return nil
}

// fleetStore is the store of a fleet. It holds one configuration and no upstreams.
type fleetStore struct {
	// calls counts the calls of all daemons.
	calls atomic.Int64
	link  *link

	mu      sync.Mutex
	version int64
	config  []byte
	changed chan struct{}
}

// set writes a configuration.
func (s *fleetStore) set(config []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.config = config
	close(s.changed)
	s.changed = make(chan struct{})
}

// pageLocked returns the entries of a topic that changed after a version.
func (s *fleetStore) pageLocked(topic directory.Topic, after directory.Revision) directory.Page {
	page := directory.Page{Revision: directory.Revision{Version: s.version}}
	if topic == directory.Routes && after.Version < s.version {
		page.Entries = []directory.Entry{{Key: "config", Value: s.config, Revision: page.Revision}}
	}
	return page
}

// fleetStoreClient reaches the store over the link of a daemon.
type fleetStoreClient struct {
	store  *fleetStore
	daemon *fleetDaemon
}

// reach takes the time that a call takes to reach the store, if it does.
func (c *fleetStoreClient) reach(ctx context.Context) error {
	c.store.calls.Add(1)
	if c.daemon.storeCut.Load() {
		<-ctx.Done()
	}
	if !clock.Sleep(ctx, 2*fleetDelay) {
		return ctx.Err()
	}
	return nil
}

// answer brings a page to the daemon. On the wire, values are in base64.
func (c *fleetStoreClient) answer(ctx context.Context, page directory.Page) (directory.Page, error) {
	page.StoreMs = c.daemon.fleet.time.Clock().Now()
	bytes := 100
	for _, e := range page.Entries {
		bytes += len(e.Value) * 4 / 3
	}
	if err := transfer(ctx, bytes, c.store.link, c.daemon.link); err != nil {
		return directory.Page{}, fmt.Errorf("read the response: %w", err)
	}
	return page, nil
}

// Read implements [directory.Store].
func (c *fleetStoreClient) Read(ctx context.Context, topic directory.Topic) (directory.Page, error) {
	if err := c.reach(ctx); err != nil {
		return directory.Page{}, err
	}
	c.store.mu.Lock()
	page := c.store.pageLocked(topic, directory.Revision{})
	c.store.mu.Unlock()
	return c.answer(ctx, page)
}

// Follow implements [directory.Store].
func (c *fleetStoreClient) Follow(ctx context.Context, topic directory.Topic, after directory.Revision, wait clock.Millis) (directory.Page, error) {
	if err := c.reach(ctx); err != nil {
		return directory.Page{}, err
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		c.store.mu.Lock()
		page, changed := c.store.pageLocked(topic, after), c.store.changed
		c.store.mu.Unlock()
		if len(page.Entries) > 0 {
			return c.answer(ctx, page)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.answer(ctx, page)
		case <-ctx.Done():
			return directory.Page{}, ctx.Err()
		}
	}
}

// Changes implements [directory.Store].
func (c *fleetStoreClient) Changes(ctx context.Context, topic directory.Topic, after directory.Revision) (directory.Page, error) {
	return c.Follow(ctx, topic, after, 0)
}

// Put implements [directory.Store].
func (c *fleetStoreClient) Put(context.Context, directory.Topic, string, []byte) error { return nil }

// CompareAndSwap implements [directory.Store].
func (c *fleetStoreClient) CompareAndSwap(context.Context, directory.Topic, string, []byte, directory.Revision) (directory.Revision, error) {
	return directory.Revision{}, nil
}

// runFleet runs a test with daemons of which each has a link of the rate (in Mbit/s) that
// mbps returns for its number in its data centre, from 1.
func runFleet(t *testing.T, daemons int, mbps func(number int) float64, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			time: clock.NewManual(clock.Minute), byHost: map[string]*fleetDaemon{},
			store: &fleetStore{link: newLink(4000), changed: make(chan struct{})},
		}
		f.store.set(largeConfig(1, 20))
		ctx, cancel := context.WithCancel(t.Context())
		go f.runTime(ctx)
		for i := range daemons {
			number := 1 + i/fleetDataCentres
			dataCentre := string(rune('a' + i%fleetDataCentres))
			d := &fleetDaemon{
				name: fmt.Sprintf("front-%s-%d", dataCentre, number), host: fmt.Sprintf("10.0.%d.%d", i%fleetDataCentres, number),
				dataCentre: dataCentre, link: newLink(mbps(number)), fleet: f, datagrams: make(chan []byte, 1000), calls: make(chan net.Conn),
			}
			f.daemons = append(f.daemons, d)
			f.byHost[d.host] = d
		}
		var stops []func()
		for _, d := range f.daemons {
			stops = append(stops, d.start(t))
		}
		f.pass(8 * clock.Second) // until all know each other
		test(t, f)
		for _, stop := range stops {
			stop()
		}
		cancel()
		time.Sleep(time.Minute) // until all calls have ended
	})
}

// start starts a daemon as [platformDaemon] does and returns the function that stops it.
func (d *fleetDaemon) start(t *testing.T) func() {
	t.Helper()
	view := capacity.NewView(capacity.DefaultLimits())
	d.directory = inforce.New(inforce.Options{
		Log: zap.NewNop(), Clock: d.fleet.time.Clock(), Store: &fleetStoreClient{store: d.fleet.store, daemon: d},
		Decoder:  inforce.Decoder{Config: decodeLargeConfig},
		OnConfig: func() { d.peers.Broadcast(peers.Update{DataCentres: []string{d.dataCentre}}) }, OnUpstreams: func() {}, OnDaemon: func(string, []byte) {},
		ShouldFollowStore: func() bool { return d.peers.ShouldFollowStore() },
		Fetch: func(ctx context.Context, control string, request peers.SnapshotRequest) (peers.Snapshot, error) {
			return d.peers.FetchSnapshot(ctx, control, request)
		},
		LinkMbps: d.link.bytesPerMs * 8 / 1000, Limits: inforce.Limits{LeavingMs: 4000, ConfigMs: 4000, OutageMs: 2400},
	})
	var err error
	var closePeers func()
	d.peers, closePeers, err = peers.New(peers.Options{
		Log: zap.NewNop(), Clock: d.fleet.time.Clock(), Name: d.name, DataCentre: d.dataCentre, Address: d.host + fleetDatagramPort,
		Control: d.host + fleetControlPort, StartedMs: 1, BytesPerSecond: peers.DefaultBytesPerSecond, LinkMbps: d.link.bytesPerMs * 8 / 1000, Network: d,
	}, peers.Handlers{
		Config: d.directory.ConfigRevision, List: d.directory.ListRevision, FollowsStore: d.directory.FollowsStore, View: view,
		Suspects: suspects.New(), Prompts: prompts.New(), Gate: upstreamgate.New(upstreamlimits.New(d.name, 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), CapacityChanged: func() {}, Leaving: func([]upstreamgate.Target, string) {}, Load: func() peers.EngineLoad { return peers.EngineLoad{} }, Unreachable: func([]string) {}, ChangingRole: func([]string) {},
		Revisions: d.directory.HearPeer, Freshness: d.directory.Freshness, Confirmed: d.directory.Confirm,
		Snapshot: d.directory.Snapshot, Beliefs: func() operatorapi.DaemonView { return operatorapi.DaemonView{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	d.peers.Start()
	for _, other := range d.fleet.daemons {
		d.peers.AddAddress(other.host+fleetDatagramPort, other.dataCentre)
	}
	stop := d.directory.Start()
	return func() {
		stop()
		closePeers()
	}
}

// runTime advances the clock of decisions with the virtual time.
func (f *fleet) runTime(ctx context.Context) {
	for clock.Sleep(ctx, clock.Millisecond) {
		f.time.Advance(clock.Millisecond)
	}
}

func (f *fleet) pass(span clock.Millis) { time.Sleep(span.Duration()) }

// timeUntilInForce returns how long it takes until a version is in force at all daemons,
// or limit if it is not by then, and the number of those that lack it.
func (f *fleet) timeUntilInForce(version int64, limit clock.Millis) (took clock.Millis, lacking int) {
	const step = 10 * clock.Millisecond
	for ; took < limit; took += step {
		lacking = 0
		for _, d := range f.daemons {
			if d.directory.Version() < version {
				lacking++
			}
		}
		if lacking == 0 {
			return took, 0
		}
		f.pass(step)
	}
	return took, lacking
}

// largeConfig returns a configuration that is as large, and as far compressible, as one
// with this number of routes. The version is its first line.
func largeConfig(version int64, routes int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	word := func() string { return strconv.FormatUint(rng.Uint64()>>23, 36) }
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", version)
	for range routes {
		fmt.Fprintf(&b, `{"Name":"r-%.7s","Host":"%.4s68.example","Prefix":"/%.8s/","Kind":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":200,`+
			`"Priority":1,"Service":"order-desk","MaxAttempts":1,"Sticky":false,"Resumable":false,"GapTargetMs":300,"TrafficSplit":[]},`+"\n", word(), word(), word())
	}
	return []byte(b.String())
}

func decodeLargeConfig(raw []byte) (*routing.Config, error) {
	line, _, ok := strings.Cut(string(raw[:min(len(raw), 30)]), "\n")
	if !ok {
		return nil, io.ErrUnexpectedEOF
	}
	version, err := strconv.ParseInt(line, 10, 64)
	return &routing.Config{Version: version, Raw: raw}, err
}
