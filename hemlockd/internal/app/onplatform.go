package app

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/archive"
	"hemlockmux.example/hemlockd/internal/capacity"
	inforce "hemlockmux.example/hemlockd/internal/directory"
	"hemlockmux.example/hemlockd/internal/dispatch"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/roles"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/platform"
)

const (
	// refreshInterval is the time between two looks at what changes with time
	// alone.
	refreshInterval = 250 * clock.Millisecond
	// enrolTimeout bounds the call that enters the daemon into the list.
	enrolTimeout = 2 * clock.Second
	enrolPause   = 2 * clock.Second
	// listenFor is how long after the signal to stop new connections are still
	// taken: the balancer needs that long to see that the daemon is not ready.
	listenFor = 2800 * clock.Millisecond
	// shutdownReserve is the time before the kill at which the daemon ends.
	shutdownReserve = 700 * clock.Millisecond
	// callerIdleTimeout is longer than callers keep an idle connection.
	callerIdleTimeout = 30 * clock.Second
)

// platformDaemon is the daemon on the users' platform.
type platformDaemon struct {
	log          *zap.Logger
	own          platform.Settings
	metricsPort  int
	controlBytes int
	view         *capacity.View
	clk          clock.Clock
	directory    *inforce.Directory
	peers        *peers.Peers
	dispatcher   *dispatch.Dispatcher
	store        *platform.Store
	callers      *http.Server
	ready        *http.Server
	failed       chan error
	retries      *retries.ServiceBudgets
	stopping     chan struct{} // closed when the shutdown begins
	cleanup      []func()      // run in reverse
}

// PlatformOptions is what a daemon on the users' platform is told.
type PlatformOptions struct {
	SettingsPath string
	// ReloadSignals brings the signals that the settings have changed.
	ReloadSignals chan os.Signal
	Settings      platform.Settings
	// MetricsPort is the port for metrics; 0: none.
	MetricsPort int
	// ControlBytesPerSecond bounds what is sent to other daemons, in bytes a second.
	ControlBytesPerSecond int
}

// RunOnPlatform runs the daemon on the users' platform until ctx ends, then
// shuts it down gracefully; a second context, hard, ends the wait for requests
// in flight.
//
// The settings are read again when their file changes.
func RunOnPlatform(ctx, hard context.Context, o PlatformOptions, log *zap.Logger) error {
	own := o.Settings
	d := &platformDaemon{log: log, own: own, metricsPort: o.MetricsPort, controlBytes: o.ControlBytesPerSecond, clk: clock.System(), failed: make(chan error, 2), stopping: make(chan struct{})}
	defer d.close()
	if err := d.wire(); err != nil {
		return err
	}
	d.onClose(watchSettings(log, o.SettingsPath, o.ReloadSignals, d.reload))
	log.Info("daemon is serving", zap.String("callers", own.Callers), zap.String("dataCentre", own.DataCentre),
		zap.String("daemons", own.Daemons))
	var err error
	select {
	case <-ctx.Done():
	case err = <-d.failed:
		log.Error("a port failed", zap.Error(err))
	}
	d.drain(hard)
	log.Info("daemon has stopped")
	return err
}

func (d *platformDaemon) close() {
	for _, f := range slices.Backward(d.cleanup) {
		f()
	}
}

func (d *platformDaemon) onClose(f func()) { d.cleanup = append(d.cleanup, f) }

func (d *platformDaemon) datagramAddress() string {
	return net.JoinHostPort(d.own.IP, strconv.Itoa(d.own.FirstPort))
}

// wire makes all parts, each with what it depends on.
func (d *platformDaemon) wire() error {
	store, closeStore := platform.NewStore(d.own.StoreAddress)
	d.onClose(closeStore)
	d.store = store
	servers, closeServers := platform.NewServers()
	d.onClose(closeServers)
	started := d.clk.Now()
	view := capacity.NewView(capacity.DefaultLimits())
	d.view = view
	queue := capacity.NewQueue(d.clk, view, func() int { return d.peers.Count() })
	sus := suspects.New()
	d.directory = inforce.New(inforce.Options{
		Log: d.log, Clock: d.clk, Store: store,
		Decoder:  inforce.Decoder{Config: platform.DecodeConfig, Upstream: platform.DecodeUpstream},
		OnConfig: d.changed, OnUpstreams: d.changed, OnDaemon: d.meetListed,
		ShouldFollowStore: func() bool { return d.peers.ShouldFollowStore() },
	})
	var err error
	var closePeers func()
	d.peers, closePeers, err = peers.New(peers.Options{
		Log: d.log, Clock: d.clk, Name: d.own.Name, DataCentre: d.own.DataCentre,
		Address: d.datagramAddress(), Control: d.own.Daemons, StartedMs: started, BytesPerSecond: d.controlBytes,
	}, peers.Handlers{
		Version: d.directory.Version, ListVersion: d.directory.ListVersion, FollowsStore: d.directory.FollowsStore, View: view, Suspects: sus, CapacityChanged: queue.RetrySoon,
		Unreachable:  func(ids []string) { d.dispatcher.MarkDown(ids) }, // the dispatcher is made below
		ChangingRole: func(ids []string) { d.dispatcher.MarkRoleChanging(ids) },
		NewerVersion: d.directory.FetchFromPeer,
		Snapshot:     d.directory.Snapshot, Beliefs: d.beliefs,
	})
	if err != nil {
		return err
	}
	d.onClose(closePeers)
	d.retries = retries.NewServiceBudgets(retryBound(d.own), started, d.peers.Count)
	verdicts, closeVerdicts := archive.New(archive.Options{
		Log: d.log, Clock: d.clk, Objects: store, Daemon: d.own.Name, StartedMs: started,
	})
	d.onClose(closeVerdicts)
	d.dispatcher = dispatch.New(dispatch.Options{
		Log: d.log, Clock: d.clk, Directory: d.directory, Upstreams: servers, View: view, Queue: queue, Peers: d.peers,
		Retries: d.retries, Suspects: sus, Verdicts: verdicts, Name: d.own.Name,
		ReadCall: platform.ReadCall, DataCentre: d.own.DataCentre, Regions: d.own.Regions,
	})
	boot := clock.Boot()
	keeper := roles.NewController(roles.Options{
		Log: d.log, Clock: boot, Engines: servers, Name: d.own.Name, DataCentre: d.own.DataCentre,
		Lease:    roles.NewLease(store, d.own.DataCentre, d.own.Name, d.own.RoleLeaseMs),
		Services: d.engineServices, Responsible: d.firstOfDataCentre,
		PrefillWorkMs: view.PrefillWorkMs,
		MemoryUse:     func() map[string]float64 { return view.MemoryUse(d.clk.Now()) },
		OnOrder:       d.dispatcher.AnnounceRoleChange,
		IsChanging:    d.dispatcher.IsChangingRole,
	})
	d.peers.Start()
	d.meetSeeds(d.own.Seeds)
	d.onClose(d.directory.Start())
	ctx, cancel := context.WithCancel(context.Background())
	d.onClose(cancel)
	go d.runRefresh(ctx)
	go d.dispatcher.RunProbes(ctx)
	go d.runEnrol(ctx)
	go keeper.Run(ctx)
	if d.ready, err = d.listen("ready", d.own.Ready, http.HandlerFunc(d.serveReady)); err != nil {
		return err
	}
	if d.metricsPort != 0 {
		metrics := http.NewServeMux()
		metrics.Handle("/metrics", expvar.Handler())
		if _, err = d.listen("metrics", net.JoinHostPort(d.own.IP, strconv.Itoa(d.metricsPort)), metrics); err != nil {
			return err
		}
	}
	d.callers, err = d.listen("callers", d.own.Callers, d.dispatcher)
	return err
}

// listen opens a port, which is closed with the daemon.
func (d *platformDaemon) listen(name, address string, handler http.Handler) (*http.Server, error) {
	server, closePort, err := openPort(d.log, name, address, handler, callerIdleTimeout, d.failed)
	if err == nil {
		d.onClose(closePort)
	}
	return server, err
}

// serveReady answers the balancer.
func (d *platformDaemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-d.stopping:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if !d.directory.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// changed takes in that the configuration or the list of upstreams has changed,
// and tells the other daemons that there is news.
func (d *platformDaemon) changed() {
	d.dispatcher.RefreshEngines()
	d.peers.Broadcast(peers.Update{})
}

func (d *platformDaemon) runRefresh(ctx context.Context) {
	for clock.Pause(ctx, refreshInterval) {
		d.directory.ExpireUpstreams()
		d.dispatcher.RefreshEngines()
	}
}

// reload takes over what of new settings can change while the daemon runs: the
// seeds and the bound on retries. Addresses change only with a new process.
func (d *platformDaemon) reload(own platform.Settings) {
	d.meetSeeds(own.Seeds)
	d.retries.SetBound(retryBound(own))
	if own.Callers != d.own.Callers || own.Ready != d.own.Ready || own.Daemons != d.own.Daemons || own.StoreAddress != d.own.StoreAddress {
		d.log.Warn("addresses have changed; they are in force after the next start")
	}
}

func retryBound(own platform.Settings) retries.Bound {
	return retries.Bound{Ratio: own.RetryRatio, Slack: own.RetrySlack, WindowMs: own.RetryWindowMs}
}

// engineServices returns the engines of each service that has some.
func (d *platformDaemon) engineServices() map[string][]routing.Upstream {
	services := map[string][]routing.Upstream{}
	table := d.directory.Table()
	if table == nil {
		return services
	}
	for name, s := range table.Config.Services {
		if s.Engine != nil {
			services[name] = d.directory.Upstreams(name)
		}
	}
	return services
}

// firstOfDataCentre tells whether this daemon's name is the first of those alive
// in its data centre.
func (d *platformDaemon) firstOfDataCentre() bool {
	for _, other := range d.peers.Alive() {
		if other.DataCentre == d.own.DataCentre && !other.Leaving && other.Name < d.own.Name {
			return false
		}
	}
	return true
}

// beliefs is what this daemon believes, for operators.
func (d *platformDaemon) beliefs() operatorapi.Beliefs {
	now := d.clk.Now()
	s := operatorapi.Beliefs{
		Daemon: d.own.Name, DataCentre: d.own.DataCentre, Version: d.directory.Version(), Ready: d.directory.Ready(),
		OpenRequests: d.dispatcher.OpenRequests(), StoreTroubleAgoMs: d.directory.SinceStoreFailure(),
	}
	for _, e := range d.view.Engines(now) {
		s.Engines = append(s.Engines, operatorapi.EngineBelief{
			Engine: e.ID, Runs: e.Runs, ForecastTokens: e.Peak, MemoryTokens: e.MemoryTokens, MsPerToken: e.MsPerToken,
		})
	}
	for _, u := range d.directory.All() {
		s.Upstreams = append(s.Upstreams, operatorapi.UpstreamBelief{
			Upstream: u.ID, Service: u.Service, Address: u.Address, Role: string(u.Role), Leaving: u.Leaving, Down: d.dispatcher.IsDown(u.ID),
		})
	}
	for _, p := range d.peers.All() {
		s.Daemons = append(s.Daemons, operatorapi.PeerBelief{
			Daemon: p.Name, DataCentre: p.DataCentre, Address: p.Address, Version: p.Version, HeardAgoMs: now - p.LastHeardMs, Leaving: p.Leaving,
		})
	}
	return s
}

// meetSeeds meets the daemons that the settings name.
func (d *platformDaemon) meetSeeds(seeds []string) {
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			d.log.Warn("seed can't be read", zap.String("seed", seed), zap.Error(err))
			continue
		}
		d.peers.AddAddress(net.JoinHostPort(host, strconv.Itoa(d.own.FirstPort)))
	}
}

// enrolment is this daemon's entry in the list of daemons.
type enrolment struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// meetListed meets a daemon of the list.
func (d *platformDaemon) meetListed(name string, raw []byte) {
	var e enrolment
	if err := json.Unmarshal(raw, &e); err != nil || e.Address == "" {
		d.log.Warn("entry of a daemon can't be read", zap.String("peer", name), zap.Error(err))
		return
	}
	d.peers.AddAddress(e.Address)
}

// runEnrol enters this daemon into the list, trying until the store answers.
func (d *platformDaemon) runEnrol(ctx context.Context) {
	raw, err := json.Marshal(enrolment{Address: d.datagramAddress(), DataCentre: d.own.DataCentre})
	if err != nil {
		d.log.Error("entry of this daemon can't be encoded", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, enrolTimeout.Duration())
		err := d.store.Put(attemptCtx, directory.Daemons, d.own.Name, raw)
		cancel()
		if err == nil {
			return
		}
		clock.Pause(ctx, enrolPause)
	}
}

// drain takes the daemon out of service without cutting off a request.
func (d *platformDaemon) drain(hard context.Context) {
	d.log.Info("draining", zap.Int("open", d.dispatcher.OpenRequests()))
	close(d.stopping)
	span := max(listenFor, d.own.ShutdownGraceMs-shutdownReserve)
	d.dispatcher.Drain(d.clk.Now() + span)
	d.peers.Leave()
	ctx, cancel := context.WithTimeout(hard, span.Duration())
	defer cancel()
	select {
	case <-time.After(listenFor.Duration()):
	case <-ctx.Done():
	}
	if err := d.callers.Shutdown(ctx); err != nil {
		d.log.Warn("drain ended with requests in flight", zap.Int("open", d.dispatcher.OpenRequests()), zap.Error(err))
	}
}
