package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

const (
	// callTimeout limits a call to the store that no caller waits for.
	callTimeout = 2 * clock.Second
	// basePause is the time between two tries to read or to move a base.
	basePause = clock.Second
	// maxGap is the time without an observation after which what was listed before says nothing.
	maxGap = 3 * clock.Second
	// cleanInterval is the time between two looks for records of daemons that are gone.
	cleanInterval = 10 * clock.Minute
)

// errNoBase reports that the store has no base that counts.
var errNoBase = errors.New("the store has neither a record nor a base version")

// errUnsure reports a base of which this daemon is not sure.
var errUnsure = errors.New("the store has another era than the base version")

// storedBase is the value of a service's entry in the store.
type storedBase struct {
	// Software is the version that begins streams without a record.
	Software string `json:"software"`
	// Era is the store's era in which this was written. It does not count in a later one: the store may
	// have lost records since.
	Era int64 `json:"era"`
}

// base is what the store says of a service's base.
type base struct {
	software string
	// valid is set if there is one that counts.
	valid bool
	// revision is the entry's; its version is 0 if there is none.
	revision directory.Revision
}

// service is what is known of the versions of one service's engines. It is not safe for concurrent use.
type service struct {
	name string
	// watchedSinceMs is since when the service has been observed without a gap, and observedMs when it last
	// was.
	watchedSinceMs, observedMs clock.Millis
	// seenMs is, by version, when it was last listed.
	seenMs map[string]clock.Millis
	listed []string
	// changedMs is when a version was last listed that was not before.
	changedMs clock.Millis
	base      base
	// baseReadMs is when the base was last read, or -1.
	baseReadMs clock.Millis
	// nextTryMs is when the base may be read or moved again.
	nextTryMs clock.Millis
}

func newService(name string, now clock.Millis) *service {
	return &service{name: name, watchedSinceMs: now, observedMs: now, changedMs: now, seenMs: map[string]clock.Millis{}, baseReadMs: -1}
}

func (s *service) observe(versions []string, now clock.Millis) {
	if now-s.observedMs > maxGap {
		s.watchedSinceMs, s.changedMs = now, now
	}
	s.observedMs = now
	for _, software := range versions {
		if !slices.Contains(s.listed, software) {
			s.changedMs = now
		}
		s.seenMs[software] = now
	}
	s.listed = slices.Clone(versions)
}

// settled reports whether the base has been read late enough after the last change to be relied on.
func (s *service) settled() bool {
	return s.baseReadMs >= 0 && s.baseReadMs-s.changedMs >= settleTime
}

// impliesWithoutRecord reports whether a stream without a record is surely taken for one of a version.
func (s *service) impliesWithoutRecord(software string) bool {
	return s.settled() && s.base.valid && s.base.software == software
}

// onlyVersion returns the only version that has been listed for a span, if there is just one and the
// service has been watched for as long.
func (s *service) onlyVersion(now, span clock.Millis) (string, bool) {
	if now-s.watchedSinceMs < span {
		return "", false
	}
	only, found := "", 0
	for software, at := range s.seenMs {
		if now-at < span {
			only = software
			found++
		}
	}
	return only, found == 1
}

// restored forgets the base, which counts in the era before only.
func (s *service) restored(now clock.Millis) {
	s.base.valid, s.baseReadMs, s.changedMs = false, -1, now
}

// run does what is due until ctx ends.
func (v *Versions) run(ctx context.Context) {
	for clock.Sleep(ctx, tick) {
		now := v.o.Clock.Now()
		v.mu.Lock()
		v.forgetLocked(now - v.lifetime())
		var due []*service
		for _, s := range v.services {
			if v.baseDueLocked(s, now) {
				s.nextTryMs = now + basePause
				due = append(due, s)
			}
		}
		v.mu.Unlock()
		for _, s := range due {
			v.updateBase(ctx, s)
		}
		if now >= v.cleanDueMs {
			v.cleanDueMs = now + cleanInterval
			v.clean(ctx)
		}
	}
}

// baseDueLocked reports whether a service's base should be read: it is not settled but may be now, or
// another version has become the only one.
func (v *Versions) baseDueLocked(s *service, now clock.Millis) bool {
	if now < s.nextTryMs {
		return false
	}
	if !s.settled() && (now-s.changedMs >= settleTime || s.baseReadMs < 0) {
		return true
	}
	only, ok := s.onlyVersion(now, v.lifetime())
	return ok && (!s.base.valid || s.base.software != only)
}

// updateBase reads a service's base, and moves it to the only version if there is one.
func (v *Versions) updateBase(ctx context.Context, s *service) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	called := v.o.Clock.Now()
	b, err := v.readBase(ctx, s.name)
	if err != nil {
		metrics.Add("baseFailures", 1)
		return
	}
	v.mu.Lock()
	s.base, s.baseReadMs = b, called
	only, ok := s.onlyVersion(called, v.lifetime())
	v.mu.Unlock()
	if !ok || b.valid && b.software == only {
		return
	}
	moved := base{software: only, valid: true}
	if moved.revision, err = v.writeBase(ctx, s.name, only, b.revision); err != nil {
		metrics.Add("baseFailures", 1)
		return // another daemon was first, or it is tried again
	}
	v.mu.Lock()
	s.base, s.baseReadMs = moved, called
	v.mu.Unlock()
	v.o.Log.Info("the base version of a service has moved", zap.String("service", s.name), zap.String("software", only),
		zap.String("before", b.software), zap.Stringer("revision", moved.revision))
}

// readBase reads a service's base from the store.
func (v *Versions) readBase(ctx context.Context, name string) (base, error) {
	entry, err := v.o.Store.Entry(ctx, directory.SoftwareVersions, name)
	if err != nil {
		return base{}, err
	}
	b := base{revision: entry.Revision}
	if entry.Revision.Version == 0 {
		return b, nil
	}
	var stored storedBase
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return base{}, err
	}
	b.software, b.valid = stored.Software, stored.Era == entry.Revision.Era
	return b, nil
}

// writeBase replaces a service's base, whose entry has the given revision.
func (v *Versions) writeBase(ctx context.Context, name, software string, at directory.Revision) (directory.Revision, error) {
	value, err := json.Marshal(storedBase{Software: software, Era: at.Era})
	if err != nil {
		return directory.Revision{}, err
	}
	revision, err := v.o.Store.CompareAndSwap(ctx, directory.SoftwareVersions, name, value, at)
	if err == nil && revision.Era != at.Era {
		return directory.Revision{}, errUnsure // what was written names an earlier era and does not count
	}
	return revision, err
}

// clean removes the records that were there at the cleaning before: their streams have ended, and so
// have the daemons that would have removed them.
func (v *Versions) clean(ctx context.Context) {
	if !v.o.Cleans() {
		v.dead = map[string]bool{}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	page, err := v.o.Store.Read(ctx, directory.Streams)
	if err != nil {
		return
	}
	left := map[string]bool{}
	removed := 0
	for _, e := range page.Entries {
		if v.dead[e.Key] {
			v.writer.add(directory.Entry{Key: e.Key, Removed: true})
			removed++
			continue
		}
		left[e.Key] = true
	}
	v.dead = left
	if removed > 0 {
		v.o.Log.Info("removing records of streams that have ended", zap.Int("records", removed))
	}
}
