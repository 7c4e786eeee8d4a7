// Package problem defines the error responses that callers get, in the format of
// RFC 9457 (application/problem+json).
//
// # Usage
//
//	p := problem.New(problem.TeamLimit, "the team's limit of 20 requests a second is exceeded")
//	return p.WithRetryAfter(800)
//
// A *Problem is an error, so that callers can find it with errors.As.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"hemlockmux.example/common/clock"
)

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

// Ran says whether an upstream ran a request.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Reason is a stable, machine-readable reason of a Problem.
type Reason string

// Values of Reason; statuses holds the HTTP status of each.
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
	NoMemory              Reason = "noMemory"
	UploadTimeout         Reason = "uploadTimeout"
	NoUpstream            Reason = "noUpstream"
	UpstreamFailed        Reason = "upstreamFailed"
	UpstreamLimited       Reason = "upstreamLimited"
	UpstreamsPaused       Reason = "upstreamsPaused"
	UpstreamsLeaving      Reason = "upstreamsLeaving"
	UpstreamSilent        Reason = "upstreamSilent"
	CrashSuspect          Reason = "crashSuspect"
	CrashingPart          Reason = "crashingPart"
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
	NoMemory:             http.StatusServiceUnavailable,
	UploadTimeout:        http.StatusRequestTimeout,
	UpstreamLimited:      http.StatusServiceUnavailable,
	UpstreamsPaused:      http.StatusServiceUnavailable,
	UpstreamsLeaving:     http.StatusServiceUnavailable,
	CrashingPart:         http.StatusServiceUnavailable,
	DataCentreOutOfReach: http.StatusServiceUnavailable, CallerGone: 499,
	DaemonLost: http.StatusBadGateway, Internal: http.StatusInternalServerError,
}

// Problem is the body of an error response.
type Problem struct {
	// Type is the problem type of RFC 9457, always "about:blank".
	Type string `json:"type"`
	// Title is the standard text of Status.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail explains the problem to a person.
	Detail string `json:"detail"`
	// Reason is the machine-readable reason.
	Reason Reason `json:"reason"`
	// Ran says whether an upstream ran the request.
	Ran Ran `json:"ran"`
	// RequestID is the id of the request.
	RequestID string `json:"requestId"`
	// RetryAfterMs is the time in ms after which a retry may succeed; 0 means that
	// a retry does not help.
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// Receipt is the daemon's signature over the verdict; see verdict.Sign.
	Receipt string `json:"receipt,omitempty"`
}

// New returns a problem for a request that was not run.
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

// WithRan sets whether an upstream ran the request and returns p.
func (p *Problem) WithRan(ran Ran) *Problem {
	p.Ran = ran
	return p
}

// WithRetryAfter sets the time after which a retry may succeed and returns p.
func (p *Problem) WithRetryAfter(after clock.Millis) *Problem {
	p.RetryAfterMs = after
	return p
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s", p.Reason, p.Ran, p.Detail)
}

// RetryAfterSeconds returns the value of the Retry-After header: RetryAfterMs rounded
// up to seconds, or 0 for no header.
func (p *Problem) RetryAfterSeconds() int64 {
	if p.RetryAfterMs <= 0 {
		return 0
	}
	return int64((p.RetryAfterMs + clock.Second - 1) / clock.Second)
}

// Write writes p to w as the complete response.
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
		return fmt.Errorf("encode problem: %w", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	if _, err := w.Write(body); err != nil {
		return fmt.Errorf("write problem: %w", err)
	}
	return nil
}
