package prompts

import (
	"cmp"
	"slices"
	"sync/atomic"

	"hemlockmux.example/common/clock"
)

// part is the evidence on one part. Times are local, in ms.
type part struct {
	service, id string
	depth       int
	epoch       int
	engines     []string // sorted; empty if only the epoch is remembered
	crashMs     clock.Millis
	tryMs       clock.Millis
	seenMs      atomic.Int64 // also written with a read lock
	changedMs   clock.Millis // last change of depth, epoch or engines
	sent        int64        // number of the last message that had the part
	blamed      bool
	urgent      bool // not blamed any more; other daemons should know soon
}

// tryDue returns when the next try is due, in ms, for a request whose parts have all
// completed lately or not.
func (p *part) tryDue(completed bool) clock.Millis {
	if completed && p.untried() {
		return max(p.crashMs+completedTryInterval, p.tryMs+completedRetryInterval)
	}
	interval := tryInterval
	for range len(p.engines) - blameThreshold {
		interval = min(2*interval, maxTryInterval)
	}
	return max(p.crashMs, p.tryMs) + interval
}

// untried reports whether no engine crashed after a try.
func (p *part) untried() bool { return p.tryMs == never || p.tryMs > p.crashMs }

// mayTry reports whether a try may start now. Any daemon may start that of a request whose parts
// have all completed lately, the responsible one every try.
func (p *part) mayTry(completed, responsible bool, now clock.Millis) bool {
	return p.tryDue(completed) <= now && (responsible || completed && p.untried())
}

// see records that a request with the blamed part came.
func (p *part) see(now clock.Millis) {
	if now-clock.Millis(p.seenMs.Load()) >= seenInterval {
		p.seenMs.Store(int64(now))
	}
}

// clear drops the evidence and starts the next epoch.
func (p *part) clear(now clock.Millis) {
	p.reset(min(p.epoch+1, maxEpoch))
	p.changedMs = now
}

// reset starts an epoch without evidence.
func (p *part) reset(epoch int) {
	p.epoch, p.depth, p.engines, p.crashMs, p.tryMs = epoch, 0, nil, never, never
	p.seenMs.Store(int64(never))
}

// expired reports whether the part may be forgotten.
func (p *part) expired(now clock.Millis) bool {
	switch {
	case p.blamed:
		return now-max(p.crashMs, clock.Millis(p.seenMs.Load())) >= forgetBlamedAfter
	case len(p.engines) > 0:
		return now-p.crashMs >= forgetAfter
	default:
		return now-p.changedMs >= forgetEpochAfter
	}
}

// compareWeight orders parts by what their loss would cost.
func (p *part) compareWeight(other *part) int {
	if p.blamed != other.blamed {
		if other.blamed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(p.engines), len(other.engines)), cmp.Compare(max(p.crashMs, p.changedMs), max(other.crashMs, other.changedMs)),
		cmp.Compare(p.service, other.service), cmp.Compare(p.id, other.id))
}

// union returns the maxEngines smallest ids of two lists, of which a is sorted, or a
// itself if that is the same.
func union(a, b []string) []string {
	out := a
	for _, id := range b {
		i, found := slices.BinarySearch(out, id)
		if found || i >= maxEngines {
			continue
		}
		out = slices.Insert(slices.Clone(out), i, id)
		out = out[:min(len(out), maxEngines)]
	}
	return out
}

func validID(id string) bool { return id != "" && len(id) <= maxIDBytes }
