package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestUploadsAreReadOnceTheExitIsPutOff guards against refusing all requests whose body takes a moment because the exit was near
// once: the grace period has been raised since.
func TestUploadsAreReadOnceTheExitIsPutOff(t *testing.T) {
	s := newSetup(noFaults)
	server := httptest.NewServer(s.dispatcher)
	defer server.Close()
	s.drainFor(uploadMargin + 10)
	<-s.dispatcher.uploads.Load().ended.Done()
	if !s.dispatcher.Drain(s.dispatcher.opts.Clock.Now() + 10_000) {
		t.Fatal("the exit can't be put off")
	}
	body, send := io.Pipe()
	go func() {
		for range 4 {
			_, _ = send.Write([]byte("part"))
			time.Sleep(30 * time.Millisecond)
		}
		_ = send.Close()
	}()
	r, err := http.NewRequest(http.MethodPost, server.URL+"/lookup/x", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "upload")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if text, _ := io.ReadAll(answer.Body); answer.StatusCode != http.StatusOK {
		t.Errorf("status %d: %s", answer.StatusCode, text)
	}
}
