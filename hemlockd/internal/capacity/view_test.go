package capacity

import (
	"testing"

	"hemlockmux.example/common/clock"
)

func exact() Forecast { return Forecast{OutputMargin: 1, OverrunMargin: 1.25} }

func TestPeakIsJustBeforeARunEnds(t *testing.T) {
	for _, c := range []struct {
		loads []load
		want  int
	}{
		{nil, 0},
		{[]load{{held: 100, left: 50}}, 150},
		// The short run ends when both have made 10; the long one goes on alone.
		{[]load{{held: 100, left: 10}, {held: 100, left: 50}}, 220},
		{[]load{{held: 10, left: 10}, {held: 100, left: 500}}, 600},
	} {
		if got := peak(c.loads); got != c.want {
			t.Errorf("peak(%v) = %d, want %d", c.loads, got, c.want)
		}
	}
}

func TestPlaceKeepsWithinMemoryAndCountsOtherDaemons(t *testing.T) {
	v := NewView(exact())
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}, {ID: "b", MemoryTokens: 1000, Slots: 9, Cost: 0.1}})
	run := func(id string) Run { return Run{ID: id, Prompt: 300, Likely: 100, Most: 200} }
	v.Add("other", Run{ID: "x", Engine: "a", Prompt: 300, Likely: 100, Most: 200}, 0)
	var got []string
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		engine, ok := v.Place(run(id), nil, 0)
		if !ok {
			engine = "none"
		}
		got = append(got, engine)
	}
	want := []string{"b", "a", "b", "none", "none"}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("placed %v, want %v", got, want)
		}
	}
	v.End("2")
	if _, ok := v.Place(run("6"), nil, 0); !ok {
		t.Error("no room after a run has ended")
	}
	v.Remove("other", []string{"x"})
	if _, ok := v.Place(run("7"), nil, 0); !ok {
		t.Error("no room after another daemon's run has ended")
	}
}

func TestRunsOfOtherDaemonsGoOnBetweenMessages(t *testing.T) {
	v := NewView(exact())
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}})
	v.Add("other", Run{ID: "x", Engine: "a", Prompt: 300, Likely: 300, Most: 300, Decoding: true}, 0)
	late := clock.Millis(200 * initialMsPerToken)
	if peak := v.Engines(late)[0].Peak; peak != 300+300+blockTokens {
		t.Errorf("peak %d after 200 tokens: the run ends with what it was expected to hold", peak)
	}
}

func TestAnswerThatOutgrowsItsHintIsExpectedToGoOn(t *testing.T) {
	f := exact()
	r := Run{Likely: 100, Most: 1000}
	for made, want := range map[int]int{0: 100, 79: 100, 200: 250, 900: 1000, 1000: 1000} {
		if got := f.output(r, made); got != want {
			t.Errorf("output after %d = %d, want %d", made, got, want)
		}
	}
}

func TestEngineThatIsGoneTakesNoRuns(t *testing.T) {
	v := NewView(exact())
	v.SetEngines([]Engine{{ID: "a", MemoryTokens: 1000, Slots: 9}})
	v.SetEngines(nil)
	if _, ok := v.Place(Run{ID: "1", Prompt: 1, Likely: 1, Most: 1}, nil, 0); ok {
		t.Error("placed at an engine that is gone")
	}
}
