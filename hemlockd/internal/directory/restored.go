package directory

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
)

// revivalGraceBeats is how long an upstream that had left must be listed by a restored store until
// it is used, in multiples of the shortest outage that loses entries: the store drops the entry of
// an upstream that is gone before.
const revivalGraceBeats = 2

// history is what is known of the store's history: its era, and where that began. It is not safe
// for concurrent use.
type history struct {
	era   int64
	known bool // the store has answered, or another daemon has named the era
	// firstVersion is the lowest version seen in the era: what has a higher one was written in it.
	firstVersion int64
	hasVersion   bool
	// sinceMs is when the era was first heard of.
	sinceMs clock.Millis
	// wasRestored is set if an earlier one was known.
	wasRestored bool
}

// OldEraError reports an answer of the store from before it came back from an older copy.
type OldEraError struct {
	// Answer is the revision of the answer.
	Answer directory.Revision
	// Era is the era that is known.
	Era int64
}

// Error implements error.
func (e *OldEraError) Error() string {
	return fmt.Sprintf("the answer is of revision %v, but the store is in era %d", e.Answer, e.Era)
}

// answered records an answer of the store and reports whether it is the first sign of a restore. It
// fails if the answer is of an earlier era.
func (h *history) answered(at directory.Revision, now clock.Millis) (restored bool, err error) {
	if h.known && at.Era < h.era {
		return false, &OldEraError{Answer: at, Era: h.era}
	}
	restored = h.enter(at.Era, now)
	if !h.hasVersion || at.Version < h.firstVersion {
		h.firstVersion, h.hasVersion = at.Version, true
	}
	return restored, nil
}

// enter records that the store is in an era and reports whether that is the first sign of a restore.
func (h *history) enter(era int64, now clock.Millis) (restored bool) {
	if h.known && era <= h.era {
		return false
	}
	restored = h.known
	h.era, h.known, h.hasVersion, h.sinceMs = era, true, false, now
	h.wasRestored = h.wasRestored || restored
	return restored
}

// wroteSinceRestore reports whether a row was surely written after the restore.
func (h *history) wroteSinceRestore(row directory.Revision) bool {
	return h.wasRestored && h.hasVersion && row.Era == h.era && row.Version > h.firstVersion
}

// hearEra records the era that another daemon names; 0 if it knows none.
func (d *Directory) hearEra(era int64) {
	if era == 0 {
		return
	}
	now := d.o.Clock.Now()
	d.mu.Lock()
	restored := d.history.enter(era, now)
	if restored {
		d.freshness.restored(now)
	}
	d.mu.Unlock()
	if restored {
		d.announceRestored(directory.Revision{Era: era})
	}
}

// announceRestored tells that the store has come back from an older copy.
func (d *Directory) announceRestored(at directory.Revision) {
	d.o.Log.Warn("the store has come back from an older copy", zap.Int64("era", at.Era), zap.Int64("version", at.Version),
		zap.Stringer("list", d.ListRevision()), zap.Stringer("config", d.ConfigRevision()))
	metrics.Add("restores", 1)
	if d.o.OnRestored != nil {
		d.o.OnRestored()
	}
}

// Era returns the store's era and when this daemon learned of it; known is false before.
func (d *Directory) Era() (era int64, sinceMs clock.Millis, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history.era, d.history.sinceMs, d.history.known
}

// pendingConfig is a configuration that the operator has written to the restored store with a
// number that is not higher than that in force.
type pendingConfig struct {
	raw     []byte
	sinceMs clock.Millis
}

// applyStoredConfig puts the store's configuration into force if its number is higher than that in
// force: the numbers are the operator's and outlive a restore. One that is lower waits, see
// settleConfig, if it was surely written after a restore.
func (d *Directory) applyStoredConfig(row directory.Entry) {
	era := d.ConfigRevision().Era
	revision := d.applyConfig(row.Value, era, storeSource)
	d.mu.Lock()
	defer d.mu.Unlock()
	inForce := d.table.Load()
	if inForce == nil || bytes.Equal(inForce.Config.Raw, row.Value) {
		d.pending = nil
		return
	}
	if revision.Version == 0 || !d.history.wroteSinceRestore(row.Revision) {
		return
	}
	if d.pending == nil || !bytes.Equal(d.pending.raw, row.Value) {
		d.pending = &pendingConfig{raw: row.Value, sinceMs: d.o.Clock.Now()}
	}
}

// settleConfig puts a lower configuration into force once it has stood in the restored store for as
// long as the operator needs to write again what was lost.
func (d *Directory) settleConfig(now clock.Millis) {
	d.mu.Lock()
	p, era := d.pending, d.history.era
	due := p != nil && now-p.sinceMs >= removalGrace
	if due {
		d.pending = nil
	}
	d.mu.Unlock()
	if due {
		d.applyConfig(p.raw, era, storeSource)
	}
}

// revives reports whether an entry of a restored store brings back an upstream that is known to
// leave or to have been removed. An entry that was surely written later does not.
func (l *upstreamList) revives(u routing.Upstream) bool {
	known, ok := l.newest[u.ID]
	if !ok || u.Leaving {
		return false
	}
	e, listed := l.entries[u.ID]
	if listed && !e.upstream.Leaving && e.unsureMs == 0 {
		return false
	}
	return u.StartedMs == known.startedMs && u.Sequence <= known.sequence
}

// putUnsure lists an entry whose upstream is not used until settle. One that still is listed as
// leaving stays so.
func (l *upstreamList) putUnsure(u routing.Upstream, raw []byte, now clock.Millis) {
	if e, ok := l.entries[u.ID]; ok {
		e.removedMs = 0
		return
	}
	l.entries[u.ID] = &listEntry{upstream: u, raw: raw, unsureMs: now}
}

// settle uses the upstreams that have been listed for a while although they had left, and returns
// their IDs.
func (l *upstreamList) settle(now, grace clock.Millis) (used []string) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if e := l.entries[id]; e.unsureMs != 0 && now-e.unsureMs >= grace {
			e.unsureMs = 0
			l.newest[id] = orderOf(e.upstream)
			used = append(used, id)
		}
	}
	return used
}
