package admission

import (
	"container/list"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
)

// accuracyWeight is the weight of one answer in the moving average of accuracy.
const accuracyWeight = 0.1

// prefixIndex estimates the content of an engine's prefix cache. Cache events arrive
// late and with gaps, so its estimates are scaled by the accuracy of earlier ones.
type prefixIndex struct {
	// limit is the maximum number of pieces in the index.
	limit int
	order *list.List // of uint64, most recent in front
	at    map[uint64]*list.Element
	// seq is the sequence number of the last batch of events, 0 if there was none.
	seq int64
	// accuracy is the moving average of the fraction of expected tokens that were
	// cached.
	accuracy float64
}

func newPrefixIndex(limit int) *prefixIndex {
	x := &prefixIndex{limit: limit}
	x.clear()
	return x
}

func (x *prefixIndex) clear() {
	x.order, x.at, x.accuracy, x.seq = list.New(), map[uint64]*list.Element{}, 1, 0
}

// expect returns the number of leading pieces expected in the cache.
func (x *prefixIndex) expect(hashes []uint64) int {
	common := prefix.Common(hashes, func(h uint64) bool {
		_, ok := x.at[h]
		return ok
	})
	return int(float64(common) * x.accuracy)
}

// confirm updates the accuracy with the expected and the actual number of cached
// tokens of a prompt.
func (x *prefixIndex) confirm(expected, found int) {
	if expected == 0 {
		return
	}
	hit := min(1, float64(found)/float64(expected))
	x.accuracy += accuracyWeight * (hit - x.accuracy)
}

func (x *prefixIndex) store(hashes []uint64) {
	for _, h := range hashes {
		if element, ok := x.at[h]; ok {
			x.order.MoveToFront(element)
			continue
		}
		x.at[h] = x.order.PushFront(h)
	}
	for x.order.Len() > x.limit {
		delete(x.at, x.order.Remove(x.order.Back()).(uint64))
	}
}

func (x *prefixIndex) remove(hashes []uint64) {
	for _, h := range hashes {
		if element, ok := x.at[h]; ok {
			x.order.Remove(element)
			delete(x.at, h)
		}
	}
}

// apply applies a batch of cache events. After a gap in the sequence it is unknown which
// entries were removed, so the older half of the index is dropped; later events and
// answers fill it again.
func (x *prefixIndex) apply(events completions.CacheEvents) {
	if x.seq != 0 && events.Seq <= x.seq {
		return // late or repeated
	}
	if x.seq != 0 && events.Seq != x.seq+1 {
		for keep := x.order.Len() / 2; x.order.Len() > keep; {
			delete(x.at, x.order.Remove(x.order.Back()).(uint64))
		}
	}
	x.seq = events.Seq
	for _, event := range events.Events {
		if event.Type == "BlockRemoved" {
			x.remove(event.BlockHashes)
		} else {
			x.store(event.BlockHashes)
		}
	}
}
