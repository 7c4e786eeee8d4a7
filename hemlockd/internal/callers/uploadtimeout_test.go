package callers

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
)

// TestUploadEndsInTime guards against clients that hold the place of a request for as long as they like, with a body that
// never comes to its end.
func TestUploadEndsInTime(t *testing.T) {
	p := newTestPort(t, "")
	p.callers.env.Config.BodyTimeoutMs = 200 * clock.Millisecond
	never, end := io.Pipe()
	defer func() { _ = end.Close() }()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.server.URL+completions.Path, io.MultiReader(strings.NewReader("{"), never))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(text), "uploadTimeout") {
		t.Errorf("status %d, %s", answer.StatusCode, text)
	}
}
