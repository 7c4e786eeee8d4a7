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
	// failuresToDown is the number of load reports in a row that fail before
	// an engine counts as down.
	failuresToDown = 2
	// orphanAge is how long an engine may hold memory for a request that
	// nobody claims before it is aborted; it covers the way of a call that has
	// just been sent.
	orphanAge = 1500 * clock.Millisecond
	// heldEvery is the number of load reports for each list of what an engine
	// holds, which is longer.
	heldEvery = 2
	// eventsPause is the wait before cache events are listened to again.
	eventsPause = clock.Second
)

// claims is the attempts that this daemon has at engines now.
type claims struct {
	mu   sync.Mutex
	rids map[string]bool
}

func newClaims() claims { return claims{rids: map[string]bool{}} }

func (c *claims) add(rid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rids[rid] = true
}

func (c *claims) remove(rid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.rids, rid)
}

func (c *claims) has(rid string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rids[rid]
}

// watcher follows one engine that this daemon keeps: its load reports, its
// cache events and the memory that it holds.
type watcher struct {
	keeper   *Keeper
	engine   engines.Engine
	kind     string
	group    *group
	cancel   context.CancelFunc
	failures int  // load reports in a row that failed
	leaving  bool // as the engine says itself

	// Only the reports' goroutine uses what follows.
	reports                int
	foreign, foreignPieces int
}

// runWatchers starts and ends watchers as the settings and the view change.
func (k *Keeper) runWatchers() {
	defer k.done.Done()
	ticker := time.NewTicker(k.common.Config.LoadMs.Duration())
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

// Reconcile brings the groups and watchers in line with the settings and the
// view of the other daemons.
func (k *Keeper) Reconcile() {
	tree := k.configuration.Tree()
	if tree == nil {
		return
	}
	k.budget.SetRatio(tree.System.Policy.RetryRatio)
	wanted := map[string]bool{}
	for name, u := range tree.System.Upstreams {
		if u.Kind == settings.KindService || u.DataCentre != k.common.Config.DataCentre {
			continue
		}
		if group := groupOf(tree, name, u); k.KeeperOf(group) == k.common.Config.Name || k.hasWork(group) {
			wanted[name] = true
			k.watch(name, u, k.group(group, u.Model, tree))
		}
	}
	k.unwatch(wanted)
	k.configureGroups(tree)
}

// hasWork tells whether requests of a group still run here although another
// daemon keeps it now.
func (k *Keeper) hasWork(name string) bool {
	k.mu.Lock()
	g, ok := k.groups[name]
	k.mu.Unlock()
	if !ok {
		return false
	}
	work := 0
	g.with(func(a *admission.Group) { work = a.Active() + a.Queued() })
	return work > 0
}

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

// configureGroups takes over engines and policy; what is known of an engine's
// state is kept.
func (k *Keeper) configureGroups(tree *settings.Tree) {
	k.mu.Lock()
	groups := make(map[string]*group, len(k.groups))
	for name, g := range k.groups {
		groups[name] = g
	}
	k.mu.Unlock()
	for name, g := range groups {
		list := groupEngines(tree, name)
		g.with(func(a *admission.Group) {
			state := map[string]admission.Engine{}
			for _, e := range a.Engines() {
				state[e.Name] = e.Engine
			}
			for i := range list {
				if old, ok := state[list[i].Name]; ok {
					list[i].Up = old.Up
				}
				list[i].Leaving = list[i].Leaving || k.leaving.Leaving(list[i].Name) || k.reportedLeaving(list[i].Name)
				k.noteLeaving(list[i].Name, list[i].Leaving)
			}
			a.SetEngines(list)
			if model, ok := tree.System.Models[modelOf(name)]; ok {
				a.Configure(model, tree.System.Policy)
			}
		})
	}
}

// noteLeaving remembers when an engine was first known to leave.
func (k *Keeper) noteLeaving(name string, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !leaving {
		delete(k.leavingSince, name)
	} else if _, known := k.leavingSince[name]; !known {
		k.leavingSince[name] = k.common.Clock.Now()
	}
}

// reportedLeaving tells whether the engine itself said that it is leaving.
func (k *Keeper) reportedLeaving(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, ok := k.watchers[name]
	return ok && w.leaving
}

// runReports reads the engine's load reports.
func (w *watcher) runReports(ctx context.Context) {
	defer w.keeper.done.Done()
	ticker := time.NewTicker(w.keeper.common.Config.LoadMs.Duration())
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

func (w *watcher) report(ctx context.Context) {
	metrics.Add("loadReports", 1)
	held := w.reports%heldEvery == 0
	w.reports++
	load, err := w.keeper.client.Load(ctx, w.engine, held)
	if ctx.Err() != nil {
		return
	}
	up := w.note(load, err)
	now := w.keeper.common.Clock.Now()
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

// note takes in one report, logs a change of state and tells whether the engine
// counts as up.
func (w *watcher) note(load completions.Load, err error) (up bool) {
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
		w.keeper.common.Log.Info("engine changed state", zap.String("engine", w.engine.Name), zap.Bool("up", up), zap.Bool("leaving", leaving))
	}
	return up
}

// sweep aborts what the engine holds for nobody, and counts what it holds for
// other daemons that live.
func (w *watcher) sweep(ctx context.Context, held []completions.Running) (foreign, pieces int) {
	k := w.keeper
	for _, h := range held {
		run, ok := claimant(h.RequestID)
		own := ok && run == k.common.RunID()
		claimed := own && k.claims.has(h.RequestID) || ok && !own && k.peers.Alive(run)
		if claimed || clock.Millis(h.AgeMs) < orphanAge {
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

// runEvents follows the engine's cache events.
func (w *watcher) runEvents(ctx context.Context) {
	defer w.keeper.done.Done()
	for ctx.Err() == nil {
		for events, err := range w.keeper.client.CacheEvents(ctx, w.engine) {
			if err != nil {
				break
			}
			w.group.with(func(a *admission.Group) { a.ApplyCacheEvents(w.engine.Name, events) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(eventsPause.Duration()):
		}
	}
}
