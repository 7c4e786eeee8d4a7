package routing

import "testing"

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(&Config{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:8144", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/x/../y/", "short"},
		{"b.example", "/x/y/", "other"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r, ok := table.Match(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	for at, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.PickService(at); got != want {
			t.Errorf("PickService(%v) = %q, want %q", at, got, want)
		}
	}
}
