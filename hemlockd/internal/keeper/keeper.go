// Package keeper runs requests on the engine groups that this daemon keeps: it
// admits them, has them prefilled and decoded, retries what may be retried, and
// sees to it that no engine holds memory for a request that nobody claims.
//
// # Usage
//
//	k, closeKeeper := keeper.New(common, configuration, client, peers, suspects)
//	run := k.Begin(call)
//	defer run.Cancel()
//	for chunk, err := range run.Chunks(ctx, 0) { ... }
//	result := run.Result()
package keeper

import (
	"context"
	"expvar"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/engines"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/shared"
	"hemlockmux.example/hemlockd/internal/suspects"
)

var metrics = expvar.NewMap("keeper")

// pumpInterval is the time between two looks at the waiting requests.
const pumpInterval = 10 * clock.Millisecond

// Peers is what the keeper needs to know of the other daemons.
type Peers interface {
	Live(dataCentre string) []string
	Alive(run string) bool
}

// LeavingChecker tells whether the platform's VM list shows an upstream as leaving.
type LeavingChecker interface {
	Leaving(upstream string) bool
}

// Call is one request for a model.
type Call struct {
	RequestID    string       `json:"requestId"`
	Team         string       `json:"team"`
	Model        string       `json:"model"`
	Path         string       `json:"path"`
	Priority     int          `json:"priority"`
	PromptTokens int          `json:"promptTokens"`
	OutputTokens int          `json:"outputTokens"`
	Digest       string       `json:"digest"`
	ArrivedMs    clock.Millis `json:"arrivedMs"`
	// Front is the run of the daemon that took the request from its caller.
	Front string `json:"front"`
	// FrontDataCentre and SettingsVersion are that daemon's.
	FrontDataCentre string `json:"frontCentre"`
	SettingsVersion int64  `json:"settingsVersion"`
	// Buffered says that the caller wants the answer at once at its end: nothing of it
	// is passed on before, so that it can be made again after a failure.
	Buffered bool `json:"whole,omitempty"`
	// What follows is filled in again by the daemon that a call is handed to.
	AllowedEngines map[string]bool `json:"-"`
	PrefixHashes   []uint64        `json:"-"`
	Body           []byte          `json:"-"`
}

// Result is the end of a call.
type Result struct {
	// Problem is nil where the whole answer was made.
	Problem  *problem.Problem  `json:"problem,omitempty"`
	Ran      problem.Ran       `json:"ran"`
	Attempts []verdict.Attempt `json:"attempts"`
}

// Keeper keeps engine groups.
type Keeper struct {
	common        shared.Common
	configuration *configuration.Configuration
	client        *engines.Client
	peers         Peers
	leaving       LeavingChecker
	suspects      *suspects.Suspects
	budget        *retries.Budget

	mu       sync.Mutex
	groups   map[string]*group
	runs     map[string]*Run // by request id
	watchers map[string]*watcher
	// leavingSince is when the first of the three signals said that an engine
	// leaves.
	leavingSince map[string]clock.Millis

	queued  chan struct{} // a request may wait
	claims  claims
	nextRID atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// group is an admission group under its own lock.
type group struct {
	mu        sync.Mutex
	admission *admission.Group
	waiting   map[string]chan admission.Decision
}

// New starts a keeper and returns the function that ends it.
func New(common shared.Common, cfg *configuration.Configuration, client *engines.Client, peers Peers, leaving LeavingChecker, sus *suspects.Suspects) (*Keeper, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{
		common: common, configuration: cfg, client: client, peers: peers, leaving: leaving, suspects: sus,
		budget: retries.NewBudget(settings.DefaultSystem().Policy.RetryRatio),
		groups: map[string]*group{}, runs: map[string]*Run{}, watchers: map[string]*watcher{},
		leavingSince: map[string]clock.Millis{},
		claims:       newClaims(), ctx: ctx, cancel: cancel,
	}
	k.done.Add(2)
	go k.runPump()
	go k.runWatchers()
	return k, func() {
		cancel()
		k.done.Wait()
	}
}

// GroupName names the engine group that a request for a model belongs to: the
// prompt's first piece decides, so that equal beginnings meet.
func GroupName(tree *settings.Tree, dataCentre, model string, hashes []uint64) string {
	groups := max(1, tree.System.Models[model].Groups)
	index := 0
	if len(hashes) > 0 {
		index = int(hashes[0] % uint64(groups))
	}
	return groupName(dataCentre, model, index)
}

func groupName(dataCentre, model string, index int) string {
	return fmt.Sprintf("%s/%s/%d", dataCentre, model, index)
}

// groupOf returns the group that an engine belongs to.
func groupOf(tree *settings.Tree, name string, u settings.Upstream) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	groups := max(1, tree.System.Models[u.Model].Groups)
	return groupName(u.DataCentre, u.Model, int(h.Sum32()%uint32(groups)))
}

// KeeperOf names the daemon that keeps a group of this data centre.
func (k *Keeper) KeeperOf(groupName string) string {
	return membership.Owner(groupName, k.peers.Live(k.common.Config.DataCentre))
}

// group returns the named group, made on first use.
func (k *Keeper) group(name, model string, tree *settings.Tree) *group {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.groups[name]
	if !ok {
		rng := rand.New(rand.NewPCG(uint64(k.common.Incarnation), uint64(len(k.groups))))
		g = &group{
			admission: admission.NewGroup(admission.DefaultOptions(), tree.System.Models[model], tree.System.Policy, rng),
			waiting:   map[string]chan admission.Decision{},
		}
		g.admission.SetEngines(groupEngines(tree, name))
		k.groups[name] = g
	}
	return g
}

// groupEngines lists a group's engines; they count as up until a watcher finds
// them down.
func groupEngines(tree *settings.Tree, name string) []admission.Engine {
	var list []admission.Engine
	for upstream, u := range tree.System.Upstreams {
		if u.Kind != settings.KindService && groupOf(tree, upstream, u) == name {
			list = append(list, admission.Engine{Name: upstream, Kind: u.Kind, Up: true, Leaving: u.Leaving})
		}
	}
	return list
}

// decide runs one step of a group's admission and tells the requests that it
// started or refused.
func (g *group) decide(step func(*admission.Group) []admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range step(g.admission) {
		if waiting, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			waiting <- d // holds one, never blocks
		}
	}
}

// with runs f on the group's admission under its lock.
func (g *group) with(f func(*admission.Group)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.admission)
}

// runPump starts and refuses waiting requests as time goes by. It sleeps while
// nobody waits.
func (k *Keeper) runPump() {
	defer k.done.Done()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-k.queued:
		}
		for k.pump() > 0 {
			time.Sleep(pumpInterval.Duration())
		}
	}
}

// pump looks at all groups once and returns the number of requests that wait.
func (k *Keeper) pump() (waiting int) {
	now := k.common.Clock.Now()
	for _, g := range k.allGroups() {
		g.decide(func(a *admission.Group) []admission.Decision {
			if a.Queued() == 0 {
				return nil
			}
			decisions := a.Schedule(now)
			waiting += a.Queued()
			return decisions
		})
	}
	return waiting
}

// wakePump tells runPump that a request may wait.
func (k *Keeper) wakePump() {
	select {
	case k.queued <- struct{}{}:
	default:
	}
}

func (k *Keeper) allGroups() []*group {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make([]*group, 0, len(k.groups))
	for _, g := range k.groups {
		all = append(all, g)
	}
	return all
}

// EngineStatuses returns the engines of the groups that this daemon has used.
func (k *Keeper) EngineStatuses() []admission.EngineStatus {
	var all []admission.EngineStatus
	for _, g := range k.allGroups() {
		g.with(func(a *admission.Group) { all = append(all, a.Engines()...) })
	}
	return all
}

// rid makes an id by which an engine knows one attempt. It names the run of
// the daemon that claims it, so that others can tell when nobody does; it is
// short, since engines list it in every report.
func (k *Keeper) rid() string {
	return k.common.RunID() + "~" + strconv.FormatInt(k.nextRID.Add(1), 36)
}

// claimant returns the run of the daemon that claims an attempt.
func claimant(rid string) (string, bool) {
	parts := strings.Split(rid, "~")
	if len(parts) != 3 {
		return "", false
	}
	return parts[0] + "~" + parts[1], true
}

// modelOf returns the model in a group's name.
func modelOf(group string) string {
	parts := strings.Split(group, "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}
