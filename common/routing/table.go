package routing

import (
	"net"
	"slices"
	"strings"
)

// Table finds the route of a call.
type Table struct {
	Config *Config
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable indexes the routes of a configuration.
func NewTable(cfg *Config) *Table {
	t := &Table{Config: cfg, byHost: map[string][]*Route{}}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host whose prefix is the longest that begins
// the path. The path is compared as it was sent.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
