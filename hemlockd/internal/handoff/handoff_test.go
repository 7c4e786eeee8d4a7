package handoff

import (
	"context"
	"errors"
	"fmt"
	"io"
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
	// Otherwise the verdict would count as copied there, and be lost with this daemon.
	if !result.Inferred {
		t.Error("the result counts as one that the daemon gave")
	}
}

// TestOnlyCallerEndsRequest guards against a caller that waits and is told that it has
// disconnected: the daemon that ran its request took it for gone, or sent no readable result.
func TestOnlyCallerEndsRequest(t *testing.T) {
	const gone = `{"problem":{"reason":"callerGone","ran":%q},"ran":%[1]q,"attempts":[]}`
	for name, test := range map[string]struct {
		data string
		want verdict.AttemptResult
	}{
		"taken for gone before it ran": {fmt.Sprintf(gone, "no"), verdict.AttemptNotRun},
		"taken for gone":               {fmt.Sprintf(gone, "unknown"), verdict.AttemptUnknown},
		"taken for gone after it ran":  {fmt.Sprintf(gone, "yes"), verdict.AttemptRan},
		"unreadable result":            {`{"problem":`, verdict.AttemptUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, result, err := runModel(t, "event: result\ndata: "+test.data+"\n\n")
			var noResult *NoResultError
			if !errors.As(err, &noResult) {
				t.Fatalf("result %+v, error %v; want a *NoResultError", result, err)
			}
			if noResult.Result != test.want {
				t.Errorf("%v, want %s", noResult, test.want)
			}
		})
	}
}

// TestSlowUploadIsProgress guards against a request that is told as daemonLost because the transfer of
// its body takes longer than the wait for the response's next data.
func TestSlowUploadIsProgress(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for part := make([]byte, 1<<20); ; {
			if _, err := io.ReadFull(r.Body, part); err != nil {
				break
			}
			time.Sleep(80 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, wholeAnswer+"event: result\ndata: {\"ran\":\"yes\"}\n\n")
	}))
	defer server.Close()
	client, closeClient := NewClient(process.Config{DaemonKey: "k"})
	defer closeClient()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	call := keeper.Call{RequestID: "r", Body: make([]byte, 32<<20)}
	if _, err := client.RunModel(ctx, server.Listener.Addr().String(), call, func([]streams.Chunk) error { return nil }); err != nil {
		t.Error(err)
	}
}
