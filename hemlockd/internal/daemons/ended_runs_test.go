package daemons

import (
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/membership"
)

func TestRunsThatHaveEnded(t *testing.T) {
	view := func(name string, started clock.Millis, state membership.State) membership.View {
		return membership.View{Member: membership.Member{Name: name, Started: started, State: state}}
	}
	live, dead := membership.Live, membership.Dead
	for _, c := range []struct {
		name          string
		before, after []membership.View
		want          string
	}{
		{"still running", []membership.View{view("a", 1, live)}, []membership.View{view("a", 1, membership.Suspect)}, ""},
		{"found dead", []membership.View{view("a", 1, live)}, []membership.View{view("a", 1, dead)}, "a~1"},
		{"reported once", []membership.View{view("a", 1, dead)}, []membership.View{view("a", 1, dead)}, ""},
		{"restarted before a probe failed", []membership.View{view("a", 1, live)}, []membership.View{view("a", 2, live)}, "a~1"},
		{"restarted after it was found dead", []membership.View{view("a", 1, dead)}, []membership.View{view("a", 2, live)}, ""},
		{"new", nil, []membership.View{view("a", 1, live)}, ""},
		{"forgotten", []membership.View{view("a", 1, dead)}, nil, ""},
	} {
		got := ""
		for _, m := range endedRuns(c.before, c.after) {
			got += RunID(m)
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
