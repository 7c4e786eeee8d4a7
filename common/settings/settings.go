// Package settings defines, validates and stores the operators' settings: a tree
// of TOML nodes, one for the system and one for each team.
//
// # Usage
//
//	tree, err := settings.Parse(version, nodes) // decode and validate all nodes
//	var bad *settings.BadSettingsError
//	if errors.As(err, &bad) { ... }             // findings: file, line, text, suggestion
//
// [DefaultSystem], [DefaultModel], [DefaultService] and [DefaultTeam] return the
// defaults; they are defined nowhere else. `hemlockctl settings reference` generates
// the reference page from the structs and their doc tags.
package settings

import (
	"hemlockmux.example/common/clock"
)

// SystemPath is the path of the node that holds all settings except the teams'.
const SystemPath = "system"

// TeamsPrefix is the prefix of the path of each team's node.
const TeamsPrefix = "teams/"

// Node is one stored subtree of the settings.
type Node struct {
	// Path is SystemPath, or TeamsPrefix followed by a team's name.
	Path string `json:"path"`
	// Version is the version of the tree in which this node last changed.
	Version int64 `json:"version"`
	// Text is the node's TOML; it is empty if the node is deleted.
	Text string `json:"text"`
	// Deleted reports whether the node was deleted in Version.
	Deleted bool `json:"deleted,omitempty"`
}

// Tree is a complete, validated version of the settings.
type Tree struct {
	// Version is the version of the tree, which each change increments by one.
	Version int64
	// System is the content of the system node.
	System System
	// Teams holds the content of the teams' nodes, by team name.
	Teams map[string]Team
}

// System is the content of the system node.
type System struct {
	DataCentres map[string]DataCentre `toml:"dataCentres" doc:"The data centres, by name."`
	Models      map[string]Model      `toml:"models" doc:"The models that engines serve, by name."`
	Services    map[string]Service    `toml:"services" doc:"The plain services, by name."`
	Upstreams   map[string]Upstream   `toml:"upstreams" doc:"Engines and instances of services, by name."`
	Operators   map[string]Operator   `toml:"operators" doc:"Operators that may change settings, by name."`
	Policy      Policy                `toml:"policy" doc:"Parameters of admission, retries, time-outs and record keeping."`
}

// DataCentre is one data centre.
type DataCentre struct {
	Region   string       `toml:"region" doc:"Region of the data centre."`
	OneWayMs clock.Millis `toml:"oneWayMs" doc:"One-way latency from other regions, in ms; data centres with a lower latency are tried first."`
}

// Model describes a model and the capacity and speed of its engines.
type Model struct {
	Slots          int          `toml:"slots" doc:"Maximum number of requests that one decode engine processes at once."`
	Pieces         int          `toml:"pieces" doc:"Number of KV cache blocks (pieces) in the memory of one decode engine."`
	PieceTokens    int          `toml:"pieceTokens" doc:"Tokens in one KV cache block (piece)."`
	MaxTokens      int          `toml:"maxTokens" doc:"Maximum number of output tokens of one request."`
	PrefillTokenUs int64        `toml:"prefillTokenUs" doc:"Expected prefill time of one prompt token, in µs."`
	PrefillBaseMs  clock.Millis `toml:"prefillBaseMs" doc:"Expected fixed time of one prefill, in ms."`
	StepBaseMs     float64      `toml:"stepBaseMs" doc:"Expected time of one decode step of a batch of one, in ms."`
	StepPerSlotMs  float64      `toml:"stepPerSlotMs" doc:"Added time of a decode step for each further request in the batch, in ms."`
	TransferMBps   float64      `toml:"transferMBps" doc:"Rate of the link that transfers the KV cache of a prefill, in MB/s."`
	KVTokenKB      float64      `toml:"kvTokenKB" doc:"Size of the KV cache of one token, in KB."`
	Groups         int          `toml:"groups" doc:"Number of groups that a data centre's engines are split into, each owned by one daemon."`
}

// Service describes a plain service.
type Service struct {
	Idempotent     bool         `toml:"repeatable" doc:"Whether calls other than GET and HEAD are idempotent; if not, they need an Idempotency-Key."`
	TimeoutMs      clock.Millis `toml:"timeoutMs" doc:"Longest wait for the service's answer, in ms."`
	MaxAnswerBytes int64        `toml:"maxAnswerBytes" doc:"Longest answer that is stored with its body for replay, in bytes; longer ones, up to 16 MB, are relayed but stored without it."`
}

// Values of Upstream.Kind.
const (
	KindPrefill = "prefill"
	KindDecode  = "decode"
	KindService = "service"
)

// Upstream is one engine or one instance of a plain service.
type Upstream struct {
	Kind       string `toml:"kind" doc:"prefill, decode or service."`
	Model      string `toml:"model" doc:"Model that an engine serves."`
	Service    string `toml:"service" doc:"Service that this is an instance of."`
	Address    string `toml:"address" doc:"IP:port of the upstream."`
	DataCentre string `toml:"dataCentre" doc:"Data centre of the upstream."`
	Leaving    bool   `toml:"leaving" doc:"Whether the upstream is leaving and receives no new work."`
}

// Operator is a person or program that may change settings.
type Operator struct {
	KeyHash string `toml:"keyHash" doc:"sha256: and the hex digest of the operator's key; made by hemlockctl keys new."`
}

// Policy holds the parameters of admission, retries, time-outs and record keeping.
type Policy struct {
	FirstTokenMs      clock.Millis `toml:"firstTokenMs" doc:"Target for the time to the first token, in ms."`
	BetweenTokensMs   float64      `toml:"betweenTokensMs" doc:"Target for the time between tokens, in ms."`
	GoodputWeight     float64      `toml:"goodputWeight" doc:"Weight of an answer in time; a higher value makes admission accept more requests."`
	WasteWeight       float64      `toml:"wasteWeight" doc:"Weight of a wasted prefill; a higher value makes admission accept fewer requests."`
	StallMs           clock.Millis `toml:"stallMs" doc:"Longest wait for the next chunk before a stream is resumed on a new connection, in ms."`
	PrefillTimeoutMs  clock.Millis `toml:"prefillTimeoutMs" doc:"Longest wait for a prefill beyond its predicted time, in ms."`
	RetryRatio        float64      `toml:"retryRatio" doc:"Retries allowed for each first attempt, as a fraction."`
	MaxAttempts       int          `toml:"maxAttempts" doc:"Maximum number of attempts for one request in one phase."`
	SuspectMs         clock.Millis `toml:"suspectMs" doc:"Time for which a request is refused after upstreams crashed during it, in ms."`
	LeavingGraceMs    clock.Millis `toml:"leavingGraceMs" doc:"Time after which a leaving upstream gets no new work, in ms."`
	MaxBodyBytes      int64        `toml:"maxBodyBytes" doc:"Longest body of a caller's request, in bytes."`
	PlacementKeepMs   clock.Millis `toml:"placementKeepMs" doc:"Minimum retention period of a placement record, in ms."`
	LedgerIntervalMs  clock.Millis `toml:"ledgerIntervalMs" doc:"Minimum time between two writes of placement records by one daemon, in ms."`
	VerdictIntervalMs clock.Millis `toml:"verdictIntervalMs" doc:"Time between two uploads of verdict objects by one daemon, in ms."`
}

// Team is the content of one team's node.
type Team struct {
	Priority          int            `toml:"priority" doc:"0 to 9; in an overload the lowest is refused first."`
	RequestsPerSecond float64        `toml:"requestsPerSecond" doc:"Requests per second in one data centre; 0 means no limit."`
	Burst             int            `toml:"burst" doc:"Maximum number of requests admitted at once (size of the rate limit's token bucket)."`
	MaxInFlight       int            `toml:"maxInFlight" doc:"Requests in flight at once in one data centre; 0 means no limit."`
	Models            []string       `toml:"models" doc:"Models that the team may use."`
	Services          []string       `toml:"services" doc:"Services that the team may use."`
	Upstreams         []string       `toml:"upstreams" doc:"Upstreams that the team may use; empty means all upstreams of its models and services."`
	Keys              map[string]Key `toml:"keys" doc:"The team's keys, by a name of the operator's choice."`
}

// Key is one caller's key.
type Key struct {
	Hash string `toml:"hash" doc:"sha256: and the hex digest of the key; the key itself is never stored."`
}

// DefaultSystem returns a system node that holds the default policy and nothing else.
func DefaultSystem() System {
	return System{Policy: Policy{
		FirstTokenMs: 1800, BetweenTokensMs: 31, GoodputWeight: 1, WasteWeight: 1,
		StallMs: 2000, PrefillTimeoutMs: 2000, RetryRatio: 0.1, MaxAttempts: 3,
		SuspectMs: 10 * clock.Minute, LeavingGraceMs: 5 * clock.Second, MaxBodyBytes: 1 << 20,
		PlacementKeepMs: 7 * 24 * clock.Hour, LedgerIntervalMs: 20, VerdictIntervalMs: 10 * clock.Second,
	}}
}

// DefaultModel returns a model with the default of each setting.
func DefaultModel() Model {
	return Model{
		Slots: 20, Pieces: 8192, PieceTokens: 16, MaxTokens: 1024, PrefillTokenUs: 50, PrefillBaseMs: 10,
		StepBaseMs: 12, StepPerSlotMs: 0.8, TransferMBps: 5000, KVTokenKB: 64, Groups: 1,
	}
}

// DefaultService returns a service with the default of each setting.
func DefaultService() Service {
	return Service{TimeoutMs: 10 * clock.Second, MaxAnswerBytes: 64 << 10}
}

// DefaultTeam returns a team with the default of each setting.
func DefaultTeam() Team { return Team{Priority: 5, Burst: 20} }
