// Package peers is what daemons tell each other while they route for the same
// upstreams: where they have placed work, which version of the configuration
// they have, and who else is there. News goes out at once, in datagrams, so
// that two daemons seldom book the same room; all of it is repeated at
// intervals, which repairs what was lost. Nothing has to be agreed: a daemon
// that hears nobody goes on with what it knows.
//
// # Usage
//
//	p, closePeers, err := peers.New(options, handlers)
//	p.Meet(address)
//	p.Tell(peers.News{Runs: []capacity.Run{run}})
package peers

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/suspects"
)

const (
	// stateInterval is the time between two messages that hold all, to daemons of
	// the own data centre; others get every farEvery-th.
	stateInterval = 500 * clock.Millisecond
	farEvery      = 3
	// namedEvery is the number of such messages of which one names other daemons.
	namedEvery = 4
	// aliveFor is how long a daemon counts as alive after its last message.
	aliveFor = 2500 * clock.Millisecond
	// forgottenAfter is how long a daemon that is silent is still sent messages.
	forgottenAfter = clock.Minute
	// silentInterval is the time between two messages to an address from which
	// nothing has been heard.
	silentInterval = 2 * clock.Second
	// runsKeptFor is how long the runs of a silent daemon are thought to go on.
	runsKeptFor = 6 * clock.Second
	// restartSilence is the least silence between two runs of a daemon; it tells
	// them apart where the time of day has jumped back.
	restartSilence = 300 * clock.Millisecond
	// maxDatagram bounds one message, in bytes.
	maxDatagram = 60 << 10
	// maxNamed bounds the addresses of others in one message.
	maxNamed = 8
)

var metrics = expvar.NewMap("peers")

// Options says who this daemon is.
type Options struct {
	Log        *zap.Logger
	Clock      clock.Clock
	Name       string
	DataCentre string
	// Address is IP:port for datagrams, Control IP:port for calls.
	Address, Control string
	StartedMs        clock.Millis
	// BytesPerSecond bounds what is sent to other daemons. News beyond it is left
	// out; then [Peers.InTheDark] holds and engines confirm what is placed.
	BytesPerSecond int
}

// Handlers is what the daemon does with what it hears and what it tells.
type Handlers struct {
	Version func() int64
	// ListVersion is the version of the list of upstreams, FollowsStore whether
	// the store tells this daemon of changes.
	ListVersion  func() int64
	FollowsStore func() bool
	View         *capacity.View
	Suspects     *suspects.Suspects
	// RoomChanged is called when runs of others have ended.
	RoomChanged func()
	// Down is called with upstreams that another daemon found unreachable.
	Down func(ids []string)
	// Changing is called with engines that another daemon has told to change
	// their role.
	Changing func(ids []string)
	// Newer is called when the daemon at the control address has a newer
	// configuration or, in the same data centre, a newer list of upstreams.
	Newer func(control string)
	// Snapshot answers other daemons.
	Snapshot func(SnapshotRequest) Snapshot
	// Beliefs answers operators.
	Beliefs func() operatorapi.Beliefs
}

// News is what has changed.
type News struct {
	Runs     []capacity.Run
	Ended    []string
	Down     []string
	Changing []string
}

// Daemon is another daemon as this one knows it.
type Daemon struct {
	Name       string       `json:"name"`
	Address    string       `json:"address"`
	Control    string       `json:"control"`
	DataCentre string       `json:"dataCentre"`
	Version    int64        `json:"version"`
	HeardMs    clock.Millis `json:"heardMs"`
	Leaving    bool         `json:"leaving"`
	// FollowsStore says that the store tells it of changes.
	FollowsStore bool `json:"followsStore"`
	startedMs    int64
	number       int64
	whole        int64 // number of the last message that held all runs
}

// Peers is the other daemons.
type Peers struct {
	options  Options
	handlers Handlers
	conn     *net.UDPConn
	budget   *rate.Limiter // in bytes
	listener net.Listener
	ctx      context.Context

	mu      sync.Mutex
	number  int64
	rounds  int64 // of messages that hold all
	leaving bool
	daemons map[string]*Daemon // by name
	// leftOutMs is when news was last left out.
	leftOutMs clock.Millis
	// met holds the addresses to tell, with when each was last told.
	met map[string]*address
}

type address struct {
	udp     *net.UDPAddr
	sinceMs clock.Millis // met, or last heard
	toldMs  clock.Millis
	heard   bool
	near    bool // in this daemon's data centre
}

// New listens for other daemons and returns the function that stops it.
func New(o Options, h Handlers) (*Peers, func(), error) {
	udp, err := net.ResolveUDPAddr("udp4", o.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("address for other daemons: %w", err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for other daemons' news: %w", err)
	}
	listener, err := net.Listen("tcp4", o.Control)
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("listen for other daemons' calls: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{
		options: o, handlers: h, conn: conn, listener: listener, ctx: ctx, leftOutMs: -darkFor,
		budget:  rate.NewLimiter(rate.Limit(o.BytesPerSecond), o.BytesPerSecond),
		daemons: map[string]*Daemon{}, met: map[string]*address{},
	}
	var running sync.WaitGroup
	running.Go(p.runReceive)
	running.Go(p.runTell)
	running.Go(p.runServe)
	return p, func() {
		cancel()
		_ = conn.Close()
		_ = listener.Close()
		running.Wait()
	}, nil
}

// Meet takes in the address for datagrams of a daemon that may be there.
func (p *Peers) Meet(at string) {
	if at == p.options.Address {
		return
	}
	udp, err := net.ResolveUDPAddr("udp4", at)
	if err != nil {
		p.options.Log.Warn("address of another daemon can't be read", zap.String("address", at), zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.met[at]; !ok {
		p.met[at] = &address{udp: udp, sinceMs: p.options.Clock.Now()}
	}
}

// Leave tells the others that this daemon is shutting down.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.tellAll(true)
}

// Tell sends news at once to the daemons that are alive.
func (p *Peers) Tell(n News) {
	p.send(State{Runs: n.Runs, Ended: n.Ended, Down: n.Down, Changing: n.Changing}, p.alive())
}

const (
	// storeFollowers is the number of daemons of a data centre that follow the
	// store for all of them.
	storeFollowers = 2
	// storeCandidates is the number that try to while none can.
	storeCandidates = 6
)

// ShouldFollow tells whether this daemon should follow the store: where fewer
// than storeFollowers daemons of its data centre that come before it by name do.
func (p *Peers) ShouldFollow() bool {
	followers, candidates := 0, 0
	for _, d := range p.Alive() {
		if d.DataCentre != p.options.DataCentre || d.Leaving || d.Name > p.options.Name {
			continue
		}
		candidates++
		if d.FollowsStore {
			followers++
		}
	}
	return followers < storeFollowers && candidates < storeCandidates
}

// Alive returns the daemons heard of lately, without this one.
func (p *Peers) Alive() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var alive []Daemon
	for _, name := range slices.Sorted(maps.Keys(p.daemons)) {
		if d := p.daemons[name]; now-d.HeardMs <= aliveFor {
			alive = append(alive, *d)
		}
	}
	return alive
}

// lostShare is the part of the daemons heard within the last minute from which
// on their silence counts as being cut off.
const lostShare = 0.25

// darkFor is how long after news was left out daemons are thought not to know of
// each other's runs.
const darkFor = 3 * clock.Second

// InTheDark tells whether little is known of what other daemons have placed at
// engines: many that were heard lately are silent, or there is more news than may
// be sent.
func (p *Peers) InTheDark() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, silent := p.options.Clock.Now(), 0
	if now-p.leftOutMs < darkFor {
		return true
	}
	for _, d := range p.daemons {
		if !d.Leaving && now-d.HeardMs > aliveFor {
			silent++
		}
	}
	return float64(silent) > lostShare*float64(len(p.daemons))
}

// All returns all daemons known, without this one.
func (p *Peers) All() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Daemon
	for _, name := range slices.Sorted(maps.Keys(p.daemons)) {
		all = append(all, *p.daemons[name])
	}
	return all
}

// Count is the number of daemons known, with this one.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + len(p.daemons)
}

func (p *Peers) alive() []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var to []*net.UDPAddr
	for _, a := range p.met {
		if a.heard && now-a.sinceMs <= aliveFor {
			to = append(to, a.udp)
		}
	}
	return to
}

// due returns the addresses that are owed a whole state.
func (p *Peers) due(all bool) []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	var to []*net.UDPAddr
	for at, a := range p.met {
		silent := !a.heard || now-a.sinceMs > aliveFor
		if silent && now-a.sinceMs > forgottenAfter {
			delete(p.met, at)
			continue
		}
		if silent && !all && a.toldMs != 0 && now-a.toldMs < silentInterval {
			continue
		}
		if !silent && !all && !a.near && p.rounds%farEvery != 0 {
			continue
		}
		a.toldMs = now
		to = append(to, a.udp)
	}
	return to
}

func (p *Peers) runTell() {
	for clock.Pause(p.ctx, stateInterval) {
		p.tellAll(false)
		p.forgetSilent()
	}
}

func (p *Peers) tellAll(all bool) {
	now := p.options.Clock.Now()
	// The number is taken before the runs, so that news of a run which is not
	// among them bears a higher one.
	p.mu.Lock()
	p.number++
	p.rounds++
	number := p.number
	p.mu.Unlock()
	p.send(State{Number: number, Whole: true, Runs: p.handlers.View.Own(now), Suspects: p.handlers.Suspects.News(now)}, p.due(all))
}

// forgetSilent drops the runs of daemons that have been silent for long.
func (p *Peers) forgetSilent() {
	now := p.options.Clock.Now()
	var gone []string
	p.mu.Lock()
	for name, d := range p.daemons {
		if now-d.HeardMs > runsKeptFor {
			gone = append(gone, name)
		}
		if now-d.HeardMs > forgottenAfter {
			delete(p.daemons, name)
		}
	}
	p.mu.Unlock()
	for _, name := range gone {
		p.handlers.View.Replace(name, nil, now)
	}
	p.handlers.RoomChanged()
}

func (p *Peers) send(s State, to []*net.UDPAddr) {
	if len(to) == 0 {
		return
	}
	datagram, err := p.encode(s)
	if err != nil {
		p.options.Log.Error("news can't be encoded", zap.Error(err))
		return
	}
	if !p.budget.AllowN(time.Now(), min(len(datagram)*len(to), p.options.BytesPerSecond)) {
		metrics.Add("leftOut", 1)
		p.mu.Lock()
		p.leftOutMs = p.options.Clock.Now()
		p.mu.Unlock()
		return
	}
	for _, udp := range to {
		if _, err := p.conn.WriteToUDP(datagram, udp); err != nil {
			metrics.Add("sendFailed", 1)
			continue
		}
		metrics.Add("sent", 1)
		metrics.Add("sentBytes", int64(len(datagram)))
	}
}

func (p *Peers) encode(s State) ([]byte, error) {
	o := p.options
	s.Name, s.StartedMs, s.Address, s.Control, s.DataCentre = o.Name, int64(o.StartedMs), o.Address, o.Control, o.DataCentre
	s.Version, s.ListVersion, s.FollowsStore = p.handlers.Version(), p.handlers.ListVersion(), p.handlers.FollowsStore()
	p.mu.Lock()
	if s.Number == 0 {
		p.number++
		s.Number = p.number
	}
	s.Leaving = p.leaving
	if s.Whole && p.rounds%namedEvery == 1 {
		s.Daemons = p.namedLocked()
	}
	p.mu.Unlock()
	notification := &jsonrpc2.Request{Method: methodState, Notif: true}
	if err := notification.SetParams(s); err != nil {
		return nil, fmt.Errorf("encode news: %w", err)
	}
	return json.Marshal(notification)
}

// namedLocked returns addresses that a daemon which knows few may not know.
func (p *Peers) namedLocked() []string {
	now := p.options.Clock.Now()
	var named []string
	for _, d := range p.daemons {
		if now-d.HeardMs <= aliveFor && len(named) < maxNamed {
			named = append(named, d.Address)
		}
	}
	return named
}

func (p *Peers) runReceive() {
	buffer := make([]byte, maxDatagram)
	for p.ctx.Err() == nil {
		n, _, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			if p.ctx.Err() == nil {
				p.options.Log.Warn("reading news failed", zap.Error(err))
				clock.Pause(p.ctx, 100*clock.Millisecond)
			}
			continue
		}
		var req jsonrpc2.Request
		var s State
		if json.Unmarshal(buffer[:n], &req) != nil || req.Method != methodState || req.Params == nil ||
			json.Unmarshal(*req.Params, &s) != nil || s.Name == "" {
			metrics.Add("unreadable", 1)
			continue
		}
		p.take(s)
	}
}

// take takes in a message. A message that is older than one taken in before
// only counts as a sign of life.
func (p *Peers) take(s State) {
	if s.Name == p.options.Name {
		return
	}
	now := p.options.Clock.Now()
	p.Meet(s.Address)
	p.mu.Lock()
	a := p.met[s.Address]
	a.heard, a.sinceMs, a.near = true, now, s.DataCentre == p.options.DataCentre
	d, known := p.daemons[s.Name]
	restarted := known && (s.StartedMs > d.startedMs || s.StartedMs != d.startedMs && now-d.HeardMs > restartSilence)
	if !known || restarted {
		d = &Daemon{Name: s.Name, startedMs: s.StartedMs}
		p.daemons[s.Name] = d
		p.handlers.View.Replace(s.Name, nil, now)
	}
	stale := s.StartedMs < d.startedMs || s.Number < d.whole || s.Whole && s.Number < d.number
	if s.StartedMs == d.startedMs {
		d.HeardMs, d.Version, d.Leaving, d.FollowsStore = now, max(d.Version, s.Version), s.Leaving, s.FollowsStore
		d.Address, d.Control, d.DataCentre = s.Address, s.Control, s.DataCentre
		d.number = max(d.number, s.Number)
		if s.Whole && !stale {
			d.whole = s.Number
		}
	}
	p.mu.Unlock()
	if !known {
		p.options.Log.Info("another daemon is heard", zap.String("peer", s.Name), zap.String("address", s.Address))
	}
	if !stale {
		p.takeRuns(s, now)
	}
	if len(s.Down) > 0 {
		p.handlers.Down(s.Down)
	}
	if len(s.Changing) > 0 {
		p.handlers.Changing(s.Changing)
	}
	for _, at := range s.Daemons {
		p.Meet(at)
	}
	for _, e := range s.Suspects {
		p.handlers.Suspects.Learn(e, now)
	}
	newerList := s.DataCentre == p.options.DataCentre && s.ListVersion > p.handlers.ListVersion()
	if s.Version > p.handlers.Version() || newerList {
		p.handlers.Newer(s.Control)
	}
}

func (p *Peers) takeRuns(s State, now clock.Millis) {
	if s.Whole {
		p.handlers.View.Replace(s.Name, s.Runs, now)
		p.handlers.RoomChanged()
		return
	}
	for _, r := range s.Runs {
		p.handlers.View.Add(s.Name, r, now)
	}
	if len(s.Ended) > 0 {
		p.handlers.View.Remove(s.Name, s.Ended)
		p.handlers.RoomChanged()
	}
}

func (p *Peers) runServe() {
	for p.ctx.Err() == nil {
		conn, err := p.listener.Accept()
		if err != nil {
			if p.ctx.Err() == nil {
				p.options.Log.Warn("accepting a daemon's connection failed", zap.Error(err))
				clock.Pause(p.ctx, 100*clock.Millisecond)
			}
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(callTimeout.Duration()))
		stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(p.ctx, stream, jsonrpc2.HandlerWithError(p.handle))
	}
}

func (p *Peers) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == operatorapi.MethodBeliefs {
		return p.handlers.Beliefs(), nil
	}
	if req.Method != methodSnapshot || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	var ask SnapshotRequest
	if err := json.Unmarshal(*req.Params, &ask); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return p.handlers.Snapshot(ask), nil
}

// callTimeout bounds a call to another daemon with its answer.
const callTimeout = 2 * clock.Second

// Ask asks the daemon at a control address for what it knows.
func Ask(ctx context.Context, control string, ask SnapshotRequest) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", control)
	if err != nil {
		return Snapshot{}, fmt.Errorf("ask daemon at %s: %w", control, err)
	}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseCalls))
	defer func() { _ = rpc.Close() }()
	var s Snapshot
	if err := rpc.Call(ctx, methodSnapshot, ask, &s); err != nil {
		return Snapshot{}, fmt.Errorf("ask daemon at %s: %w", control, err)
	}
	return s, nil
}

// refuseCalls answers a daemon that was asked and asks back.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end only asks"}
}
