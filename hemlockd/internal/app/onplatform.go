package app

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/archive"
	"hemlockmux.example/hemlockd/internal/capacity"
	inforce "hemlockmux.example/hemlockd/internal/directory"
	"hemlockmux.example/hemlockd/internal/dispatch"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/roles"
	"hemlockmux.example/hemlockd/internal/streamversions"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
	"hemlockmux.example/platform"
)

const (
	// refreshInterval is the interval at which state that depends on the time is
	// updated.
	refreshInterval = 250 * clock.Millisecond
	// registrationTimeout bounds one attempt to write the daemon's entry in the list of
	// daemons.
	registrationTimeout = 2 * clock.Second
	// registrationRetryDelay is the time between two such attempts.
	registrationRetryDelay = 2 * clock.Second
	// shutdownListenTime is how long after the signal to stop new connections are still
	// accepted: the balancer needs that long to see that the daemon is not ready.
	shutdownListenTime = 2800 * clock.Millisecond
	// shutdownReserve is how long before the kill the wait for requests in flight ends: a process with a small share of a core
	// has to answer them and to exit.
	shutdownReserve = 450 * clock.Millisecond
	// lastAnswersTime is the time for answering the requests that are ended then. It is used up only if it is needed.
	lastAnswersTime = 300 * clock.Millisecond
	// concludeTime is the time for requests that are still in flight then to record their end.
	concludeTime = 50 * clock.Millisecond
	// closeMargin is how long before the kill the wait for the daemon's parts ends.
	closeMargin = 100 * clock.Millisecond
	// concludePollInterval is the interval at which the daemon looks whether they have.
	concludePollInterval = 2 * clock.Millisecond
	// entryLifetimeBeats is the number of heartbeats that the store must miss before it
	// loses the entry of an upstream that is running: it takes three to lose an entry, and
	// the first may have been due just as the outage began.
	entryLifetimeBeats = 2
	// callerIdleTimeout is longer than the time for which callers keep an idle
	// connection.
	callerIdleTimeout = 30 * clock.Second
)

// platformDaemon is the daemon on the users' platform.
type platformDaemon struct {
	log          *zap.Logger
	settings     platform.Settings
	intake       *intake.Budget // what callers may make the daemon hold
	unreadMs     clock.Millis
	metricsPort  int
	controlBytes int
	view         *capacity.View
	clk          clock.Clock
	directory    *inforce.Directory
	peers        *peers.Peers
	dispatcher   *dispatch.Dispatcher
	store        *platform.Store
	callers      *port
	ready        *port
	failed       chan error
	retries      *retries.ServiceBudgets
	prompts      *prompts.Evidence
	gate         *upstreamgate.Gate
	archive      *archive.Archive
	blames       *blameStore
	versions     *streamversions.Versions
	// registerAgain has the daemon's entry in the list of daemons written again.
	registerAgain chan struct{}
	stopping      chan struct{} // closed when the shutdown begins
	stop          *stopTimes
	cleanup       []func() // run in reverse
}

// PlatformOptions holds the options of a daemon on the users' platform.
type PlatformOptions struct {
	// SettingsPath is the path of the settings file, which is watched for changes.
	SettingsPath string
	// ReloadSignals receives the signals to reload the settings.
	ReloadSignals chan os.Signal
	// Settings holds the settings read at the start.
	Settings platform.Settings
	// MetricsPort is the port that serves metrics; 0: none.
	MetricsPort int
	// ControlBytesPerSecond bounds the control traffic sent to other daemons.
	ControlBytesPerSecond int
	// UnreadAnswerMs is the time after which an answer that its caller does not read is given up.
	UnreadAnswerMs clock.Millis
}

// RunOnPlatform runs the daemon on the users' platform until ctx is done or a port
// fails, then shuts it down gracefully. The end of hard ends the wait for requests in
// flight.
//
// The settings are reloaded after a signal and when their file changes.
func RunOnPlatform(ctx, hard context.Context, o PlatformOptions, log *zap.Logger) error {
	settings := o.Settings
	d := &platformDaemon{log: log, settings: settings, metricsPort: o.MetricsPort, controlBytes: o.ControlBytesPerSecond, unreadMs: o.UnreadAnswerMs, clk: clock.System(), failed: make(chan error, 2), registerAgain: make(chan struct{}, 1), stopping: make(chan struct{})}
	d.stop = &stopTimes{graceMs: settings.ShutdownGraceMs, exit: func(left clock.Millis) bool { return d.dispatcher.Drain(d.clk.Now() + left) }}
	d.intake = intake.NewBudget(capacityOf(settings))
	limitMemory(capacityOf(settings))
	defer d.close()
	if err := d.wire(); err != nil {
		return err
	}
	d.onClose(watchSettings(log, o.SettingsPath, o.ReloadSignals, settings, d.reload))
	log.Info("daemon is serving", zap.String("callers", settings.Callers), zap.String("dataCentre", settings.DataCentre),
		zap.String("daemons", settings.Daemons))
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		log.Error("port failed; shutting down", zap.Error(err))
	}
	d.drain(hard)
	log.Info("daemon has stopped")
	return err
}

// close ends all parts. It does not wait for them until the kill: what the daemon has to say has been said, and the log is
// still to be written.
func (d *platformDaemon) close() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for _, f := range slices.Backward(d.cleanup) {
			f()
		}
	}()
	select {
	case <-closed:
	case <-d.stop.closeEnd():
		d.log.Warn("daemon exits before all of its parts have ended")
	}
}

func (d *platformDaemon) onClose(f func()) { d.cleanup = append(d.cleanup, f) }

// datagramAddress is the address (IP:port) for datagrams from other daemons.
func (d *platformDaemon) datagramAddress() string {
	return net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.FirstPort))
}

// wire constructs and starts all parts, each after those that it depends on.
func (d *platformDaemon) wire() error {
	store, closeStore := platform.NewStore(d.settings.StoreAddress)
	d.onClose(closeStore)
	d.store = store
	d.gate = upstreamgate.New(upstreamlimits.New(d.settings.Name, d.clk.Now(), d.sendLimitNews), d.noticeChanged)
	client, closeClient := platform.NewServers(d.observeAnswer)
	d.onClose(closeClient)
	servers := upstreamgate.NewServers(client, d.gate, d.clk)
	d.checkLimits(d.settings)
	started := d.clk.Now()
	view := capacity.NewView(capacity.DefaultLimits())
	d.view = view
	queue := capacity.NewQueue(d.clk, view, func() int { return d.peers.CellSize() })
	sus := suspects.New()
	d.prompts = prompts.New()
	sharer := newPartsSharer(d.sendParts)
	d.prompts.OnUpdate = sharer.share
	boot := clock.Boot()
	d.directory = inforce.New(inforce.Options{
		Log: d.log, Clock: boot, Store: store,
		Decoder:  inforce.Decoder{Config: platform.DecodeConfig, Upstream: platform.DecodeUpstream},
		OnConfig: d.directoryChanged, OnUpstreams: d.directoryChanged, OnRestored: d.storeRestored, OnDaemon: d.addListed,
		ShouldFollowStore: func() bool { return d.peers.ShouldFollowStore() },
		Fetch: func(ctx context.Context, control string, request peers.SnapshotRequest) (peers.Snapshot, error) {
			return d.peers.FetchSnapshot(ctx, control, request)
		},
		Limits: directoryLimits(d.settings),
	})
	var err error
	var closePeers func()
	d.peers, closePeers, err = peers.New(peers.Options{
		Log: d.log, Clock: d.clk, Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		Address: d.datagramAddress(), Control: d.settings.Daemons, StartedMs: started, BytesPerSecond: d.controlBytes, LinkMbps: d.settings.LinkMbps, MaxCalls: intake.CallsAtOnce(capacityOf(d.settings)),
	}, peers.Handlers{
		Config: d.directory.ConfigRevision, List: d.directory.ListRevision, FollowsStore: d.directory.FollowsStore, View: view, Suspects: sus, Prompts: d.prompts, CapacityChanged: queue.RetrySoon,
		Gate: d.gate, Leaving: d.upstreamsLeaving, Load: d.engineLoad,
		Unreachable:  func(ids []string) { d.dispatcher.MarkDown(ids) }, // the dispatcher is constructed below
		ChangingRole: func(ids []string) { d.dispatcher.MarkRoleChanging(ids) },
		Revisions:    d.directory.HearPeer,
		Freshness:    d.directory.Freshness, Confirmed: d.directory.Confirm,
		Snapshot: d.directory.Snapshot, Beliefs: d.beliefs,
	})
	if err != nil {
		return err
	}
	d.onClose(closePeers)
	d.retries = retries.NewServiceBudgets(retryBound(d.settings), started, d.peers.Count)
	var closeVerdicts func()
	d.archive, closeVerdicts = archive.New(archive.Options{
		Log: d.log, Clock: d.clk, Objects: store, Daemon: d.settings.Name, Daemons: d.peers.Count, StartedMs: started,
	})
	d.onClose(closeVerdicts)
	d.blames = newBlameStore(d.log, d.clk, store, d.prompts, d.mayTryPart)
	var closeVersions func()
	d.versions, closeVersions = streamversions.New(streamversions.Options{
		Log: d.log, Clock: boot, Store: store, Lifetime: d.streamLifetime, WriteInterval: d.recordInterval, Cleans: d.isFirst, StoreFails: d.storeFails,
	})
	d.onClose(closeVersions)
	d.dispatcher = dispatch.New(dispatch.Options{
		Log: d.log, Clock: d.clk, Directory: d.directory, Upstreams: servers, View: view, Queue: queue, Peers: d.peers,
		Retries: d.retries, Suspects: sus, Prompts: d.prompts, Gate: d.gate, MayTryPart: d.mayTryPart, Verdicts: d.archive, StreamVersions: d.versions, Name: d.settings.Name,
		ReadCall: platform.ReadCall, DataCentre: d.settings.DataCentre, Regions: d.settings.Regions,
	})
	roleController := roles.NewController(roles.Options{
		Log: d.log, Clock: boot, Engines: servers, Name: d.settings.Name, DataCentre: d.settings.DataCentre,
		Lease:    roles.NewLease(store, d.settings.DataCentre, d.settings.Name, d.settings.RoleLeaseMs, d.storeEra),
		Services: d.engineServices, Responsible: d.isFirstInDataCentre,
		PrefillWorkMs: view.PrefillWorkMs,
		MemoryUse:     func() map[string]float64 { return view.MemoryUse(d.clk.Now()) },
		OnOrder:       d.dispatcher.AnnounceRoleChange,
		IsChanging:    d.dispatcher.IsChangingRole,
	})
	d.peers.Start()
	d.onClose(sharer.start())
	d.addSeeds(d.settings.Seeds)
	d.onClose(d.directory.Start())
	ctx, cancel := context.WithCancel(context.Background())
	d.onClose(cancel)
	go d.runRefresh(ctx)
	go d.runLimits(ctx)
	go d.dispatcher.RunProbes(ctx)
	go d.runRegistration(ctx)
	go d.blames.run(ctx)
	go roleController.Run(ctx)
	if d.ready, err = d.listen("ready", d.settings.Ready, http.HandlerFunc(d.serveReady), nil, intake.NewPortBudget(controlConns)); err != nil {
		return err
	}
	if d.metricsPort != 0 {
		metrics := http.NewServeMux()
		metrics.Handle("/metrics", expvar.Handler())
		metrics.HandleFunc("/debug/pprof/profile", pprof.Profile)
		if _, err = d.listen("metrics", net.JoinHostPort(d.settings.IP, strconv.Itoa(d.metricsPort)), metrics, nil, intake.NewPortBudget(controlConns)); err != nil {
			return err
		}
	}
	d.callers, err = d.listen("callers", d.settings.Callers, d.dispatcher, http.HandlerFunc(d.dispatcher.Refuse), d.intake)
	return err
}

// listen opens a port that is closed when the daemon stops. Its connections may take what the budget has; refuse answers
// what goes beyond it.
func (d *platformDaemon) listen(name, address string, handler, refuse http.Handler, budget *intake.Budget) (*port, error) {
	guard := intake.NewGuard(intake.Options{Log: d.log, Port: name, Budget: budget, Heads: d.headLimits, Refuse: refuse, UnreadAnswerMs: d.unreadMs})
	p, closePort, err := openPort(d.log, name, address, handler, guard, callerIdleTimeout, d.failed)
	if err == nil {
		d.onClose(closePort)
	}
	return p, err
}

// serveReady answers the balancer's readiness checks.
func (d *platformDaemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.isStopping() || !d.directory.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isStopping reports whether the daemon shuts down.
func (d *platformDaemon) isStopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}

// directoryChanged is called when the configuration or the list of upstreams has
// changed. It updates the dispatcher and notifies the other daemons.
func (d *platformDaemon) directoryChanged() {
	d.observeVersions()
	d.dispatcher.RefreshEngines()
	d.peers.Broadcast(peers.Update{DataCentres: []string{d.settings.DataCentre}})
}

// engineLoad returns the load of this data centre's engines, to be sent to other cells.
func (d *platformDaemon) engineLoad() peers.EngineLoad {
	memoryUse, runs := d.view.MeanLoad(d.settings.DataCentre, d.clk.Now())
	return peers.EngineLoad{MemoryUse: memoryUse, Runs: runs}
}

// storeEra returns what is known of the store's era, for the lease.
func (d *platformDaemon) storeEra() roles.Era {
	number, since, known := d.directory.Era()
	return roles.Era{Number: number, SinceMs: since, Known: known}
}

// runRefresh updates the state that depends on the time.
func (d *platformDaemon) runRefresh(ctx context.Context) {
	for clock.Sleep(ctx, refreshInterval) {
		d.directory.Settle()
		d.observeVersions()
		d.dispatcher.RefreshEngines()
	}
}

// checkLimits warns of times within which changes must be in force that can't be kept.
func (d *platformDaemon) checkLimits(settings platform.Settings) {
	if !directoryLimits(settings).Met() {
		d.log.Warn("the settings demand changes to be in force sooner than the ways of a change add up to",
			zap.Int64("leavingMs", int64(settings.LeavingGraceMs)), zap.Int64("configMs", int64(settings.ConfigApplyMs)))
	}
}

// reload applies those of the new settings that can change while the daemon runs: the
// seeds, the limits of changes, the retry budget, the memory and descriptors, and the grace period, also of a shutdown that has begun. Changed
// addresses need a restart.
func (d *platformDaemon) reload(settings platform.Settings) {
	d.stop.setGrace(settings.ShutdownGraceMs)
	d.intake.SetCapacity(capacityOf(settings))
	limitMemory(capacityOf(settings))
	d.addSeeds(settings.Seeds)
	d.checkLimits(settings)
	d.directory.SetLimits(directoryLimits(settings))
	d.retries.SetBound(retryBound(settings))
	if settings.Callers != d.settings.Callers || settings.Ready != d.settings.Ready || settings.Daemons != d.settings.Daemons || settings.StoreAddress != d.settings.StoreAddress {
		d.log.Warn("changed addresses take effect only after a restart")
	}
}

func directoryLimits(settings platform.Settings) inforce.Limits {
	return inforce.Limits{
		LeavingMs: settings.LeavingGraceMs, ConfigMs: settings.ConfigApplyMs, OutageMs: entryLifetimeBeats * settings.HeartbeatMs,
	}
}

func retryBound(settings platform.Settings) retries.Bound {
	return retries.Bound{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, WindowMs: settings.RetryWindowMs}
}

// engineServices returns the engines of each service that is served by engines, as far as their runs
// are known here.
func (d *platformDaemon) engineServices() map[string][]routing.Upstream {
	services := map[string][]routing.Upstream{}
	table := d.directory.Table()
	if table == nil {
		return services
	}
	for name, s := range table.Config.Services {
		if s.Engine != nil {
			services[name] = slices.DeleteFunc(slices.Clone(d.directory.Upstreams(name)), func(u routing.Upstream) bool {
				return !d.peers.InCell(u.DataCentre)
			})
		}
	}
	return services
}

// isFirstInDataCentre is isFirst among the daemons of this data centre.
func (d *platformDaemon) isFirstInDataCentre() bool {
	return d.isFirstOf(func(other peers.Daemon) bool { return other.DataCentre == d.settings.DataCentre })
}

// drain takes the daemon out of service and waits for the requests in flight until
// shortly before the kill or until hard is done.
func (d *platformDaemon) drain(hard context.Context) {
	d.log.Info("draining", zap.Int("open", d.dispatcher.OpenRequests()))
	close(d.stopping)
	d.callers.startStop()
	ctx, cancel := d.stop.begin(hard)
	defer cancel()
	d.gate.Limits.Leave()
	d.peers.Leave()
	d.archive.Drain()
	select {
	case <-time.After(d.stop.listenTime().Duration()):
	case <-ctx.Done():
	}
	if err := d.callers.drain(ctx); err != nil {
		d.log.Warn("drain ended with requests in flight", zap.Int("open", d.dispatcher.OpenRequests()), zap.Error(err))
		d.callers.endWrites()
		d.awaitConclusions()
	}
	d.dispatcher.LogOpenRequests()
}

// awaitConclusions waits until no request is in flight, for concludeTime at most.
func (d *platformDaemon) awaitConclusions() {
	ctx, cancel := context.WithTimeout(context.Background(), concludeTime.Duration())
	defer cancel()
	for d.dispatcher.OpenRequests() > 0 && clock.Sleep(ctx, concludePollInterval) {
	}
}
