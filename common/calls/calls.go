// Package calls defines the types for a caller's request as the router sees it,
// its delivery to an upstream and the result of that delivery.
//
// # Usage
//
//	call := &calls.Call{ID: "9c41", Path: "/x/1", ...}
//	reply, err := transport.Send(ctx, call, upstream, calls.Delivery{RemainingMs: 1500})
//	var failed *calls.Error
//	if errors.As(err, &failed) && failed.Outcome == calls.NotRun { ... try another ... }
package calls

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
)

// Call is one attempt of a caller.
type Call struct {
	// ID identifies the attempt. The caller chooses it.
	ID     string
	Method string
	Host   string
	// Target is the request target (path and query) as the caller sent it.
	Target string
	// Path is the path of Target, without the query.
	Path string
	// Header is forwarded to the upstream.
	Header http.Header
	Body   []byte
	// TimeoutMs is how long the caller waits, counted from the arrival of the call;
	// 0 if the caller sent no limit.
	TimeoutMs clock.Millis
	// Prompt describes the prompt; nil if the call carries none.
	Prompt *Prompt
	// ResumeAfter is the id of the last stream event that the caller has received;
	// empty if the stream starts from the beginning.
	ResumeAfter string
	// Resumed is the ID of the attempt that began the stream; empty if the stream starts from the
	// beginning or the caller does not say.
	Resumed string
}

// Prompt describes a call's prompt and the answer that the caller expects.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// MaxOutputTokens is the limit on generated tokens.
	MaxOutputTokens int
	// ExpectedOutputTokens is the caller's estimate of the generated tokens; 0 if it
	// gave none.
	ExpectedOutputTokens int
	// Parts are the ids of the parts that make up the prompt, in order; nil if the caller
	// did not name them. The last part is the call's own; the others may be shared with
	// other calls.
	Parts []string
}

// SharedParts returns the parts that other calls may have too.
func (p *Prompt) SharedParts() []string {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Phase is the part of a call's processing that an upstream is asked to do.
type Phase string

// The phases.
const (
	// PhaseRun runs the whole call.
	PhaseRun Phase = "run"
	// PhasePrefill only processes the prompt; the engine keeps the result.
	PhasePrefill Phase = "prefill"
	// PhaseDecode generates the answer from the result of a prefill.
	PhaseDecode Phase = "decode"
)

// Delivery holds the parameters for sending a call to one upstream.
type Delivery struct {
	Phase Phase
	// RemainingMs is the time that the upstream has left for the call.
	RemainingMs clock.Millis
	// KVSource identifies the prefill result to use in PhaseDecode. With a zero
	// KVSource the engine processes the prompt itself.
	KVSource KVSource
	// ResumeAfter is the id of the last stream event already received; empty if the
	// stream starts from the beginning.
	ResumeAfter string
	// ReservationID is the id of the engine's reservation that the call uses; empty
	// if there is none.
	ReservationID string
}

// KVSource identifies a prefill result, which is held by the engine that
// produced it.
type KVSource struct {
	// Upstream is the ID of the engine, and StartedMs the start of its process.
	Upstream  string
	StartedMs clock.Millis
	// Address is IP:port of the engine.
	Address string
	// Handle is the engine's name for the result.
	Handle string
}

// EngineState is what an engine reports about its role. A report can be some
// hundred ms old.
type EngineState struct {
	// Prefill is true for a prefill engine and false for a decode engine.
	Prefill bool
	// ChangingRole is true while the engine carries out an order.
	ChangingRole bool
	// AcceptedOrders is the number of orders accepted since the engine started.
	AcceptedOrders int64
}

// Order tells an engine which role to take.
type Order struct {
	// Prefill is true for the prefill role and false for the decode role.
	Prefill bool
	// Holder names the daemon that holds the lease for giving orders.
	Holder string
	// FencingToken increases each time the lease is granted or renewed.
	FencingToken int64
	// ExpectedOrders is the number of orders that the engine must have accepted for
	// this one to be valid.
	ExpectedOrders int64
}

// Outcome says whether an upstream ran a call, as far as the router knows.
type Outcome = verdict.AttemptResult

// The outcomes. A caller may be told that its call was not run only if the
// outcome is NotRun.
const (
	NotRun  = verdict.AttemptNotRun
	Ran     = verdict.AttemptRan
	Unknown = verdict.AttemptUnknown
)

// Cause says why a call failed at an upstream.
type Cause string

// The causes.
const (
	// CauseUnreachable means that no connection was made and nothing was sent.
	CauseUnreachable Cause = "unreachable"
	// CauseBusy means that the upstream accepts no more work at present.
	CauseBusy Cause = "busy"
	// CauseTargetChanged means that another upstream now has the address, or that
	// the upstream has changed its role.
	CauseTargetChanged Cause = "moved"
	// CauseRefused means that the upstream refused the call for another reason.
	CauseRefused Cause = "refused"
	// CauseConnectionLost means that the connection ended before the answer was
	// complete.
	CauseConnectionLost Cause = "broken"
	// CauseMismatchedReply means that the answer does not belong to the call.
	CauseMismatchedReply Cause = "foreign"
	// CauseLimited means that the call was not sent because of the limit that the upstream
	// names.
	CauseLimited Cause = "limited"
	// CauseLeaving means that the call was not sent because the upstream has said that it shuts
	// down.
	CauseLeaving Cause = "leaving"
	// CausePaused means that the call was not sent because the upstream has told this daemon to
	// wait.
	CausePaused Cause = "paused"
	// CauseTimeout means that no answer came within the time allowed.
	CauseTimeout Cause = "silent"
	// CauseTruncated means that a stream ended in the middle of an event.
	CauseTruncated Cause = "truncated"
	// CauseDeadline means that the time for the whole request was over.
	CauseDeadline Cause = "deadline"
	// CauseShutdown means that this daemon had to exit.
	CauseShutdown Cause = "shutdown"
	// CauseCallerGone means that the caller stopped waiting.
	CauseCallerGone Cause = "callerGone"
	// CauseUpstreamError means that the upstream answered with an error of its own.
	CauseUpstreamError Cause = "failed"
)

// NotSent reports whether a call with this cause was never sent, or reached no upstream.
func (c Cause) NotSent() bool {
	switch c {
	case CauseUnreachable, CauseLimited, CauseLeaving, CausePaused:
		return true
	}
	return false
}

// Error reports that a call to an upstream brought no answer that can be
// forwarded.
type Error struct {
	// Upstream is the id of the upstream.
	Upstream string
	Phase    Phase
	Cause    Cause
	Outcome  Outcome
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at upstream %s: %s (%s): %v", e.Phase, e.Upstream, e.Cause, e.Outcome, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Reply is an upstream's answer. The reader of Body must close it.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Sealed is true if the answer carries the upstream's seal.
	Sealed bool
}

// Answer tells that an upstream has answered a call, and what it said of itself. Refusals count,
// and answers to the router's own calls.
type Answer struct {
	// Upstream is the id of the upstream, and StartedMs the start of its process.
	Upstream  string
	StartedMs clock.Millis
	// LimitPerSecond is the number of requests per second that the upstream takes from all
	// daemons together; 0 if it names no limit.
	LimitPerSecond float64
	// Control is set if the router itself made the call: the answer says nothing of the limit.
	Control bool
	// Leaving is set if the upstream says that its process shuts down.
	Leaving bool
	// PauseMs is the time for which the upstream wants nothing from this daemon; 0 if it names
	// none. PauseErr reports that what it names is no usable time.
	PauseMs  clock.Millis
	PauseErr error
	// TookMs is the time from the call to the answer.
	TookMs clock.Millis
}

// minLimit is the lowest limit of an upstream, in requests per second. With none at all it would
// never be seen that the limit has ended.
const minLimit = 0.1

// ParseLimit parses the limit that an upstream names, in requests per second. It returns 0, which
// means none, for text that is no such number.
func ParseLimit(text string) float64 {
	limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0
	}
	return max(minLimit, limit)
}
