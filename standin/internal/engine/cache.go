package engine

import (
	"container/list"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"hemlockmux.example/common/completions"
)

// cache is a prefix cache that holds the hashes of at most limit pieces and evicts
// the least recently used ones.
type cache struct {
	limit    int
	order    *list.List // of uint64, most recently used first
	elements map[uint64]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), elements: map[uint64]*list.Element{}}
}

func (c *cache) has(hash uint64) bool {
	_, ok := c.elements[hash]
	return ok
}

// store adds hashes and returns the ones that are new and the ones evicted.
func (c *cache) store(hashes []uint64) (stored, removed []uint64) {
	for _, h := range hashes {
		if element, ok := c.elements[h]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.elements[h] = c.order.PushFront(h)
		stored = append(stored, h)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		h := c.order.Remove(last).(uint64)
		delete(c.elements, h)
		removed = append(removed, h)
	}
	return stored, removed
}

// eventFeed publishes batches of cache events to all connected readers.
type eventFeed struct {
	mu      sync.Mutex
	seq     int64
	pending []completions.CacheEvent
	readers map[chan []byte]bool
}

func newEventFeed() *eventFeed { return &eventFeed{readers: map[chan []byte]bool{}} }

func (f *eventFeed) add(stored, removed []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(stored) > 0 {
		f.pending = append(f.pending, completions.CacheEvent{Type: "BlockStored", BlockHashes: stored})
	}
	if len(removed) > 0 {
		f.pending = append(f.pending, completions.CacheEvent{Type: "BlockRemoved", BlockHashes: removed})
	}
}

// flush sends the pending events as one batch. If drop is set, it discards the batch
// but uses up its sequence number, so that readers see a gap.
func (f *eventFeed) flush(drop bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return
	}
	f.seq++
	batch, err := json.Marshal(completions.CacheEvents{Seq: f.seq, Events: f.pending})
	f.pending = nil
	if err != nil || drop {
		return
	}
	for reader := range f.readers {
		select {
		case reader <- batch:
		default: // a slow reader misses the batch and sees a gap in the sequence numbers
		}
	}
}

func (f *eventFeed) serve(w http.ResponseWriter, r *http.Request) {
	reader := make(chan []byte, 64)
	f.mu.Lock()
	f.readers[reader] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.readers, reader)
		f.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case batch := <-reader:
			if _, err := fmt.Fprintf(w, "data: %s\n\n", batch); err != nil {
				return
			}
			_ = controller.Flush()
		}
	}
}
