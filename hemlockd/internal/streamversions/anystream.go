package streamversions

import (
	"context"
	"errors"
	"sync"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// errSeveral reports that streams of more than one version may be alive.
var errSeveral = errors.New("streams of several versions may be alive")

// scans reads all records for lookups. Lookups that wait meanwhile share the next scan. It is safe for concurrent use.
type scans struct {
	mu sync.Mutex
	// beganMs is when the last scan began; page and err are its result.
	beganMs clock.Millis
	page    directory.Page
	err     error
	// seenMs is, by key, when a record was first seen.
	seenMs map[string]clock.Millis
}

// since returns the result of a scan that has begun later than a time, with the times at which its records were first
// seen.
func (s *scans) since(ctx context.Context, o Options, after clock.Millis) (directory.Page, map[string]clock.Millis, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.beganMs > after {
		return s.page, s.seenMs, s.err
	}
	began := o.Clock.Now()
	page, err := o.Store.Read(ctx, directory.Streams)
	if err != nil && ctx.Err() != nil { // the time of this lookup is over, not that of the others
		return directory.Page{}, nil, err
	}
	s.beganMs, s.page, s.err = began, page, err
	if err != nil {
		return directory.Page{}, nil, err
	}
	seen := make(map[string]clock.Millis, len(s.page.Entries)) // a new one: lookups may still have the one before
	for _, e := range s.page.Entries {
		seen[e.Key] = s.beganMs
		if first, ok := s.seenMs[e.Key]; ok {
			seen[e.Key] = first
		}
	}
	s.seenMs = seen
	return s.page, seen, nil
}

// lookupAny returns the only version of which a stream of a service can be alive. That is the base, if this daemon has
// seen no other version listed for as long as a stream lives, and no record of another one is younger than that. The
// records tell of streams of versions that only other daemons have seen, or this one before it was started again: each
// is written before the first event of its stream reaches the caller.
func (v *Versions) lookupAny(ctx context.Context, name string) (string, error) {
	now := v.o.Clock.Now()
	only, ok := v.onlySeen(name, now)
	if !ok {
		return "", errSeveral
	}
	b, err := v.readBase(ctx, name)
	if err != nil {
		return "", err
	}
	if !b.valid || b.software != only {
		return "", errNoBase
	}
	page, seen, err := v.scans.since(ctx, v.o, now)
	if err != nil {
		return "", err
	}
	if page.Revision.Era != b.revision.Era {
		return "", errUnsure
	}
	for _, e := range page.Entries {
		if string(e.Value) != only && now-seen[e.Key] <= v.lifetime() {
			return "", errSeveral
		}
	}
	return only, nil
}

// onlySeen returns the version of a service's engines, if it is the only one that this daemon has seen for as long as a
// stream lives, or since it has started, and the only one of its own streams.
func (v *Versions) onlySeen(name string, now clock.Millis) (software string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil || len(s.listed) != 1 {
		return "", false
	}
	for other, at := range s.seenMs {
		if other != s.listed[0] && now-at <= v.lifetime() {
			return "", false
		}
	}
	for _, st := range v.streams {
		if st.service == name && st.software != s.listed[0] {
			return "", false
		}
	}
	return s.listed[0], true
}
