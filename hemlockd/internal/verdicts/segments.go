package verdicts

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path"
	"slices"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/daemons"
)

// maxLookupObjects bounds the number of objects that one lookup reads.
const maxLookupObjects = 200

// maxObjectBytes bounds the size of the objects into which waiting batches are merged.
const maxObjectBytes = 1 << 20

// maxWaitingBytes bounds the batches that wait for the object store: some eight hours of them at the size of docs/CAPACITY.md.
const maxWaitingBytes = 40 << 20

// segment is a batch of verdicts in its stored form. It is compressed, so that the
// verdicts of a platform outage of hours fit in memory.
type segment struct {
	key        string       // name of the object
	body       []byte       // JSON lines, compressed with gzip
	firstEndMs clock.Millis // earliest end of a request in the batch, in Unix ms
	lastEndMs  clock.Millis // time at which the batch was made, in Unix ms
	// holder is the daemon that has copies of all the batch's verdicts, or "".
	holder string
}

// objectKey returns the name of a batch's object. The names of one daemon's objects sort
// by the time at which their batches were made.
func objectKey(daemon string, lastEndMs clock.Millis, suffix string) string {
	return fmt.Sprintf("%s%013d-%s.json.gz", objectPrefix(daemon), lastEndMs, suffix)
}

func objectPrefix(daemon string) string { return "verdicts/" + daemon + "/" }

// newSegment encodes verdicts of a daemon as a batch made at the time now.
func newSegment(verdicts []verdict.Verdict, daemon, suffix string, now clock.Millis) (segment, error) {
	var buffer bytes.Buffer
	zip := gzip.NewWriter(&buffer)
	encoder := json.NewEncoder(zip)
	s := segment{key: objectKey(daemon, now, suffix), firstEndMs: now, lastEndMs: now}
	for _, v := range verdicts {
		s.firstEndMs = min(s.firstEndMs, v.EndMs)
		if err := encoder.Encode(v); err != nil {
			return s, fmt.Errorf("encode verdict: %w", err)
		}
	}
	if err := zip.Close(); err != nil {
		return s, fmt.Errorf("compress verdicts: %w", err)
	}
	s.body = buffer.Bytes()
	return s, nil
}

func (s segment) find(id string) (verdict.Verdict, bool) { return findInBody(s.body, id) }

// findInBody looks up a verdict in the body of a batch.
func findInBody(body []byte, id string) (verdict.Verdict, bool) {
	zip, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return verdict.Verdict{}, false
	}
	lines := bufio.NewReader(zip)
	for {
		line, err := lines.ReadBytes('\n')
		if bytes.Contains(line, []byte(id)) {
			var v verdict.Verdict
			if json.Unmarshal(line, &v) == nil && v.RequestID == id {
				return v, true
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				metrics.Add("unreadableObjects", 1)
			}
			return verdict.Verdict{}, false
		}
	}
}

// runUploads stores a batch in the object store in every interval, and sooner if there are many verdicts.
func (r *Recorder) runUploads() {
	defer r.done.Done()
	for {
		timer := time.NewTimer(r.uploadInterval().Duration())
		select {
		case <-r.ctx.Done():
			timer.Stop()
			return
		case <-r.sealed:
			timer.Stop()
		case <-timer.C:
		}
		r.seal()
		r.upload(r.ctx)
		r.evictStored()
	}
}

// seal makes a batch of the verdicts that are not in one yet.
func (r *Recorder) seal() {
	now := r.env.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unstored) > 0 {
		r.sealLocked(now)
	}
}

// sealLocked is seal for a recorder that has such verdicts.
func (r *Recorder) sealLocked(now clock.Millis) {
	r.sealedBatches++
	s, err := newSegment(r.unstored, r.env.Config.Name, fmt.Sprintf("%s-%d", r.env.RunID(), r.sealedBatches), now)
	if err != nil {
		r.env.Log.Error("verdicts can't be encoded", zap.Error(err))
		return
	}
	s.holder = r.holder
	r.segments = append(r.segments, s)
	r.unstored = nil
	r.mergeLocked()
	r.trimRecentLocked()
	r.trimWaitingLocked()
}

// trimWaitingLocked drops the oldest batches that wait for the object store beyond maxWaitingBytes.
func (r *Recorder) trimWaitingLocked() {
	total := 0
	for _, s := range r.segments {
		total += len(s.body)
	}
	for len(r.segments) > 1 && total > maxWaitingBytes {
		total -= len(r.segments[0].body)
		r.segments = r.segments[1:]
		metrics.Add("droppedBatches", 1)
	}
}

// trimRecentLocked keeps maxRecent verdicts for lookups. It is called when all are in a batch.
func (r *Recorder) trimRecentLocked() {
	for len(r.recentOrder) > maxRecent {
		delete(r.recent, r.recentOrder[0])
		r.recentOrder = r.recentOrder[1:]
	}
}

// mergeLocked merges batches that are waiting for the object store, so that an outage
// of hours is not followed by one write for each of its intervals. Concatenated gzip
// streams are a valid gzip stream.
func (r *Recorder) mergeLocked() {
	for len(r.segments) >= 2 {
		last := len(r.segments) - 1
		a, b := r.segments[last-1], r.segments[last]
		if path.Dir(a.key) != path.Dir(b.key) || len(a.body)+len(b.body) > maxObjectBytes {
			return
		}
		if a.holder != b.holder {
			b.holder = ""
		}
		b.body = append(append([]byte(nil), a.body...), b.body...)
		b.firstEndMs = min(a.firstEndMs, b.firstEndMs)
		r.segments = append(r.segments[:last-1], b)
	}
}

// uncopiedBatch returns one batch that the holder has no copy of, or none.
func (r *Recorder) uncopiedBatch() []daemons.CopyBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.segments {
		if s.holder != r.holder && r.holder != "" {
			return []daemons.CopyBatch{{Key: s.key, Body: s.body, FirstEndMs: s.firstEndMs, LastEndMs: s.lastEndMs}}
		}
	}
	return nil
}

// markBatchesCopied records that the holder has copies of batches.
func (r *Recorder) markBatchesCopied(batches []daemons.CopyBatch, holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, batch := range batches {
		for i := range r.segments {
			if r.segments[i].key == batch.Key {
				r.segments[i].holder = holder
			}
		}
	}
}

// upload stores batches in the object store, the oldest first, until one fails.
func (r *Recorder) upload(ctx context.Context) {
	for {
		r.mu.Lock()
		if len(r.segments) == 0 {
			r.mu.Unlock()
			return
		}
		s := r.segments[0]
		r.mu.Unlock()
		if err := r.store.Put(ctx, s.key, s.body); err != nil {
			metrics.Add("uploadFailures", 1)
			return
		}
		metrics.Add("uploads", 1)
		r.mu.Lock()
		if len(r.segments) > 0 && r.segments[0].key == s.key { // else it has been dropped or merged with others
			r.segments = r.segments[1:]
		}
		r.mu.Unlock()
	}
}

// evictStored evicts verdicts from memory that are in a batch and ended more than
// storedRetention ago.
func (r *Recorder) evictStored() {
	limit := r.env.Clock.Now() - storedRetention
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.unstored {
		limit = min(limit, v.EndMs)
	}
	for id, v := range r.recent {
		if v.EndMs < limit {
			delete(r.recent, id)
		}
	}
	r.recentOrder = slices.DeleteFunc(r.recentOrder, func(id string) bool {
		_, kept := r.recent[id]
		return !kept
	})
}

// FindStored looks up a verdict in the object store. It reads the batches of the daemon
// that accepted the request, from the time of the request's start on.
func FindStored(ctx context.Context, store *platform.Objects, id string) (verdict.Verdict, bool, error) {
	daemon, at, err := verdict.ParseID(id)
	if err != nil {
		return verdict.Verdict{}, false, err
	}
	keys, err := store.List(ctx, objectPrefix(daemon), objectKey(daemon, at-1, ""))
	if err != nil {
		return verdict.Verdict{}, false, err
	}
	for _, key := range keys[:min(len(keys), maxLookupObjects)] {
		body, ok, err := store.Get(ctx, key)
		if err != nil {
			return verdict.Verdict{}, false, err
		}
		if !ok {
			continue
		}
		if v, found := findInBody(body, id); found {
			return v, true, nil
		}
	}
	return verdict.Verdict{}, false, nil
}
