package calls

import "testing"

func TestParseLimit(t *testing.T) {
	for text, want := range map[string]float64{
		"": 0, "7.3": 7.3, " 12 ": 12, "0": minLimit, "0.01": minLimit, "-1": 0, "many": 0, "NaN": 0, "Inf": 0, "1e3": 1000,
	} {
		if got := ParseLimit(text); got != want {
			t.Errorf("ParseLimit(%q) = %v, want %v", text, got, want)
		}
	}
}
