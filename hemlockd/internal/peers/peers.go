// Package peers exchanges state between daemons that route to the same upstreams:
// which runs they have placed, which version of the configuration they have, and
// the addresses of other daemons. Updates are sent at once in datagrams, so that
// two daemons rarely reserve the same capacity. Each daemon also sends its full
// state at intervals, which repairs the effects of lost datagrams. There is no
// consensus: a daemon that receives nothing keeps routing by what it knows.
//
// Daemons that know of each other's runs form a cell: all of them while they are few,
// and otherwise those of one data centre. Cells tell each other only how much their
// engines have to do.
//
// # Usage
//
//	p, closePeers, err := peers.New(options, handlers)
//	p.Start()
//	p.AddAddress(address, dataCentre)
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
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/logs"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

const (
	// fullStateInterval is the time between two rounds of full-state messages.
	fullStateInterval = 500 * clock.Millisecond
	// addressesEvery is the number of rounds of which one carries the addresses of
	// other daemons.
	addressesEvery = 4
	// forgetAfter is the shortest time for which a silent daemon is still sent messages.
	forgetAfter = clock.Minute
	// runRetention is how long the runs of a silent daemon still count as load.
	runRetention = 6 * clock.Second
	// restartSilence is the minimum silence between two processes of one daemon. It
	// identifies a restart when the wall clock was set back and the start time of the
	// new process is therefore earlier.
	restartSilence = 300 * clock.Millisecond
	// maxDatagram is the maximum size of a received message, in bytes.
	maxDatagram = 60 << 10
	// DefaultBytesPerSecond limits what a daemon sends to the others if its settings
	// give no limit. It suffices for seventy daemons at peak load.
	DefaultBytesPerSecond = 400_000
	// maxAddresses is the maximum number of other daemons' addresses in one message.
	maxAddresses = 8
)

var metrics = expvar.NewMap("peers")

// Options identifies this daemon and configures its [Peers].
type Options struct {
	Log        *zap.Logger
	Clock      clock.Clock
	Name       string
	DataCentre string
	// Address is the IP:port for datagrams.
	Address string
	// Control is the IP:port for calls.
	Control string
	// StartedMs is the start time of this process, in ms.
	StartedMs clock.Millis
	// BytesPerSecond limits what is sent to other daemons. Messages beyond it are
	// dropped; [Peers.ViewStale] is then true for a while and engines confirm
	// placements.
	BytesPerSecond int
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0: DefaultLinkMbps. It bounds the
	// snapshots that are sent to other daemons.
	LinkMbps float64
	// MaxCalls is the number of connections for calls that are served at once; 0: DefaultMaxCalls. Others are closed.
	MaxCalls int
	// Network opens the connections; nil: the machine's network.
	Network Network
}

// Handlers provides the state that this daemon sends and processes what it receives.
type Handlers struct {
	// Config returns the revision of the configuration in force.
	Config func() directory.Revision
	// List returns the revision of the list of upstreams.
	List func() directory.Revision
	// FollowsStore reports whether this daemon receives changes from the store itself.
	FollowsStore func() bool
	// View holds the runs of this daemon and of the others.
	View *capacity.View
	// Suspects holds the requests suspected of crashing upstreams.
	Suspects *suspects.Suspects
	// Prompts holds the evidence on parts of prompts that crash engines.
	Prompts *prompts.Evidence
	// Gate holds what upstreams say of themselves.
	Gate *upstreamgate.Gate
	// Leaving is called with upstreams of which another daemon says that they shut down, if that was
	// not known.
	Leaving func(news []upstreamgate.Target, from string)
	// Load returns the load of this data centre's engines, to be sent to other cells.
	Load func() EngineLoad
	// CapacityChanged is called when runs of other daemons may have ended.
	CapacityChanged func()
	// Unreachable is called with upstreams that another daemon found unreachable.
	Unreachable func(ids []string)
	// ChangingRole is called with engines that another daemon has ordered to change
	// their role.
	ChangingRole func(ids []string)
	// Revisions is called with the revisions of the configuration and of the list of upstreams
	// that the daemon at the control address has in force; local is set if it is in the same
	// data centre.
	Revisions func(control string, config, list directory.Revision, local bool)
	// Freshness returns how up to date this daemon is, or nil if it does not know.
	Freshness func() *Freshness
	// Confirmed is called with the freshness of another daemon and the revisions of the
	// configuration and of the list of upstreams that it has in force.
	Confirmed func(f Freshness, config, list directory.Revision)
	// Snapshot answers the snapshot requests of other daemons.
	Snapshot func(SnapshotRequest) (Snapshot, error)
	// Beliefs answers the requests of operators for this daemon's state.
	Beliefs func() operatorapi.DaemonView
}

// Update is a change that is broadcast at once.
type Update struct {
	// DataCentres are those whose cells the update concerns; nil: all daemons.
	DataCentres []string
	// Runs holds runs that this daemon has placed or changed.
	Runs []capacity.Run
	// Ended holds the IDs of this daemon's runs that have ended.
	Ended []string
	// Unreachable holds the IDs of upstreams just found unreachable.
	Unreachable []string
	// ChangingRole holds the IDs of engines just ordered to change their role.
	ChangingRole []string
	// Parts holds new evidence on parts of prompts that crash engines.
	Parts []prompts.Report
	// Limits holds news of limits that upstreams name.
	Limits []upstreamlimits.News
	// Leaving holds upstreams that have just said that they shut down.
	Leaving []upstreamgate.Target
}

// Daemon is the last known state of another daemon.
type Daemon struct {
	Name string `json:"name"`
	// Address is the IP:port for datagrams.
	Address string `json:"address"`
	// Control is the IP:port for calls.
	Control    string `json:"control"`
	DataCentre string `json:"dataCentre"`
	// Config is the revision of the configuration in force there.
	Config directory.Revision `json:"version"`
	// LastHeardMs is the local time of its last message, in ms.
	LastHeardMs clock.Millis `json:"heardMs"`
	// Leaving reports whether it is shutting down.
	Leaving bool `json:"leaving"`
	// FollowsStore reports whether it receives changes from the store itself.
	FollowsStore bool `json:"followsStore"`
	// LinkMbps is the rate of its link, in Mbit/s; 0 if it is not known.
	LinkMbps         float64 `json:"linkMbps"`
	startedMs        int64
	hasRuns          bool // runs of it are in the view
	silent           bool // daemons of its data centre do not hear it
	lastSequence     int64
	lastFullSequence int64 // of the last full-state message
}

// Peers exchanges state with the other daemons. It is safe for concurrent use.
type Peers struct {
	options  Options
	handlers Handlers
	conn     net.PacketConn
	budget   *rate.Limiter // in bytes sent
	listener net.Listener
	calls    chan struct{} // holds an element for each connection for calls
	serving  *serving
	callLog  logs.CallLogger
	ctx      context.Context
	running  sync.WaitGroup

	mu       sync.Mutex
	sequence int64
	rounds   int64 // of full-state messages
	leaving  bool
	daemons  map[string]*Daemon // by name
	// lastDroppedMs is when a message was last dropped for lack of send budget.
	lastDroppedMs clock.Millis
	createdMs     clock.Millis
	// addresses holds the known datagram addresses, by IP:port.
	addresses map[string]*peerAddress
	// fleet is what this daemon knew of the others' number in the last round.
	fleet fleet
	// loads holds the loads of other data centres' engines.
	loads map[string]toldLoad
}

// New opens the ports for other daemons. The returned function closes them and
// stops the goroutines that Start has started.
func New(o Options, h Handlers) (*Peers, func(), error) {
	if o.Network == nil {
		o.Network = systemNetwork{}
	}
	conn, err := o.Network.ListenPacket(o.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for datagrams of other daemons: %w", err)
	}
	listener, err := o.Network.Listen(o.Control)
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("listen for calls of other daemons: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{
		options: o, handlers: h, conn: conn, listener: listener, calls: make(chan struct{}, cmp.Or(o.MaxCalls, DefaultMaxCalls)), ctx: ctx, lastDroppedMs: -staleAfterDrop, createdMs: o.Clock.Now(),
		serving: newServing(o.LinkMbps), callLog: logs.CallLogger{Log: o.Log, Metrics: metrics},
		budget:  rate.NewLimiter(rate.Limit(o.BytesPerSecond), o.BytesPerSecond),
		daemons: map[string]*Daemon{}, addresses: map[string]*peerAddress{}, loads: map[string]toldLoad{},
	}
	return p, func() {
		cancel()
		_ = conn.Close()
		_ = listener.Close()
		p.running.Wait()
	}, nil
}

// Start starts to receive from and send to other daemons. The handlers may be called
// from then on.
func (p *Peers) Start() {
	p.running.Go(p.runReceive)
	p.running.Go(p.runSendFullState)
	p.running.Go(p.runServe)
}

// Leave notifies the other daemons that this one is shutting down.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.sendFullState(true)
}

// Broadcast sends an update at once to the daemons that are alive in the cells that it concerns.
func (p *Peers) Broadcast(u Update) {
	p.send(State{Runs: u.Runs, Ended: u.Ended, Unreachable: u.Unreachable, ChangingRole: u.ChangingRole, Parts: u.Parts, Limits: u.Limits, LeavingUpstreams: u.Leaving}, p.aliveAddresses(u.DataCentres))
}

// AskForLimit asks another daemon for a share of an upstream's limit.
func (p *Peers) AskForLimit(m upstreamlimits.Message) {
	p.send(State{LimitAsks: []upstreamlimits.Ask{m.Ask}}, p.addressOf(m.To))
}

func (p *Peers) runSendFullState() {
	for clock.Sleep(p.ctx, fullStateInterval) {
		p.sendFullState(false)
		p.forgetSilent()
	}
}

func (p *Peers) sendFullState(all bool) {
	now := p.options.Clock.Now()
	// The sequence number is taken before the runs are read, so that an update about a
	// run that is not among them has a higher number.
	p.mu.Lock()
	p.sequence++
	p.rounds++
	sequence := p.sequence
	p.countFleetLocked()
	p.mu.Unlock()
	runs := p.handlers.View.LocalRuns(now)
	state := State{
		Sequence: sequence, Full: true, Suspects: p.handlers.Suspects.Recent(now), Parts: p.handlers.Prompts.Recent(now),
		Limits: p.handlers.Gate.Limits.Recent(now), LeavingUpstreams: p.handlers.Gate.Recent(now),
	}
	for cell, to := range p.dueAddresses(all) {
		s := state
		s.Runs = runs
		if cell != ownCell {
			load := p.handlers.Load()
			s.Load, s.Silent = &load, p.silentNeighbours()
			s.Runs = slices.DeleteFunc(slices.Clone(runs), func(r capacity.Run) bool { return !r.IsAt(cell) })
		}
		p.send(s, to)
	}
}

// forgetSilent drops the runs of daemons that have been silent for longer than
// runRetention, or as long as others like them may be, and the daemons themselves after forgetAfter.
func (p *Peers) forgetSilent() {
	now := p.options.Clock.Now()
	var silent []string
	p.mu.Lock()
	for name, d := range p.daemons {
		if d.hasRuns && (d.silent || now-d.LastHeardMs > max(runRetention, p.aliveTimeoutLocked(d.DataCentre))) {
			d.hasRuns = false
			silent = append(silent, name)
		}
		if now-d.LastHeardMs > p.forgetAfterLocked(d.DataCentre) {
			delete(p.daemons, name)
		}
	}
	p.mu.Unlock()
	for _, name := range silent {
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
		p.options.Log.Error("cannot encode a message to other daemons", zap.Error(err))
		return
	}
	if !p.budget.AllowN(time.Now(), min(len(datagram)*len(to), p.options.BytesPerSecond)) {
		metrics.Add("leftOut", 1)
		p.mu.Lock()
		p.lastDroppedMs = p.options.Clock.Now()
		p.mu.Unlock()
		return
	}
	for _, udp := range to {
		if _, err := p.conn.WriteTo(datagram, udp); err != nil {
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
	if s.Full { // before the versions: what is fresh must not be more than they say
		s.Freshness = p.handlers.Freshness()
	}
	s.LinkMbps = o.LinkMbps
	s.Config, s.List, s.FollowsStore = p.handlers.Config(), p.handlers.List(), p.handlers.FollowsStore()
	p.mu.Lock()
	if s.Sequence == 0 {
		p.sequence++
		s.Sequence = p.sequence
	}
	s.Leaving = p.leaving
	if s.Full && p.rounds%addressesEvery == 1 {
		s.Daemons = p.knownAddressesLocked()
	}
	p.mu.Unlock()
	notification := &jsonrpc2.Request{Method: methodState, Notif: true}
	if err := notification.SetParams(s); err != nil {
		return nil, fmt.Errorf("encode message to other daemons: %w", err)
	}
	return json.Marshal(notification)
}

// knownAddressesLocked returns the addresses of up to maxAddresses daemons that are
// alive, from which a receiver that knows few daemons learns of more.
func (p *Peers) knownAddressesLocked() []string {
	now := p.options.Clock.Now()
	var known []string
	for _, d := range p.daemons {
		if now-d.LastHeardMs <= p.aliveTimeoutLocked(d.DataCentre) && len(known) < maxAddresses {
			known = append(known, d.Address)
		}
	}
	return known
}
