// Package calls holds a caller's request as the router sees it, how it is
// delivered to an upstream, and what is known once that has been tried.
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
	"net/http"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
)

// Call is one attempt of a caller.
type Call struct {
	// ID is the attempt's id, made by the caller.
	ID     string
	Method string
	Host   string
	// Target is the path and query as they were sent, Path the path alone.
	Target string
	Path   string
	// Header is what is handed on to the upstream.
	Header http.Header
	Body   []byte
	// TimeoutMs is how long the caller waits, from its arrival; 0: not said.
	TimeoutMs clock.Millis
	// Prompt is set where the call carries a prompt.
	Prompt *Prompt
	// ResumeAfter is the id of the last event that the caller has; "": none.
	ResumeAfter string
}

// Prompt is what a call says of its prompt and of the answer wanted.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutputTokens the most tokens that may
	// be generated and ExpectedOutputTokens the caller's guess (0: none).
	Tokens, MaxOutputTokens, ExpectedOutputTokens int
}

// Phase is what an upstream is asked to do with a call.
type Phase string

// The phases.
const (
	// PhaseRun runs the call whole.
	PhaseRun Phase = "run"
	// PhasePrefill only has the prompt read.
	PhasePrefill Phase = "prefill"
	// PhaseDecode generates from the result of a prefill.
	PhaseDecode Phase = "decode"
)

// Delivery is how a call is sent to one upstream.
type Delivery struct {
	Phase Phase
	// RemainingMs is the time that the upstream has.
	RemainingMs clock.Millis
	// KVSource names the result of the prefill for PhaseDecode.
	KVSource KVSource
	// ResumeAfter is the id of the last event that is already known; "": none.
	ResumeAfter string
	// ReservationID is the reservation at the engine that the call uses; "": none.
	ReservationID string
}

// KVSource is a prefill's result at the engine that made it.
type KVSource struct {
	// Address is IP:port of the engine.
	Address string
	Handle  string
}

// EngineState is what an engine says of itself; it is some hundred ms old.
type EngineState struct {
	Prefill bool // else decode
	// ChangingRole says that an order is being carried out.
	ChangingRole bool
	// AcceptedOrders is the number of orders accepted since the engine started.
	AcceptedOrders int64
}

// Order tells an engine which role to take.
type Order struct {
	Prefill bool // else decode
	Holder  string
	// FencingToken rises with each right to give orders; ExpectedOrders is the number of
	// orders that the engine must have accepted for this one to hold.
	FencingToken, ExpectedOrders int64
}

// Outcome is what is known of a call at an upstream.
type Outcome = verdict.AttemptResult

// The outcomes. Only NotRun may be told to a caller as not run.
const (
	NotRun  = verdict.AttemptNotRun
	Ran     = verdict.AttemptRan
	Unknown = verdict.AttemptUnknown
)

// Cause says why a call failed at an upstream.
type Cause string

// The causes.
const (
	// CauseUnreachable: no connection; nothing was sent.
	CauseUnreachable Cause = "unreachable"
	// CauseBusy: the upstream takes no more work.
	CauseBusy Cause = "busy"
	// CauseTargetChanged: another upstream has the address, or the upstream has another
	// role.
	CauseTargetChanged Cause = "moved"
	// CauseRefused: the upstream refused the call for another reason.
	CauseRefused Cause = "refused"
	// CauseConnectionLost: the connection ended before the answer was whole.
	CauseConnectionLost Cause = "broken"
	// CauseMismatchedReply: the answer is not that of the call.
	CauseMismatchedReply Cause = "foreign"
	// CauseTimeout: no answer within the time given.
	CauseTimeout Cause = "silent"
	// CauseUpstreamError: the upstream answered with an error of its own.
	CauseUpstreamError Cause = "failed"
)

// Error reports a call that brought no answer to hand on.
type Error struct {
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Reply is an upstream's answer: its status and head, and its body to be read.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed says that the end of the body is marked, so that one that was cut
	// short can be told from a whole one.
	Framed bool
	// Sealed says that the answer bears the upstream's mark.
	Sealed bool
}
