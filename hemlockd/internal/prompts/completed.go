package prompts

import (
	"math"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"hemlockmux.example/common/clock"
)

const (
	// completedFor is how long a completion shows that a part is sound.
	completedFor = 5 * clock.Minute
	// completedSets and completedWays are the number of sets of slots and of slots in each.
	completedSets = 2048
	completedWays = 8
)

// completedParts remembers when parts last completed, in fixed memory and without locks. A part
// may have any slot of one set; the one that completed longest ago makes room. A slot
// holds 32 bits of the hash of the part and the time in s.
type completedParts struct {
	seed uint64
	sets [completedSets][completedWays]atomic.Uint64
}

func newCompletedParts(seed uint64) *completedParts { return &completedParts{seed: seed} }

// record records a completion of a run with the part.
func (c *completedParts) record(service, part string, at clock.Millis) {
	set, tag := c.set(service, part)
	second := uint32(at / clock.Second)
	value := tag | uint64(second)
	var oldest *atomic.Uint64
	var age uint32
	for i := range set {
		held := set[i].Load()
		if held&^0xffffffff == tag {
			if held != value {
				set[i].Store(value)
			}
			return
		}
		if held == 0 {
			oldest, age = &set[i], math.MaxUint32
		} else if a := second - uint32(held); oldest == nil || a > age {
			oldest, age = &set[i], a
		}
	}
	oldest.Store(value)
}

// ago returns the time since the part last completed, between 1 s and completedFor, or 0 if it didn't.
func (c *completedParts) ago(service, part string, now clock.Millis) clock.Millis {
	set, tag := c.set(service, part)
	for i := range set {
		held := set[i].Load()
		if held&^0xffffffff != tag {
			continue
		}
		age := clock.Millis(uint32(now/clock.Second)-uint32(held)) * clock.Second
		if age >= completedFor {
			return 0
		}
		return max(age, clock.Second)
	}
	return 0
}

// has reports whether a run with the part completed within completedFor.
func (c *completedParts) has(service, part string, now clock.Millis) bool {
	return c.ago(service, part, now) > 0
}

// merge records a completion at another daemon. It reports whether this daemon knows of a later one.
func (c *completedParts) merge(service, part string, ago, now clock.Millis) (later bool) {
	known := c.ago(service, part, now)
	if ago > 0 && (known == 0 || known >= ago+ageSlack) {
		c.record(service, part, now-ago)
		return false
	}
	return known > 0 && (ago == 0 || ago >= known+ageSlack)
}

// hasAll reports whether has is true for each of the parts.
func (c *completedParts) hasAll(service string, parts []string, now clock.Millis) bool {
	for _, part := range parts {
		if !c.has(service, part, now) {
			return false
		}
	}
	return true
}

// set returns the slots that the part may have and the upper bits of its slot, which are not 0.
func (c *completedParts) set(service, part string) (set *[completedWays]atomic.Uint64, tag uint64) {
	const odd = 0x9e3779b97f4a7c15
	hash := (xxhash.Sum64String(part) ^ c.seed) * odd
	hash = (hash ^ hash>>32 ^ xxhash.Sum64String(service)) * odd
	return &c.sets[hash>>16%completedSets], hash&^0xffffffff | 1<<63
}
