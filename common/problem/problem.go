// Package problem holds the refusals that a caller can meet, in the format of
// RFC 9457 (application/problem+json).
//
// # Usage
//
//	return problem.New(problem.TeamLimit, "the team's 20 requests a second are used up").RetryIn(800)
//
// A *Problem is an error and is matched by errors.As.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"hemlockmux.example/common/clock"
)

// ContentType is the media type of a refusal.
const ContentType = "application/problem+json"

// Ran tells whether a request was run by an upstream.
type Ran string

// The three answers to "was it run?".
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Reason is a stable, machine-readable cause of a refusal.
type Reason string

// The reasons of refusals, each with the HTTP status that goes with it.
const (
	BadRequest            Reason = "badRequest"
	BodyTooLarge          Reason = "bodyTooLarge"
	Unauthenticated       Reason = "unauthenticated"
	NotAllowed            Reason = "notAllowed"
	UnknownModel          Reason = "unknownModel"
	UnknownService        Reason = "unknownService"
	UnknownPath           Reason = "unknownPath"
	IdempotencyKeyMissing Reason = "idempotencyKeyMissing"
	IdempotencyKeyReused  Reason = "idempotencyKeyReused"
	TeamLimit             Reason = "teamLimit"
	Overloaded            Reason = "overloaded"
	NoUpstream            Reason = "noUpstream"
	UpstreamFailed        Reason = "upstreamFailed"
	UpstreamSilent        Reason = "upstreamSilent"
	CrashSuspect          Reason = "crashSuspect"
	PlatformUnavailable   Reason = "platformUnavailable"
	OutcomeUnknown        Reason = "outcomeUnknown"
	NotReady              Reason = "notReady"
	DataCentreOutOfReach  Reason = "dataCentreOutOfReach"
	CallerGone            Reason = "callerGone"
	DaemonLost            Reason = "daemonLost"
	Internal              Reason = "internal"
)

// statuses maps each reason to its HTTP status.
var statuses = map[Reason]int{
	BadRequest: http.StatusBadRequest, BodyTooLarge: http.StatusRequestEntityTooLarge,
	Unauthenticated: http.StatusUnauthorized, NotAllowed: http.StatusForbidden,
	UnknownModel: http.StatusNotFound, UnknownService: http.StatusNotFound, UnknownPath: http.StatusNotFound,
	IdempotencyKeyMissing: http.StatusBadRequest, IdempotencyKeyReused: http.StatusUnprocessableEntity,
	TeamLimit: http.StatusTooManyRequests, Overloaded: http.StatusServiceUnavailable,
	NoUpstream: http.StatusServiceUnavailable, UpstreamFailed: http.StatusBadGateway,
	UpstreamSilent: http.StatusGatewayTimeout, CrashSuspect: http.StatusUnprocessableEntity,
	PlatformUnavailable: http.StatusServiceUnavailable, OutcomeUnknown: http.StatusConflict,
	NotReady:             http.StatusServiceUnavailable,
	DataCentreOutOfReach: http.StatusServiceUnavailable, CallerGone: 499,
	DaemonLost: http.StatusBadGateway, Internal: http.StatusInternalServerError,
}

// Problem is one refusal.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Reason    Reason `json:"reason"`
	Ran       Ran    `json:"ran"`
	RequestID string `json:"requestId"`
	// RetryAfterMs says when coming back can help; 0 means that it can't.
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// Receipt is the daemon's signature over the refusal, see package verdict.
	Receipt string `json:"receipt,omitempty"`
}

// New returns a refusal of a request that was not run.
func New(reason Reason, format string, args ...any) *Problem {
	status, ok := statuses[reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	return &Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: fmt.Sprintf(format, args...), Reason: reason, Ran: RanNo,
	}
}

// WithRan sets whether the request was run and returns p.
func (p *Problem) WithRan(ran Ran) *Problem {
	p.Ran = ran
	return p
}

// WithRetryAfter sets when the caller should come back and returns p.
func (p *Problem) WithRetryAfter(after clock.Millis) *Problem {
	p.RetryAfterMs = after
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", p.Reason, p.Ran, p.Detail)
}

// RetryAfterSeconds is the value of the Retry-After header, at least 1 where
// coming back can help; 0 means no header.
func (p *Problem) RetryAfterSeconds() int64 {
	if p.RetryAfterMs <= 0 {
		return 0
	}
	return int64((p.RetryAfterMs + clock.Second - 1) / clock.Second)
}

// Write sends p as the whole answer.
func (p *Problem) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	if s := p.RetryAfterSeconds(); s > 0 {
		h.Set("Retry-After", strconv.FormatInt(s, 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	body, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode refusal: %w", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("write refusal: %w", err)
	}
	return nil
}
