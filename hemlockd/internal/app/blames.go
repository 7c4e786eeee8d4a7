package app

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/hemlockd/internal/prompts"
)

const (
	// blameInterval is the time between two looks at what has to be stored.
	blameInterval = clock.Second
	// blameRefresh is the time after which a stored part that is still refused is stored
	// again, with its new ages.
	blameRefresh = 2 * clock.Minute
	// blameCallTimeout limits one call to the store.
	blameCallTimeout = 2 * clock.Second
	// blameMaxAge is the age from which a stored part is no longer taken over.
	blameMaxAge = 10 * clock.Minute
)

// blameStore keeps the parts of prompts that are refused in the store, so that daemons
// know them after all of them have been restarted. Of the daemons that are alive, the one
// that tries a part again also stores it.
type blameStore struct {
	log        *zap.Logger
	clk        clock.Clock
	store      partsTable
	parts      *prompts.Evidence
	mayTryPart func(part string) bool
	stored     map[string]storedBlame // by key
	failed     bool                   // the last call to the store failed
	// restored is set when the store has come back from an older copy, until what this daemon
	// is responsible for has been stored again.
	restored atomic.Bool
}

func newBlameStore(log *zap.Logger, clk clock.Clock, store partsTable, parts *prompts.Evidence, mayTryPart func(part string) bool) *blameStore {
	return &blameStore{log: log, clk: clk, store: store, parts: parts, mayTryPart: mayTryPart, stored: map[string]storedBlame{}}
}

// partsTable is the part of the store that keeps the refused parts.
type partsTable interface {
	// Read returns all entries of a topic.
	Read(ctx context.Context, topic directory.Topic) (directory.Page, error)
	// Put writes an entry.
	Put(ctx context.Context, topic directory.Topic, key string, value []byte) error
}

// ownTable keeps the refused parts in the table of the project's own platform, under the topic's name.
type ownTable struct{ table *platform.Table }

// Read implements partsTable.
func (t ownTable) Read(ctx context.Context, topic directory.Topic) (directory.Page, error) {
	prefix := string(topic) + "/"
	rows, err := t.table.Range(ctx, platform.PrefixRange(prefix))
	var page directory.Page
	for _, row := range rows {
		page.Entries = append(page.Entries, directory.Entry{Key: strings.TrimPrefix(string(row.Key), prefix), Value: row.Value})
	}
	return page, err
}

// Put implements partsTable.
func (t ownTable) Put(ctx context.Context, topic directory.Topic, key string, value []byte) error {
	_, err := t.table.Txn(ctx, platform.TxnRequest{Success: []platform.RequestOp{platform.Put(string(topic)+"/"+key, value)}})
	return err
}

// storedBlame is one entry of the store.
type storedBlame struct {
	// Report is the evidence; without engines the part is no longer refused.
	Report prompts.Report `json:"report"`
	// AtMs is when the entry was written, in Unix ms. Clocks of VMs differ by seconds.
	AtMs clock.Millis `json:"atMs"`
}

// blameKey is the key of a part's entry.
func blameKey(r prompts.Report) string {
	return strconv.FormatUint(xxhash.Sum64String(r.Service+"\x00"+r.Part), 36)
}

// run takes over what is stored and then stores what changes, until ctx ends.
func (b *blameStore) run(ctx context.Context) {
	for !b.load(ctx) {
		if !clock.Sleep(ctx, blameInterval) {
			return
		}
	}
	for clock.Sleep(ctx, blameInterval) {
		b.update(ctx)
	}
}

// load takes over the stored parts. It returns false if the store could not be read.
func (b *blameStore) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, blameCallTimeout.Duration())
	defer cancel()
	page, err := b.store.Read(ctx, directory.Parts)
	b.logState(err)
	if err != nil {
		return false
	}
	now := b.clk.Now()
	for _, entry := range page.Entries {
		var s storedBlame
		if err := json.Unmarshal(entry.Value, &s); err != nil {
			b.log.Warn("invalid entry in the list of refused parts of prompts; ignoring it", zap.String("key", entry.Key), zap.Error(err))
			continue
		}
		b.stored[entry.Key] = s
		if age := max(0, now-s.AtMs); age < blameMaxAge && len(s.Report.Engines) > 0 {
			b.parts.Merge(aged(s.Report, age), now)
			b.log.Info("refused part of prompts taken over from the store", zap.String("part", s.Report.Part), zap.Int("engines", len(s.Report.Engines)))
		}
	}
	return true
}

// aged returns a report as it is after a time. An age of 0 means never.
func aged(r prompts.Report, by clock.Millis) prompts.Report {
	for _, age := range []*clock.Millis{&r.CrashAgoMs, &r.TryAgoMs, &r.SeenAgoMs, &r.CompletedAgoMs} {
		if *age > 0 {
			*age += by
		}
	}
	return r
}

// update stores the parts that this daemon is responsible for and whose evidence has
// changed.
func (b *blameStore) update(ctx context.Context) {
	now := b.clk.Now()
	if b.restored.Swap(false) {
		b.storeAgain(ctx, now)
	}
	refused := map[string]bool{}
	for _, r := range b.parts.Blamed(now) {
		key := blameKey(r)
		refused[key] = true
		last, known := b.stored[key]
		same := known && last.Report.Epoch == r.Epoch && len(last.Report.Engines) == len(r.Engines) && now-last.AtMs < blameRefresh
		if !same && b.mayTryPart(r.Part) {
			b.put(ctx, key, storedBlame{Report: r, AtMs: now})
		}
	}
	for key, s := range b.stored {
		if !refused[key] && len(s.Report.Engines) > 0 && b.mayTryPart(s.Report.Part) {
			s.Report.Engines, s.AtMs = nil, now
			b.put(ctx, key, s)
		}
	}
}

// storeAgain stores again what this daemon is responsible for and the store may have lost.
func (b *blameStore) storeAgain(ctx context.Context, now clock.Millis) {
	for key, s := range b.stored {
		if now-s.AtMs < blameRefresh && b.mayTryPart(s.Report.Part) && !b.put(ctx, key, s) {
			b.restored.Store(true)
		}
	}
}

// logState logs that calls to the store begin to fail, or work again.
func (b *blameStore) logState(err error) {
	if failed := err != nil; failed != b.failed {
		b.failed = failed
		b.log.Info("the store changed state", zap.String("topic", string(directory.Parts)), zap.Bool("reachable", !failed), zap.Error(err))
	}
}

// put stores an entry and reports whether that is done.
func (b *blameStore) put(ctx context.Context, key string, s storedBlame) bool {
	raw, err := json.Marshal(s)
	if err != nil {
		b.log.Error("a refused part of prompts can't be encoded", zap.Error(err))
		return true // not to be tried again
	}
	ctx, cancel := context.WithTimeout(ctx, blameCallTimeout.Duration())
	defer cancel()
	err = b.store.Put(ctx, directory.Parts, key, raw)
	b.logState(err)
	if err != nil {
		return false // tried again after blameInterval
	}
	b.stored[key] = s
	b.log.Info("refused part of prompts stored", zap.String("part", s.Report.Part), zap.Int("engines", len(s.Report.Engines)))
	return true
}
