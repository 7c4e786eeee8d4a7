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
//	p.Start()
//	p.AddAddress(address)
//	p.Broadcast(peers.Update{Runs: []capacity.Run{run}})
package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
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
	// stateInterval is the time between two rounds of messages that hold all. In
	// each, nearFan daemons of the own data centre are told, those told longest ago
	// first; others get every farEvery-th.
	stateInterval = 500 * clock.Millisecond
	nearFan       = 8
	farEvery      = 3
	// namedEvery is the number of such messages of which one names other daemons.
	namedEvery = 4
	// leastAliveFor is how long a daemon counts as alive after its last message, at
	// the least; where rounds reach each daemon more seldom, missedStates of its
	// messages may stay out.
	leastAliveFor = 2500 * clock.Millisecond
	missedStates  = 3
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
	// DefaultBytesPerSecond bounds what a daemon sends to the others where its
	// settings say nothing: what seventy daemons have to tell each other in a crest.
	DefaultBytesPerSecond = 400_000
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
	// out; then [Peers.ViewStale] holds and engines confirm what is placed.
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
	// CapacityChanged is called when runs of others have ended.
	CapacityChanged func()
	// Unreachable is called with upstreams that another daemon found unreachable.
	Unreachable func(ids []string)
	// ChangingRole is called with engines that another daemon has told to change
	// their role.
	ChangingRole func(ids []string)
	// NewerVersion is called when the daemon at the control address has a newer
	// configuration or, in the same data centre, a newer list of upstreams.
	NewerVersion func(control string)
	// Snapshot answers other daemons.
	Snapshot func(SnapshotRequest) Snapshot
	// Beliefs answers operators.
	Beliefs func() operatorapi.Beliefs
}

// Update is what has changed.
type Update struct {
	Runs         []capacity.Run
	Ended        []string
	Unreachable  []string
	ChangingRole []string
}

// Daemon is another daemon as this one knows it.
type Daemon struct {
	Name        string       `json:"name"`
	Address     string       `json:"address"`
	Control     string       `json:"control"`
	DataCentre  string       `json:"dataCentre"`
	Version     int64        `json:"version"`
	LastHeardMs clock.Millis `json:"heardMs"`
	Leaving     bool         `json:"leaving"`
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
	running  sync.WaitGroup

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

// New opens the ports for other daemons and returns the function that closes them
// and ends what Start began.
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
	return p, func() {
		cancel()
		_ = conn.Close()
		_ = listener.Close()
		p.running.Wait()
	}, nil
}

// Start begins to listen to other daemons and to tell them. The handlers may be
// called from then on.
func (p *Peers) Start() {
	p.running.Go(p.runReceive)
	p.running.Go(p.runTell)
	p.running.Go(p.runServe)
}

// AddAddress takes in the address for datagrams of a daemon that may be there.
func (p *Peers) AddAddress(at string) {
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

// Broadcast sends an update at once to all daemons that are alive.
func (p *Peers) Broadcast(u Update) {
	p.send(State{Runs: u.Runs, Ended: u.Ended, Unreachable: u.Unreachable, ChangingRole: u.ChangingRole}, p.alive())
}

func (p *Peers) alive() []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	limit := p.aliveForLocked()
	var to []*net.UDPAddr
	for _, a := range p.met {
		if a.heard && now-a.sinceMs <= limit {
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
	limit := p.aliveForLocked()
	var to []*net.UDPAddr
	var near []*address
	for at, a := range p.met {
		silent := !a.heard || now-a.sinceMs > limit
		if silent && now-a.sinceMs > forgottenAfter {
			delete(p.met, at)
			continue
		}
		if silent && !all && a.toldMs != 0 && now-a.toldMs < silentInterval {
			continue
		}
		if !silent && !all && a.near {
			near = append(near, a)
			continue
		}
		if !silent && !all && p.rounds%farEvery != 0 {
			continue
		}
		a.toldMs = now
		to = append(to, a.udp)
	}
	slices.SortFunc(near, func(a, b *address) int { return cmp.Compare(a.toldMs, b.toldMs) })
	for _, a := range near[:min(nearFan, len(near))] {
		a.toldMs = now
		to = append(to, a.udp)
	}
	return to
}

// aliveForLocked is how long a daemon counts as alive after its last message.
func (p *Peers) aliveForLocked() clock.Millis {
	near := 0
	for _, d := range p.daemons {
		if d.DataCentre == p.options.DataCentre {
			near++
		}
	}
	rounds := clock.Millis((near + nearFan - 1) / nearFan)
	return max(leastAliveFor, missedStates*rounds*stateInterval)
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
	p.send(State{Sequence: number, Full: true, Runs: p.handlers.View.LocalRuns(now), Suspects: p.handlers.Suspects.Recent(now)}, p.due(all))
}

// forgetSilent drops the runs of daemons that have been silent for long.
func (p *Peers) forgetSilent() {
	now := p.options.Clock.Now()
	var gone []string
	p.mu.Lock()
	for name, d := range p.daemons {
		if now-d.LastHeardMs > runsKeptFor {
			gone = append(gone, name)
		}
		if now-d.LastHeardMs > forgottenAfter {
			delete(p.daemons, name)
		}
	}
	p.mu.Unlock()
	for _, name := range gone {
		p.handlers.View.Replace(name, nil, now)
	}
	p.handlers.CapacityChanged()
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
	if s.Sequence == 0 {
		p.number++
		s.Sequence = p.number
	}
	s.Leaving = p.leaving
	if s.Full && p.rounds%namedEvery == 1 {
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
	limit := p.aliveForLocked()
	var named []string
	for _, d := range p.daemons {
		if now-d.LastHeardMs <= limit && len(named) < maxNamed {
			named = append(named, d.Address)
		}
	}
	return named
}
