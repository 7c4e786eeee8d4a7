package measure

import (
	"math/rand/v2"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/settings"
)

// Properties of the simulated engines that the settings do not describe.
const (
	// resultTTLMs is how long a prefill result is kept.
	resultTTLMs = 800.0
	// reportIntervalMs is the time between two load reports of an engine.
	reportIntervalMs = 300.0
	// reportDelayMs is the time until a load report arrives.
	reportDelayMs = 300.0
	// cacheEventDelayMs is the time until a batch of cache events arrives.
	cacheEventDelayMs = 200.0
	// cacheEventLossProbability is the probability that a batch of cache events is lost.
	cacheEventLossProbability = 0.02
	// relativeJitter is the greatest deviation of a duration, as a fraction of it.
	relativeJitter = 0.1
)

// prefillEngine runs one prefill at a time.
type prefillEngine struct {
	name       string
	model      settings.Model
	timeline   *timeline
	rng        *rand.Rand
	queue      []*prefillJob
	busy       bool
	down       bool
	epoch      int // number of crashes
	cached     map[uint64]int
	order      []uint64 // the hashes in cached, oldest first
	linkFreeAt float64  // end of the last transfer on the link to the decode engines
	// stalledUntil is the end of the last stall of the link.
	stalledUntil  float64
	seq           int64
	publishEvents func(completions.CacheEvents)
}

type prefillJob struct {
	tokens int
	hashes []uint64
	onEnd  func(cachedTokens, work int, ok bool)
}

// jitter varies a duration by up to relativeJitter in either direction.
func jitter(rng *rand.Rand, ms float64) float64 { return ms * (1 + relativeJitter*(2*rng.Float64()-1)) }

func (e *prefillEngine) submit(j *prefillJob) bool {
	if e.down {
		return false
	}
	e.queue = append(e.queue, j)
	e.next()
	return true
}

func (e *prefillEngine) next() {
	if e.busy || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.busy = true
	cached := min(j.tokens, prefix.CachedBlocks(j.hashes, func(h uint64) bool { return e.cached[h] > 0 })*e.model.PieceTokens)
	work := j.tokens - cached
	ms := float64(e.model.PrefillBaseMs) + float64(work)*float64(e.model.PrefillTokenUs)/1000
	epoch := e.epoch
	e.timeline.after(jitter(e.rng, ms), func() {
		if epoch != e.epoch {
			return // the engine has crashed since
		}
		e.busy = false
		e.store(j.hashes)
		j.onEnd(cached, work, true)
		e.next()
	})
}

// store adds a prompt to the cache, evicts the oldest entries beyond its limit, and
// publishes the cache events after a delay; some batches are lost.
func (e *prefillEngine) store(hashes []uint64) {
	events := completions.CacheEvents{Events: []completions.CacheEvent{{Type: "BlockStored"}, {Type: "BlockRemoved"}}}
	for _, h := range hashes {
		if e.cached[h] == 0 {
			events.Events[0].BlockHashes = append(events.Events[0].BlockHashes, h)
			e.order = append(e.order, h)
		}
		e.cached[h] = 1
	}
	for len(e.order) > e.model.Pieces/2 {
		events.Events[1].BlockHashes = append(events.Events[1].BlockHashes, e.order[0])
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
	e.seq++
	events.Seq = e.seq
	if e.rng.Float64() >= cacheEventLossProbability {
		e.timeline.after(cacheEventDelayMs, func() { e.publishEvents(events) })
	}
}

// transfer queues a result on the engine's one link and returns the time until the
// transfer ends, in milliseconds.
func (e *prefillEngine) transfer(tokens int) float64 {
	start := max(e.timeline.now, e.linkFreeAt, e.stalledUntil)
	e.linkFreeAt = start + jitter(e.rng, float64(tokens)*e.model.KVTokenKB/e.model.TransferMBps)
	return e.linkFreeAt - e.timeline.now
}

func (e *prefillEngine) crash() {
	e.down, e.busy = true, false
	e.epoch++
	e.cached, e.order = map[uint64]int{}, nil
	lost := e.queue
	e.queue = nil
	for _, j := range lost {
		j.onEnd(0, 0, false)
	}
}

// decodeEngine generates one token for each request of the batch at every step.
type decodeEngine struct {
	name       string
	model      settings.Model
	timeline   *timeline
	rng        *rand.Rand
	heldSlots  int
	heldPieces int
	batch      []*decodeJob
	joining    []*decodeJob // join the batch at the next step
	running    bool         // steps are scheduled
	down       bool
	epoch      int // number of crashes
}

type decodeJob struct {
	pieces       int
	tokensLeft   int
	onFirstToken func()
	onEnd        func(ok bool)
	started      bool
}

// reserve reserves a slot and memory, as an engine does when a request arrives. It
// returns false if the engine is down or full.
func (e *decodeEngine) reserve(pieces int) bool {
	if e.down || e.heldSlots >= e.model.Slots || e.heldPieces+pieces > e.model.Pieces {
		return false
	}
	e.heldSlots++
	e.heldPieces += pieces
	return true
}

func (e *decodeEngine) release(pieces int) {
	e.heldSlots--
	e.heldPieces -= pieces
}

func (e *decodeEngine) join(j *decodeJob) {
	e.joining = append(e.joining, j)
	if !e.running {
		e.running = true
		e.step()
	}
}

func (e *decodeEngine) step() {
	e.batch = append(e.batch, e.joining...)
	e.joining = nil
	if len(e.batch) == 0 {
		e.running = false
		return
	}
	ms := e.model.StepBaseMs + e.model.StepPerSlotMs*float64(len(e.batch)-1)
	epoch := e.epoch
	e.timeline.after(jitter(e.rng, ms), func() {
		if epoch != e.epoch {
			return
		}
		var rest []*decodeJob
		for _, j := range e.batch {
			if !j.started {
				j.started = true
				j.onFirstToken()
			}
			if j.tokensLeft--; j.tokensLeft > 0 {
				rest = append(rest, j)
				continue
			}
			e.release(j.pieces)
			j.onEnd(true)
		}
		e.batch = rest
		e.step()
	})
}

func (e *decodeEngine) crash() {
	e.down, e.running = true, false
	e.epoch++
	lost := append(e.batch, e.joining...)
	e.batch, e.joining, e.heldSlots, e.heldPieces = nil, nil, 0, 0
	for _, j := range lost {
		j.onEnd(false)
	}
}

func (e *decodeEngine) report() completions.Load {
	return completions.Load{Running: e.heldSlots, FreePieces: e.model.Pieces - e.heldPieces}
}
