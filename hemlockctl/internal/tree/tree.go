// Package tree stores settings as files in a directory: system.toml, teams/NAME.toml,
// and a file with the version that they were fetched from, their base.
//
// # Usage
//
//	local, err := tree.Read(dir)
//	base, ok, err := tree.ReadBase(dir)
//	changes := tree.Changes(base.Nodes, local, deleteMissing)
package tree

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"hemlockmux.example/common/settings"
)

// baseFile is the name of the file that holds the Base.
const baseFile = ".hemlock.json"

const extension = ".toml"

// Base holds the settings that the files were fetched from.
type Base struct {
	// Version is the version of the settings.
	Version int64 `json:"version"`
	// Nodes are the nodes in that version.
	Nodes []settings.Node `json:"nodes"`
}

// Read returns the .toml files below dir as nodes.
func Read(dir string) ([]settings.Node, error) {
	var nodes []settings.Node
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != extension {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		nodes = append(nodes, settings.Node{Path: strings.TrimSuffix(filepath.ToSlash(name), extension), Text: string(text)})
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read settings in %s: %w", dir, err)
	}
	if len(nodes) == 0 {
		return nil, fmt.Errorf("no .toml files in %s", dir)
	}
	return nodes, nil
}

// Write writes the nodes of base as files below dir, removes the files of deleted
// nodes, and writes base itself.
func Write(dir string, base Base) error {
	for _, n := range base.Nodes {
		path := filepath.Join(dir, filepath.FromSlash(n.Path)+extension)
		if n.Deleted {
			if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return fmt.Errorf("remove settings file: %w", err)
			}
			continue
		}
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return fmt.Errorf("create settings directory: %w", err)
		}
		if err := os.WriteFile(path, []byte(n.Text), 0o644); err != nil {
			return fmt.Errorf("write settings file: %w", err)
		}
	}
	return WriteBase(dir, base)
}

// WriteBase records base as the base of the files of dir.
func WriteBase(dir string, base Base) error {
	text, err := json.Marshal(base)
	if err != nil {
		return fmt.Errorf("encode base: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, baseFile), text, 0o644)
}

// ReadBase returns the base of the files of dir; ok is false if none is recorded.
func ReadBase(dir string) (base Base, ok bool, err error) {
	text, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, fs.ErrNotExist) {
		return Base{}, false, nil
	}
	if err != nil {
		return Base{}, false, err
	}
	if err := json.Unmarshal(text, &base); err != nil {
		return Base{}, false, fmt.Errorf("%s is not valid JSON; fetch the settings again with hemlockctl settings get: %w", baseFile, err)
	}
	return base, true, nil
}

// Changes returns the changes that turn base into local, sorted by path. Nodes that
// are missing in local are deleted only if deleteMissing is set.
func Changes(base, local []settings.Node, deleteMissing bool) []settings.NodeChange {
	before := map[string]settings.Node{}
	for _, n := range base {
		if !n.Deleted {
			before[n.Path] = n
		}
	}
	var changes []settings.NodeChange
	for _, n := range local {
		old, ok := before[n.Path]
		delete(before, n.Path)
		if !ok || old.Text != n.Text {
			changes = append(changes, settings.NodeChange{Path: n.Path, Before: old.Text, After: n.Text})
		}
	}
	if deleteMissing {
		for path, n := range before {
			changes = append(changes, settings.NodeChange{Path: path, Before: n.Text, Deleted: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

// FormatChange returns a change as a diff: the path and line of the first difference,
// then the removed lines and the added lines. Common lines at the beginning and the
// end are left out.
func FormatChange(c settings.NodeChange) string {
	before, after := strings.Split(c.Before, "\n"), strings.Split(c.After, "\n")
	head := 0
	for head < len(before) && head < len(after) && before[head] == after[head] {
		head++
	}
	tail := 0
	for tail < len(before)-head && tail < len(after)-head && before[len(before)-1-tail] == after[len(after)-1-tail] {
		tail++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s%s:%d\n", c.Path, extension, head+1)
	for _, line := range before[head : len(before)-tail] {
		fmt.Fprintf(&b, "- %s\n", line)
	}
	for _, line := range after[head : len(after)-tail] {
		fmt.Fprintf(&b, "+ %s\n", line)
	}
	return b.String()
}
