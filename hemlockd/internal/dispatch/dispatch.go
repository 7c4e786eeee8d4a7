// Package dispatch decides what becomes of a caller's request: which upstream
// gets it, whether it waits or is refused, whether it is sent again, and what
// the caller is told. It speaks to upstreams through an interface of its own.
//
// What may be repeated follows from the route's kind. A refusal says that a
// request has not run, so it is given only where that is certain; what is not
// known is answered with 502 or 504.
//
// # Usage
//
//	d := dispatch.New(options)
//	server := &http.Server{Handler: d}
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/suspects"
)

// Upstreams sends calls to upstreams. An error is a *calls.Error.
type Upstreams interface {
	Send(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (*calls.Reply, error)
	Prefill(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (calls.KVSource, error)
	FreeResult(ctx context.Context, source calls.KVSource) error
	// Reserve reserves memory at an engine, CancelReservation gives it back.
	Reserve(ctx context.Context, to routing.Upstream, tokens int, span clock.Millis) (string, error)
	CancelReservation(ctx context.Context, at routing.Upstream, hold string) error
	// Probe tells whether the upstream answers.
	Probe(ctx context.Context, to routing.Upstream, path string) error
}

// Directory is what is in force.
type Directory interface {
	Table() *routing.Table
	Upstreams(service string) []routing.Upstream
	Ready() bool
}

// Peers tells the other daemons.
type Peers interface {
	Broadcast(n peers.Update)
	// ViewStale tells whether little is known of what other daemons have placed.
	ViewStale() bool
}

// Verdicts keeps what became of requests.
type Verdicts interface {
	Record(v verdict.Verdict)
}

// Options is what a dispatcher works with.
type Options struct {
	Log       *zap.Logger
	Clock     clock.Clock
	Directory Directory
	Upstreams Upstreams
	View      *capacity.View
	Queue     *capacity.Queue
	Peers     Peers
	Verdicts  Verdicts
	Retries   *retries.ServiceBudgets
	Suspects  *suspects.Suspects
	// ReadCall reads a caller's request, without its body.
	ReadCall func(*http.Request) *calls.Call
	Name     string
	// DataCentre is this daemon's, Regions the region of each.
	DataCentre string
	Regions    map[string]string
}

// Dispatcher serves callers. It implements [http.Handler].
type Dispatcher struct {
	o         Options
	health    *health
	lines     *lineLimits
	latencies *latencies
	// drainingUntilMs is set once the daemon shuts down: when it ends.
	drainingUntilMs atomic.Int64
	open            atomic.Int64
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{o: o, health: newHealth(o.Clock), lines: newLineLimits(), latencies: newLatencies()}
}

// Drain makes answers ask callers to come over new connections, so that they
// come to other daemons, and refuses streams that would not end in time.
func (d *Dispatcher) Drain(until clock.Millis) { d.drainingUntilMs.Store(int64(until)) }

// draining tells whether the daemon shuts down, and when it ends.
func (d *Dispatcher) draining() (until clock.Millis, yes bool) {
	until = clock.Millis(d.drainingUntilMs.Load())
	return until, until != 0
}

// IsDown tells whether an upstream is out of use until it answers a probe.
func (d *Dispatcher) IsDown(id string) bool { return d.health.down(id) }

// OpenRequests is the number of requests in flight.
func (d *Dispatcher) OpenRequests() int { return int(d.open.Load()) }

// ServeHTTP implements [http.Handler].
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.open.Add(1)
	defer d.open.Add(-1)
	x := &exchange{d: d, w: w, r: r, call: d.o.ReadCall(r), arrivedMs: d.o.Clock.Now(), outcome: calls.NotRun}
	defer x.conclude()
	x.serve()
}

// RefreshEngines tells the view which decode engines there are; it is called after a
// change of the directory and at intervals.
func (d *Dispatcher) RefreshEngines() {
	table := d.o.Directory.Table()
	if table == nil {
		return
	}
	var engines []capacity.Engine
	var prefillers []capacity.PrefillEngine
	for name, service := range table.Config.Services {
		if service.Engine == nil {
			continue
		}
		for _, u := range d.o.Directory.Upstreams(name) {
			if !d.health.usable(u) {
				continue
			}
			if u.Role == routing.RolePrefill {
				_, failureRate := d.health.state(u.ID)
				prefillers = append(prefillers, capacity.PrefillEngine{
					ID: u.ID, Service: name, DataCentre: u.DataCentre, RoundTripMs: d.distance(u.DataCentre), FailureRate: failureRate,
				})
			}
			if u.Role != routing.RoleDecode {
				continue
			}
			engines = append(engines, capacity.Engine{
				ID: u.ID, Service: name, DataCentre: u.DataCentre, MemoryTokens: service.Engine.KVCacheTokens, Slots: service.Engine.Slots,
				Cost: engineDistanceCost * d.distance(u.DataCentre), Margin: marginForMs * d.distance(u.DataCentre),
				UpdateDelayMs: d.distance(u.DataCentre) / 2,
			})
		}
	}
	d.o.View.SetEngines(engines)
	d.o.View.SetPrefillEngines(prefillers)
	d.o.Queue.RetrySoon()
}

// setDown takes the upstream out of use until it answers a probe, and tells the
// other daemons.
func (d *Dispatcher) setDown(id string) {
	if !d.health.setDown(id) {
		return
	}
	d.o.Log.Info("upstream is down", zap.String("upstream", id), zap.String("source", "own call"))
	d.o.Peers.Broadcast(peers.Update{Unreachable: []string{id}})
	d.RefreshEngines()
}

// MarkDown takes in that another daemon found upstreams down.
func (d *Dispatcher) MarkDown(ids []string) {
	for _, id := range ids {
		if d.health.setDown(id) {
			d.o.Log.Info("upstream is down", zap.String("upstream", id), zap.String("source", "another daemon"))
		}
	}
	d.RefreshEngines()
}

// RunProbes probes the upstreams that are down until ctx ends.
func (d *Dispatcher) RunProbes(ctx context.Context) {
	for clock.Pause(ctx, probeInterval) {
		table := d.o.Directory.Table()
		if table == nil {
			continue
		}
		for name, service := range table.Config.Services {
			for _, u := range d.o.Directory.Upstreams(name) {
				if d.health.down(u.ID) {
					p := &probe{d: d, upstream: u, path: service.HealthPath}
					go p.run(ctx)
				}
			}
		}
	}
}

// probe is one question to an upstream that is down.
type probe struct {
	d        *Dispatcher
	upstream routing.Upstream
	path     string
}

func (p *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	if err := p.d.o.Upstreams.Probe(ctx, p.upstream, p.path); err != nil {
		return
	}
	p.d.health.setUp(p.upstream.ID)
	p.d.o.Log.Info("upstream answers again", zap.String("upstream", p.upstream.ID))
	p.d.RefreshEngines()
}

// AnnounceRoleChange takes an engine out of use that is changing its role, and tells the
// other daemons.
func (d *Dispatcher) AnnounceRoleChange(id string) {
	if d.MarkRoleChanging([]string{id}) {
		d.o.Peers.Broadcast(peers.Update{ChangingRole: []string{id}})
	}
}

// IsChangingRole tells whether an engine is about to give up the role that it is
// listed with.
func (d *Dispatcher) IsChangingRole(u routing.Upstream) bool { return d.health.changing(u) }

// roleChangeReserve is added to the time that a change of role takes, for work
// that ends first and for the list to tell of it.
const roleChangeReserve = 6 * clock.Second

// MarkRoleChanging takes in that engines are changing their roles. Each is back once
// it is listed in its new role. It tells whether any of that is news.
func (d *Dispatcher) MarkRoleChanging(ids []string) bool {
	table := d.o.Directory.Table()
	if table == nil {
		return false
	}
	news := false
	for name, service := range table.Config.Services {
		for _, u := range d.o.Directory.Upstreams(name) {
			if service.Engine != nil && slices.Contains(ids, u.ID) {
				until := d.o.Clock.Now() + service.Engine.RoleChangeMs + roleChangeReserve
				news = d.health.setChanging(u.ID, u.Role, until) || news
			}
		}
	}
	d.RefreshEngines()
	return news
}

// engineDistanceCost weighs a millisecond on the way to an engine against the
// fraction of its memory in use.
const engineDistanceCost = 0.002

// marginForMs is the part of an engine's memory that is left free for each
// millisecond on the way to it.
const marginForMs = 0.001

// Times on the way to an upstream and back, in ms.
const (
	ownDataCentreMs = 0.5
	ownRegionMs     = 3
	otherRegionMs   = 60
)

// distance is the time on the way to a data centre and back, in ms.
func (d *Dispatcher) distance(dataCentre string) float64 {
	switch {
	case dataCentre == d.o.DataCentre:
		return ownDataCentreMs
	case d.o.Regions[dataCentre] == d.o.Regions[d.o.DataCentre]:
		return ownRegionMs
	}
	return otherRegionMs
}

func jitter(span clock.Millis) clock.Millis { return clock.Millis(rand.Int64N(int64(span) + 1)) }
