package daemons

import (
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/limits"
	"hemlockmux.example/hemlockd/internal/membership"
)

// Methods of the protocol between daemons.
const (
	methodProbe    = "probe"
	methodSettings = "settings"
	methodCopy     = "copyVerdicts"
	methodFind     = "findVerdict"
	methodLend     = "lend"
)

// ProbeMessage is a probe or its answer.
type ProbeMessage struct {
	Membership membership.Message `json:"membership"`
	// StoredUpToMs says that the object store has all of the sender's verdicts
	// that ended before, so that their copies may go.
	StoredUpToMs clock.Millis `json:"storedUpToMs,omitempty"`
	// Suspects holds the crash suspects that the sender learned of lately.
	Suspects []SuspectUpdate `json:"suspects,omitempty"`
}

// SuspectUpdate is what daemons tell each other of one crash suspect.
type SuspectUpdate struct {
	Digest  string       `json:"digest"`
	Deaths  int          `json:"deaths"`
	UntilMs clock.Millis `json:"untilMs"`
}

// SettingsRequest asks for the settings that changed after a version.
type SettingsRequest struct {
	Have int64 `json:"have"`
}

// SettingsAnswer holds them.
type SettingsAnswer = configuration.Delta

// CopyRequest hands copies of verdicts to another VM of the data centre.
type CopyRequest struct {
	// From is the run of the daemon that took the requests.
	From string `json:"from"`
	// Opened are requests that have been taken and have no verdict yet.
	Opened []verdict.Verdict `json:"opened,omitempty"`
	// Verdicts are the verdicts of requests that have ended.
	Verdicts []verdict.Verdict `json:"verdicts,omitempty"`
	// Closed are opened requests whose verdict is kept elsewhere.
	Closed []string `json:"closed,omitempty"`
	// Batches are verdicts that wait for the object store, as they will be
	// stored; a new holder of copies is sent them one by one.
	Batches []CopyBatch `json:"batches,omitempty"`
	// StoredUpToMs says that the object store has all verdicts that ended
	// before, so that their copies may go.
	StoredUpToMs clock.Millis `json:"storedUpToMs,omitempty"`
}

// CopyBatch is one object that is not stored yet.
type CopyBatch struct {
	Key        string       `json:"key"`
	Body       []byte       `json:"body"`
	FirstEndMs clock.Millis `json:"firstEndMs"`
	LastEndMs  clock.Millis `json:"lastEndMs"`
}

// CopyAnswer confirms copies.
type CopyAnswer struct {
	Held int `json:"held"`
}

// LendRequest asks for a part of a team's limit that is not used.
type LendRequest struct {
	Team string `json:"team"`
}

// LendAnswer is what is lent.
type LendAnswer = limits.Loan

// FindRequest asks for a verdict, or for its copy.
type FindRequest struct {
	RequestID string `json:"requestId"`
}

// FindAnswer holds the verdict where the daemon has it.
type FindAnswer struct {
	Found   bool            `json:"found"`
	Copy    bool            `json:"copy"`
	Verdict verdict.Verdict `json:"verdict"`
}
