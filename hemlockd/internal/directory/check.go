package directory

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/peers"
)

// The hops of a change that no other way has brought here in time, see [Limits].
const (
	// checkInterval is the time between two looks at the age of a topic.
	checkInterval = 100 * clock.Millisecond
	// checkTimeout is the time within which the answer must begin to a call that reads a topic
	// whose age is too high. The call has a connection of its own, so that a silent one does
	// not hold it up.
	checkTimeout = 700 * clock.Millisecond
	// messageDelay is how long a message of another daemon may be on its way. What it
	// confirms is older by that time than it says.
	messageDelay = 500 * clock.Millisecond
	// CallReach is how long a call may take to reach an upstream after the upstream was
	// looked up in the list.
	CallReach = 500 * clock.Millisecond
	// processingMargin is added for the time that the daemon itself takes.
	processingMargin = 100 * clock.Millisecond
	// receivingSpan is how long after a part of the feed's answer the rest of it counts as on
	// its way.
	receivingSpan = 200 * clock.Millisecond
	// minAge is the lowest limit of a topic's age.
	minAge = 300 * clock.Millisecond
	// minCheckPause is the pause after a failed check; it doubles with each further one,
	// and half of it is random, since all daemons fail together.
	minCheckPause = 250 * clock.Millisecond
	// maxCheckPause is the longest pause after a failed check.
	maxCheckPause = 2 * clock.Second
)

// Limits holds the times within which changes must be in force here.
type Limits struct {
	// LeavingMs is the time after which no call may reach an upstream that leaves.
	LeavingMs clock.Millis
	// ConfigMs is the time after which a configuration must be in force.
	ConfigMs clock.Millis
	// OutageMs is the shortest outage of the store that can lose the entries of upstreams
	// that are running.
	OutageMs clock.Millis
}

// DefaultLimits returns the limits that apply where the settings give none.
func DefaultLimits() Limits {
	return Limits{LeavingMs: 3 * clock.Second, ConfigMs: 3 * clock.Second, OutageMs: 2400 * clock.Millisecond}
}

// withDefaults replaces the limits that are not set.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	for _, limit := range []struct{ value, standard *clock.Millis }{
		{&l.LeavingMs, &d.LeavingMs}, {&l.ConfigMs, &d.ConfigMs}, {&l.OutageMs, &d.OutageMs},
	} {
		if *limit.value <= 0 {
			*limit.value = *limit.standard
		}
	}
	return l
}

// maxAge returns the age of a topic at which the daemon reads it from the store itself.
// With the hops after that, of which the last takes transfer for the bytes of the answer, it adds
// up to the topic's limit. The list of upstreams is also read so early that the daemon's own
// silence is never taken for an outage of the store.
func (l Limits) maxAge(topic directory.Topic, transfer clock.Millis) clock.Millis {
	const ownRead = messageDelay + checkInterval + checkTimeout + processingMargin
	if topic == directory.Routes {
		return lessTransfer(l.ConfigMs-ownRead, transfer)
	}
	return lessTransfer(min(l.LeavingMs-ownRead-CallReach, l.OutageMs-checkInterval-checkTimeout), transfer)
}

// lessTransfer returns what is left of the time until a read when its answer takes a while. An
// answer that takes more than half of it comes too late over such a link in any case, and reading
// ever more often would not help.
func lessTransfer(left, transfer clock.Millis) clock.Millis {
	return max(minAge, left-min(transfer, left/2))
}

// Met reports whether the hops of a change add up to no more than the limits.
func (l Limits) Met() bool {
	l = l.withDefaults()
	return l.maxAge(directory.Routes, 0) > minAge && l.maxAge(directory.Upstreams, 0) > minAge
}

// metrics counts the reads of topics whose age was too high.
var metrics = expvar.NewMap("directory")

// checker reads a topic from the store when no other way has confirmed it for too long:
// neither this daemon's own feed nor another daemon.
type checker struct {
	storeReporter
	apply func(page directory.Page, full bool)
}

func (c *checker) run(ctx context.Context) {
	pause := minCheckPause
	for clock.Sleep(ctx, checkInterval) {
		if !c.due() {
			pause = minCheckPause
			continue
		}
		metrics.Add("checks "+string(c.topic), 1)
		err := c.check(ctx)
		if errors.Is(err, errFeedReceives) {
			continue
		}
		c.report(err)
		if err != nil {
			metrics.Add("checksFailed "+string(c.topic), 1)
			clock.Sleep(ctx, pause/2+clock.Millis(rand.Int64N(int64(pause/2)+1)))
			pause = min(maxCheckPause, pause*2)
		}
	}
}

// due reports whether the topic's age is above its limit, or not known although there are
// entries, which then came from another daemon.
func (c *checker) due() bool {
	ready := c.d.Ready()
	if c.d.isReceiving(c.topic) {
		return false
	}
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	now := c.d.o.Clock.Now()
	age, known := c.d.freshness.age(c.topic, now)
	if !known {
		return ready
	}
	return age > c.d.limits.maxAge(c.topic, c.d.transferLocked(c.topic))
}

// encodedShare is the size of an entry in an answer of the store, as a multiple of its own: values
// are in base64.
const encodedShare = 4.0 / 3

// transferLocked returns how long the answer takes on this daemon's link that brings what is in
// force of a topic.
func (d *Directory) transferLocked(topic directory.Topic) clock.Millis {
	bytes := d.upstreams.bytes()
	if topic == directory.Routes {
		bytes = 0
		if t := d.table.Load(); t != nil {
			bytes = len(t.Config.Raw)
		}
	}
	return clock.Millis(encodedShare * float64(bytes) / linkBytesPerMs(d.o.LinkMbps))
}

// linkBytesPerMs returns what a link of a rate in Mbit/s carries.
func linkBytesPerMs(mbps float64) float64 {
	if mbps <= 0 {
		mbps = peers.DefaultLinkMbps
	}
	return mbps * 1e6 / 8 / float64(clock.Second)
}

// errFeedReceives ends a check whose answer would take the link from the feed's.
var errFeedReceives = errors.New("the feed brings the same answer")

func (c *checker) check(ctx context.Context) error {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	bounded, cancel := bound(ctx, checkTimeout, func() {
		if c.d.isReceiving(c.topic) {
			giveUp(errFeedReceives)
		}
	})
	defer cancel()
	called := c.d.o.Clock.Now()
	page, full, err := c.read(bounded)
	if err != nil && errors.Is(context.Cause(ctx), errFeedReceives) {
		return errFeedReceives
	}
	if err != nil {
		return err
	}
	at, err := c.d.storeAnswered(page, called)
	if err != nil {
		return err
	}
	if full || len(page.Entries) > 0 {
		c.apply(page, full)
	}
	c.d.confirm(c.topic, at, page.Revision)
	return nil
}

// read reads the topic from the store: the configuration, which may be large, only if it has
// changed since it was last confirmed.
func (c *checker) read(ctx context.Context) (page directory.Page, full bool, err error) {
	if after := c.d.storeRevision(c.topic); c.topic == directory.Routes && after.Version > 0 {
		page, err = c.d.o.Store.Changes(ctx, c.topic, after)
		var lost *directory.HistoryLostError
		if !errors.As(err, &lost) {
			return page, false, err
		}
	}
	page, err = c.d.o.Store.Read(ctx, c.topic)
	return page, true, err
}
