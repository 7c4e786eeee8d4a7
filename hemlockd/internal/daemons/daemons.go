// Package daemons is this daemon's side of the other daemons: the port on which
// they reach it, the calls to them, and the loop that keeps the view of who is
// alive and of the settings' version.
//
// Control messages are JSON-RPC 2.0 over a connection that starts as an HTTP
// request with the daemons' shared key; requests for engines and services of
// another daemon are handed over whole as plain HTTP on the same port.
//
// # Usage
//
//	d := daemons.New(common, configuration)
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
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/shared"
)

var metrics = expvar.NewMap("daemons")

// fanout is the number of peers that are told of a new version at once.
const fanout = 3

// fanoutRounds is how often a daemon repeats that.
const fanoutRounds = 2

// Handlers are what the port serves beside membership and settings.
type Handlers struct {
	// HandOff serves requests that another daemon hands over whole.
	HandOff http.Handler
	// AcceptCopies keeps copies for another daemon.
	AcceptCopies func(CopyRequest) CopyAnswer
	// FindVerdict looks a verdict up in memory.
	FindVerdict func(FindRequest) FindAnswer
	// StoredUpTo is the time before which all own verdicts are stored.
	StoredUpTo func() clock.Millis
	// LendCapacity lends another daemon what a team does not use here.
	LendCapacity func(LendRequest) LendAnswer
	// RecentSuspects is this daemon's share of the news.
	RecentSuspects func() []SuspectUpdate
	// MergeSuspects takes in others' news.
	MergeSuspects func([]SuspectUpdate)
	// DaemonDied is called once for each daemon that is found dead.
	DaemonDied func(membership.Member)
}

// Daemons is the view of, and the way to, the other daemons.
type Daemons struct {
	common        shared.Common
	configuration *configuration.Configuration
	handlers      Handlers
	pool          *pool
	server        *http.Server

	mu      sync.Mutex
	members *membership.Membership

	views  atomic.Pointer[[]membership.View]
	news   chan struct{} // a new version is in force here
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a view that knows only this daemon; Start makes it work.
func New(common shared.Common, cfg *configuration.Configuration) *Daemons {
	self := membership.Member{
		Name: common.Config.Name, DataCentre: common.Config.DataCentre, Address: common.Config.AdvertisedAddress(),
		Started: common.Incarnation,
	}
	seed := uint64(common.Incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemons{
		common: common, configuration: cfg,
		pool:    newPool(common.Config),
		members: membership.New(self, rand.New(rand.NewPCG(seed, seed>>32))),
		news:    make(chan struct{}, 1),
		ctx:     ctx, cancel: cancel,
	}
	for _, peer := range common.Config.Peers {
		d.members.AddSeed(peer)
	}
	d.publishViews()
	return d
}

// Start listens, starts the loops and returns the function that ends them.
func (d *Daemons) Start(handlers Handlers) (func(), error) {
	d.handlers = handlers
	listener, err := net.Listen("tcp", d.common.Config.Daemons)
	if err != nil {
		d.cancel()
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	d.server = &http.Server{Handler: d.router(), ErrorLog: zap.NewStdLog(d.common.Log)}
	d.done.Add(2)
	go d.runServer(listener)
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

// authenticate lets only holders of the daemons' shared key in.
func (d *Daemons) authenticate(next http.Handler) http.Handler {
	want := "Bearer " + d.common.Config.DaemonKey
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
		d.common.Log.Error("daemons' port ended", zap.Error(err))
	}
}

// AnnounceVersion tells the loop that newer settings are in force here.
func (d *Daemons) AnnounceVersion(version int64) {
	d.mu.Lock()
	d.members.SetVersion(version)
	d.mu.Unlock()
	d.publishViews()
	select {
	case d.news <- struct{}{}:
	default:
	}
}

// AddSeed makes an address known under which a daemon may be met.
func (d *Daemons) AddSeed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members.AddSeed(address)
}

// Leave tells the others that this daemon is shutting down.
func (d *Daemons) Leave() {
	d.mu.Lock()
	d.members.Leave()
	d.mu.Unlock()
	d.publishViews()
	d.tell(fanout)
}

// Views returns what is known of all daemons.
func (d *Daemons) Views() []membership.View { return *d.views.Load() }

// Live returns the names of the live daemons of a data centre, this one
// included where it stands there.
func (d *Daemons) Live(dataCentre string) []string {
	var names []string
	for _, v := range d.Views() {
		if v.DataCentre == dataCentre && (v.State == membership.Live || v.State == membership.Suspect) {
			names = append(names, v.Name)
		}
	}
	return names
}

// Alive tells whether a run of a daemon is thought to go on.
func (d *Daemons) Alive(self string) bool {
	for _, v := range d.Views() {
		if v.State != membership.Dead && RunID(v.Member) == self {
			return true
		}
	}
	return false
}

// Address returns where a daemon is reached.
func (d *Daemons) Address(name string) (string, bool) {
	for _, v := range d.Views() {
		if v.Name == name {
			return v.Address, true
		}
	}
	return "", false
}

// CopyVerdicts gives another daemon copies to keep.
func (d *Daemons) CopyVerdicts(ctx context.Context, name string, req CopyRequest) error {
	var answer CopyAnswer
	return d.call(ctx, name, methodCopy, req, &answer)
}

// FindVerdict asks another daemon for a verdict.
func (d *Daemons) FindVerdict(ctx context.Context, name, requestID string) (verdict.Verdict, bool, bool, error) {
	var answer FindAnswer
	err := d.call(ctx, name, methodFind, FindRequest{RequestID: requestID}, &answer)
	return answer.Verdict, answer.Found, answer.Copy, err
}

// Lend asks another daemon for a part of a team's limit.
func (d *Daemons) Lend(ctx context.Context, name, team string) (LendAnswer, error) {
	var loan LendAnswer
	err := d.call(ctx, name, methodLend, LendRequest{Team: team}, &loan)
	return loan, err
}

// UnknownDaemonError reports a daemon that was never heard of.
type UnknownDaemonError struct {
	Name string
}

// Error implements error.
func (e *UnknownDaemonError) Error() string { return fmt.Sprintf("no daemon %q is known", e.Name) }

func (d *Daemons) call(ctx context.Context, name, method string, in, out any) error {
	address, ok := d.Address(name)
	if !ok {
		return &UnknownDaemonError{Name: name}
	}
	return d.pool.call(ctx, address, method, in, out)
}

// IsPoller tells whether this daemon is one of the two of its data centre that
// look at the platform's settings.
func (d *Daemons) IsPoller() bool {
	live := d.Live(d.common.Config.DataCentre)
	first := membership.Owner("poll", live)
	rest := slices.DeleteFunc(slices.Clone(live), func(n string) bool { return n == first })
	return d.common.Config.Name == first || d.common.Config.Name == membership.Owner("poll", rest)
}
