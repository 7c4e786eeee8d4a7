package usersplatform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// storeCopy is a copy of the store's content from which it can be restored.
type storeCopy struct {
	version          int64
	rows             map[rowID]Row
	history          []Row
	compactedVersion int64
	objects          map[string][]byte
}

// StoreRestore describes what happens after the store has been restored.
type StoreRestore struct {
	// RewriteMs is the time after which what the operator and the servers have written since the
	// copy was made is written again, in milliseconds; 0 means never.
	RewriteMs int64 `json:"rewriteMs"`
}

// firstEra is the era of a store that was never restored: how often it has been.
const firstEra = 0

// Copy makes the copy from which [Store.Restore] restores the store.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &storeCopy{
		version: s.version, rows: maps.Clone(s.rows), history: slices.Clone(s.history),
		compactedVersion: s.compactedVersion, objects: maps.Clone(s.objects),
	}
}

// Restore replaces the store's content by that of the copy. Versions go on from the copy's, and
// the era rises by one. Calls that wait for changes lose their connections. It reports whether
// there is a copy.
func (s *Store) Restore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copied
	if c == nil {
		return false
	}
	s.version, s.compactedVersion = c.version, c.compactedVersion
	s.rows, s.history, s.objects = maps.Clone(c.rows), slices.Clone(c.history), maps.Clone(c.objects)
	s.era++
	s.notifyLocked()
	return true
}

// tellEra names the era in an answer.
func (s *Store) tellEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

// restoreStore restores the store and has the operator and the servers write again what it lost.
func (p *Platform) restoreStore(w http.ResponseWriter, o StoreRestore) {
	config := p.store.value("op", "config")
	if !p.store.Restore() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if o.RewriteMs > 0 {
		time.AfterFunc(time.Duration(o.RewriteMs)*time.Millisecond, func() { p.rewrite(config) })
	}
}

// rewrite writes the configuration, unless there is a later one, and the entries of all servers.
func (p *Platform) rewrite(config []byte) {
	if configVersion(p.store.value("op", "config")) < configVersion(config) {
		p.store.Set("op", "config", config)
	}
	p.mu.Lock()
	servers := maps.Clone(p.servers)
	p.mu.Unlock()
	for _, id := range p.store.keys("servers") {
		if s, ok := servers[id]; !ok || s.currentState() == "" {
			p.store.Set("servers", id, nil)
		}
	}
	for _, s := range servers {
		if state := s.currentState(); state != "" {
			s.publish(state)
		}
	}
}

// value returns the value of a row, or nil if it does not exist.
func (s *Store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table: table, key: key}].Value
}

// keys returns the keys of the rows of a table.
func (s *Store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for id := range s.rows {
		if id.table == table {
			all = append(all, id.key)
		}
	}
	return all
}

// configVersion returns the version of a configuration, or 0 if it has none.
func configVersion(config []byte) int64 {
	var c struct{ Version int64 }
	if json.Unmarshal(config, &c) != nil {
		return 0
	}
	return c.Version
}
