package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/engines"
)

const (
	// failuresToDown is the number of consecutive load reports that must fail before an engine
	// counts as down.
	failuresToDown = 2
	// orphanMinAge is how long an engine may hold memory for an unclaimed request before the request
	// is aborted. It covers the network delay of a call that has just been sent.
	orphanMinAge = 1500 * clock.Millisecond
	// reportsPerHeldList is the number of load reports per report with the list of the requests that
	// the engine holds memory for, which makes the report longer.
	reportsPerHeldList = 2
	// cacheEventsRetryDelay is the wait before an ended stream of cache events is opened again.
	cacheEventsRetryDelay = clock.Second
)

// claims is the set of the attempts that this daemon has running at engines.
type claims struct {
	mu         sync.Mutex
	attemptIDs map[string]bool
}

func newClaims() claims { return claims{attemptIDs: map[string]bool{}} }

func (c *claims) add(attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptIDs[attemptID] = true
}

func (c *claims) remove(attemptID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attemptIDs, attemptID)
}

func (c *claims) has(attemptID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptIDs[attemptID]
}

// watcher monitors one engine of a group: its load reports, its cache events and the requests that
// it holds memory for.
type watcher struct {
	keeper   *Keeper
	engine   engines.Engine
	kind     string
	group    *group
	cancel   context.CancelFunc
	failures int  // consecutive load reports that failed; guarded by keeper.mu
	leaving  bool // from the last successful load report; guarded by keeper.mu

	// The following fields are used by the goroutine of runReports only.
	reports       int // load reports so far
	foreign       int // requests that the engine holds for other daemons
	foreignPieces int // pieces of the KV cache that these hold
}

// runWatchers calls Reconcile at the interval of the load reports.
func (k *Keeper) runWatchers() {
	defer k.done.Done()
	ticker := time.NewTicker(k.env.Config.LoadMs.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-k.ctx.Done():
			return
		case <-ticker.C:
			k.Reconcile()
		}
	}
}

// Reconcile adjusts groups and watchers to the settings and to the daemons that are live. An engine
// is watched if this daemon is the keeper of its group or still has requests of the group.
func (k *Keeper) Reconcile() {
	tree := k.configuration.Tree()
	if tree == nil {
		return
	}
	k.budget.SetRatio(tree.System.Policy.RetryRatio)
	wanted := map[string]bool{}
	for name, u := range tree.System.Upstreams {
		if u.Kind == settings.KindService || u.DataCentre != k.env.Config.DataCentre {
			continue
		}
		if group := groupOf(tree, name, u); k.ownerOf(group) == k.env.Config.Name || k.hasWork(group) {
			wanted[name] = true
			k.watch(name, u, k.group(group, u.Model, tree))
		}
	}
	k.unwatch(wanted)
	k.configureGroups(tree)
}

// hasWork reports whether requests of a group are queued or active here. This may be so although
// another daemon has become the group's keeper.
func (k *Keeper) hasWork(name string) bool {
	k.mu.Lock()
	g, ok := k.groups[name]
	k.mu.Unlock()
	if !ok {
		return false
	}
	work := 0
	g.withLock(func(a *admission.Group) { work = a.Active() + a.Queued() })
	return work > 0
}

// watch starts a watcher for an engine, or replaces it if the engine's address or group changed.
func (k *Keeper) watch(name string, u settings.Upstream, g *group) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w, ok := k.watchers[name]; ok {
		if w.engine.Address == u.Address && w.group == g {
			return
		}
		w.cancel()
	}
	ctx, cancel := context.WithCancel(k.ctx)
	w := &watcher{keeper: k, engine: engines.Engine{Name: name, Address: u.Address}, kind: u.Kind, group: g, cancel: cancel}
	k.watchers[name] = w
	k.done.Add(1)
	go w.runReports(ctx)
	if u.Kind == settings.KindPrefill {
		k.done.Add(1)
		go w.runEvents(ctx)
	}
}

// unwatch stops the watchers of all engines that are not in wanted.
func (k *Keeper) unwatch(wanted map[string]bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, w := range k.watchers {
		if !wanted[name] {
			w.cancel()
			delete(k.watchers, name)
		}
	}
}

// configureGroups applies the engines, models and policy of the settings to the groups. Engines
// keep their known up state.
func (k *Keeper) configureGroups(tree *settings.Tree) {
	k.mu.Lock()
	groups := make(map[string]*group, len(k.groups))
	for name, g := range k.groups {
		groups[name] = g
	}
	k.mu.Unlock()
	for name, g := range groups {
		list := groupEngines(tree, name)
		g.withLock(func(a *admission.Group) {
			state := map[string]admission.Engine{}
			for _, e := range a.Engines() {
				state[e.Name] = e.Engine
			}
			for i := range list {
				if old, ok := state[list[i].Name]; ok {
					list[i].Up = old.Up
				}
				list[i].Leaving = list[i].Leaving || k.leaving.Leaving(list[i].Name) || k.reportedLeaving(list[i].Name)
				k.recordLeaving(list[i].Name, list[i].Leaving)
			}
			a.SetEngines(list)
			if model, ok := tree.System.Models[modelOf(name)]; ok {
				a.Configure(model, tree.System.Policy)
			}
		})
	}
}

// recordLeaving records the time at which an engine was first seen as leaving.
func (k *Keeper) recordLeaving(name string, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !leaving {
		delete(k.leavingSince, name)
	} else if _, known := k.leavingSince[name]; !known {
		k.leavingSince[name] = k.env.Clock.Now()
	}
}

// reportedLeaving reports whether the engine's last successful load report said that it is leaving.
func (k *Keeper) reportedLeaving(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, ok := k.watchers[name]
	return ok && w.leaving
}

// runReports reads the engine's load reports at the configured interval.
func (w *watcher) runReports(ctx context.Context) {
	defer w.keeper.done.Done()
	ticker := time.NewTicker(w.keeper.env.Config.LoadMs.Duration())
	defer ticker.Stop()
	for {
		w.report(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// report reads one load report and passes it to the group's admission.
func (w *watcher) report(ctx context.Context) {
	if w.keeper.client.Paused(w.engine.Name) {
		return // the engine wants nothing; what is known of it stays
	}
	metrics.Add("loadReports", 1)
	held := w.reports%reportsPerHeldList == 0
	w.reports++
	load, err := w.keeper.client.Load(ctx, w.engine, held)
	if ctx.Err() != nil {
		return
	}
	up := w.recordReport(load, err)
	now := w.keeper.env.Clock.Now()
	if held && err == nil {
		w.foreign, w.foreignPieces = w.sweep(ctx, load.Held)
	}
	w.group.decide(func(a *admission.Group) []admission.Decision {
		a.SetUp(w.engine.Name, up)
		if err == nil {
			a.Report(w.engine.Name, load)
			a.SetForeign(w.engine.Name, w.foreign, w.foreignPieces)
		}
		if load.State == "leaving" {
			a.SetLeaving(w.engine.Name, true)
		}
		return a.Schedule(now)
	})
}

// recordReport applies one report or its failure to the watcher's state, logs a change of that
// state and reports whether the engine counts as up.
func (w *watcher) recordReport(load completions.Load, err error) (up bool) {
	w.keeper.mu.Lock()
	wasUp, wasLeaving := w.failures < failuresToDown, w.leaving
	if err != nil {
		w.failures++
	} else {
		w.failures, w.leaving = 0, load.State == "leaving"
	}
	up = w.failures < failuresToDown
	leaving := w.leaving
	w.keeper.mu.Unlock()
	if up != wasUp || leaving != wasLeaving {
		w.keeper.env.Log.Info("engine changed state", zap.String("engine", w.engine.Name), zap.Bool("up", up), zap.Bool("leaving", leaving))
	}
	return up
}

// sweep aborts requests that the engine holds memory for and that no live daemon claims. It counts
// the requests and pieces that the engine holds for others than this daemon.
func (w *watcher) sweep(ctx context.Context, held []completions.HeldRequest) (foreign, pieces int) {
	k := w.keeper
	for _, h := range held {
		run, ok := claimingRun(h.RequestID)
		own := ok && run == k.env.RunID()
		claimed := own && k.claims.has(h.RequestID) || ok && !own && k.peers.Alive(run)
		if claimed || clock.Millis(h.AgeMs) < orphanMinAge {
			if !own {
				foreign++
				pieces += h.Pieces
			}
			continue
		}
		metrics.Add("orphansAborted", 1)
		if err := k.client.Abort(ctx, w.engine, h.RequestID); err != nil {
			metrics.Add("abortFailures", 1)
		}
	}
	return foreign, pieces
}

// runEvents passes the engine's cache events to the group's admission and reopens the stream when
// it ends.
func (w *watcher) runEvents(ctx context.Context) {
	defer w.keeper.done.Done()
	for ctx.Err() == nil {
		for events, err := range w.keeper.client.CacheEvents(ctx, w.engine) {
			if err != nil {
				break
			}
			w.group.withLock(func(a *admission.Group) { a.ApplyCacheEvents(w.engine.Name, events) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(cacheEventsRetryDelay.Duration()):
		}
	}
}
