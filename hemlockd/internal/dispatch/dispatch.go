// Package dispatch routes callers' requests: it chooses the upstream, queues or
// refuses a request, retries it, and answers the caller. It accesses upstreams
// through the interface [Upstreams].
//
// The kind of the route determines whether a request may be repeated. A refusal
// (429 or 503) tells the caller that the request was not run, so it is sent only if
// that is certain. If it is unknown whether the request ran, the caller gets a 502
// or 504.
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
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/streamversions"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// Upstreams sends calls to upstreams. Send, Prefill and Reserve return errors of the
// type *calls.Error.
type Upstreams interface {
	// Send delivers a call and returns the upstream's answer.
	Send(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (*calls.Reply, error)
	// Prefill has a prefill engine process the call's prompt and returns where the
	// result is.
	Prefill(ctx context.Context, call *calls.Call, to routing.Upstream, d calls.Delivery) (calls.KVSource, error)
	// FreeResult releases a prefill result that no engine will fetch.
	FreeResult(ctx context.Context, source calls.KVSource) error
	// Reserve reserves KV cache memory at an engine for the time span and returns the
	// reservation's id.
	Reserve(ctx context.Context, to routing.Upstream, tokens int, span clock.Millis) (string, error)
	// CancelReservation releases a reservation that has not been used.
	CancelReservation(ctx context.Context, at routing.Upstream, reservationID string) error
	// Probe returns nil if the upstream answers a health check at path.
	Probe(ctx context.Context, to routing.Upstream, path string) error
}

// Directory provides the current configuration and upstreams.
type Directory interface {
	// Table returns the routes of the current configuration, or nil if there is none.
	Table() *routing.Table
	// Upstreams returns the upstreams of a service.
	Upstreams(service string) []routing.Upstream
	// Ready reports whether the daemon can serve requests.
	Ready() bool
}

// Peers exchanges state with the other daemons.
type Peers interface {
	// Broadcast sends an update to the other daemons.
	Broadcast(u peers.Update)
	// ViewStale reports whether this daemon's state of the runs that other daemons have
	// placed is incomplete or out of date.
	ViewStale() bool
	// InCell reports whether this daemon knows the runs at the engines of a data centre.
	InCell(dataCentre string) bool
	// LoadOf returns the load of the engines of a data centre that is not in its cell, or false
	// if it is not known.
	LoadOf(dataCentre string) (peers.EngineLoad, bool)
	// DaemonsIn returns how many other daemons of a data centre serve, and how many shut down.
	DaemonsIn(dataCentre string) (serving, leaving int)
}

// StreamVersions knows which software version began a stream that a caller may take up.
type StreamVersions interface {
	// Begin records that an engine with a version is about to begin a stream.
	Begin(begun streamversions.Stream, software string)
	// Recorded waits until any daemon would find the version.
	Recorded(ctx context.Context, attempt string) error
	// OnlyWithoutRecord returns the version at which streams should begin while no records can be
	// written; ok is false while they can.
	OnlyWithoutRecord(service string) (software string, ok bool)
	// End records that the caller has the whole stream.
	End(attempt string)
	// Lookup returns the version that began a stream, or an error if that is not known.
	Lookup(ctx context.Context, begun streamversions.Stream) (string, error)
}

// Verdicts stores the outcomes of requests.
type Verdicts interface {
	Record(v verdict.Verdict)
}

// Options holds the dependencies and settings of a dispatcher.
type Options struct {
	Log       *zap.Logger
	Clock     clock.Clock
	Directory Directory
	Upstreams Upstreams
	// View estimates the load of the engines.
	View *capacity.View
	// Queue holds the runs that wait for capacity at an engine.
	Queue    *capacity.Queue
	Peers    Peers
	Verdicts Verdicts
	// StreamVersions knows the versions of streams.
	StreamVersions StreamVersions
	// Retries is the retry budget.
	Retries *retries.ServiceBudgets
	// Suspects holds the requests during which upstreams crashed.
	Suspects *suspects.Suspects
	// Prompts holds the evidence on parts of prompts that crash engines.
	Prompts *prompts.Evidence
	// Gate decides whether an upstream may be called, by what it says of itself.
	Gate *upstreamgate.Gate
	// MayTryPart reports whether this daemon is the one that tries a blamed part again.
	MayTryPart func(part string) bool
	// ReadCall parses a caller's request, without its body.
	ReadCall func(*http.Request) *calls.Call
	// Name is this daemon's name.
	Name string
	// DataCentre is this daemon's data centre.
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
}

// Dispatcher answers callers' requests. It implements [http.Handler].
type Dispatcher struct {
	opts      Options
	health    *health
	logLimits *requestLogLimits
	latencies *latencies
	// shutdown holds the times of the daemon's shutdown; nil unless it is shutting down.
	shutdown atomic.Pointer[shutdown]
	// exitTimer ends the requests in flight shortly before the daemon exits, and uploadsTimer those whose body is
	// still being sent.
	exitTimer, uploadsTimer *time.Timer
	drainMu                 sync.Mutex // held while shutdown and the timers are replaced
	// exiting is closed shortly before the daemon exits: requests that are still in flight
	// are answered then, or their connections would be closed without an answer.
	exiting context.Context
	exit    context.CancelFunc
	// uploads holds when requests whose body has not come to its end are answered: some time before.
	uploads atomic.Pointer[uploads]
	open    openRequests
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	d := &Dispatcher{opts: o, health: newHealth(o.Clock), logLimits: newRequestLogLimits(), latencies: newLatencies()}
	d.exiting, d.exit = context.WithCancel(context.Background())
	d.uploads.Store(newUploads())
	return d
}

// IsDown reports whether an upstream is marked down. It stays so until it answers a
// call or a probe.
func (d *Dispatcher) IsDown(id string) bool { return d.health.isDown(id) }

// ServeHTTP implements [http.Handler].
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.handle(w, r, (*exchange).serve)
}

// Refuse answers a request that the daemon has no memory for, before it is handled. The caller of Refuse may have set the
// header Retry-After.
func (d *Dispatcher) Refuse(w http.ResponseWriter, r *http.Request) {
	d.handle(w, r, func(x *exchange) { x.respondError(http.StatusServiceUnavailable, reasonNoMemory, 0) })
}

// handle has a request answered and records its end.
func (d *Dispatcher) handle(w http.ResponseWriter, r *http.Request, answer func(*exchange)) {
	x := &exchange{d: d, w: w, r: r, call: d.opts.ReadCall(r), arrivedMs: d.opts.Clock.Now(), outcome: calls.NotRun}
	d.open.add(x.call.ID)
	defer d.open.remove(x.call.ID)
	defer x.conclude()
	defer x.answerPanic()
	answer(x)
	if !x.answered {
		x.abort(x.reason) // net/http would send an empty answer with status 200
	}
}

// RefreshEngines passes the usable prefill and decode engines to the capacity view.
// It must be called after each change of the directory and also at intervals.
func (d *Dispatcher) RefreshEngines() {
	table := d.opts.Directory.Table()
	if table == nil {
		return
	}
	var engines []capacity.Engine
	var prefillers []capacity.PrefillEngine
	for name, service := range table.Config.Services {
		if service.Engine == nil {
			continue
		}
		for _, u := range d.opts.Directory.Upstreams(name) {
			if !d.health.usable(u) || !d.opts.Gate.Usable(upstreamgate.TargetOf(u), d.opts.Clock.Now()) {
				continue
			}
			if u.Role == routing.RolePrefill {
				_, failureRate := d.health.stats(u.ID)
				prefillers = append(prefillers, capacity.PrefillEngine{
					ID: u.ID, Service: name, DataCentre: u.DataCentre, Software: u.Software, RoundTripMs: d.rttMs(u.DataCentre), FailureRate: failureRate,
					Foreign: !d.opts.Peers.InCell(u.DataCentre),
				})
			}
			if u.Role != routing.RoleDecode {
				continue
			}
			foreign, ok := d.foreignLoad(u.DataCentre, service.Engine)
			if !ok {
				continue
			}
			engines = append(engines, capacity.Engine{
				ID: u.ID, Service: name, DataCentre: u.DataCentre, Software: u.Software, MemoryTokens: service.Engine.KVCacheTokens, Slots: service.Engine.Slots,
				Cost: rttCostPerMs * d.rttMs(u.DataCentre), Margin: memoryMarginPerMs * d.rttMs(u.DataCentre),
				UpdateDelayMs: d.rttMs(u.DataCentre) / 2, Foreign: foreign,
			})
		}
	}
	d.opts.View.SetEngines(engines)
	d.opts.View.SetPrefillEngines(prefillers)
	d.opts.Queue.RetrySoon()
}

// foreignLoad returns what an engine of a data centre has to do for daemons whose runs are not known
// here; nil if all are known. It returns false if that can't be estimated.
func (d *Dispatcher) foreignLoad(dataCentre string, spec *routing.EngineSpec) (*capacity.ForeignLoad, bool) {
	if d.opts.Peers.InCell(dataCentre) {
		return nil, true
	}
	load, ok := d.opts.Peers.LoadOf(dataCentre)
	if !ok {
		return nil, false
	}
	return &capacity.ForeignLoad{Tokens: int(load.MemoryUse * float64(spec.KVCacheTokens)), Runs: int(load.Runs)}, true
}

// reportDown marks the upstream down and informs the other daemons.
func (d *Dispatcher) reportDown(id string) {
	if !d.health.markDown(id) {
		return
	}
	d.opts.Log.Info("upstream is down", zap.String("upstream", id), zap.String("source", "own call"))
	d.opts.Peers.Broadcast(peers.Update{Unreachable: []string{id}})
	d.RefreshEngines()
}

// MarkDown marks upstreams down that another daemon has found down.
func (d *Dispatcher) MarkDown(ids []string) {
	for _, id := range ids {
		if d.health.markDown(id) {
			d.opts.Log.Info("upstream is down", zap.String("upstream", id), zap.String("source", "another daemon"))
		}
	}
	d.RefreshEngines()
}

// RunProbes probes the upstreams that are marked down, at intervals, until ctx ends.
func (d *Dispatcher) RunProbes(ctx context.Context) {
	for clock.Sleep(ctx, probeInterval) {
		table := d.opts.Directory.Table()
		if table == nil {
			continue
		}
		for name, service := range table.Config.Services {
			for _, u := range d.opts.Directory.Upstreams(name) {
				if d.health.isDown(u.ID) && d.take(u) == upstreamgate.Open {
					p := &probe{d: d, upstream: u, path: service.HealthPath}
					go p.run(ctx)
				}
			}
		}
	}
}

// probe is one health check of an upstream that is marked down.
type probe struct {
	d        *Dispatcher
	upstream routing.Upstream
	path     string
}

func (p *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	if err := p.d.opts.Upstreams.Probe(ctx, p.upstream, p.path); err != nil {
		return
	}
	p.d.health.markUp(p.upstream.ID)
	p.d.opts.Log.Info("upstream answered a health check and is no longer marked down", zap.String("upstream", p.upstream.ID))
	p.d.RefreshEngines()
}

// AnnounceRoleChange takes an engine that is changing its role out of use and informs
// the other daemons.
func (d *Dispatcher) AnnounceRoleChange(id string) {
	if d.MarkRoleChanging([]string{id}) {
		d.opts.Peers.Broadcast(peers.Update{ChangingRole: []string{id}})
	}
}

// IsChangingRole reports whether an engine is about to give up its listed role.
func (d *Dispatcher) IsChangingRole(u routing.Upstream) bool { return d.health.isChangingRole(u) }

// roleChangeMargin is added to the configured duration of a role change. It covers
// the completion of running work and the delay until the directory lists the new
// role.
const roleChangeMargin = 6 * clock.Second

// MarkRoleChanging takes engines that are changing their roles out of use. Each is
// used again once it is listed with its new role, or once the change should be
// over. It reports whether any of the changes was not known before.
func (d *Dispatcher) MarkRoleChanging(ids []string) bool {
	table := d.opts.Directory.Table()
	if table == nil {
		return false
	}
	changed := false
	for name, service := range table.Config.Services {
		for _, u := range d.opts.Directory.Upstreams(name) {
			if service.Engine != nil && slices.Contains(ids, u.ID) {
				until := d.opts.Clock.Now() + service.Engine.RoleChangeMs + roleChangeMargin
				changed = d.health.markRoleChanging(u.ID, u.Role, until) || changed
			}
		}
	}
	d.RefreshEngines()
	return changed
}

// rttCostPerMs is the cost of a millisecond of round-trip time when engines are
// compared, in units of the fraction of an engine's memory in use.
const rttCostPerMs = 0.002

// memoryMarginPerMs is the fraction of an engine's memory that is kept free for each
// millisecond of round-trip time to it.
const memoryMarginPerMs = 0.001

// Assumed round-trip times to upstreams, in ms.
const (
	sameDataCentreRTTMs = 0.5
	sameRegionRTTMs     = 3
	otherRegionRTTMs    = 60
)

// rttMs returns the assumed round-trip time to a data centre, in ms.
func (d *Dispatcher) rttMs(dataCentre string) float64 {
	switch {
	case dataCentre == d.opts.DataCentre:
		return sameDataCentreRTTMs
	case d.opts.Regions[dataCentre] == d.opts.Regions[d.opts.DataCentre]:
		return sameRegionRTTMs
	}
	return otherRegionRTTMs
}

// jitter returns a random time between 0 and span, both included.
func jitter(span clock.Millis) clock.Millis { return clock.Millis(rand.Int64N(int64(span) + 1)) }
