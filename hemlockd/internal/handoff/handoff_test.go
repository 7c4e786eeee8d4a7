package handoff

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/streams"
)

// runModel hands a request to a daemon whose first connection is answered with text; all
// others fail. It returns the number of chunks that arrived.
func runModel(t *testing.T, text string) (chunks int, result keeper.Result, err error) {
	connections := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if connections++; connections > 1 {
			http.Error(w, "gone", http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, text)
	}))
	defer server.Close()
	client, closeClient := NewClient(process.Config{DaemonKey: "k"})
	defer closeClient()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err = client.RunModel(ctx, server.Listener.Addr().String(), keeper.Call{RequestID: "r"}, func(ready []streams.Chunk) error {
		chunks += len(ready)
		return nil
	})
	return chunks, result, err
}

const wholeAnswer = "id: 0\ndata: {}\n\nid: 1\ndata: [DONE]\n\n"

// TestWholeAnswerNeedsNoResult guards against an answer that came whole and is told as
// daemonLost, because the daemon that ran it ended before it sent the result.
func TestWholeAnswerNeedsNoResult(t *testing.T) {
	chunks, result, err := runModel(t, wholeAnswer)
	if err != nil || chunks != 2 || result.Problem != nil || result.Ran != problem.RanYes || verdict.CombineRan(result.Attempts) != problem.RanYes {
		t.Errorf("%d chunks, result %+v, error %v; want the whole answer", chunks, result, err)
	}
}
