// Package operatorapi holds the messages between hemlockctl and the operators'
// port of a daemon: JSON over HTTP.
//
// # Usage
//
//	GET  /v1/settings           -> SettingsAnswer
//	POST /v1/settings           settings.Change -> ApplyAnswer or problem+json
//	GET  /v1/settings/history   -> []settings.AuditRow
//	GET  /v1/settings/status    -> []DaemonStatus, one for each daemon known
//	GET  /v1/verdicts/{id}      -> VerdictAnswer
//	GET  /v1/upstreams          -> []UpstreamStatus
package operatorapi

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
)

// SettingsResponse is the newest settings known to the daemon.
type SettingsResponse struct {
	Version int64           `json:"version"`
	Nodes   []settings.Node `json:"nodes"`
	// FromPlatform is false where the platform was out of reach and the
	// settings in force were given instead.
	FromPlatform bool `json:"fromPlatform"`
}

// ApplyResponse is the answer to an accepted change.
type ApplyResponse struct {
	Version int64 `json:"version"`
}

// Codes of a refused change.
const (
	CodeBadSettings    = "badSettings"
	CodeConflict       = "conflict"
	CodeOutcomeUnknown = "unsettled"
	CodeUnavailable    = "platformUnavailable"
	CodeDenied         = "denied"
	CodeNotFound       = "notFound"
	CodeBadRequest     = "badRequest"
)

// Refusal is the body of every answer that is not 200.
type Refusal struct {
	Code        string              `json:"code"`
	Detail      string              `json:"detail"`
	ChangeID    string              `json:"changeId,omitempty"`
	Findings    []settings.Finding  `json:"findings,omitempty"`
	Conflicting []settings.AuditRow `json:"theirs,omitempty"`
}

// DaemonStatus is what one daemon knows of another (or of itself).
type DaemonStatus struct {
	Name            string       `json:"name"`
	DataCentre      string       `json:"dataCentre"`
	Address         string       `json:"address"`
	State           string       `json:"state"` // "live", "suspect", "dead" or "leaving"
	SettingsVersion int64        `json:"settingsVersion"`
	SinceHeardMs    clock.Millis `json:"heardMsAgo"`
}

// UpstreamStatus is what the daemon knows of one upstream.
type UpstreamStatus struct {
	Name       string `json:"name"`
	Kind       string `json:"kind"`
	DataCentre string `json:"dataCentre"`
	Keeper     string `json:"keeper,omitempty"`
	State      string `json:"state"` // "up", "down", "leaving" or "unknown"
	InFlight   int    `json:"inFlight"`
	PiecesHeld int    `json:"piecesHeld"`
}

// VerdictResponse is a verdict and where it was found.
type VerdictResponse struct {
	Verdict verdict.Verdict `json:"verdict"`
	Source  string          `json:"source"` // "daemon", "copy" or "store"
}

// MethodDaemonView asks a daemon, over JSON-RPC at its port for other daemons,
// for a [DaemonView].
const MethodDaemonView = "daemon.beliefs"

// DaemonView is what a daemon on the users' platform believes.
type DaemonView struct {
	Daemon     string `json:"daemon"`
	DataCentre string `json:"dataCentre"`
	// Version is the version of the configuration in force.
	Version      int64 `json:"version"`
	Ready        bool  `json:"ready"`
	OpenRequests int   `json:"openRequests"`
	// SinceStoreFailureMs is how long ago the store last failed to answer; -1: never.
	SinceStoreFailureMs clock.Millis   `json:"storeTroubleAgoMs"`
	Upstreams           []UpstreamView `json:"upstreams"`
	Engines             []EngineView   `json:"engines"`
	Daemons             []PeerView     `json:"daemons"`
}

// UpstreamView is one upstream as a daemon knows it.
type UpstreamView struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Role     string `json:"role,omitempty"`
	Leaving  bool   `json:"leaving"`
	// Down says that it is out of use until it answers a probe.
	Down bool `json:"down"`
}

// EngineView is one decode engine as a daemon knows it.
type EngineView struct {
	Engine string `json:"engine"`
	Runs   int    `json:"runs"`
	// ForecastTokens is the most memory that its runs are thought to need.
	ForecastTokens int     `json:"forecastTokens"`
	MemoryTokens   int     `json:"memoryTokens"`
	MsPerToken     float64 `json:"msPerToken"`
}

// PeerView is another daemon as a daemon knows it.
type PeerView struct {
	Daemon       string       `json:"daemon"`
	DataCentre   string       `json:"dataCentre"`
	Address      string       `json:"address"`
	Version      int64        `json:"version"`
	SinceHeardMs clock.Millis `json:"heardAgoMs"`
	Leaving      bool         `json:"leaving"`
}
