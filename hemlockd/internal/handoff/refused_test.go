package handoff

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/streams"
)

// TestRefusedHandOffHasNotRun checks that requests that another daemon has no memory for count as not run: they may be
// handed to another one.
func TestRefusedHandOffHasNotRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client, closeClient := NewClient(process.Config{Daemons: "127.0.0.1:1", DaemonKey: "key"})
	defer closeClient()
	_, serviceErr := client.RunService(t.Context(), address, services.Call{Method: http.MethodPost, Path: "/x"}, clock.Second)
	_, modelErr := client.RunModel(t.Context(), address, keeper.Call{RequestID: "r"}, func([]streams.Chunk) error { return nil })
	for kind, err := range map[string]error{"service": serviceErr, "model": modelErr} {
		var noResult *NoResultError
		if !errors.As(err, &noResult) || noResult.Result != verdict.AttemptNotRun {
			t.Errorf("%s: %v, want no result and not run", kind, err)
		}
	}
}
