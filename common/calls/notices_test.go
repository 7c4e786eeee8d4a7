package calls

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/clock"
)

func TestParsePause(t *testing.T) {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name   string
		values []string
		want   clock.Millis
		cut    bool // a *PauseError says that it was cut
		bad    bool // a *PauseError says that a value was ignored
	}{
		{name: "none"},
		{name: "seconds", values: []string{"3"}, want: 3000},
		{name: "fractions", values: []string{"0.0015"}, want: 2},
		{name: "blanks", values: []string{" 2 "}, want: 2000},
		{name: "zero", values: []string{"0"}},
		{name: "date", values: []string{now.Add(4 * time.Second).Format(http.TimeFormat)}, want: 4000},
		{name: "date in the past", values: []string{now.Add(-time.Hour).Format(http.TimeFormat)}},
		{name: "date in a year", values: []string{now.Add(8760 * time.Hour).Format(http.TimeFormat)}, want: MaxPause, cut: true},
		{name: "twice", values: []string{"1", "2"}, want: 2000},
		{name: "twice, one of them bad", values: []string{"x", "2"}, want: 2000, bad: true},
		{name: "empty", values: []string{""}, bad: true},
		{name: "text", values: []string{"soon"}, bad: true},
		{name: "negative", values: []string{"-1"}, bad: true},
		{name: "not a number", values: []string{"NaN"}, bad: true},
		{name: "infinite", values: []string{"Inf"}, bad: true},
		{name: "beyond numbers", values: []string{"1e400"}, bad: true},
		{name: "huge", values: []string{"1e308"}, want: MaxPause, cut: true},
		{name: "a megabyte", values: []string{strings.Repeat("9", 1<<20)}, bad: true},
	} {
		pause, err := ParsePause(test.values, now)
		var unusable *PauseError
		isPauseError := errors.As(err, &unusable)
		if pause != test.want || isPauseError != (test.cut || test.bad) || isPauseError && unusable.Cut != test.cut {
			t.Errorf("%s: %d, %v", test.name, pause, err)
		}
		if isPauseError && len(err.Error()) > 200 {
			t.Errorf("%s: an error of %d bytes", test.name, len(err.Error()))
		}
	}
}

func TestParseLeaving(t *testing.T) {
	for text, want := range map[string]bool{"1": true, " 1 ": true, "true": true, "TRUE": true, "0": false, "": false, "no": false, strings.Repeat("1", 1<<20): false} {
		if got := ParseLeaving([]string{text}); got != want {
			t.Errorf("%.20q: %v", text, got)
		}
	}
	if ParseLeaving(nil) || !ParseLeaving([]string{"0", "1"}) {
		t.Error("values of several headers")
	}
}
