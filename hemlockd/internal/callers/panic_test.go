package callers

import (
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/streams"
)

// TestPanicIsAnswered guards against a bug in a handler that closes the connection without an
// answer and leaves the request without a verdict.
func TestPanicIsAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		serve  func(*exchange)
		status int
		want   string // part of the body
		ran    problem.Ran
	}{
		"before the answer":  {func(*exchange) {}, http.StatusInternalServerError, `"ran":"unknown"`, problem.RanUnknown},
		"after the verdict":  {func(e *exchange) { e.succeed(http.StatusOK) }, http.StatusInternalServerError, `"ran":"yes"`, problem.RanYes},
		"during the stream":  {sendChunk, http.StatusOK, "event: error\ndata: {", problem.RanUnknown},
		"after a wrong head": {func(e *exchange) { e.succeed(99); e.writeResponse(99, nil) }, http.StatusInternalServerError, `"ran":"yes"`, problem.RanYes},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPort(t, "")
			before := panics()
			server := httptest.NewServer(p.callers.exchange(func(e *exchange) *problem.Problem {
				test.serve(e)
				panic("a bug")
			}))
			defer server.Close()
			req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("{}"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := server.Client().Do(req)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != test.status || !strings.Contains(string(body), test.want) {
				t.Errorf("status %d, body %q, error %v; want status %d and %q", resp.StatusCode, body, err, test.status, test.want)
			}
			p.checkVerdicts()
			v := p.recorder.Find(daemons.FindRequest{RequestID: resp.Header.Get(headerRequestID)}).Verdict
			if v.Ran != test.ran {
				t.Errorf("verdict %+v, want ran %s", v, test.ran)
			}
			if n := panics() - before; n != 1 {
				t.Errorf("%d panics counted, want 1", n)
			}
		})
	}
}

// TestPanicBreaksAnsweredConnection guards against a bug after the head of an answer that makes a
// part of the answer look whole.
func TestPanicBreaksAnsweredConnection(t *testing.T) {
	p := newTestPort(t, "")
	server := httptest.NewServer(p.callers.exchange(func(e *exchange) *problem.Problem {
		e.succeed(http.StatusOK)
		e.w.WriteHeader(http.StatusOK)
		e.answered = true
		panic("a bug")
	}))
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := server.Client().Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		t.Error("the answer looks whole")
	}
	p.checkVerdicts()
}

func sendChunk(e *exchange) {
	_ = (&streamSink{exchange: e}).writeChunks([]streams.Chunk{{Data: []byte(chunkText("a"))}})
}

func panics() int64 {
	if n, ok := metrics.Get("panics").(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}
