package calls

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockmux.example/common/clock"
)

// MaxPause bounds the time for which an upstream can keep a daemon from calling it.
const MaxPause = clock.Minute

// maxQuoted is the number of bytes of an unusable header that an error quotes.
const maxQuoted = 40

// PauseError reports a header that names no usable time, or a longer one than MaxPause.
type PauseError struct {
	// Text is the begin of the header.
	Text string
	// Cut is set if the time was cut to MaxPause; otherwise the header was ignored.
	Cut bool
}

// Error implements error.
func (e *PauseError) Error() string {
	if e.Cut {
		return fmt.Sprintf("time to wait %q is cut to %d ms", e.Text, MaxPause)
	}
	return fmt.Sprintf("time to wait %q is ignored", e.Text)
}

// ParsePause parses the values of a Retry-After header: seconds, with fractions, or an HTTP date. Of
// several values the longest time holds. Values that are no time, or not a positive one, are ignored,
// and longer ones than MaxPause are cut; either is reported as a *PauseError.
func ParsePause(values []string, now time.Time) (pause clock.Millis, err error) {
	for _, text := range values {
		ms, valueErr := parsePause(text, now)
		if valueErr != nil {
			err = valueErr
		}
		pause = max(pause, ms)
	}
	return pause, err
}

func parsePause(text string, now time.Time) (clock.Millis, error) {
	quoted := text[:min(len(text), maxQuoted)]
	text = strings.TrimSpace(text)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		at, dateErr := http.ParseTime(text)
		if dateErr != nil {
			return 0, &PauseError{Text: quoted}
		}
		seconds = at.Sub(now).Seconds()
		if seconds <= 0 { // the time is over
			return 0, nil
		}
	}
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, &PauseError{Text: quoted}
	}
	if seconds > float64(MaxPause)/float64(clock.Second) {
		return MaxPause, &PauseError{Text: quoted, Cut: true}
	}
	return clock.Millis(math.Ceil(seconds * float64(clock.Second))), nil
}

// ParseLeaving reports whether the values of a header say that an upstream shuts down. Other values
// than "1" and "true" say nothing.
func ParseLeaving(values []string) bool {
	for _, text := range values {
		switch strings.ToLower(strings.TrimSpace(text)) {
		case "1", "true":
			return true
		}
	}
	return false
}
