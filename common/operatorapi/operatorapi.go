// Package operatorapi defines the messages between hemlockctl and a daemon: JSON over
// HTTP at the operators' port, and JSON-RPC on the users' platform.
//
// # Usage
//
//	GET  /v1/settings           -> SettingsResponse
//	POST /v1/settings           settings.Change -> ApplyResponse
//	GET  /v1/settings/history   -> []settings.AuditRow
//	GET  /v1/daemons            -> []DaemonStatus, one for each known daemon
//	GET  /v1/verdicts/{id}      -> VerdictResponse
//	GET  /v1/upstreams          -> []UpstreamStatus
//	GET  /v1/parts              -> []RefusedPartView, with the model as service
//	POST /v1/parts/lift         LiftPartRequest -> LiftPartResponse, or 404
//
// A response with a status other than 200 has a [Refusal] as its body.
package operatorapi

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
)

// SettingsResponse holds the newest settings that the daemon knows.
type SettingsResponse struct {
	// Version is the version of the settings.
	Version int64 `json:"version"`
	// Nodes are all nodes of the settings.
	Nodes []settings.Node `json:"nodes"`
	// FromPlatform is false if the platform could not be read, so that these are
	// the settings in force at the daemon.
	FromPlatform bool `json:"fromPlatform"`
}

// ApplyResponse is the response to an accepted change.
type ApplyResponse struct {
	// Version is the version that the change made.
	Version int64 `json:"version"`
}

// Values of Refusal.Code.
const (
	CodeBadSettings    = "badSettings"
	CodeConflict       = "conflict"
	CodeOutcomeUnknown = "unsettled"
	CodeUnavailable    = "platformUnavailable"
	CodeDenied         = "denied"
	CodeNotFound       = "notFound"
	CodeBadRequest     = "badRequest"
)

// Refusal is the body of a response with a status other than 200.
type Refusal struct {
	// Code says why the request failed.
	Code string `json:"code"`
	// Detail explains the failure to a person.
	Detail string `json:"detail"`
	// ChangeID is the id of the change that failed; empty for other requests.
	ChangeID string `json:"changeId,omitempty"`
	// Findings are the validation errors if Code is CodeBadSettings.
	Findings []settings.Finding `json:"findings,omitempty"`
	// Conflicting are the accepted changes to the same nodes if Code is CodeConflict.
	Conflicting []settings.AuditRow `json:"theirs,omitempty"`
}

// DaemonStatus is the status of a daemon as seen by the daemon that responds; the
// two may be the same.
type DaemonStatus struct {
	// Name is the name of the daemon.
	Name string `json:"name"`
	// DataCentre is the data centre of the daemon.
	DataCentre string `json:"dataCentre"`
	// Address is the address of its port for other daemons.
	Address string `json:"address"`
	// State is "live", "suspect", "dead" or "leaving".
	State string `json:"state"`
	// SettingsVersion is the version of the settings in force at the daemon.
	SettingsVersion int64 `json:"settingsVersion"`
	// SinceHeardMs is the time since the last message from the daemon, in ms.
	SinceHeardMs clock.Millis `json:"heardMsAgo"`
}

// UpstreamStatus is the status of an upstream as seen by the daemon that responds.
type UpstreamStatus struct {
	// Name is the name of the upstream.
	Name string `json:"name"`
	// Kind is one of the kinds of package settings, such as settings.KindDecode.
	Kind string `json:"kind"`
	// DataCentre is the data centre of the upstream.
	DataCentre string `json:"dataCentre"`
	// Keeper is the name of the daemon that responds if it is the engine's keeper,
	// otherwise empty.
	Keeper string `json:"keeper,omitempty"`
	// State is "up", "down", "leaving" or "unknown".
	State string `json:"state"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"inFlight"`
	// PiecesHeld is the number of pieces of an engine's memory that are in use.
	PiecesHeld int `json:"piecesHeld"`
}

// VerdictResponse is a verdict and where it was found.
type VerdictResponse struct {
	// Verdict is the verdict.
	Verdict verdict.Verdict `json:"verdict"`
	// Source is "daemon", "copy" or "store".
	Source string `json:"source"`
}

// MethodDaemonView is the JSON-RPC method, at a daemon's port for other daemons, that
// returns a [DaemonView].
const MethodDaemonView = "daemon.beliefs"

// DaemonView is the state of a daemon on the users' platform: its own and what it
// knows of the upstreams and the other daemons, which may be stale.
type DaemonView struct {
	// Daemon is the name of the daemon.
	Daemon string `json:"daemon"`
	// DataCentre is the data centre of the daemon.
	DataCentre string `json:"dataCentre"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// Ready reports whether the daemon has loaded a configuration and the list of
	// upstreams.
	Ready bool `json:"ready"`
	// OpenRequests is the number of requests in flight.
	OpenRequests int `json:"openRequests"`
	// SinceStoreFailureMs is the time since the store last failed, in ms; -1 if it
	// has not failed.
	SinceStoreFailureMs clock.Millis `json:"storeTroubleAgoMs"`
	// Upstreams are all upstreams of the configuration.
	Upstreams []UpstreamView `json:"upstreams"`
	// Engines are the decode engines.
	Engines []EngineView `json:"engines"`
	// Daemons are the other daemons.
	Daemons []PeerView `json:"daemons"`
	// RefusedParts are the parts of prompts that the daemon refuses.
	RefusedParts []RefusedPartView `json:"refusedParts"`
	// Limits are the limits that upstreams name.
	Limits []LimitView `json:"limits"`
	// Closed are the upstreams that this daemon sends nothing because of what they have announced.
	Closed []ClosedView `json:"closed"`
}

// RefusedPartView is a part of prompts that a daemon refuses because engines crash on it.
type RefusedPartView struct {
	// Service is the name of the service whose engines crash.
	Service string `json:"service"`
	// Part is the id of the part.
	Part string `json:"part"`
	// Engines are the processes that crashed, at most sixteen of them.
	Engines []string `json:"engines"`
	// SinceCrashMs is the time since the last crash, in ms.
	SinceCrashMs clock.Millis `json:"crashAgoMs"`
	// SinceTryMs is the time since the part was last tried again, in ms; 0: never.
	SinceTryMs clock.Millis `json:"tryAgoMs,omitempty"`
	// SinceRefusalMs is the time since a request was last refused, in ms; 0: never.
	SinceRefusalMs clock.Millis `json:"seenAgoMs,omitempty"`
}

// MethodLiftPart is the JSON-RPC method, at a daemon's port for other daemons, that lifts
// the refusal of a part of prompts at all daemons. It takes a [LiftPartRequest] and returns
// a [LiftPartResponse].
const MethodLiftPart = "daemon.liftPart"

// LiftPartRequest names the part whose refusal is to be lifted.
type LiftPartRequest struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Part is the id of the part.
	Part string `json:"part"`
}

// LiftPartResponse is the response to a [LiftPartRequest].
type LiftPartResponse struct {
	// Lifted is false if the daemon refuses no such part.
	Lifted bool `json:"lifted"`
}

// UpstreamView is an upstream as seen by a daemon.
type UpstreamView struct {
	// Upstream is the id of the upstream.
	Upstream string `json:"upstream"`
	// Service is the name of its service.
	Service string `json:"service"`
	// Address is its address.
	Address string `json:"address"`
	// Role is the phase that an engine runs; empty for a plain service.
	Role string `json:"role,omitempty"`
	// Leaving reports whether it gets no new work.
	Leaving bool `json:"leaving"`
	// Down reports whether it gets no work until it answers a probe.
	Down bool `json:"down"`
}

// EngineView is a decode engine as seen by a daemon.
type EngineView struct {
	// Engine is the id of the engine.
	Engine string `json:"engine"`
	// Runs is the number of runs of all daemons at the engine.
	Runs int `json:"runs"`
	// ForecastTokens is the forecast of the peak memory of its runs, in tokens.
	ForecastTokens int `json:"forecastTokens"`
	// MemoryTokens is the size of its memory, in tokens.
	MemoryTokens int `json:"memoryTokens"`
	// MsPerToken is the moving average of its decode time per token, in ms.
	MsPerToken float64 `json:"msPerToken"`
}

// LimitView is the limit that an upstream names, as a daemon knows it.
type LimitView struct {
	// Upstream is the upstream's ID.
	Upstream string `json:"upstream"`
	// PerSecond is the limit over all daemons, and Share what this daemon may use of it, in
	// requests per second.
	PerSecond float64 `json:"perSecond"`
	Share     float64 `json:"share"`
	// Used is the number of requests that this daemon sent there in the last full second.
	Used int `json:"used"`
	// SinceMs is the time since the limit was first heard of, and ConfirmedMs the time since an
	// answer last named it.
	SinceMs     clock.Millis `json:"sinceMs"`
	ConfirmedMs clock.Millis `json:"confirmedMs"`
}

// ClosedView is an upstream that a daemon sends nothing because of what it has announced.
type ClosedView struct {
	// Upstream is the upstream's ID.
	Upstream string `json:"upstream"`
	// Reason is "leaving" if it shuts down, and "paused" if it has told the daemon to wait.
	Reason string `json:"reason"`
	// SinceMs is the time since the shutdown was first heard of, and LeftMs the rest of the pause.
	SinceMs clock.Millis `json:"sinceMs,omitempty"`
	LeftMs  clock.Millis `json:"leftMs,omitempty"`
}

// PeerView is another daemon as seen by a daemon.
type PeerView struct {
	// Daemon is the name of the other daemon.
	Daemon string `json:"daemon"`
	// DataCentre is its data centre.
	DataCentre string `json:"dataCentre"`
	// Address is the address of its port for other daemons.
	Address string `json:"address"`
	// Version is the version of the configuration in force there.
	Version int64 `json:"version"`
	// SinceHeardMs is the time since its last message, in ms.
	SinceHeardMs clock.Millis `json:"heardAgoMs"`
	// Leaving reports whether it is shutting down.
	Leaving bool `json:"leaving"`
}
