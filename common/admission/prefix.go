package admission

import (
	"container/list"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
)

// trustStep is how far one answer moves the trust in the index.
const trustStep = 0.1

// prefixIndex is a hint of what an engine's prefix cache holds. Cache events
// come late and with gaps, so what it promises is weighed by how well earlier
// promises were kept.
type prefixIndex struct {
	limit int
	order *list.List // of uint64, most recent in front
	at    map[uint64]*list.Element
	seq   int64
	trust float64
}

func newPrefixIndex(limit int) *prefixIndex {
	x := &prefixIndex{limit: limit}
	x.clear()
	return x
}

func (x *prefixIndex) clear() {
	x.order, x.at, x.trust, x.seq = list.New(), map[uint64]*list.Element{}, 1, 0
}

// expect is the number of leading pieces expected in the cache.
func (x *prefixIndex) expect(hashes []uint64) int {
	common := prefix.Common(hashes, func(h uint64) bool {
		_, ok := x.at[h]
		return ok
	})
	return int(float64(common) * x.trust)
}

// confirm compares what was expected with what the engine's answer says.
func (x *prefixIndex) confirm(expected, found int) {
	if expected == 0 {
		return
	}
	kept := min(1, float64(found)/float64(expected))
	x.trust += trustStep * (kept - x.trust)
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

// apply takes in a batch of events. After a gap the removals that were missed
// are unknown: the older half of the index is dropped, and it fills again from
// what follows.
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
