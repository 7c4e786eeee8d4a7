// Package configuration holds the settings in force at this daemon and replaces them
// with newer versions. Only a higher version is ever applied, whatever its source. A
// reader that keeps the result of Tree sees one version throughout.
//
// # Usage
//
//	c := configuration.New(env)
//	changed, err := c.Apply(delta)
//	tree := c.Tree() // nil until there are settings
package configuration

import (
	"context"
	"expvar"
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
	// Nodes holds the nodes whose version is higher than BaseVersion.
	Nodes []settings.Node `json:"nodes"`
}

// Configuration holds the settings in force.
type Configuration struct {
	env process.Environment

	mu    sync.Mutex // held while a version is replaced
	nodes map[string]settings.Node
	tree  atomic.Pointer[settings.Tree]
	keys  atomic.Pointer[map[string]string] // key hash -> team
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

// DeltaSince returns the nodes that changed after the given version.
func (c *Configuration) DeltaSince(have int64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delta{BaseVersion: have, Version: c.Version()}
	for _, n := range c.nodes {
		if n.Version > have {
			d.Nodes = append(d.Nodes, n)
		}
	}
	return d
}

// Apply applies a delta if its version is higher than the one in force and its base
// version is not. It reports whether it did.
func (c *Configuration) Apply(d Delta) (changed bool, err error) {
	c.mu.Lock()
	before := c.Version()
	if d.Version <= before || d.BaseVersion > before {
		c.mu.Unlock()
		return false, nil
	}
	merged := make(map[string]settings.Node, len(c.nodes)+len(d.Nodes))
	for path, n := range c.nodes {
		merged[path] = n
	}
	for _, n := range d.Nodes {
		if old, ok := merged[n.Path]; !ok || n.Version > old.Version {
			merged[n.Path] = n
		}
	}
	err = c.replaceLocked(d.Version, merged)
	c.mu.Unlock()
	if err != nil {
		metrics.Add("rejected", 1)
		return false, err
	}
	c.env.Log.Info("new settings version in force", zap.Int64("version", d.Version), zap.Int64("before", before))
	c.OnChange(d.Version)
	return true, nil
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

// Poll reads the head version from the store and applies the changes if it is newer.
func (c *Configuration) Poll(ctx context.Context, store *settings.Store) error {
	metrics.Add("polls", 1)
	head, err := store.Head(ctx)
	if err != nil {
		metrics.Add("pollFailures", 1)
		return err
	}
	if head.Version <= c.Version() {
		return nil
	}
	delta, err := c.fetch(ctx, store)
	if err != nil {
		metrics.Add("pollFailures", 1)
		return err
	}
	_, err = c.Apply(delta)
	return err
}

// fetch reads all nodes if there are no settings yet, and otherwise only the changes.
func (c *Configuration) fetch(ctx context.Context, store *settings.Store) (Delta, error) {
	have := c.Version()
	if have == 0 {
		head, nodes, err := store.Snapshot(ctx)
		return Delta{Version: head.Version, Nodes: nodes}, err
	}
	version, nodes, err := store.ChangedSince(ctx, have)
	return Delta{BaseVersion: have, Version: version, Nodes: nodes}, err
}
