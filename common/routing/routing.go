// Package routing defines the configuration of the router: routes, services, the
// upstreams that serve them and the limits on callers' requests. The types do not
// depend on a platform; the packages that talk to one fill them.
//
// # Usage
//
//	table := routing.NewTable(cfg)
//	route, ok := table.Match(host, path)
//	service := route.PickService(rng.Float64())
package routing

import "hemlockmux.example/common/clock"

// Kind says how a route's calls are answered and whether they may be repeated.
type Kind int

// The kinds of routes.
const (
	// Idempotent calls may be run any number of times.
	Idempotent Kind = iota
	// NonIdempotent calls are run at most once for each attempt of a caller.
	NonIdempotent
	// Streaming calls are answered by a stream of events and run at most once,
	// unless the route is resumable.
	Streaming
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "nonIdempotent", "streaming"}[k]
}

// Route determines the handling of calls to one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// TimeoutMs limits the time from the arrival of a call to the end of its answer.
	TimeoutMs clock.Millis
	// TargetLatencyMs is the target for the time to the answer, or to the first
	// event of a stream.
	TargetLatencyMs clock.Millis
	// TargetGapMs is the target for the longest time between two events of a stream.
	TargetGapMs clock.Millis
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Targets lists the services among which calls are split.
	Targets []Target
	// MaxAttempts limits how many upstreams may run one call.
	MaxAttempts int
	// HasPrompt is true if calls carry a prompt for a model.
	HasPrompt bool
	// Resumable is true if a stream may continue at another upstream.
	Resumable bool
}

// Repeatable reports whether a call may be sent again when an upstream has run it,
// or may have.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is one service that receives a share of a route's calls.
type Target struct {
	Service string
	// Weight is the share of the calls, relative to the sum of the route's weights.
	Weight float64
}

// PickService selects the service for a call by weight; at is a random number in
// [0, 1). It returns "" if the route has no targets.
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
	// HealthPath is the path of an upstream's health check.
	HealthPath string
	// MaxConnections limits the connections of all daemons together to one upstream.
	MaxConnections int
	// Engine describes the upstreams if they are model engines; otherwise it is nil.
	Engine *EngineSpec
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	// Slots limits the requests that one engine decodes at the same time.
	Slots int
	// KVCacheTokens is the capacity of an engine's KV cache, in tokens.
	KVCacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// PrefillResultTTLMs is how long an engine keeps the result of a prefill for a
	// decode engine to fetch.
	PrefillResultTTLMs clock.Millis
	// MaxReservationMs is the longest time for which memory can be reserved before a
	// run arrives; 0 if the engine takes no reservations.
	MaxReservationMs clock.Millis
	// RoleChangeMs is how long an engine takes to change its role.
	RoleChangeMs clock.Millis
}

// Limits bound callers' requests and connections.
type Limits struct {
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of a request; 0 selects the router's default.
	MaxBodyBytes int64
	// HeaderTimeoutMs is the time allowed for reading a request's header.
	HeaderTimeoutMs clock.Millis
	// IdleTimeoutMs is the time for which a connection may be idle.
	IdleTimeoutMs clock.Millis
}

// Config is one version of a deployment's configuration.
type Config struct {
	Version int64
	// Era is the last era of the store in which a configuration came into force although its
	// version was not higher; 0 if that never happened. It goes before the version.
	Era    int64
	Routes []Route
	// Services holds the services by name.
	Services map[string]Service
	Limits   Limits
	// Raw is the configuration as the platform stores it. Daemons pass it to each
	// other unchanged.
	Raw []byte
}

// Role is the part of a model's work that an engine does.
type Role string

// The roles of engines. Upstreams of plain services have the empty role.
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
	// Slots is the number of calls that the upstream runs at the same time.
	Slots int
	// Leaving is true once the upstream has announced that it will shut down.
	Leaving bool
	Role    Role
	// Software is the version of the upstream's software. What two versions write does not fit
	// together: a stream may go on only at the version that began it.
	Software string
	// StartedMs is when the upstream started (Unix ms); it distinguishes a restarted
	// upstream from its predecessor.
	StartedMs clock.Millis
	// Sequence orders the entries that one process of the upstream writes.
	Sequence int64
}
