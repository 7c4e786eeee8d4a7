package streamversions

import (
	"context"
	"errors"
	"strings"
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

// recordSeparator separates the parts of a record's value.
const recordSeparator = "\x00"

// entry returns the record of a stream that an attempt has begun.
func (s *stream) entry(attempt string) directory.Entry {
	return directory.Entry{Key: recordKey(attempt), Value: []byte(s.software + recordSeparator + s.digest)}
}

// parseRecord returns the version and the digest of a record. The digest is empty in records of earlier daemons.
func parseRecord(e directory.Entry) (software, digest string) {
	software, digest, _ = strings.Cut(string(e.Value), recordSeparator)
	return software, digest
}

// lookupUnnamed returns the version that began a stream of which the caller does not name the attempt, if no stream of
// another version can be meant. Streams that have no record were begun by the base, whichever daemon began them and
// whether their engines are still listed.
func (v *Versions) lookupUnnamed(ctx context.Context, begun Stream) (string, error) {
	now := v.o.Clock.Now()
	b, err := v.readBase(ctx, begun.Service)
	if err != nil {
		return "", err
	}
	page, seen, err := v.scans.since(ctx, v.o, now)
	if err != nil {
		return "", err
	}
	if page.Revision.Era != b.revision.Era {
		return "", errUnsure
	}
	if !b.valid && b.revision.Era > 0 {
		return "", errNoBase // the store has come back from an older copy, and may have lost records
	}
	all, own := v.versionsOfOwn(begun)
	for _, e := range page.Entries {
		if now-seen[e.Key] > v.lifetime() {
			continue // nobody takes it up any more
		}
		software, digest := parseRecord(e)
		all[software] = true
		if digest == begun.Digest || digest == "" {
			own[software] = true
		}
	}
	if b.valid {
		all[b.software] = true
	}
	if len(own) > 0 {
		if b.valid {
			own[b.software] = true
		}
		return theOnly(own)
	}
	// The request may have another digest than the one that began its stream.
	if only, ok := v.onlySeen(begun.Service, now); !ok || !b.valid || only != b.software {
		return "", errNoBase
	}
	return theOnly(all)
}

// theOnly returns the only one of versions.
func theOnly(versions map[string]bool) (software string, err error) {
	if len(versions) > 1 {
		return "", errSeveral
	}
	for software = range versions {
	}
	return software, nil
}

// versionsOfOwn returns the versions of the streams of a service that this daemon has begun lately, and of those that belong
// to a request.
func (v *Versions) versionsOfOwn(begun Stream) (all, own map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	all, own = map[string]bool{}, map[string]bool{}
	for _, st := range v.streams {
		if st.service != begun.Service {
			continue
		}
		all[st.software] = true
		if st.digest == begun.Digest {
			own[st.software] = true
		}
	}
	return all, own
}

// onlySeen returns the version of a service's engines, if this daemon has watched them for as long as a stream lives and has
// seen no other one.
func (v *Versions) onlySeen(name string, now clock.Millis) (software string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.services[name]
	if s == nil || len(s.listed) != 1 || now-s.watchedSinceMs <= v.lifetime() {
		return "", false
	}
	for other, at := range s.seenMs {
		if other != s.listed[0] && now-at <= v.lifetime() {
			return "", false
		}
	}
	return s.listed[0], true
}
