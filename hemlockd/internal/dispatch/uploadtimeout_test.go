package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
)

// slowBody is a body of which a byte comes now and then, without an end.
type slowBody struct{ closed chan struct{} }

// Read implements [io.Reader].
func (b slowBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, io.ErrUnexpectedEOF
	case <-time.After(10 * time.Millisecond):
		p[0] = 'x'
		return 1, nil
	}
}

// TestUploadEndsWhenTheAnswerIsDue guards against clients that hold the place of a request for as long as they like, with
// a body that never comes to its end.
func TestUploadEndsWhenTheAnswerIsDue(t *testing.T) {
	s := newSetup(noFaults)
	s.route("order").TimeoutMs = 200
	server := httptest.NewServer(s.dispatcher)
	defer server.Close()
	for _, length := range []int64{1 << 20, -1} {
		body := slowBody{make(chan struct{})}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+"/order/x", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Host, r.ContentLength = "h", length
		r.Header.Set("Id", "slow")
		answer, err := http.DefaultClient.Do(r)
		close(body.closed)
		if err != nil {
			t.Fatalf("length %d: %v", length, err)
		}
		_ = answer.Body.Close()
		if v := s.verdicts.all["slow"]; answer.StatusCode != http.StatusRequestTimeout || v.Ran != problem.RanNo || v.Reason != reasonUploadTimeout {
			t.Errorf("length %d: status %d, verdict %+v", length, answer.StatusCode, v)
		}
		if s.upstreams.runs["slow"] != 0 {
			t.Errorf("length %d: the request was run", length)
		}
	}
}
