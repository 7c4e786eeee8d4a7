package daemons

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/limits"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// Method names of the protocol between daemons.
const (
	methodProbe    = "probe"
	methodSettings = "settings"
	methodCopy     = "copyVerdicts"
	methodFind     = "findVerdict"
	methodLend     = "lend"
	methodLimit    = "upstreamLimit"
)

// ProbeMessage is a probe or the response to one.
type ProbeMessage struct {
	// Membership holds the sender's entry and updates on other daemons.
	Membership membership.Message `json:"membership"`
	// StoredUpToMs is the time before which all of the sender's verdicts that ended are
	// in the object store, so that their copies may be deleted.
	StoredUpToMs clock.Millis `json:"storedUpToMs,omitempty"`
	// Suspects holds the crash suspects that the sender learned of recently.
	Suspects []SuspectUpdate `json:"suspects,omitempty"`
	// Parts holds the sender's evidence on parts of prompts that crash engines.
	Parts []prompts.Report `json:"parts,omitempty"`
	// Limits says what the sender knows of the limits that upstreams of its data centre name.
	Limits []upstreamlimits.News `json:"limits,omitempty"`
}

// SuspectUpdate describes one crash suspect.
type SuspectUpdate struct {
	// Digest identifies the request.
	Digest string `json:"digest"`
	// Deaths is the number of upstreams that died while they ran the request.
	Deaths int `json:"deaths"`
	// UntilMs is the time until which the request is a suspect, in Unix ms.
	UntilMs clock.Millis `json:"untilMs"`
}

// SettingsRequest asks for the settings that changed after a version.
type SettingsRequest struct {
	// Have is the last change of the settings that the sender has.
	Have settings.ChangeRef `json:"have"`
}

// SettingsAnswer holds the changes of the settings since that version.
type SettingsAnswer = configuration.Delta

// CopyRequest sends copies of verdicts to the daemon that holds them for the sender.
type CopyRequest struct {
	// From is the ID of the run of the daemon that accepted the requests.
	From string `json:"from"`
	// Opened holds requests that have been accepted and have no verdict yet.
	Opened []verdict.Verdict `json:"opened,omitempty"`
	// Verdicts holds the verdicts of requests that have ended.
	Verdicts []verdict.Verdict `json:"verdicts,omitempty"`
	// Closed holds the IDs of opened requests whose verdict is kept elsewhere.
	Closed []string `json:"closed,omitempty"`
	// Batches holds batches of verdicts that are waiting to be stored in the object
	// store. A new holder of copies receives one batch in each message.
	Batches []CopyBatch `json:"batches,omitempty"`
	// StoredUpToMs is the time before which all of the sender's verdicts that ended are
	// in the object store, so that their copies may be deleted.
	StoredUpToMs clock.Millis `json:"storedUpToMs,omitempty"`
}

// CopyBatch is a batch of verdicts that is not in the object store yet.
type CopyBatch struct {
	// Key is the name of the object.
	Key string `json:"key"`
	// Body is the content of the object.
	Body []byte `json:"body"`
	// FirstEndMs is the earliest end of a request in the batch, in Unix ms.
	FirstEndMs clock.Millis `json:"firstEndMs"`
	// LastEndMs is the latest possible end of a request in the batch, in Unix ms.
	LastEndMs clock.Millis `json:"lastEndMs"`
}

// CopyAnswer confirms the receipt of copies.
type CopyAnswer struct {
	// Held is the number of verdicts of ended requests held for the sender.
	Held int `json:"held"`
}

// LendRequest asks for unused capacity of a team's limits.
type LendRequest struct {
	// Team is the name of the team.
	Team string `json:"team"`
}

// LendAnswer is the capacity that is lent.
type LendAnswer = limits.Loan

// LimitRequest asks for a share of an upstream's limit, and brings news of limits.
type LimitRequest struct {
	// From is the name of the asking daemon.
	From string `json:"from"`
	// Ask is empty if the request only brings news.
	Ask upstreamlimits.Ask `json:"ask"`
	// News says what the sender knows of limits.
	News []upstreamlimits.News `json:"news,omitempty"`
	// Leaving holds upstreams that have just said that they shut down.
	Leaving []upstreamgate.Target `json:"leaving,omitempty"`
}

// LimitAnswer is the share that was asked for.
type LimitAnswer = upstreamlimits.Grant

// FindRequest asks for a verdict or a copy of it.
type FindRequest struct {
	// RequestID is the ID of the request.
	RequestID string `json:"requestId"`
}

// FindAnswer holds the verdict if the daemon has it.
type FindAnswer struct {
	// Found is set if the daemon has the verdict or a copy of it.
	Found bool `json:"found"`
	// Copy is set if the verdict is a copy of another daemon's.
	Copy bool `json:"copy"`
	// Verdict is the verdict, if Found is set.
	Verdict verdict.Verdict `json:"verdict"`
}
