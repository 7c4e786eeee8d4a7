// Package configuration holds the settings in force at this daemon and replaces them
// with newer versions. Only a higher version is ever applied, whatever its source. A
// reader that keeps the result of Tree sees one version throughout.
//
// A table that comes back from an older copy gives out versions again. Changes are therefore named
// by version and id, and what the table has lost is written to it again with a version above both.
//
// # Usage
//
//	c := configuration.New(env)
//	changed, err := c.Apply(delta)
//	tree := c.Tree() // nil until there are settings
package configuration

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/process"
)

var metrics = expvar.NewMap("settings")

// Delta holds all nodes that changed between two versions of the settings.
type Delta struct {
	// BaseVersion is the version that the delta starts from, 0 for all nodes.
	BaseVersion int64 `json:"have"`
	// Version is the version that the delta leads to.
	Version int64 `json:"version"`
	// Changes are the latest changes up to Version, the oldest first.
	Changes []settings.ChangeRef `json:"changes,omitempty"`
	// Merged are changes that the table had lost and that are part of the settings again.
	Merged []settings.ChangeRef `json:"merged,omitempty"`
	// Nodes holds the nodes whose version is higher than BaseVersion.
	Nodes []settings.Node `json:"nodes"`
}

// Configuration holds the settings in force.
type Configuration struct {
	env process.Environment

	mu    sync.Mutex // held while a version is replaced
	nodes map[string]settings.Node
	// changes are the latest changes that led to the settings in force. The slice is replaced, never changed.
	changes []settings.ChangeRef
	// merged are changes that the table had lost and that were written again. The slice is replaced, never
	// changed.
	merged []settings.ChangeRef
	// diverged is set until the next poll if the settings of another daemon do not follow from these.
	diverged atomic.Bool
	tree     atomic.Pointer[settings.Tree]
	keys     atomic.Pointer[map[string]string] // key hash -> team
	// OnChange is called with the new version after each replacement.
	OnChange func(version int64)
}

// New returns a configuration without settings.
func New(env process.Environment) *Configuration {
	return &Configuration{env: env, nodes: map[string]settings.Node{}, OnChange: func(int64) {}}
}

// Tree returns the settings in force, or nil if there are none yet.
func (c *Configuration) Tree() *settings.Tree { return c.tree.Load() }

// Version returns the version in force, or 0 if there is none.
func (c *Configuration) Version() int64 {
	if tree := c.tree.Load(); tree != nil {
		return tree.Version
	}
	return 0
}

// TeamOf returns the team that the key belongs to.
func (c *Configuration) TeamOf(key string) (string, bool) {
	keys := c.keys.Load()
	if keys == nil {
		return "", false
	}
	team, ok := (*keys)[settings.HashKey(key)]
	return team, ok
}

// OperatorOf returns the operator that the key belongs to. The bootstrap key is accepted
// only while the settings name no operators.
func (c *Configuration) OperatorOf(key string) (string, bool) {
	hash := settings.HashKey(key)
	if tree := c.tree.Load(); tree != nil {
		for name, op := range tree.System.Operators {
			if op.KeyHash == hash {
				return name, true
			}
		}
		if len(tree.System.Operators) > 0 {
			return "", false
		}
	}
	return "bootstrap", c.env.Config.BootstrapHash == hash
}

// DeltaSince returns the nodes that changed after the given change, or all nodes if that is not one
// of those that led to the settings in force.
func (c *Configuration) DeltaSince(have settings.ChangeRef) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delta{Version: c.Version(), Changes: c.changes, Merged: c.merged}
	if slices.Contains(c.changes, have) {
		d.BaseVersion = have.Version
	}
	for _, n := range c.nodes {
		if n.Version > d.BaseVersion {
			d.Nodes = append(d.Nodes, n)
		}
	}
	return d
}

// Change returns the change that made the version in force; zero if there are no settings.
func (c *Configuration) Change() settings.ChangeRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changeLocked()
}

func (c *Configuration) changeLocked() settings.ChangeRef {
	if len(c.changes) == 0 {
		return settings.ChangeRef{Version: c.Version()}
	}
	return c.changes[len(c.changes)-1]
}

// Apply applies a delta of another daemon if its version is higher than the one in force and its
// base version is not. One with all nodes replaces them; if it does not follow from the settings in
// force, it is left to the table to decide, see Diverged. It reports whether it applied the delta.
func (c *Configuration) Apply(d Delta) (changed bool, err error) {
	c.mu.Lock()
	if own := c.changeLocked(); own.Version > 0 && d.BaseVersion == 0 && d.Version > own.Version && !slices.Contains(d.Changes, own) && !slices.Contains(d.Merged, own) {
		c.mu.Unlock()
		c.diverged.Store(true)
		return false, nil
	}
	c.mu.Unlock()
	return c.apply(d)
}

// Diverged reports whether another daemon has later settings that do not follow from those in force.
// Only the table can tell which of them count.
func (c *Configuration) Diverged() bool { return c.diverged.Load() }

// apply applies a delta if its version is higher than the one in force and its base version is not.
func (c *Configuration) apply(d Delta) (changed bool, err error) {
	c.mu.Lock()
	before := c.Version()
	if d.Version <= before || d.BaseVersion > before {
		c.mu.Unlock()
		return false, nil
	}
	merged := map[string]settings.Node{}
	if d.BaseVersion > 0 {
		maps.Copy(merged, c.nodes)
	}
	for _, n := range d.Nodes {
		if old, ok := merged[n.Path]; !ok || n.Version > old.Version {
			merged[n.Path] = n
		}
	}
	err = c.replaceLocked(d.Version, merged)
	if err == nil {
		c.recordLocked(d)
	}
	c.mu.Unlock()
	if err != nil {
		metrics.Add("rejected", 1)
		return false, err
	}
	c.env.Log.Info("new settings version in force", zap.Int64("version", d.Version), zap.Int64("before", before))
	c.OnChange(d.Version)
	return true, nil
}

// maxChanges is the number of changes that are remembered: a restored table lacks those of some
// seconds.
const maxChanges = 64

// recordLocked remembers the changes that a delta holds.
func (c *Configuration) recordLocked(d Delta) {
	var all []settings.ChangeRef
	if d.BaseVersion > 0 {
		all = slices.Clone(c.changes)
	}
	for _, change := range d.Changes {
		if change.Version > d.BaseVersion {
			all = append(all, change)
		}
	}
	c.changes = all[max(0, len(all)-maxChanges):]
	merged := slices.Clone(c.merged)
	for _, change := range d.Merged {
		if !slices.Contains(merged, change) {
			merged = append(merged, change)
		}
	}
	c.merged = merged[max(0, len(merged)-maxChanges):]
}

func (c *Configuration) replaceLocked(version int64, nodes map[string]settings.Node) error {
	list := make([]settings.Node, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, n)
	}
	tree, err := settings.Parse(version, list)
	if err != nil {
		return err
	}
	keys := map[string]string{}
	for name, team := range tree.Teams {
		for _, key := range team.Keys {
			keys[key.Hash] = name
		}
	}
	before := c.Version()
	c.env.Invariants.Check(invariant.SettingsMonotonic, version > before, "from", before, "to", version)
	c.nodes = nodes
	c.tree.Store(tree)
	c.keys.Store(&keys)
	metrics.Add("applied", 1)
	return nil
}

// Poll reads the head version from the store and applies the changes if it is newer. If the table
// has come back from an older copy, what it has lost is written to it again.
func (c *Configuration) Poll(ctx context.Context, store *settings.Store) error {
	metrics.Add("polls", 1)
	own := c.Change() // before the head, which is then no older unless the table is
	head, err := store.Head(ctx)
	if err != nil {
		metrics.Add("pollFailures", 1)
		return err
	}
	if own == settings.ChangeRef(head) || own.Version == 0 && head.Version == 0 {
		c.diverged.Store(false)
		return nil
	}
	delta, err := c.fetch(ctx, store, own, head)
	if err != nil {
		metrics.Add("pollFailures", 1)
		return err
	}
	c.diverged.Store(false)
	_, err = c.apply(delta)
	return err
}

// fetch reads the changes after the one in force, or all nodes if there are no settings yet or the
// table has another history.
func (c *Configuration) fetch(ctx context.Context, store *settings.Store, own settings.ChangeRef, head settings.Head) (Delta, error) {
	if own.Version == 0 {
		return snapshot(ctx, store)
	}
	if head.Version > own.Version {
		changes, nodes, err := store.ChangedSince(ctx, own)
		if err == nil {
			return Delta{BaseVersion: own.Version, Version: lastVersion(changes, own.Version), Changes: changes, Nodes: nodes}, nil
		}
		if !errors.Is(err, settings.ErrOtherHistory) {
			return Delta{}, err
		}
	}
	c.env.Log.Warn("the table has come back from an older copy; writing again what it has lost",
		zap.Int64("inForce", own.Version), zap.String("changeId", own.ChangeID), zap.Int64("head", head.Version), zap.String("headChangeId", head.ChangeID))
	metrics.Add("restores", 1)
	held := c.held()
	if err := store.Restore(ctx, held, c.env.Clock.Now()); err != nil {
		return Delta{}, err
	}
	delta, err := snapshot(ctx, store)
	delta.Merged = held.Changes // the table has these again
	return delta, err
}

// held returns what is in force here.
func (c *Configuration) held() settings.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	return settings.Held{Version: c.Version(), Changes: c.changes, Nodes: slices.Collect(maps.Values(c.nodes))}
}

// snapshot reads all nodes, and the latest changes that led to them.
func snapshot(ctx context.Context, store *settings.Store) (Delta, error) {
	head, nodes, err := store.Snapshot(ctx)
	if err != nil {
		return Delta{}, err
	}
	rows, err := store.AuditSince(ctx, max(0, head.Version-maxChanges))
	if err != nil {
		return Delta{}, err
	}
	d := Delta{Version: head.Version, Nodes: nodes}
	for _, row := range rows {
		if row.Version <= head.Version {
			d.Changes = append(d.Changes, settings.ChangeRef{Version: row.Version, ChangeID: row.ChangeID})
		}
	}
	return d, nil
}

// lastVersion returns the version of the last change, or the given one if there is none.
func lastVersion(changes []settings.ChangeRef, none int64) int64 {
	if len(changes) == 0 {
		return none
	}
	return changes[len(changes)-1].Version
}
