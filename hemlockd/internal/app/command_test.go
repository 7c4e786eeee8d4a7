package app

import (
	"strings"
	"testing"
)

// TestFlagsAreChecked gives a flag a value outside its range.
func TestFlagsAreChecked(t *testing.T) {
	for _, ms := range []string{"0", "999", "3600001"} {
		err := Command().Run(t.Context(), []string{"hemlockd", "platform", "--check", "--unread-answer-ms", ms})
		if err == nil || !strings.Contains(err.Error(), "unread answer") {
			t.Errorf("%s ms: %v", ms, err)
		}
	}
}
