package routing

import (
	"net"
	"slices"
	"strings"
)

// Table is an index of a configuration's routes.
type Table struct {
	// Config is the configuration that the table was built from.
	Config *Config
	// byHost holds the routes of each host in lower case, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns an index of the routes of cfg, which must not change afterwards.
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

// Match returns the host's route with the longest prefix of path. A port in host
// and the case of host are ignored; path is compared as sent, without cleaning.
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
