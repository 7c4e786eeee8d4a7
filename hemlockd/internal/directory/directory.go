// Package directory keeps the newest known configuration and the upstreams of each
// service. It follows the platform's store, never goes back to an older configuration,
// and fetches from other daemons what it does not get from the store.
//
// Changes must be in force here within [Limits], whichever way fails. The directory
// therefore knows how old its state is: the time since the store, or another daemon of the
// same versions, last confirmed it. Above an age it reads the store itself.
//
// The store may come back from an older copy, see [directory.Revision]. What it says then is newer
// than anything before, but until what it lost is written again it lacks entries, and lists upstreams
// that have left; restored.go says what holds meanwhile.
//
// # Usage
//
//	d := directory.New(options)
//	stop := d.Start()
//	if route, ok := d.Table().Match(host, path); ok { ... }
//	for _, u := range d.Upstreams(service) { ... }
package directory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/peers"
)

// storeSource names the store as the source of a change in the log. Changes from other
// daemons have their control address as the source.
const storeSource = "store"

// Decoder decodes the platform's entries.
type Decoder struct {
	// Config decodes a configuration.
	Config func(raw []byte) (*routing.Config, error)
	// Upstream decodes the entry of the upstream with the given ID.
	Upstream func(id string, raw []byte) (routing.Upstream, error)
}

// Options holds the dependencies of a [Directory].
type Options struct {
	Log     *zap.Logger
	Clock   clock.Clock
	Store   directory.Store
	Decoder Decoder
	// OnConfig is called after a newer configuration has come into force.
	OnConfig func()
	// OnUpstreams is called after the list of upstreams may have changed.
	OnUpstreams func()
	// ShouldFollowStore reports whether this daemon follows the store itself; otherwise
	// it gets changes from another daemon of its data centre.
	ShouldFollowStore func() bool
	// Fetch fetches the snapshot of the daemon at a control address.
	Fetch func(ctx context.Context, control string, request peers.SnapshotRequest) (peers.Snapshot, error)
	// OnRestored is called when the store has come back from an older copy; nil: nothing is.
	OnRestored func()
	// OnDaemon is called with each entry of the list of daemons.
	OnDaemon func(name string, raw []byte)
	// LinkMbps is the rate of this VM's link, in Mbit/s; 0: peers.DefaultLinkMbps.
	LinkMbps float64
	// Limits are the times within which changes must be in force, see SetLimits.
	Limits Limits
}

// Directory holds the configuration in force and the list of upstreams. It is safe for
// concurrent use.
type Directory struct {
	o               Options
	table           atomic.Pointer[routing.Table]
	published       atomic.Pointer[map[string][]routing.Upstream] // by service
	upstreamsLoaded atomic.Bool                                   // the full list was applied once
	// list is the store's revision of the list of upstreams.
	list atomic.Pointer[directory.Revision]
	// following is set while this daemon receives changes from the store itself.
	following atomic.Bool
	mu        sync.Mutex // serializes changes
	upstreams *upstreamList
	freshness *freshness
	history   history
	// pending is a configuration with a lower number than the one in force, or nil.
	pending *pendingConfig
	limits  Limits
	// storeClock converts the times in the store's answers.
	storeClock storeClock
	// receivingMs is, by topic, when a part of the feed's answer last came that is still on
	// its way.
	receivingMs map[directory.Topic]clock.Millis
	// lastFailureMs is when a call to the store last failed, or -1.
	lastFailureMs clock.Millis
	// configFetcher and listFetcher fetch newer versions from other daemons, configCache and
	// listCache hold what is sent to them.
	configFetcher, listFetcher *fetcher
	configCache, listCache     snapshotCache
	ctx                        context.Context
	cancel                     context.CancelFunc
}

// New returns an empty directory.
func New(o Options) *Directory {
	d := &Directory{o: o, upstreams: newUpstreamList(), freshness: newFreshness(), receivingMs: map[directory.Topic]clock.Millis{}, lastFailureMs: -1}
	d.list.Store(&directory.Revision{})
	d.configFetcher = newFetcher(d, directory.Routes, d.ConfigRevision)
	d.listFetcher = newFetcher(d, directory.Upstreams, d.ListRevision)
	d.SetLimits(o.Limits)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.published.Store(&map[string][]routing.Upstream{})
	return d
}

// SetLimits replaces the times within which changes must be in force. Those that are not
// set get their defaults.
func (d *Directory) SetLimits(l Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = l.withDefaults()
	d.freshness.outageMs = d.limits.OutageMs
}

// Start starts to follow the store and returns the function that stops it.
func (d *Directory) Start() func() {
	var running sync.WaitGroup
	follow := func(topic directory.Topic, wait clock.Millis, apply func(directory.Page, bool)) {
		f := &follower{storeReporter: storeReporter{d: d, topic: topic}, wait: wait, apply: apply}
		running.Go(func() { f.run(d.ctx) })
	}
	check := func(topic directory.Topic, apply func(directory.Page, bool)) {
		c := &checker{storeReporter: storeReporter{d: d, topic: topic}, apply: apply}
		running.Go(func() { c.run(d.ctx) })
	}
	applyUpstreams := func(page directory.Page, full bool) { d.applyUpstreams(page, full, storeSource) }
	follow(directory.Routes, routesWait, d.applyRoutes)
	follow(directory.Upstreams, upstreamsWait, applyUpstreams)
	follow(directory.Daemons, daemonsWait, d.applyDaemons)
	check(directory.Routes, d.applyRoutes)
	check(directory.Upstreams, applyUpstreams)
	running.Go(func() { d.configFetcher.run(d.ctx) })
	running.Go(func() { d.listFetcher.run(d.ctx) })
	return func() {
		d.cancel()
		running.Wait()
	}
}

// Ready reports whether a configuration and a list of upstreams have been loaded.
func (d *Directory) Ready() bool { return d.table.Load() != nil && d.upstreamsLoaded.Load() }

// Table returns the routes in force, or nil if none are known yet.
func (d *Directory) Table() *routing.Table { return d.table.Load() }

// Version returns the version of the configuration in force, or 0 if there is none.
func (d *Directory) Version() int64 {
	if t := d.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// Upstreams returns the upstreams of a service that may get new work. The slice
// must not be changed.
func (d *Directory) Upstreams(service string) []routing.Upstream {
	return (*d.published.Load())[service]
}

// Settle ends what holds for a while after the store was away or has been restored. It drops
// removed upstreams that have been kept once the grace period has ended, or once it turns out that
// there was no outage; it uses those that the restored store goes on to list, and puts a lower
// configuration into force that still stands there.
func (d *Directory) Settle() {
	now := d.o.Clock.Now()
	d.mu.Lock()
	var expired []string
	if !d.freshness.mayLackEntries(now) {
		expired = d.upstreams.dropRemoved()
	}
	listed := d.upstreams.settle(now, revivalGraceBeats*d.limits.OutageMs)
	if len(expired)+len(listed) > 0 {
		d.publishLocked()
	}
	d.mu.Unlock()
	if len(expired) > 0 {
		d.o.Log.Info("removed upstreams are no longer kept", zap.Strings("upstreams", expired))
	}
	if len(listed) > 0 {
		d.o.Log.Info("upstreams that had left are still listed after the restore; using them", zap.Strings("upstreams", listed))
	}
	if len(expired)+len(listed) > 0 {
		d.o.OnUpstreams()
	}
	d.settleConfig(now)
}

func (d *Directory) publishLocked() {
	byService := d.upstreams.byService()
	d.published.Store(&byService)
}

// ConfigRevision returns the revision of the configuration in force: the operator's number, and the
// last era, if any, in which a lower number than the one in force was taken.
func (d *Directory) ConfigRevision() directory.Revision {
	if t := d.table.Load(); t != nil {
		return directory.Revision{Era: t.Config.Era, Version: t.Config.Version}
	}
	return directory.Revision{}
}

// ListRevision returns the store's revision of the list of upstreams in force.
func (d *Directory) ListRevision() directory.Revision { return *d.list.Load() }

// FollowsStore reports whether this daemon receives changes of the list of upstreams
// from the store itself.
func (d *Directory) FollowsStore() bool { return d.following.Load() }

func (d *Directory) applyRoutes(page directory.Page, _ bool) {
	for _, e := range page.Entries {
		if !e.Removed {
			d.applyStoredConfig(e)
		}
	}
}

// applyConfig puts a configuration into force if it is newer than the one in force, given the era
// of its revision (see ConfigRevision). It returns the revision, or zero if it cannot be decoded.
func (d *Directory) applyConfig(raw []byte, era int64, source string) directory.Revision {
	cfg, err := d.o.Decoder.Config(raw)
	if err != nil {
		d.o.Log.Error("cannot decode the configuration; keeping the one in force", zap.String("source", source), zap.Error(err))
		return directory.Revision{}
	}
	cfg.Era = era
	revision := directory.Revision{Era: cfg.Era, Version: cfg.Version}
	d.mu.Lock()
	old := d.ConfigRevision()
	newer := old.Before(revision)
	if newer {
		d.table.Store(routing.NewTable(cfg))
		d.pending = nil
	}
	d.mu.Unlock()
	if !newer {
		return revision
	}
	d.o.Log.Info("configuration is in force", zap.Int64("version", cfg.Version), zap.Int64("before", old.Version), zap.Int64("era", era),
		zap.String("source", source), zap.Int("routes", len(cfg.Routes)), zap.Int("bytes", len(raw)))
	d.o.OnConfig()
	return revision
}

// applyUpstreams applies a page of the list of upstreams unless the list in force is as
// new: the store and other daemons send lists concurrently, so a list may arrive after a
// newer one from the other source. It reports whether it applied the page. source is the
// control address of the daemon that the page is from, or storeSource.
func (d *Directory) applyUpstreams(page directory.Page, full bool, source string) bool {
	now := d.o.Clock.Now()
	d.mu.Lock()
	before := d.ListRevision()
	restored := d.upstreamsLoaded.Load() && page.Revision.Era > before.Era
	if d.upstreamsLoaded.Load() && !before.Before(page.Revision) || restored && !full {
		d.mu.Unlock()
		if page.Revision.Era != before.Era && source == storeSource {
			d.o.Log.Warn("a page of the list of upstreams is of another era than the one in force; ignoring it",
				zap.Stringer("list", page.Revision), zap.Stringer("inForce", before), zap.Bool("full", full), zap.Int("entries", len(page.Entries)))
		}
		return false
	}
	keep := d.freshness.mayLackEntries(now)
	d.list.Store(&page.Revision)
	log := d.o.Log.With(zap.String("source", source), zap.Stringer("list", page.Revision), zap.Stringer("listBefore", before))
	for _, e := range page.Entries {
		if !full && e.Revision.Version != 0 && !before.Before(e.Revision) {
			continue // the list in force, which another daemon sent, includes the change
		}
		if e.Removed {
			d.upstreams.remove(e.Key, keep, now)
			log.Info("upstream removed from the list", zap.String("upstream", e.Key), zap.Bool("kept", d.upstreams.has(e.Key)))
			continue
		}
		u, err := d.o.Decoder.Upstream(e.Key, e.Value)
		if err != nil {
			log.Warn("invalid upstream entry; the upstream is not used", zap.Error(err))
			d.upstreams.remove(e.Key, keep, now)
			continue
		}
		if restored && d.upstreams.revives(u) {
			d.upstreams.putUnsure(u, e.Value, now)
			log.Info("the restored store lists an upstream that had left; not using it yet", zap.String("upstream", u.ID))
			continue
		}
		if d.upstreams.outdated(u) {
			log.Info("entry of an upstream is older than the one in force; ignoring it", zap.String("upstream", u.ID),
				zap.Int64("sequence", u.Sequence), zap.Bool("leaving", u.Leaving))
			continue
		}
		if d.upstreams.put(u, e.Value) {
			log.Info("upstream added to the list or changed", zap.String("upstream", u.ID), zap.String("service", u.Service),
				zap.String("address", u.Address), zap.Bool("leaving", u.Leaving), zap.String("role", string(u.Role)), zap.String("software", u.Software))
		}
	}
	if full {
		if removed := d.upstreams.keepOnly(page.Entries, keep, now); len(removed) > 0 {
			log.Info("upstreams missing from the full list", zap.Strings("upstreams", removed),
				zap.Strings("kept", slices.DeleteFunc(slices.Clone(removed), func(id string) bool { return !d.upstreams.has(id) })))
		}
		d.upstreamsLoaded.Store(true)
	}
	d.publishLocked()
	d.mu.Unlock()
	d.o.OnUpstreams()
	return true
}

func (d *Directory) applyDaemons(page directory.Page, _ bool) {
	for _, e := range page.Entries {
		if !e.Removed {
			d.o.OnDaemon(e.Key, e.Value)
		}
	}
}

// HearPeer records the revisions that the daemon at a control address has in force; local is set
// if it is in this daemon's data centre. Newer ones are fetched in the background. Lists of
// upstreams are fetched within a data centre only.
func (d *Directory) HearPeer(control string, config, list directory.Revision, local bool) {
	d.configFetcher.heard(control, config, local)
	if local {
		d.listFetcher.heard(control, list, local)
	}
}

// All returns all known upstreams, including those that are leaving.
func (d *Directory) All() []routing.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams.all()
}
