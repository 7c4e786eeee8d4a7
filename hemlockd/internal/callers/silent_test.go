package callers

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
)

// slowEngine returns a decode engine that is silent after the first chunks, on each connection,
// for as many resumptions as given, and then sends the rest. Without accepts it leaves
// the resumptions without a response.
func slowEngine(t *testing.T, chunks, resumptions int, accepts bool) string {
	var resumed atomic.Int64
	return engine(t, func(w http.ResponseWriter, r *http.Request) {
		from := 0
		if r.Header.Get("Last-Event-ID") != "" {
			from = chunks
			if n := resumed.Add(1); n > int64(resumptions) {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\nid: %d\ndata: %s\n\n", chunks, chunkText("z"), chunks+1, completions.DoneEvent)
				return
			}
		}
		if accepts || from == 0 {
			w.WriteHeader(http.StatusOK)
			for i := from; i < chunks; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, chunkText("a"))
			}
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	})
}

// TestSlowEngineIsAwaited guards against an answer that ends with upstreamSilent while the
// engine still holds the request, the caller waits and no other engine goes on.
func TestSlowEngineIsAwaited(t *testing.T) {
	const policy = "stallMs = 100\nmaxAttempts = 2\nretryRatio = 0.0\n"
	for name, test := range map[string]struct {
		chunks int
		stream bool
	}{"first chunk": {0, true}, "next chunk": {1, true}, "buffered": {1, false}} {
		t.Run(name, func(t *testing.T) {
			p := newTestPort(t, policy,
				upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
				upstream("d1", settings.KindDecode, "m", slowEngine(t, test.chunks, 6, true)))
			a, err := p.call(http.MethodPost, completions.Path, completion(test.stream))
			whole := strings.HasSuffix(a.body, "data: [DONE]\n\n") || !test.stream && strings.Contains(a.body, "az")
			if err != nil || a.status != http.StatusOK || !whole {
				t.Errorf("status %d, error %v, body %s", a.status, err, a.body)
			}
			p.checkVerdicts()
		})
	}
}

// TestSilentEngineIsGivenUp guards against an answer that waits without a bound for an engine
// that no longer responds.
func TestSilentEngineIsGivenUp(t *testing.T) {
	p := newTestPort(t, "stallMs = 100\nmaxAttempts = 2\n",
		upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
		upstream("d1", settings.KindDecode, "m", slowEngine(t, 1, 1000, false)))
	started := time.Now()
	a, err := p.call(http.MethodPost, completions.Path, completion(true))
	if err != nil || !strings.Contains(a.body, `"reason":"upstreamSilent"`) {
		t.Errorf("error %v, body %s", err, a.body)
	}
	if elapsed := time.Since(started); elapsed > 3*time.Second {
		t.Errorf("given up after %v", elapsed)
	}
	p.checkVerdicts()
}
