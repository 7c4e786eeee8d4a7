package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"hemlockmux.example/common/clock"
)

// TestLongResponseIsNotCut guards against a response of the platform above the limit of which
// the begin is taken for the whole.
func TestLongResponseIsNotCut(t *testing.T) {
	part := make([]byte, 1<<20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range maxAnswerBytes / len(part) {
			_, _ = w.Write(part)
		}
		if r.URL.Path == "/b/long" {
			_, _ = w.Write(part[:1])
		}
	}))
	defer server.Close()
	objects, closeObjects := NewObjects(server.URL, "b", "", 20*clock.Second)
	defer closeObjects()
	body, _, err := objects.Get(t.Context(), "longest")
	if err != nil || len(body) != maxAnswerBytes {
		t.Errorf("%d bytes, error %v; want %d", len(body), err, maxAnswerBytes)
	}
	body, _, err = objects.Get(t.Context(), "long")
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("%d bytes of %d, error %v; want an *UnavailableError", len(body), maxAnswerBytes+1, err)
	}
}
