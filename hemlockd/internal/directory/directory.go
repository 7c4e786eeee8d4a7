// Package directory keeps what is in force at this daemon: the newest
// configuration and the upstreams of each service. It follows the platform's
// store, never goes back to an older configuration, and takes over from other
// daemons what the store does not tell.
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
	"errors"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/peers"
)

const (
	// followWait is how long the store is asked to wait for changes. It bounds
	// the time that a connection which has gone silent hides a change.
	followWait = 2300 * clock.Millisecond
	// answerReserve is added to a wait before the store counts as silent.
	answerReserve = 600 * clock.Millisecond
	readTimeout   = 1500 * clock.Millisecond
	// daemonsWait is the wait for changes of the list of daemons, which is
	// needed only where nobody is heard.
	daemonsWait = 10 * clock.Second
	// standbyPause is the time between two looks whether this daemon should follow
	// the store.
	standbyPause = 200 * clock.Millisecond
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 50 * clock.Millisecond
	maxPause   = 800 * clock.Millisecond
)

// Decoder reads the platform's forms.
type Decoder struct {
	Config   func(raw []byte) (*routing.Config, error)
	Upstream func(id string, raw []byte) (routing.Upstream, error)
}

// Options is what a directory works with.
type Options struct {
	Log     *zap.Logger
	Clock   clock.Clock
	Store   directory.Store
	Decoder Decoder
	// OnConfig and OnUpstreams are called after a change.
	OnConfig    func()
	OnUpstreams func()
	// ShouldFollowStore tells whether this daemon follows the store itself; otherwise
	// another daemon of its data centre tells it of changes.
	ShouldFollowStore func() bool
	// OnDaemon is called with each entry of the list of daemons.
	OnDaemon func(name string, raw []byte)
}

// Directory is what is in force. It is safe for concurrent use.
type Directory struct {
	o         Options
	table     atomic.Pointer[routing.Table]
	published atomic.Pointer[map[string][]routing.Upstream]
	listed    atomic.Bool // the list of upstreams has been read once
	// listVersion is the store's version of the list of upstreams.
	listVersion atomic.Int64
	// following is set while the store tells this daemon of changes.
	following atomic.Bool
	mu        sync.Mutex // serializes changes
	upstreams *upstreamList
	asking    atomic.Bool
	ctx       context.Context
	cancel    context.CancelFunc
}

// New returns a directory that knows nothing yet.
func New(o Options) *Directory {
	d := &Directory{o: o, upstreams: newUpstreamList()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.published.Store(&map[string][]routing.Upstream{})
	return d
}

// Start begins to follow the store and returns the function that stops it.
func (d *Directory) Start() func() {
	var running sync.WaitGroup
	follow := func(topic directory.Topic, wait clock.Millis, take func(directory.Page, bool)) {
		f := &follower{d: d, topic: topic, wait: wait, take: take}
		running.Go(func() { f.run(d.ctx) })
	}
	follow(directory.Routes, followWait, d.takeRoutes)
	follow(directory.Upstreams, followWait, func(page directory.Page, whole bool) { d.takeUpstreams(page, whole) })
	follow(directory.Daemons, daemonsWait, d.takeDaemons)
	return func() {
		d.cancel()
		running.Wait()
	}
}

// Ready tells whether the daemon knows enough to serve.
func (d *Directory) Ready() bool { return d.table.Load() != nil && d.listed.Load() }

// Table returns the routes in force, nil where none are known yet.
func (d *Directory) Table() *routing.Table { return d.table.Load() }

// Version returns the version in force, 0 where there is none yet.
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

// ExpireUpstreams calls changed if the list of upstreams has changed with time alone:
// those that only an outage of the store keeps in the list.
func (d *Directory) ExpireUpstreams() {
	d.mu.Lock()
	changed := d.upstreams.expire(d.o.Clock.Now())
	if changed {
		d.publishLocked()
	}
	d.mu.Unlock()
	if changed {
		d.o.OnUpstreams()
	}
}

func (d *Directory) publishLocked() {
	byService := d.upstreams.byService()
	d.published.Store(&byService)
}

// ListVersion is the store's version of the list of upstreams in force.
func (d *Directory) ListVersion() int64 { return d.listVersion.Load() }

// FollowsStore tells whether the store tells this daemon of changes.
func (d *Directory) FollowsStore() bool { return d.following.Load() }

func (d *Directory) takeRoutes(page directory.Page, _ bool) {
	for _, e := range page.Entries {
		if !e.Removed {
			d.takeConfig(e.Value, "store")
		}
	}
}

// takeConfig puts a configuration in force if it is newer.
func (d *Directory) takeConfig(raw []byte, source string) {
	cfg, err := d.o.Decoder.Config(raw)
	if err != nil {
		d.o.Log.Error("configuration can't be read; the one in force stays", zap.String("source", source), zap.Error(err))
		return
	}
	d.mu.Lock()
	old := d.Version()
	newer := cfg.Version > old
	if newer {
		d.table.Store(routing.NewTable(cfg))
	}
	d.mu.Unlock()
	if !newer {
		return
	}
	d.o.Log.Info("configuration is in force", zap.Int64("version", cfg.Version), zap.Int64("before", old),
		zap.String("source", source), zap.Int("routes", len(cfg.Routes)))
	d.o.OnConfig()
}

// takeUpstreams takes a page of the list of upstreams in, unless the list in force
// takes account of it: the store and other daemons tell at the same time, and what
// one tells may have been overtaken by the other. It tells whether it took it in.
func (d *Directory) takeUpstreams(page directory.Page, whole bool) bool {
	now := d.o.Clock.Now()
	d.mu.Lock()
	if d.listed.Load() && page.Version <= d.listVersion.Load() {
		d.mu.Unlock()
		return false
	}
	d.listVersion.Store(page.Version)
	for _, e := range page.Entries {
		if e.Removed {
			d.upstreams.remove(e.Key, now)
			d.o.Log.Info("upstream is gone from the list", zap.String("upstream", e.Key))
			continue
		}
		u, err := d.o.Decoder.Upstream(e.Key, e.Value)
		if err != nil {
			d.o.Log.Warn("entry names no upstream to use", zap.Error(err))
			d.upstreams.remove(e.Key, now)
			continue
		}
		if d.upstreams.put(u, e.Value) {
			d.o.Log.Info("upstream is listed", zap.String("upstream", u.ID), zap.String("service", u.Service),
				zap.String("address", u.Address), zap.Bool("leaving", u.Leaving), zap.String("role", string(u.Role)))
		}
	}
	if whole {
		if gone := d.upstreams.keepOnly(page.Entries, now); len(gone) > 0 {
			d.o.Log.Info("upstreams are gone from the list", zap.Strings("upstreams", gone))
		}
		d.listed.Store(true)
	}
	d.publishLocked()
	d.mu.Unlock()
	d.o.OnUpstreams()
	return true
}

func (d *Directory) takeDaemons(page directory.Page, _ bool) {
	for _, e := range page.Entries {
		if !e.Removed {
			d.o.OnDaemon(e.Key, e.Value)
		}
	}
}

// Snapshot answers another daemon.
func (d *Directory) Snapshot(ask peers.SnapshotRequest) peers.Snapshot {
	s := peers.Snapshot{Version: d.Version()}
	if t := d.table.Load(); t != nil && s.Version > ask.HaveVersion {
		s.Config = t.Config.Raw
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.ListVersion = d.listVersion.Load()
	if s.ListVersion > ask.HaveListVersion && d.listed.Load() {
		s.Upstreams, s.RemovedAgoMs = d.upstreams.raw(d.o.Clock.Now())
	}
	return s
}

// FetchFromPeer takes over what the daemon at a control address knows: a newer
// configuration and a newer list of upstreams.
func (d *Directory) FetchFromPeer(control string) {
	if !d.asking.CompareAndSwap(false, true) {
		return
	}
	go d.runAsk(control)
}

func (d *Directory) runAsk(control string) {
	defer d.asking.Store(false)
	s, err := peers.FetchSnapshot(d.ctx, control, peers.SnapshotRequest{HaveVersion: d.Version(), HaveListVersion: d.listVersion.Load()})
	if err != nil {
		if d.ctx.Err() == nil {
			d.o.Log.Warn("another daemon did not tell what it knows", zap.String("peer", control), zap.Error(err))
		}
		return
	}
	if len(s.Config) > 0 {
		d.takeConfig(s.Config, control)
	}
	if s.Upstreams == nil {
		return
	}
	page := directory.Page{Version: s.ListVersion}
	for id, raw := range s.Upstreams {
		page.Entries = append(page.Entries, directory.Entry{Key: id, Value: raw})
	}
	if d.takeUpstreams(page, true) && len(s.RemovedAgoMs) > 0 {
		d.mu.Lock()
		d.upstreams.doubt(s.RemovedAgoMs, d.o.Clock.Now())
		d.mu.Unlock()
	}
}

// All returns all upstreams known, also those that leave.
func (d *Directory) All() []routing.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams.all()
}

// SinceStoreFailure is how long ago the store last failed to answer, -1 where it never
// did.
func (d *Directory) SinceStoreFailure() clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.upstreams.troubleMs < 0 {
		return -1
	}
	return d.o.Clock.Now() - d.upstreams.troubleMs
}

// storeTrouble takes in that a call to the store has failed.
func (d *Directory) storeTrouble() {
	d.mu.Lock()
	d.upstreams.troubleMs = d.o.Clock.Now()
	d.mu.Unlock()
}

// follower follows one topic of the store.
type follower struct {
	d     *Directory
	topic directory.Topic
	wait  clock.Millis
	// take takes a page in; whole says that its entries are all there are.
	take    func(page directory.Page, whole bool)
	version int64
	known   bool
	failing bool
}

func (f *follower) run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if f.known && !f.d.o.ShouldFollowStore() {
			f.known = false
			f.following(false)
		}
		if !f.known && f.d.Ready() && !f.d.o.ShouldFollowStore() {
			clock.Pause(ctx, standbyPause)
			continue
		}
		err := f.step(ctx)
		f.following(err == nil)
		f.report(err)
		if err == nil {
			pause = firstPause
			continue
		}
		clock.Pause(ctx, pause)
		pause = min(maxPause, pause*2)
	}
}

// step reads the topic whole or waits for its next changes.
func (f *follower) step(ctx context.Context) error {
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
		defer cancel()
		page, err := f.d.o.Store.Read(ctx, f.topic)
		if err != nil {
			return err
		}
		f.version, f.known = page.Version, true
		f.take(page, true)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, (f.wait + answerReserve).Duration())
	defer cancel()
	page, err := f.d.o.Store.Follow(ctx, f.topic, f.version, f.wait)
	var lost *directory.HistoryLostError
	if errors.As(err, &lost) {
		f.known = false
		return nil
	}
	if err != nil {
		return err
	}
	f.version = page.Version
	if len(page.Entries) > 0 {
		f.take(page, false)
	}
	return nil
}

// following notes whether the store tells this daemon of changes to the list of
// upstreams, which stands for all topics.
func (f *follower) following(yes bool) {
	if f.topic == directory.Upstreams {
		f.d.following.Store(yes)
	}
}

// report logs each change between a store that answers and one that does not.
func (f *follower) report(err error) {
	if f.d.ctx.Err() != nil {
		return
	}
	if err != nil {
		f.d.storeTrouble()
	}
	if (err != nil) == f.failing {
		return
	}
	f.failing = err != nil
	f.d.o.Log.Info("the store changed state", zap.String("topic", string(f.topic)), zap.Bool("reachable", !f.failing), zap.Error(err))
}
