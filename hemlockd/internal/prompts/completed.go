package prompts

import (
	"hash/maphash"
	"sync/atomic"

	"hemlockmux.example/common/clock"
)

const (
	// completedFor is how long a completion shows that a part is sound.
	completedFor = 5 * clock.Minute
	// completedSlots is the number of parts whose last completion is remembered.
	completedSlots = 8192
)

// completedParts remembers when parts last completed, in fixed memory and without
// locks. A part that shares its slot with another may be forgotten early. A slot holds 32 bits of
// the hash of the part and the time in s.
type completedParts struct {
	seed  maphash.Seed
	slots [completedSlots]atomic.Uint64
}

func newCompletedParts() *completedParts { return &completedParts{seed: maphash.MakeSeed()} }

// record records a completion of a run with the part.
func (c *completedParts) record(service, part string, at clock.Millis) {
	slot, tag := c.slot(service, part)
	if value := tag | uint64(uint32(at/clock.Second)); slot.Load() != value {
		slot.Store(value)
	}
}

// ago returns the time since the part last completed, between 1 s and completedFor, or 0 if it didn't.
func (c *completedParts) ago(service, part string, now clock.Millis) clock.Millis {
	slot, tag := c.slot(service, part)
	value := slot.Load()
	age := clock.Millis(uint32(now/clock.Second)-uint32(value)) * clock.Second
	if value == 0 || value&^0xffffffff != tag || age >= completedFor {
		return 0
	}
	return max(age, clock.Second)
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

func (c *completedParts) slot(service, part string) (slot *atomic.Uint64, tag uint64) {
	hash := maphash.String(c.seed, part) ^ maphash.String(c.seed, service)*31
	return &c.slots[hash%completedSlots], hash &^ 0xffffffff
}
