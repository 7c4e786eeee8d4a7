package callers

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/settings"
)

// connection records the write deadline of a caller's connection.
type connection struct {
	deadline time.Time
}

// connectionWriter is the response writer of one request of a connection.
type connectionWriter struct {
	*httptest.ResponseRecorder
	conn *connection
	// written is the deadline at the time of the last write.
	written time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (w *connectionWriter) SetWriteDeadline(deadline time.Time) error {
	w.conn.deadline = deadline
	return nil
}

// Write implements http.ResponseWriter.
func (w *connectionWriter) Write(data []byte) (int, error) {
	w.written = w.conn.deadline
	return w.ResponseRecorder.Write(data)
}

// TestDeadlineOfStreamEndsWithIt guards against a request on a kept connection that ran and
// got no answer: the write deadline of an earlier stream was still set and had passed.
func TestDeadlineOfStreamEndsWithIt(t *testing.T) {
	p := newTestPort(t, "",
		upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
		upstream("d1", settings.KindDecode, "m", engine(t, events(chunkText("a"), completions.DoneEvent))))
	conn := &connection{}
	request := func(stream bool) *connectionWriter {
		w := &connectionWriter{ResponseRecorder: httptest.NewRecorder(), conn: conn}
		r := httptest.NewRequest(http.MethodPost, completions.Path, strings.NewReader(completion(stream)))
		r.Header.Set("Authorization", "Bearer "+testKey)
		p.handler.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		return w
	}
	if w := request(true); w.written.IsZero() {
		t.Error("a streamed answer was written without a deadline")
	}
	if w := request(false); !w.written.IsZero() {
		t.Errorf("the next answer on the connection was written under the deadline of the stream before it, %v after its end", time.Until(w.written).Round(time.Second))
	}
}
