package measure

import (
	"math/rand/v2"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/settings"
)

// Behaviour of the engines that the settings do not describe.
const (
	resultLifeMs  = 800.0
	reportEveryMs = 300.0
	reportLagMs   = 300.0
	eventLagMs    = 200.0
	eventGap      = 0.02
	noise         = 0.1 // of every time, up or down
)

// prefillEngine does one prefill after the other.
type prefillEngine struct {
	name   string
	model  settings.Model
	line   *timeline
	rng    *rand.Rand
	queue  []*prefillJob
	busy   bool
	down   bool
	epoch  int // counts crashes
	cached map[uint64]int
	order  []uint64
	linkAt float64 // when the link to the decode engines is free
	// stalledUntil is when a link that stands still works again.
	stalledUntil float64
	seq          int64
	feed         func(completions.CacheEvents)
}

type prefillJob struct {
	tokens int
	hashes []uint64
	done   func(cachedTokens, work int, ok bool)
}

// jitter spreads a time by the noise.
func jitter(rng *rand.Rand, ms float64) float64 { return ms * (1 + noise*(2*rng.Float64()-1)) }

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
	e.line.after(jitter(e.rng, ms), func() {
		if epoch != e.epoch {
			return // it crashed meanwhile
		}
		e.busy = false
		e.store(j.hashes)
		j.done(cached, work, true)
		e.next()
	})
}

// store keeps a prompt in the cache and tells of it late, now and then not at
// all.
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
	if e.rng.Float64() >= eventGap {
		e.line.after(eventLagMs, func() { e.feed(events) })
	}
}

// transfer sends a result over the engine's one link; the time until it is
// over is returned.
func (e *prefillEngine) transfer(tokens int) float64 {
	start := max(e.line.now, e.linkAt, e.stalledUntil)
	e.linkAt = start + jitter(e.rng, float64(tokens)*e.model.KVTokenKB/e.model.TransferMBps)
	return e.linkAt - e.line.now
}

func (e *prefillEngine) crash() {
	e.down, e.busy = true, false
	e.epoch++
	e.cached, e.order = map[uint64]int{}, nil
	lost := e.queue
	e.queue = nil
	for _, j := range lost {
		j.done(0, 0, false)
	}
}

// decodeEngine makes one token for each running request at every step.
type decodeEngine struct {
	name    string
	model   settings.Model
	line    *timeline
	rng     *rand.Rand
	held    int // slots
	pieces  int
	batch   []*decodeJob
	joining []*decodeJob
	running bool
	down    bool
	epoch   int
}

type decodeJob struct {
	pieces int
	left   int
	first  func()
	done   func(ok bool)
	begun  bool
}

// take reserves a slot and memory, as the engine does when a request arrives.
func (e *decodeEngine) take(pieces int) bool {
	if e.down || e.held >= e.model.Slots || e.pieces+pieces > e.model.Pieces {
		return false
	}
	e.held++
	e.pieces += pieces
	return true
}

func (e *decodeEngine) release(pieces int) {
	e.held--
	e.pieces -= pieces
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
	e.line.after(jitter(e.rng, ms), func() {
		if epoch != e.epoch {
			return
		}
		var rest []*decodeJob
		for _, j := range e.batch {
			if !j.begun {
				j.begun = true
				j.first()
			}
			if j.left--; j.left > 0 {
				rest = append(rest, j)
				continue
			}
			e.release(j.pieces)
			j.done(true)
		}
		e.batch = rest
		e.step()
	})
}

func (e *decodeEngine) crash() {
	e.down, e.running = true, false
	e.epoch++
	lost := append(e.batch, e.joining...)
	e.batch, e.joining, e.held, e.pieces = nil, nil, 0, 0
	for _, j := range lost {
		j.done(false)
	}
}

func (e *decodeEngine) report() completions.Load {
	return completions.Load{Running: e.held, FreePieces: e.model.Pieces - e.pieces}
}
