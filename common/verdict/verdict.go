// Package verdict holds the record of what became of a request.
//
// Every request that a daemon takes from a caller gets exactly one [Verdict].
// Its request id names the daemon that took it and the time, so the record can
// be found without an index.
//
// # Usage
//
//	id := verdict.NewID("brandon-a-1", clk.Now())
//	v := verdict.Verdict{RequestID: id, Outcome: verdict.Refused, ...}
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

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	OutcomeRun     Outcome = "run"
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
)

// AttemptResult is what is known of one attempt at an upstream.
type AttemptResult string

// The results of an attempt. Only NotRun may be told to a caller as not run.
const (
	AttemptNotRun  AttemptResult = "notRun"
	AttemptRan     AttemptResult = "ran"
	AttemptUnknown AttemptResult = "unknown"
)

// Attempt is one try at an upstream.
type Attempt struct {
	Upstream string        `json:"upstream"`
	Phase    string        `json:"phase"` // "prefill", "decode" or "call"
	Result   AttemptResult `json:"result"`
	Cause    string        `json:"cause,omitempty"`
	StartMs  clock.Millis  `json:"startMs"`
	EndMs    clock.Millis  `json:"endMs"`
}

// CombineRan says what attempts together tell: whether any of them ran, or may have.
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
	RequestID       string         `json:"requestId"`
	Team            string         `json:"team,omitempty"`
	Target          string         `json:"target,omitempty"` // model or service
	Outcome         Outcome        `json:"outcome"`
	Ran             problem.Ran    `json:"ran"`
	Reason          problem.Reason `json:"reason,omitempty"`
	Detail          string         `json:"detail,omitempty"`
	Status          int            `json:"status"`
	SettingsVersion int64          `json:"settingsVersion"`
	Daemon          string         `json:"daemon"`
	DataCentre      string         `json:"dataCentre"`
	StartMs         clock.Millis   `json:"startMs"`
	EndMs           clock.Millis   `json:"endMs"`
	// Replayed says that the answer came from the record of an earlier request
	// with the same idempotency key.
	Replayed bool      `json:"replayed,omitempty"`
	Attempts []Attempt `json:"attempts,omitempty"`
}

// NewID returns a request id of the form daemon~time36~random.
func NewID(daemon string, now clock.Millis) string {
	var random [6]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails.
	return daemon + "~" + strconv.FormatInt(int64(now), 36) + "~" + hex.EncodeToString(random[:])
}

// BadIDError reports a request id that no daemon made.
type BadIDError struct {
	ID string
}

// Error implements error.
func (e *BadIDError) Error() string {
	return fmt.Sprintf("%q is not a request id: expected daemon~time~random as in the X-Request-Id header", e.ID)
}

// ParseID returns the daemon that took the request, and when.
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

// signed is the text that a receipt vouches for.
func signed(v Verdict) []byte {
	return []byte(strings.Join([]string{
		v.RequestID, v.Team, string(v.Outcome), string(v.Ran), string(v.Reason), strconv.Itoa(v.Status), v.Daemon,
	}, "\n"))
}

// Sign returns the receipt for v under the daemons' shared key: a refusal that
// proves itself even when every copy of its record is gone.
func Sign(key []byte, v Verdict) string {
	mac := hmac.New(sha256.New, key)
	mac.Write(signed(v))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:16])
}

// Verify tells whether receipt was made for v under key.
func Verify(key []byte, v Verdict, receipt string) bool {
	return hmac.Equal([]byte(Sign(key, v)), []byte(receipt))
}

// BatchPrefix begins the names of the objects that hold batches of verdicts on the
// users' platform; it is followed by daemon~startMs~number.
const BatchPrefix = "verdicts~"

// DecodeBatch reads verdicts from compressed JSON lines.
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
