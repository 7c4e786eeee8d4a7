// Package routing holds what a deployment tells the router: routes, services,
// the upstreams that serve them and the limits on what callers may send. The
// types are the product's own; the packages that speak to a platform fill them.
//
// # Usage
//
//	table := routing.NewTable(cfg)
//	route, ok := table.Match(host, path)
//	service := route.PickService(rng.Float64())
package routing

import "hemlockmux.example/common/clock"

// Kind says what of a route's calls may be repeated.
type Kind int

// The kinds of routes.
const (
	// Idempotent calls may run any number of times.
	Idempotent Kind = iota
	// NonIdempotent calls run at most once for each attempt of a caller.
	NonIdempotent
	// Streaming calls are answered by a series of events and run at most once,
	// unless the route is resumable.
	Streaming
)

// String names the kind as logs and metrics do.
func (k Kind) String() string {
	return [...]string{"idempotent", "nonIdempotent", "streaming"}[k]
}

// Route says where calls of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// TimeoutMs is the longest time that a caller is kept waiting.
	TimeoutMs clock.Millis
	// TargetLatencyMs is the time within which the answer (of a stream: its first
	// event) is wanted.
	TargetLatencyMs clock.Millis
	// TargetGapMs is the longest pause wanted between two events of a stream.
	TargetGapMs clock.Millis
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the most upstreams that one call may be sent to.
	MaxAttempts int
	// HasPrompt says that calls carry a prompt for a model.
	HasPrompt bool
	// Resumable says that a stream may go on at another upstream.
	Resumable bool
}

// Repeatable tells whether a call may be sent again when it is not known
// whether an upstream ran it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is one service that a route's calls go to, with its share of them.
type Target struct {
	Service string
	Weight  float64
}

// PickService returns the service for a call; at is a random number in [0, 1).
func (r *Route) PickService(at float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at *= total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of upstreams that serve the same calls.
type Service struct {
	Name string
	// HealthPath is where an upstream is asked whether it is healthy.
	HealthPath string
	// MaxConnections is the most connections that an upstream takes from all
	// daemons together.
	MaxConnections int
	// Engine is set where the upstreams are model engines.
	Engine *EngineSpec
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots is the most requests that an engine decodes at once.
	Slots int
	// KVCacheTokens is the KV cache that an engine has room for, in tokens.
	KVCacheTokens int
	// EventTokens is the number of tokens that one event of a stream carries.
	EventTokens int
	// PrefillResultTTLMs is how long the result of a prefill is kept for a decode
	// engine to fetch.
	PrefillResultTTLMs clock.Millis
	// MaxReservationMs is the longest time that memory can be reserved for a run that is to
	// come; 0: not at all.
	MaxReservationMs clock.Millis
	// RoleChangeMs is how long an engine takes to change its role.
	RoleChangeMs clock.Millis
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs clock.Millis
	IdleTimeoutMs   clock.Millis
}

// Config is one version of what a deployment is configured to do.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Raw is the form in which the platform keeps the configuration. Daemons
	// hand it to each other unchanged.
	Raw []byte
}

// Role is what an engine does.
type Role string

// The roles of engines. Upstreams of plain services have none.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Upstream is one server of a service.
type Upstream struct {
	ID      string
	Service string
	// Address is IP:port.
	Address    string
	DataCentre string
	Slots      int
	// Leaving says that the upstream has announced that it ends.
	Leaving bool
	Role    Role
	// StartedMs tells one start of the upstream from the next (Unix ms).
	StartedMs clock.Millis
}
