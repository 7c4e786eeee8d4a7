package directory

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/peers"
)

// SinceStoreFailure returns the time since a call to the store last failed, or -1 if
// none has.
func (d *Directory) SinceStoreFailure() clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastFailureMs < 0 {
		return -1
	}
	return d.o.Clock.Now() - d.lastFailureMs
}

// recordStoreFailure records that a call to the store has failed.
func (d *Directory) recordStoreFailure() {
	d.mu.Lock()
	d.lastFailureMs = d.o.Clock.Now()
	d.mu.Unlock()
}

// recordReceiving records that a part of the feed's answer about a topic has come.
func (d *Directory) recordReceiving(topic directory.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receivingMs[topic] = d.o.Clock.Now()
}

// isReceiving reports whether the feed's answer about a topic is on its way.
func (d *Directory) isReceiving(topic directory.Topic) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.receivingMs[topic]
	return ok && d.o.Clock.Now()-at < receivingSpan
}

// endReceiving records that no answer of the feed about a topic is on its way.
func (d *Directory) endReceiving(topic directory.Topic) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.receivingMs, topic)
}

// storeAnswered records an answer of the store to a call that began at called, and returns
// when the answer was made. It fails if the store is known to have come back from an older copy
// since.
func (d *Directory) storeAnswered(page directory.Page, called clock.Millis) (clock.Millis, error) {
	now := d.o.Clock.Now()
	d.mu.Lock()
	at := d.storeClock.timeOf(page.StoreMs, called, now)
	restored, err := d.history.answered(page.Revision, now)
	if err == nil {
		d.freshness.answered(at)
	}
	if restored {
		d.freshness.restored(at)
	}
	d.mu.Unlock()
	if restored {
		d.announceRestored(page.Revision)
	}
	return at, err
}

// confirm records that the entries in force of a topic were the store's at a time, when the
// store's revision was the given one.
func (d *Directory) confirm(topic directory.Topic, at clock.Millis, storeRevision directory.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freshness.confirm(topic, at, storeRevision)
}

// storeRevision returns the store's revision when a topic was last confirmed, or zero.
func (d *Directory) storeRevision(topic directory.Topic) directory.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.freshness.storeRevision[topic]
}

// ListIsFresh reports whether the list of upstreams in force was the store's so lately that no upstream
// may be used wrongly by it.
func (d *Directory) ListIsFresh() bool {
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	age, known := d.freshness.age(directory.Upstreams, now)
	return known && age <= d.limits.LeavingMs && d.ListRevision().Era == d.history.era
}

// Freshness returns how up to date this daemon is, to be sent to other daemons, or nil if
// the store has not been heard of yet.
func (d *Directory) Freshness() *peers.Freshness {
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	configAge, configKnown := d.freshness.age(directory.Routes, now)
	listAge, listKnown := d.freshness.age(directory.Upstreams, now)
	if !configKnown || !listKnown {
		return nil
	}
	f := &peers.Freshness{ConfigAgeMs: configAge, ListAgeMs: listAge, ConfigStore: d.freshness.storeRevision[directory.Routes]}
	if ago := now - d.freshness.surelyReachableSince(); ago < outageMemory {
		f.OutageAgoMs = max(1, ago)
	}
	return f
}

// Confirm applies what another daemon, which has the given revisions in force, knows of its
// freshness. What it knows of an earlier era counts for nothing.
func (d *Directory) Confirm(f peers.Freshness, config, list directory.Revision) {
	d.hearEra(list.Era)
	now := d.o.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Era < d.history.era {
		return
	}
	ago := func(age clock.Millis) clock.Millis { return now - max(0, age) }
	reachableSince := ago(f.OutageAgoMs)
	if f.OutageAgoMs == 0 {
		reachableSince = ago(outageMemory)
	}
	d.freshness.reachableFor(reachableSince, ago(min(f.ConfigAgeMs, f.ListAgeMs)), now)
	if f.ConfigStore.Era == d.history.era && !d.ConfigRevision().Before(config) {
		d.freshness.confirm(directory.Routes, ago(f.ConfigAgeMs), f.ConfigStore)
	}
	if inForce := d.ListRevision(); inForce.Era == list.Era && !inForce.Before(list) {
		d.freshness.confirm(directory.Upstreams, ago(f.ListAgeMs), directory.Revision{})
	}
}
