package directory

import (
	"math"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// removalGrace is how long after an outage of the store upstreams are still used whose
// entries are missing. An outage may lose entries; running upstreams write theirs again
// within two seconds of its end.
const removalGrace = 2200 * clock.Millisecond

// outageMemory is how long other daemons are told of an outage of the store.
const outageMemory = 10 * clock.Second

// freshness records how up to date what the store holds is known here: since when, and up
// to when. Times of all daemons count, as far as they tell each other. It is not safe for
// concurrent use.
type freshness struct {
	// confirmedMs is, by topic, the latest time at which the entries in force were known
	// to be the store's.
	confirmedMs map[directory.Topic]clock.Millis
	// storeRevision is, by topic, the store's revision of that time, or zero: what has changed
	// there since has a higher one.
	storeRevision map[directory.Topic]directory.Revision
	// answeredMs is the latest time at which the store is known to have answered a daemon,
	// once hasAnswered is set.
	answeredMs  clock.Millis
	hasAnswered bool
	// watchedSinceMs is the time since which an outage would be known here.
	watchedSinceMs clock.Millis
	// reachableSinceMs is the time since which the store has answered some daemon or other
	// without an outage; before the first known outage it is far in the past.
	reachableSinceMs clock.Millis
	// outageMs is the shortest outage that loses entries.
	outageMs clock.Millis
}

func newFreshness() *freshness {
	return &freshness{confirmedMs: map[directory.Topic]clock.Millis{}, storeRevision: map[directory.Topic]directory.Revision{}, outageMs: DefaultLimits().OutageMs, reachableSinceMs: math.MinInt32}
}

// confirm records that the entries in force of a topic were the store's at a time, when the
// store's revision was the given one (zero if that is not known).
func (f *freshness) confirm(topic directory.Topic, at clock.Millis, storeRevision directory.Revision) {
	if before, known := f.confirmedMs[topic]; !known || at > before {
		f.confirmedMs[topic] = at
	}
	if f.storeRevision[topic].Before(storeRevision) {
		f.storeRevision[topic] = storeRevision
	}
}

// restored records that the store came back from an older copy by the given time: it may lack entries, as
// after an outage.
func (f *freshness) restored(at clock.Millis) {
	f.reachableSinceMs = max(f.reachableSinceMs, at)
}

// answered records that the store answered a daemon at a time.
func (f *freshness) answered(at clock.Millis) {
	if !f.hasAnswered {
		f.answeredMs, f.watchedSinceMs, f.hasAnswered = at, at, true
		return
	}
	if at-f.answeredMs >= f.outageMs {
		f.reachableSinceMs = at
	}
	f.answeredMs = max(f.answeredMs, at)
}

// reachableFor records what another daemon knows: the store answered at a time, and has
// done so without an outage since another time.
func (f *freshness) reachableFor(since, at, now clock.Millis) {
	f.answered(at)
	if now-at < f.outageMs { // else there may have been an outage since
		f.reachableSinceMs = min(f.reachableSinceMs, since)
		f.watchedSinceMs = min(f.watchedSinceMs, since)
	}
}

// surelyReachableSince returns the time since which the store is known to have had no outage.
func (f *freshness) surelyReachableSince() clock.Millis {
	return max(f.reachableSinceMs, f.watchedSinceMs)
}

// age returns the time since the entries in force of a topic were last known to be the
// store's, or false if they never were.
func (f *freshness) age(topic directory.Topic, now clock.Millis) (clock.Millis, bool) {
	at, ok := f.confirmedMs[topic]
	return now - at, ok
}

// mayLackEntries reports whether entries may be missing because an outage of the store has
// ended shortly before.
func (f *freshness) mayLackEntries(now clock.Millis) bool {
	return now-f.reachableSinceMs < removalGrace
}

// storeClock converts times of the store's steady clock to times of the local clock. It is
// not safe for concurrent use.
type storeClock struct {
	// offset is the least difference seen between the arrival of an answer and the
	// store's time in it.
	offset clock.Millis
	known  bool
}

// timeOf returns the local time at which an answer was made, from the store's time in it
// (0 if it has none) and the local times of the call and of the answer's arrival. The
// result is no earlier than the call and no later than the arrival.
func (c *storeClock) timeOf(storeTime, called, arrived clock.Millis) clock.Millis {
	if storeTime == 0 {
		return called
	}
	if offset := arrived - storeTime; !c.known || offset < c.offset {
		c.offset, c.known = offset, true
	}
	if storeTime+c.offset < called { // the clocks drift apart, or the store's was set anew
		c.offset = called - storeTime
	}
	return storeTime + c.offset
}
