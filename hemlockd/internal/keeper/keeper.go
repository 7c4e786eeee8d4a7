// Package keeper runs requests on the engine groups that this daemon owns as their keeper: it
// admits the requests, runs their prefill and decode, retries failed attempts, and aborts requests
// for which an engine holds memory although no live daemon claims them.
//
// # Usage
//
//	k, closeKeeper := keeper.New(env, configuration, client, peers, leaving, suspects, parts)
//	run, problem := k.Begin(call)
//	defer run.Cancel()
//	for chunks := range run.Chunks(ctx, 0) { ... }
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
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/suspects"
)

var metrics = expvar.NewMap("keeper")

// queueInterval is the time between two passes over the groups' queues.
const queueInterval = 10 * clock.Millisecond

// Peers is the keeper's view of the other daemons.
type Peers interface {
	// Live returns the names of the live daemons of a data centre.
	Live(dataCentre string) []string
	// Alive reports whether a run of a daemon, as it is named in attempt ids, is alive.
	Alive(run string) bool
	// Owns reports whether this daemon, of those that are live in all data centres, is the one
	// responsible for a key.
	Owns(key string) bool
}

// LeavingChecker checks upstreams against the platform's VM list.
type LeavingChecker interface {
	// Leaving reports whether the list shows an upstream as leaving.
	Leaving(upstream string) bool
}

// Call is one request for a model, as it is handed to the keeper of its engine group.
type Call struct {
	// RequestID is the id of the caller's request.
	RequestID string `json:"requestId"`
	// Team is the name of the caller's team.
	Team string `json:"team"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Path is the URL path of the request; the call to the engine uses the same path.
	Path string `json:"path"`
	// Priority is the priority of the team.
	Priority int `json:"priority"`
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int `json:"promptTokens"`
	// OutputTokens is the maximum length of the answer, in tokens.
	OutputTokens int `json:"outputTokens"`
	// Digest identifies equal requests of a team; crash suspects are recorded under it.
	Digest string `json:"digest"`
	// ArrivedMs is the time at which the front daemon received the request.
	ArrivedMs clock.Millis `json:"arrivedMs"`
	// Front is the run of the daemon that received the request from its caller.
	Front string `json:"front"`
	// FrontDataCentre is the data centre of that daemon.
	FrontDataCentre string `json:"frontCentre"`
	// SettingsVersion is the version of the settings that that daemon applied to the request.
	SettingsVersion int64 `json:"settingsVersion"`
	// Buffered is true if the caller did not ask for a stream: chunks are held back until the answer
	// is complete, so that it can be generated again after a failure.
	Buffered bool `json:"whole,omitempty"`
	// TryingPart is true if the call tries a part of a prompt again that crashed engines: it is not
	// refused because of its parts, and not repeated.
	TryingPart bool `json:"tryingPart,omitempty"`
	// LeftMs is the time that the daemon that received the request has left for it, since it shuts down; 0: no limit.
	LeftMs clock.Millis `json:"leftMs,omitempty"`

	// The daemon that a call is handed to derives the following fields again.

	// AllowedEngines is the set of engines that the team is restricted to; nil means all.
	AllowedEngines map[string]bool `json:"-"`
	// PrefixHashes holds the hashes of the prompt's pieces.
	PrefixHashes []uint64 `json:"-"`
	// SharedParts holds the ids of the prompt's parts without the last, which is the request's own.
	SharedParts []string `json:"-"`
	// Body is the caller's request body.
	Body []byte `json:"-"`
}

// Result is the outcome of a call.
type Result struct {
	// Problem is nil if the answer is complete.
	Problem *problem.Problem `json:"problem,omitempty"`
	// Ran states whether an engine ran the call.
	Ran problem.Ran `json:"ran"`
	// Attempts holds the attempts at engines, in order.
	Attempts []verdict.Attempt `json:"attempts"`
	// Inferred is true if the daemon that ran the call gave no result, which is known from its
	// whole answer alone. That daemon may hold no copy of the verdict.
	Inferred bool `json:"-"`
}

// Keeper owns engine groups and runs their requests.
type Keeper struct {
	env           process.Environment
	configuration *configuration.Configuration
	client        *engines.Client
	peers         Peers
	leaving       LeavingChecker
	suspects      *suspects.Suspects
	parts         *prompts.Evidence
	budget        *retries.Budget

	mu       sync.Mutex
	groups   map[string]*group
	runs     map[string]*Run // by request id
	watchers map[string]*watcher
	// leavingSince holds the time at which the first of the three signals (settings, VM list, load
	// report) showed an engine as leaving.
	leavingSince map[string]clock.Millis

	queueWake      chan struct{} // signals that a request may be queued
	claims         claims
	crashes        crashes
	attemptCounter atomic.Int64
	ctx            context.Context
	cancel         context.CancelFunc
	done           sync.WaitGroup
}

// group is an admission group with its own lock.
type group struct {
	mu        sync.Mutex
	admission *admission.Group
	waiting   map[string]chan admission.Decision // by request id
}

// New starts a keeper and returns the function that stops it and waits for its goroutines.
func New(env process.Environment, cfg *configuration.Configuration, client *engines.Client, peers Peers, leaving LeavingChecker, sus *suspects.Suspects, parts *prompts.Evidence) (*Keeper, func()) {
	ctx, cancel := context.WithCancel(env.Shutdown.Ended())
	k := &Keeper{
		env: env, configuration: cfg, client: client, peers: peers, leaving: leaving, suspects: sus, parts: parts,
		budget: retries.NewBudget(settings.DefaultSystem().Policy.RetryRatio),
		groups: map[string]*group{}, runs: map[string]*Run{}, watchers: map[string]*watcher{},
		leavingSince: map[string]clock.Millis{}, queueWake: make(chan struct{}, 1),
		claims: newClaims(), crashes: newCrashes(), ctx: ctx, cancel: cancel,
	}
	k.done.Add(2)
	go k.runQueues()
	go k.runWatchers()
	return k, func() {
		cancel()
		k.done.Wait()
	}
}

// GroupName returns the name of the engine group that a request for a model belongs to. The hash of
// the prompt's first piece selects it, so that prompts with the same prefix share cached KV blocks.
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

// groupOf returns the name of the group that an engine belongs to.
func groupOf(tree *settings.Tree, name string, u settings.Upstream) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	groups := max(1, tree.System.Models[u.Model].Groups)
	return groupName(u.DataCentre, u.Model, int(h.Sum32()%uint32(groups)))
}

// ownerOf returns the name of the daemon that owns a group of this data centre as its keeper.
func (k *Keeper) ownerOf(groupName string) string {
	return membership.Owner(groupName, k.peers.Live(k.env.Config.DataCentre))
}

// group returns the named group and creates it on first use.
func (k *Keeper) group(name, model string, tree *settings.Tree) *group {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.groups[name]
	if !ok {
		rng := rand.New(rand.NewPCG(uint64(k.env.Incarnation), uint64(len(k.groups))))
		options := admission.DefaultOptions()
		options.HeldBack = k.client.HeldBack
		g = &group{
			admission: admission.NewGroup(options, tree.System.Models[model], tree.System.Policy, rng),
			waiting:   map[string]chan admission.Decision{},
		}
		g.admission.SetEngines(groupEngines(tree, name))
		k.groups[name] = g
	}
	return g
}

// groupEngines returns a group's engines. They count as up until a watcher marks them as down.
func groupEngines(tree *settings.Tree, name string) []admission.Engine {
	var list []admission.Engine
	for upstream, u := range tree.System.Upstreams {
		if u.Kind != settings.KindService && groupOf(tree, upstream, u) == name {
			list = append(list, admission.Engine{Name: upstream, Kind: u.Kind, Up: true, Leaving: u.Leaving})
		}
	}
	return list
}

// decide runs one step of the group's admission under the lock and sends each decision to the
// request that waits for it.
func (g *group) decide(step func(*admission.Group) []admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range step(g.admission) {
		if waiting, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			waiting <- d // buffered for its one decision, so it never blocks
		}
	}
}

// withLock runs f on the group's admission under the lock.
func (g *group) withLock(f func(*admission.Group)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.admission)
}

// runQueues processes the queues every queueInterval while any request is queued, and otherwise
// blocks until wakeQueues is called.
func (k *Keeper) runQueues() {
	defer k.done.Done()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-k.queueWake:
		}
		for k.processQueues() > 0 {
			time.Sleep(queueInterval.Duration())
		}
	}
}

// processQueues admits or refuses queued requests of all groups and returns the number of requests
// that stay queued.
func (k *Keeper) processQueues() (waiting int) {
	now := k.env.Clock.Now()
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

// wakeQueues signals to runQueues that a request may be queued.
func (k *Keeper) wakeQueues() {
	select {
	case k.queueWake <- struct{}{}:
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

// EngineStatuses returns the state of the engines of all groups that this daemon has used.
func (k *Keeper) EngineStatuses() []admission.EngineStatus {
	var all []admission.EngineStatus
	for _, g := range k.allGroups() {
		g.withLock(func(a *admission.Group) { all = append(all, a.Engines()...) })
	}
	return all
}

// newAttemptID returns the id under which an engine knows one attempt. It contains the run of the
// daemon that claims the attempt, so that other daemons can find attempts without a live claimant.
// It is short because engines repeat it in their reports.
func (k *Keeper) newAttemptID() string {
	return k.env.RunID() + "~" + strconv.FormatInt(k.attemptCounter.Add(1), 36)
}

// claimingRun returns the run of the daemon that claims an attempt; ok is false if the id has
// another format.
func claimingRun(attemptID string) (run string, ok bool) {
	parts := strings.Split(attemptID, "~")
	if len(parts) != 3 {
		return "", false
	}
	return parts[0] + "~" + parts[1], true
}

// modelOf returns the model in a group's name, or "" if the name has another format.
func modelOf(group string) string {
	parts := strings.Split(group, "/")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}
