// Package verdict defines the record of a request's outcome.
//
// Every request that a daemon accepts from a caller gets exactly one [Verdict].
// A request id made by [NewID] contains the daemon's name and the time of arrival, so
// that the record can be found without an index. On the users' platform the id is the
// caller's own.
//
// # Usage
//
//	id := verdict.NewID("brandon-a-1", clk.Now())
//	v := verdict.Verdict{RequestID: id, Outcome: verdict.OutcomeRefused, ...}
//	receipt := verdict.Sign(key, v)
package verdict

import (
	"bytes"
	"compress/gzip"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
)

// Outcome is the final state of a request.
type Outcome string

// Values of Outcome.
const (
	// OutcomeRun means that an upstream ran the request, even if its answer was lost.
	OutcomeRun Outcome = "run"
	// OutcomeRefused means that the request was not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that it is not known whether the request was run.
	OutcomeUnknown Outcome = "unknown"
)

// AttemptResult says whether an attempt ran the request. On the users' platform a
// prefill alone does not run it.
type AttemptResult string

// Values of AttemptResult. A caller may be told that its request was not run only if
// every attempt has the result AttemptNotRun.
const (
	AttemptNotRun  AttemptResult = "notRun"
	AttemptRan     AttemptResult = "ran"
	AttemptUnknown AttemptResult = "unknown"
)

// Attempt is one attempt to run a request, or a phase of it, at an upstream.
type Attempt struct {
	// Upstream is the name of the upstream. It is the daemon's name if Phase is
	// "handOff", and the service's if the instance is not known.
	Upstream string `json:"upstream"`
	// Software is the version of the upstream's software, if it is known.
	Software string `json:"software,omitempty"`
	// Phase is the part of the request that was attempted: "prefill", "decode",
	// "call", "run" or "handOff".
	Phase string `json:"phase"`
	// Result says whether the attempt ran the request.
	Result AttemptResult `json:"result"`
	// Cause says why the attempt failed; empty if it succeeded.
	Cause string `json:"cause,omitempty"`
	// StartMs is the start of the attempt, in ms since the Unix epoch.
	StartMs clock.Millis `json:"startMs"`
	// EndMs is the end of the attempt, in ms since the Unix epoch.
	EndMs clock.Millis `json:"endMs"`
}

// CombineRan returns RanYes if any attempt ran, else RanUnknown if any may have run,
// else RanNo.
func CombineRan(attempts []Attempt) problem.Ran {
	ran := problem.RanNo
	for _, a := range attempts {
		switch a.Result {
		case AttemptRan:
			return problem.RanYes
		case AttemptUnknown:
			ran = problem.RanUnknown
		}
	}
	return ran
}

// Verdict is the record of one request.
type Verdict struct {
	// RequestID is the id of the request.
	RequestID string `json:"requestId"`
	// Team is the caller's team; empty if the caller was not authenticated, and on the
	// users' platform.
	Team string `json:"team,omitempty"`
	// Target is the name of the model or service.
	Target string `json:"target,omitempty"`
	// Outcome is the final state of the request.
	Outcome Outcome `json:"outcome"`
	// Ran says whether an upstream ran the request.
	Ran problem.Ran `json:"ran"`
	// Reason is the machine-readable reason of the outcome; it may be empty.
	Reason problem.Reason `json:"reason,omitempty"`
	// Detail explains Reason.
	Detail string `json:"detail,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:"status"`
	// SettingsVersion is the version of the settings by which it was handled; on the
	// users' platform, that of the configuration.
	SettingsVersion int64 `json:"settingsVersion"`
	// Daemon is the name of the daemon that accepted the request.
	Daemon string `json:"daemon"`
	// DataCentre is the data centre of that daemon.
	DataCentre string `json:"dataCentre"`
	// StartMs is the time of arrival, in ms since the Unix epoch.
	StartMs clock.Millis `json:"startMs"`
	// EndMs is the time of completion, in ms since the Unix epoch.
	EndMs clock.Millis `json:"endMs"`
	// Replayed reports whether the answer came from the record of an earlier
	// request with the same idempotency key.
	Replayed bool `json:"replayed,omitempty"`
	// Attempts are the attempts at upstreams.
	Attempts []Attempt `json:"attempts,omitempty"`
}

// NewID returns a request id of the form daemon~time~random: the time in ms in base
// 36, 6 random bytes in hex.
func NewID(daemon string, now clock.Millis) string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails.
	return daemon + "~" + strconv.FormatInt(int64(now), 36) + "~" + hex.EncodeToString(random[:])
}

// BadIDError reports a text that is not a request id.
type BadIDError struct {
	// ID is the text.
	ID string
}

// Error implements error.
func (e *BadIDError) Error() string {
	return fmt.Sprintf("%q is not a request id: expected daemon~time~random as in the X-Request-Id header", e.ID)
}

// ParseID returns the name of the daemon that accepted the request, and the time.
func ParseID(id string) (daemon string, at clock.Millis, err error) {
	parts := strings.Split(id, "~")
	if len(parts) != 3 || parts[0] == "" {
		return "", 0, &BadIDError{ID: id}
	}
	ms, err := strconv.ParseInt(parts[1], 36, 64)
	if err != nil {
		return "", 0, &BadIDError{ID: id}
	}
	return parts[0], clock.Millis(ms), nil
}

// signed returns the fields of v that a receipt covers, one per line.
func signed(v Verdict) []byte {
	return []byte(strings.Join([]string{
		v.RequestID, v.Team, string(v.Outcome), string(v.Ran), string(v.Reason), strconv.Itoa(v.Status), v.Daemon,
	}, "\n"))
}

// Sign returns the receipt for v: a truncated HMAC-SHA256 under the daemons' shared
// key. With it a refusal can be verified even if every copy of its record is lost.
func Sign(key []byte, v Verdict) string {
	mac := hmac.New(sha256.New, key)
	mac.Write(signed(v))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:16])
}

// Verify reports whether receipt is the receipt for v under key.
func Verify(key []byte, v Verdict, receipt string) bool {
	return hmac.Equal([]byte(Sign(key, v)), []byte(receipt))
}

// BatchPrefix is the prefix of the names of the objects that hold batches of verdicts
// on the users' platform. It is followed by daemon~startMs~number.
const BatchPrefix = "verdicts~"

// DecodeBatch decodes verdicts from gzip-compressed JSON lines.
func DecodeBatch(data []byte) ([]Verdict, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("read verdicts: %w", err)
	}
	var all []Verdict
	for decoder := json.NewDecoder(z); ; {
		var v Verdict
		if err := decoder.Decode(&v); err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("read verdicts: %w", err)
		}
		all = append(all, v)
	}
}
