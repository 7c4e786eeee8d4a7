package measure

import (
	"container/heap"

	"hemlockmux.example/common/clock"
)

// event is a function that runs at a point in virtual time.
type event struct {
	at  float64 // ms
	seq int     // order of events at the same time
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// timeline is a discrete-event scheduler. It runs events in the order of virtual time,
// so that a run takes seconds and its result depends on the seed only.
type timeline struct {
	now    float64 // ms
	seq    int
	events eventHeap
}

// after schedules do to run ms milliseconds from now.
func (t *timeline) after(ms float64, do func()) {
	t.seq++
	heap.Push(&t.events, event{at: t.now + ms, seq: t.seq, do: do})
}

// run runs all events up to the given time.
func (t *timeline) run(until float64) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.do()
	}
}

func (t *timeline) millis() clock.Millis { return clock.Millis(t.now) }
