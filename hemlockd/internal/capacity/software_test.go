package capacity

import "testing"

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
