package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// pausedWriter is the writer of a process that is paused once it has set a read deadline.
type pausedWriter struct {
	http.ResponseWriter
	pause time.Duration
}

// Unwrap is for [http.ResponseController].
func (w pausedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// SetReadDeadline sets the deadline of the connection.
func (w pausedWriter) SetReadDeadline(t time.Time) error {
	err := http.NewResponseController(w.ResponseWriter).SetReadDeadline(t)
	if !t.IsZero() {
		time.Sleep(w.pause)
	}
	return err
}

// TestWholeRequestIsAnsweredWhenUploadsEnd guards against taking the caller of a request that has been read for gone, since the
// deadline for the end of uploads has passed before it was lifted, as in a process that was paused: the connection ends without an answer.
func TestWholeRequestIsAnsweredWhenUploadsEnd(t *testing.T) {
	for method, body := range map[string]string{http.MethodGet: "", http.MethodPut: "whole"} {
		s := newSetup(noFaults)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.dispatcher.ServeHTTP(pausedWriter{w, 3 * lastReadTime.Duration()}, r)
		}))
		s.drainFor(uploadMargin - 10)
		<-s.dispatcher.uploads.Load().ended.Done()
		r, err := http.NewRequest(method, server.URL+"/lookup/x", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set("Id", "whole")
		if answer, err := http.DefaultClient.Do(r); err != nil {
			t.Errorf("%s: %v", method, err)
		} else {
			text, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d, %q, reason %q", method, answer.StatusCode, text, s.verdicts.all["whole"].Reason)
			}
		}
		server.Close()
	}
}
