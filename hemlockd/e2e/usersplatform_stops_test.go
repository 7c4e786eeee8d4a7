package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopStream is a stream whose length the daemon can't know: it is told the hint and the limit only.
type stopStream struct {
	hintEvents, limitEvents, events int
	interval                        time.Duration
}

// headers returns the headers of the stream's request.
func (s stopStream) headers() map[string]string {
	return map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("100,%d", 10*s.limitEvents), "X-Prompt-Prefix": "aa:50,bb:50", "X-Length-Hint": strconv.Itoa(10 * s.hintEvents),
		"X-Standin-Events": strconv.Itoa(s.events), "X-Standin-Interval": strconv.FormatInt(s.interval.Milliseconds(), 10), "X-Deadline-Ms": "14000",
	}
}

// sendStream sends a stream over the client's connections.
func sendStream(client *http.Client, d *platformDaemon, attempt, route string, s stopStream) platformResponse {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.setting("Front")+"/"+route+"/x", strings.NewReader("a prompt"))
	if err != nil {
		return platformResponse{err: err}
	}
	req.Host = testHost
	req.Header.Set("X-Attempt-Id", attempt)
	for name, value := range s.headers() {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return platformResponse{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return platformResponse{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

// checkAccepted checks that a stream was served whole, or refused and not run.
func (p *usersPlatform) checkAccepted(what, attempt string, events int, a platformResponse) {
	p.t.Helper()
	switch {
	case a.status == http.StatusServiceUnavailable:
		if n := p.runCount(attempt); n != 0 || a.header.Get("Retry-After") == "" {
			p.t.Errorf("%s: refused, %d runs, Retry-After %q", what, n, a.header.Get("Retry-After"))
		}
	case a.err != nil || a.body != expectedStream(events):
		last, _ := receivedEvents(a.body)
		p.t.Errorf("%s: accepted with status %d and cut off after %d of %d events: %v", what, a.status, last, events, a.err)
	}
}

// Guards against a stopping daemon that accepts a stream by its expected length and cuts it off when it exits, because
// the stream is longer (LOST). With a second daemon that serves, that holds from the signal on; where there is none to go to,
// from when the balancer sends callers elsewhere.
func TestPlatformStoppingDaemonTakesOnlyStreamsThatItCanFinish(t *testing.T) {
	for _, daemons := range []int{2, 1} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) { stopUnderLongStreams(t, daemons) })
	}
}

// lateStream is a long stream that is sent to a stopping daemon.
type lateStream struct {
	what, id string
	answer   platformResponse
}

func stopUnderLongStreams(t *testing.T, daemons int) {
	long := stopStream{hintEvents: 30, limitEvents: 330, events: 330, interval: 25 * time.Millisecond}
	first := stopStream{hintEvents: 130, limitEvents: 130, events: 130, interval: 25 * time.Millisecond}
	p := deployUsersPlatform(t, daemons)
	d := p.daemons[0]
	p.knowEachOther()
	var all sync.WaitGroup
	results := make(chan lateStream, 3)
	signalled := make(chan struct{})
	kept := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	all.Go(func() {
		sendStream(kept, d, "first", "resumable", first)
		results <- lateStream{"on a kept connection, some 3 s after SIGTERM", "kept", sendStream(kept, d, "kept", "resumable", long)}
	})
	sendAfter := func(span time.Duration, id string) {
		<-signalled
		time.Sleep(span)
		client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
		results <- lateStream{fmt.Sprint(span, " after SIGTERM"), id, sendStream(client, d, id, "once", long)}
	}
	all.Go(func() { sendAfter(2700*time.Millisecond, "late") })
	if daemons > 1 {
		all.Go(func() { sendAfter(100*time.Millisecond, "early") })
	}
	p.eventually(5*time.Second, "the first stream runs", func() bool { return p.runCount("first") > 0 })
	time.Sleep(200 * time.Millisecond) // its answer begins before the signal, and keeps the connection open
	p.signal(d, syscall.SIGTERM)
	close(signalled)
	all.Wait()
	close(results)
	for r := range results {
		p.checkAccepted(r.what, r.id, long.events, r.answer)
	}
	<-d.exited
	if t.Failed() {
		t.Log(d.log)
	}
}
