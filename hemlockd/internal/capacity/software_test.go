package capacity

import (
	"slices"
	"testing"
	"time"

	"hemlockmux.example/common/clock"
)

// TestRunsKeepToTheSoftwareVersionThatTheyNeed guards against a stream that goes on at an engine of another
// software version, also where that one is idle and all of its own are full.
func TestRunsKeepToTheSoftwareVersionThatTheyNeed(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "new", Software: "v2", MemoryTokens: 1000, Slots: 9}, {ID: "old", Software: "v1", MemoryTokens: 1000, Slots: 1, Cost: 0.5}})
	for _, c := range []struct{ id, software, want string }{
		{"any", "", "new"}, {"first", "v1", "old"}, {"second", "v1", ""}, {"third", "v3", ""},
	} {
		r, ok := v.Place(Run{ID: c.id, PromptTokens: 10, MaxTokens: 10, Software: c.software}, PlaceOptions{}, 0)
		if r.Engine != c.want || ok != (c.want != "") {
			t.Errorf("%s, version %q: placed at %q, want %q", c.id, c.software, r.Engine, c.want)
		}
	}
	if v.Fits(Run{PromptTokens: 10, Software: "v3"}) {
		t.Error("a run fits engines of another version")
	}
}

// TestRunsThatGoOnWithAStreamComeFirst guards against callers who have a part of their answer and lose the
// rest, since new requests take each place that becomes free: after a restart of all daemons in a burst.
func TestRunsThatGoOnWithAStreamComeFirst(t *testing.T) {
	v := newExactView()
	v.SetEngines([]Engine{{ID: "e", MemoryTokens: 10000, Slots: 1}})
	now := clock.NewManual(0)
	q := NewQueue(now.Clock(), v, func() int { return 1 })
	if _, ok := q.Place(t.Context(), Run{ID: "running", PromptTokens: 10, MaxTokens: 10}, true, nil); !ok {
		t.Fatal("not placed at an idle engine")
	}
	placed := make(chan string, 3)
	wait := func(r Run) {
		r.PromptTokens, r.MaxTokens = 10, 10
		go func() {
			if _, ok := q.Place(t.Context(), r, true, nil); ok {
				placed <- r.ID
			}
		}()
		for { // until it waits
			q.mu.Lock()
			waits := slices.ContainsFunc(q.waiting, func(w *waiter) bool { return w.run.ID == r.ID })
			q.mu.Unlock()
			if waits {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	wait(Run{ID: "new"})
	wait(Run{ID: "goes on", Continues: true})
	last := "running"
	for _, want := range []string{"goes on", "new"} {
		v.End(last)
		q.Retry()
		if last = <-placed; last != want {
			t.Errorf("%q was placed, want %q", last, want)
		}
	}
}
