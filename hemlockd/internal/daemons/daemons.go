// Package daemons implements the communication with the other daemons: the port on
// which they reach this one, the calls to them, and the probe loop that tracks which
// daemons are alive and spreads the settings' version.
//
// Control messages are JSON-RPC 2.0 over a connection that starts as an HTTP
// request with the daemons' shared key. Requests that another daemon is to run are
// handed off as plain HTTP on the same port.
//
// # Usage
//
//	d := daemons.New(env, configuration)
//	closeDaemons, err := d.Start(handlers)
//	live := d.Live(dataCentre)
package daemons

import (
	"context"
	"crypto/hmac"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

var metrics = expvar.NewMap("daemons")

// fanout is the number of random peers that one round of gossip probes.
const fanout = 3

// fanoutRounds is the number of such rounds after a new settings version.
const fanoutRounds = 2

// Handlers holds the handlers of everything that the port serves apart from membership
// and settings.
type Handlers struct {
	// HandOff serves requests that another daemon hands off.
	HandOff http.Handler
	// AcceptCopies stores copies of another daemon's verdicts.
	AcceptCopies func(CopyRequest) CopyAnswer
	// FindVerdict looks up a verdict in memory.
	FindVerdict func(FindRequest) FindAnswer
	// StoredUpTo returns the time before which all of this daemon's verdicts that ended
	// are in the object store.
	StoredUpTo func() clock.Millis
	// LendCapacity lends another daemon the capacity that a team does not use here.
	LendCapacity func(LendRequest) LendAnswer
	// ShareLimit gives another daemon a share of an upstream's limit.
	ShareLimit func(LimitRequest) LimitAnswer
	// RecentLimits returns what is known of limits, to be sent to daemons of this data centre.
	RecentLimits func() []upstreamlimits.News
	// MergeLimits merges what a daemon of this data centre knows of limits.
	MergeLimits func([]upstreamlimits.News)
	// RecentSuspects returns the crash suspects to send to other daemons.
	RecentSuspects func() []SuspectUpdate
	// MergeSuspects merges crash suspects received from another daemon.
	MergeSuspects func([]SuspectUpdate)
	// RecentParts returns the evidence on parts of prompts to send to other daemons.
	RecentParts func() []prompts.Report
	// MergeParts merges evidence on parts of prompts received from another daemon.
	MergeParts func([]prompts.Report)
	// DaemonDied is called once for each run of a daemon that has ended.
	DaemonDied func(membership.Member)
}

// Daemons keeps the view of the other daemons and makes calls to them. It is safe for
// concurrent use.
type Daemons struct {
	env           process.Environment
	configuration *configuration.Configuration
	handlers      Handlers
	pool          *pool
	server        *http.Server

	mu      sync.Mutex
	members *membership.Membership

	views          atomic.Pointer[[]membership.View]
	catchUps       chan struct{} // one element for each fetch of settings from a peer
	versionChanged chan struct{} // signals that a new settings version is in force here
	ctx            context.Context
	cancel         context.CancelFunc
	done           sync.WaitGroup
}

// New returns a view that knows only this daemon and the configured peers. Start
// starts the communication.
func New(env process.Environment, cfg *configuration.Configuration) *Daemons {
	self := membership.Member{
		Name: env.Config.Name, DataCentre: env.Config.DataCentre, Address: env.Config.AdvertisedAddress(),
		Started: env.Incarnation,
	}
	seed := uint64(env.Incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemons{
		env: env, configuration: cfg,
		pool:           newPool(env.Config, env.Log),
		members:        membership.New(self, rand.New(rand.NewPCG(seed, seed>>32))),
		versionChanged: make(chan struct{}, 1), catchUps: make(chan struct{}, maxCatchUps),
		ctx: ctx, cancel: cancel,
	}
	for _, peer := range env.Config.Peers {
		d.members.AddSeed(peer)
	}
	d.publishViews()
	return d
}

const (
	// headerTimeout bounds the time from the acceptance of a connection to the end of a request's head.
	headerTimeout = 10 * clock.Second
	// idleTimeout is how long a connection that is no JSON-RPC connection may be idle.
	idleTimeout = 2 * clock.Minute
)

// Start opens the port, whose connections are under guard, starts the probe loop and returns the function that
// stops both.
func (d *Daemons) Start(handlers Handlers, guard *intake.Guard) (func(), error) {
	d.handlers = handlers
	config := net.ListenConfig{Control: intake.ControlSocket}
	listener, err := config.Listen(d.ctx, "tcp", d.env.Config.Daemons)
	if err != nil {
		d.cancel()
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	d.server = &http.Server{
		Handler: guard.Handler(d.router()), ErrorLog: zap.NewStdLog(d.env.Log), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		ConnState: guard.ConnState, ConnContext: guard.ConnContext,
	}
	d.done.Add(2)
	go d.runServer(guard.Listener(listener))
	go d.runProbes()
	return d.close, nil
}

func (d *Daemons) close() {
	d.cancel()
	_ = d.server.Close()
	d.pool.close()
	d.done.Wait()
}

func (d *Daemons) router() http.Handler {
	r := chi.NewRouter()
	r.Use(d.authenticate)
	r.Get("/rpc", d.serveRPC)
	r.Mount("/handoff", d.handlers.HandOff)
	return r
}

// authenticate rejects requests without the daemons' shared key.
func (d *Daemons) authenticate(next http.Handler) http.Handler {
	want := "Bearer " + d.env.Config.DaemonKey
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hmac.Equal([]byte(r.Header.Get("Authorization")), []byte(want)) {
			metrics.Add("refusedConnections", 1)
			http.Error(w, "the daemons' shared key is wrong or missing", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemons) runServer(listener net.Listener) {
	defer d.done.Done()
	if err := d.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.env.Log.Error("port for daemons failed", zap.Error(err))
	}
}

// AnnounceVersion records the settings version in force here and makes the probe loop
// gossip it.
func (d *Daemons) AnnounceVersion(version int64) {
	d.mu.Lock()
	d.members.SetVersion(version)
	d.mu.Unlock()
	d.publishViews()
	select {
	case d.versionChanged <- struct{}{}:
	default:
	}
}

// AddSeed adds an address at which a daemon may be reachable.
func (d *Daemons) AddSeed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members.AddSeed(address)
}

// Leave announces to a few peers that this daemon is shutting down.
func (d *Daemons) Leave() {
	d.mu.Lock()
	d.members.Leave()
	d.mu.Unlock()
	d.publishViews()
	d.gossip(fanout)
}

// Views returns the current view of all daemons, this one included.
func (d *Daemons) Views() []membership.View { return *d.views.Load() }

// Live returns the names of the live and suspected daemons of a data centre, this one
// included if it is there.
func (d *Daemons) Live(dataCentre string) []string {
	var names []string
	for _, v := range d.Views() {
		if v.DataCentre == dataCentre && (v.State == membership.Live || v.State == membership.Suspect) {
			names = append(names, v.Name)
		}
	}
	return names
}

// Keepers returns the names of the daemons that may run requests in a data centre: the live ones or, in this daemon's own
// while all shut down, itself.
func (d *Daemons) Keepers(dataCentre string) []string {
	live := d.Live(dataCentre)
	if len(live) == 0 && dataCentre == d.env.Config.DataCentre {
		return []string{d.env.Config.Name}
	}
	return live
}

// Owns reports whether this daemon is the one responsible for a key, of the live and suspected
// daemons of all data centres.
func (d *Daemons) Owns(key string) bool {
	var names []string
	for _, v := range d.Views() {
		if v.State == membership.Live || v.State == membership.Suspect {
			names = append(names, v.Name)
		}
	}
	return membership.Owner(key, names) == d.env.Config.Name
}

// unknownRunTime is how long after its start a daemon takes runs of daemons that it does not know for alive.
const unknownRunTime = 30 * clock.Second

// Alive reports whether the run of a daemon with this ID may be alive. It is not if this daemon considers it dead, or
// knows a later run of that daemon. A daemon that has just started does not know the others yet, so an unknown run counts
// as alive for unknownRunTime.
func (d *Daemons) Alive(runID string) bool {
	name, started, ok := parseRunID(runID)
	if !ok {
		return false
	}
	for _, v := range d.Views() {
		if v.Name == name {
			return v.Started < started || v.Started == started && v.State != membership.Dead
		}
	}
	return d.env.Clock.Now() < d.env.Incarnation+unknownRunTime
}

// Address returns the address of a daemon, if it is known.
func (d *Daemons) Address(name string) (string, bool) {
	for _, v := range d.Views() {
		if v.Name == name {
			return v.Address, true
		}
	}
	return "", false
}

// CopyVerdicts sends copies of verdicts to another daemon.
func (d *Daemons) CopyVerdicts(ctx context.Context, name string, req CopyRequest) error {
	var answer CopyAnswer
	return d.call(ctx, name, methodCopy, req, &answer)
}

// FindVerdict asks another daemon for a verdict. It returns the verdict, whether it
// was found, and whether it is a copy.
func (d *Daemons) FindVerdict(ctx context.Context, name, requestID string) (verdict.Verdict, bool, bool, error) {
	var answer FindAnswer
	err := d.call(ctx, name, methodFind, FindRequest{RequestID: requestID}, &answer)
	return answer.Verdict, answer.Found, answer.Copy, err
}

// Lend asks another daemon to lend unused capacity of a team's limits.
func (d *Daemons) Lend(ctx context.Context, name, team string) (LendAnswer, error) {
	var loan LendAnswer
	err := d.call(ctx, name, methodLend, LendRequest{Team: team}, &loan)
	return loan, err
}

// ShareLimit asks another daemon for a share of an upstream's limit.
func (d *Daemons) ShareLimit(ctx context.Context, name string, req LimitRequest) (LimitAnswer, error) {
	var grant LimitAnswer
	err := d.call(ctx, name, methodLimit, req, &grant)
	return grant, err
}

// silentMemory is how long a dead daemon may be one that is only cut off.
const silentMemory = clock.Minute

// Known returns the number of daemons of a data centre, this one included if it is there, that are
// alive or were heard lately.
func (d *Daemons) Known(dataCentre string) int {
	n := 0
	for _, v := range d.Views() {
		if v.DataCentre == dataCentre && (v.State != membership.Dead || v.HeardMsAgo < silentMemory) {
			n++
		}
	}
	return n
}

// UnknownDaemonError reports a call to a daemon that is not a known member.
type UnknownDaemonError struct {
	// Name is the name of the daemon that was called.
	Name string
}

// Error implements error.
func (e *UnknownDaemonError) Error() string {
	return fmt.Sprintf("daemon %q is not a known member", e.Name)
}

func (d *Daemons) call(ctx context.Context, name, method string, in, out any) error {
	address, ok := d.Address(name)
	if !ok {
		return &UnknownDaemonError{Name: name}
	}
	return d.pool.call(ctx, address, method, in, out)
}

// IsPoller reports whether this daemon is one of the two of its data centre that poll
// the platform's settings.
func (d *Daemons) IsPoller() bool {
	live := d.Live(d.env.Config.DataCentre)
	first := membership.Owner("poll", live)
	rest := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == first })
	return d.env.Config.Name == first || d.env.Config.Name == membership.Owner("poll", rest)
}
