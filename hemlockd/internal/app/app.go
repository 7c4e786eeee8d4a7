// Package app constructs the daemon from its parts, in one place, and runs it until
// it is told to stop.
//
// # Usage
//
//	cfg, err := process.LoadConfig("hemlockd.toml")
//	err = app.Run(ctx, hard, "hemlockd.toml", cfg, log)
package app

import (
	"context"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/callers"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/engines"
	"hemlockmux.example/hemlockd/internal/handoff"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/limits"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/operators"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
	"hemlockmux.example/hemlockd/internal/verdicts"
	"hemlockmux.example/hemlockd/internal/vmlist"
)

const (
	// notReadyTime is how long a daemon that shuts down still accepts connections after
	// it has become not ready, so that the balancer can notice.
	notReadyTime = clock.Second
	// endTime is how long before the end of DrainMs requests in flight are ended, so that their callers are told.
	endTime = 500 * clock.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * clock.Minute
	// operatorConns is the number of connections that the port for operators has places for.
	operatorConns = 32
)

// Daemon is a running daemon with all its parts.
type Daemon struct {
	env           process.Environment
	configuration *configuration.Configuration
	store         *settings.Store
	daemons       *daemons.Daemons
	keeper        *keeper.Keeper
	services      *services.Services
	handOff       *handoff.Server
	recorder      *verdicts.Recorder
	gate          *upstreamgate.Gate
	operators     *operators.Operators
	callers       *callers.Callers
	intake        *intake.Budget // what callers may make the daemon hold
	callersPort   *port
	operatorsPort *port
	failed        chan error
	cleanup       []func() // run in reverse
}

// Run runs a daemon until ctx is done or a port fails, then shuts it down
// gracefully, within the DrainMs that the file at path has then. The end of hard ends the wait for requests in flight.
func Run(ctx, hard context.Context, path string, cfg process.Config, log *zap.Logger) error {
	env := process.Environment{Log: log, Clock: clock.System(), Config: cfg, Invariants: invariant.New(log), Shutdown: process.NewShutdown()}
	env.Incarnation = env.Clock.Now()
	d, closeDaemon, err := New(env)
	if err != nil {
		return err
	}
	log.Info("daemon is serving", zap.String("callers", cfg.Callers), zap.String("operators", cfg.Operators), zap.String("daemons", cfg.Daemons))
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		log.Error("port failed; shutting down", zap.Error(err))
	}
	d.drain(hard, d.drainMs(path))
	closeDaemon()
	log.Info("daemon has stopped")
	return err
}

// New starts a daemon and returns it with the function that stops it.
func New(env process.Environment) (*Daemon, func(), error) {
	d := &Daemon{env: env, failed: make(chan error, 2)}
	if err := d.wire(); err != nil {
		d.close()
		return nil, nil, err
	}
	return d, d.close, nil
}

func (d *Daemon) close() {
	for _, f := range slices.Backward(d.cleanup) {
		f()
	}
}

func (d *Daemon) onClose(f func()) { d.cleanup = append(d.cleanup, f) }

// wire constructs and starts all parts, each after those that it depends on.
func (d *Daemon) wire() error {
	env, cfg := d.env, d.env.Config
	capacity := ownCapacity(cfg)
	d.intake = intake.NewBudget(capacity)
	limitMemory(capacity)
	table, closeTable := platform.NewTable(cfg.Table, cfg.PlatformToken, cfg.PlatformTimeoutMs)
	d.onClose(closeTable)
	objects, closeObjects := platform.NewObjects(cfg.Objects, cfg.Bucket, cfg.PlatformToken, cfg.PlatformTimeoutMs)
	d.onClose(closeObjects)
	vms, closeVMs := platform.NewVMs(cfg.VMs, cfg.PlatformToken, cfg.PlatformTimeoutMs)
	d.onClose(closeVMs)
	d.gate = upstreamgate.New(upstreamlimits.New(cfg.Name, env.Clock.Now(), d.sendLimitNews), d.noticeChanged)
	client, closeClient := engines.NewClient(d.gate, env.Clock, env.Log)
	d.onClose(closeClient)
	handOff, closeHandOff := handoff.NewClient(cfg)
	d.onClose(closeHandOff)

	d.store = settings.NewStore(table)
	d.configuration = configuration.New(env)
	d.daemons = daemons.New(env, d.configuration)
	sus := suspects.New()
	sus.OnUpdate = d.daemons.GossipNow
	parts := prompts.New()
	sharer := newPartsSharer(d.daemons.GossipNow)
	parts.OnUpdate = sharer.share
	parts.OnMerge = sharer.share // messages go to a few daemons only
	list, closeList := vmlist.New(env, vms, d.daemons.AddSeed)
	d.onClose(closeList)
	recorder, closeRecorder := verdicts.New(env, objects, copyPeers{d.daemons, env.Config}, d.verdictInterval)
	d.onClose(closeRecorder)
	d.recorder = recorder
	ledger, closeLedger := placements.New(env, table, d.ledgerInterval)
	d.onClose(closeLedger)
	k, closeKeeper := keeper.New(env, d.configuration, client, d.daemons, list, sus, parts)
	d.onClose(closeKeeper)
	d.keeper = k
	d.configuration.OnChange = func(version int64) {
		d.daemons.AnnounceVersion(version)
		k.Reconcile()
		d.checkLeavingGrace()
	}
	svc, closeServices := services.New(env, d.configuration, ledger, list, d.gate)
	d.onClose(closeServices)
	d.services = svc
	d.callers = callers.New(env, callers.Dependencies{
		Configuration: d.configuration, Daemons: d.daemons, Keeper: k, Services: svc, HandOff: handOff,
		Limits: limits.New(), Suspects: sus, Verdicts: recorder,
	})
	d.handOff = handoff.NewServer(env, d.configuration, k, svc, recorder.AcceptCopies)
	closeDaemons, err := d.daemons.Start(daemons.Handlers{
		HandOff:      d.handOff,
		AcceptCopies: recorder.AcceptCopies, FindVerdict: recorder.Find,
		StoredUpTo: recorder.StoredUpTo, LendCapacity: d.callers.Lend, RecentSuspects: recentSuspects(env, sus), MergeSuspects: mergeSuspects(env, sus),
		RecentParts: func() []prompts.Report { return parts.Recent(env.Clock.Now()) }, MergeParts: mergeParts(env, parts),
		ShareLimit: d.shareLimit, MergeLimits: d.mergeLimits,
		RecentLimits: func() []upstreamlimits.News { return d.gate.Limits.Recent(env.Clock.Now()) },
		DaemonDied: func(m membership.Member) {
			k.CancelRunsOf(daemons.RunID(m))
			recorder.DaemonDied(daemons.RunID(m), m.Name)
		},
	}, d.guard("daemons", maxDaemonsHeadBytes, nil, intake.NewDaemonsBudget(capacity)))
	if err != nil {
		return err
	}
	d.onClose(closeDaemons)
	d.onClose(sharer.start())
	ctx, cancel := context.WithCancel(context.Background())
	pollsDone := make(chan struct{})
	go d.runPolls(ctx, pollsDone)
	go d.runLimits(ctx)
	var blames sync.WaitGroup
	blames.Go(func() { newBlameStore(env.Log, env.Clock, ownTable{table}, parts, d.daemons.Owns).run(ctx) })
	d.onClose(func() {
		cancel()
		<-pollsDone
		blames.Wait()
	})
	d.operators = operators.New(env, operators.Dependencies{
		Configuration: d.configuration, Store: d.store, Objects: objects, Daemons: d.daemons,
		Keeper: k, Services: svc, Gate: d.gate, Parts: parts, Verdicts: recorder,
	})
	if d.operatorsPort, err = d.listen("operators", cfg.Operators, d.operators.Handler(), nil, intake.NewPortBudget(operatorConns)); err != nil {
		return err
	}
	if d.callersPort, err = d.listen("callers", cfg.Callers, d.callers.Handler(), http.HandlerFunc(d.callers.Refuse), d.intake); err != nil {
		return err
	}
	d.publish()
	return nil
}

// publish exports the metrics of the daemon as a whole in expvar.
func (d *Daemon) publish() {
	info := expvar.NewMap("daemon")
	info.Set("name", expvar.Func(func() any { return d.env.Config.Name }))
	info.Set("dataCentre", expvar.Func(func() any { return d.env.Config.DataCentre }))
	info.Set("settingsVersion", expvar.Func(func() any { return d.configuration.Version() }))
	info.Set("openRequests", expvar.Func(func() any { return d.recorder.OpenCount() }))
	info.Set("keeperRuns", expvar.Func(func() any { return d.keeper.Active() }))
	info.Set("startedMs", expvar.Func(func() any { return d.env.Incarnation }))
	info.Set("cpuMs", expvar.Func(func() any { return cpuTime().Milliseconds() }))
}

func (d *Daemon) verdictInterval() clock.Millis { return d.policy().VerdictIntervalMs }

func (d *Daemon) ledgerInterval() clock.Millis { return d.policy().LedgerIntervalMs }

func (d *Daemon) policy() settings.Policy {
	if tree := d.configuration.Tree(); tree != nil {
		return tree.System.Policy
	}
	return settings.DefaultSystem().Policy
}

// checkLeavingGrace warns if the settings want leaving upstreams to be without new work
// sooner than the daemon's own intervals add up to.
func (d *Daemon) checkLeavingGrace() {
	if delay, grace := d.env.Config.LeavingDelayMs(), d.policy().LeavingGraceMs; delay > grace {
		d.env.Log.Warn("leavingGraceMs is shorter than loadMs and vmListMs allow; lower these or raise it",
			zap.Int64("delayMs", int64(delay)), zap.Int64("leavingGraceMs", int64(grace)))
	}
}

// maxDaemonsHeadBytes is the longest head of another daemon's request, which holds the call that is handed over.
const maxDaemonsHeadBytes = 1 << 20

// guard returns a guard of a port whose connections may take what the budget has; refuse answers what goes beyond it.
func (d *Daemon) guard(name string, maxHeadBytes int, refuse http.Handler, budget *intake.Budget) *intake.Guard {
	heads := intake.Heads{MaxBytes: maxHeadBytes, TimeoutMs: d.env.Config.HeaderTimeoutMs}
	return intake.NewGuard(intake.Options{
		Log: d.env.Log, Port: name, Budget: budget, Heads: func() intake.Heads { return heads }, Refuse: refuse, WholeSeconds: true,
		UnreadAnswerMs: d.env.Config.UnreadAnswerMs,
	})
}

// listen opens a port that is closed when the daemon stops.
func (d *Daemon) listen(name, address string, handler, refuse http.Handler, budget *intake.Budget) (*port, error) {
	guard := d.guard(name, d.env.Config.MaxHeaderBytes, refuse, budget)
	p, closePort, err := openPort(d.env.Log, name, address, handler, guard, idleTimeout, d.failed)
	if err == nil {
		d.onClose(closePort)
	}
	return p, err
}

// runPolls polls the platform's settings while this daemon is one of the two pollers
// of its data centre or has no settings yet.
func (d *Daemon) runPolls(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(d.env.Config.PollMs.Duration())
	defer ticker.Stop()
	reachable := true
	for {
		if d.configuration.Version() == 0 || d.configuration.Diverged() || d.daemons.IsPoller() {
			err := d.configuration.Poll(ctx, d.store)
			if (err == nil) != reachable && ctx.Err() == nil {
				reachable = err == nil
				d.env.Log.Info("platform's table changed state", zap.Bool("reachable", reachable), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// busy reports whether this daemon still runs anything: for its own callers, for other daemons, or
// for callers that have left.
func (d *Daemon) busy() bool {
	return d.keeper.Active() > 0 || d.handOff.InFlight() > 0 || d.services.InFlight() > 0
}

// drainMs returns the DrainMs of the daemon's file as it is now, or of the one in use if it has an error.
func (d *Daemon) drainMs(path string) clock.Millis {
	cfg, err := process.LoadConfig(path)
	if err != nil {
		d.env.Log.Warn("the daemon's file can't be used; drainMs stays", zap.Error(err))
		return d.env.Config.DrainMs
	}
	return cfg.DrainMs
}

// drain takes the daemon out of service and waits for the requests in flight, at
// most drainMs or until hard is done. Those that are left then are ended with the reason.
func (d *Daemon) drain(hard context.Context, drainMs clock.Millis) {
	d.env.Log.Info("draining", zap.Int("open", d.recorder.OpenCount()))
	ending := min(endTime, drainMs/2)
	d.env.Shutdown.Begin(d.env.Clock.Now() + notReadyTime + drainMs - ending)
	d.callersPort.startStop()
	d.callers.Drain()
	d.operators.Drain()
	d.gate.Limits.Leave()
	d.daemons.Leave()
	select {
	case <-time.After(notReadyTime.Duration()):
	case <-hard.Done():
	}
	ctx, cancel := context.WithTimeout(hard, (drainMs - ending).Duration())
	defer cancel()
	err := d.awaitRequests(ctx)
	open := d.recorder.OpenCount()
	cut := err != nil || open > 0 || d.busy()
	d.env.Invariants.Check(invariant.DrainedAtExit, !cut || hard.Err() != nil || ctx.Err() != nil, "open", open)
	if !cut {
		return
	}
	d.env.Log.Warn("drain ended with requests in flight", zap.Int("open", open), zap.Error(err))
	d.env.Shutdown.End()
	endCtx, cancelEnd := context.WithTimeout(context.Background(), ending.Duration())
	defer cancelEnd()
	if err := d.awaitRequests(endCtx); err != nil || d.recorder.OpenCount() > 0 {
		d.env.Log.Warn("requests have no end", zap.Int("open", d.recorder.OpenCount()), zap.Error(err))
	}
}

// awaitRequests waits until no request is in flight or ctx ends. It returns an error if a caller's is then.
func (d *Daemon) awaitRequests(ctx context.Context) error {
	err := d.callersPort.drain(ctx)
	for err == nil && d.busy() && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	return err
}
