package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
)

// partsBody is a body that comes in parts, with a pause before each.
type partsBody struct {
	ctx   context.Context
	parts int
	size  int
	pause time.Duration
	rest  int // of the present part
}

// Read implements io.Reader.
func (b *partsBody) Read(p []byte) (int, error) {
	if b.rest == 0 {
		if b.parts == 0 {
			return 0, io.EOF
		}
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-time.After(b.pause):
		}
		b.parts, b.rest = b.parts-1, b.size
	}
	n := min(len(p), b.rest)
	for i := range n {
		p[i] = 'x'
	}
	b.rest -= n
	return n, nil
}

// plainAnswer is a plain answer around a daemon's stop.
type plainAnswer struct {
	name  string
	parts int           // of the upstream's answer, which has no length
	size  int           // of each part
	pause time.Duration // before each part
	slow  time.Duration // the caller's pause after 64 KB
	// before is set if the call comes before the stop begins, which then takes span.
	before bool
	span   clock.Millis
	status int
	whole  bool
}

// ask sends the call over a connection and returns its status and how much of its answer arrived, with the error at its end.
func (a plainAnswer) ask(s *setup) (status, read int, err error) {
	s.upstreams.plain = func(ctx context.Context) (*calls.Reply, error) {
		body := &partsBody{ctx: ctx, parts: a.parts, size: a.size, pause: a.pause}
		return &calls.Reply{Status: http.StatusOK, Header: http.Header{}, Sealed: true, Body: io.NopCloser(body)}, nil
	}
	server := httptest.NewServer(s.dispatcher)
	defer server.CloseClientConnections()
	if a.before {
		time.AfterFunc(100*time.Millisecond, func() { s.drainFor(a.span) })
	} else {
		s.drainFor(a.span)
	}
	time.AfterFunc(a.span.Duration()+100*time.Millisecond, func() { _ = server.Config.Close() }) // the exit
	req, _ := http.NewRequest(http.MethodPost, server.URL+"/order/x", strings.NewReader("body"))
	req.Host = "h"
	req.Header.Set("Id", "r")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	for buffer := make([]byte, 64<<10); ; {
		n, err := resp.Body.Read(buffer)
		read += n
		if err == io.EOF {
			return resp.StatusCode, read, nil
		}
		if err != nil {
			return resp.StatusCode, read, err
		}
		time.Sleep(a.slow * time.Duration(n) / time.Duration(len(buffer)))
	}
}

// TestPlainAnswersAcrossAStop guards against plain answers that a stop cuts off though they end in time, and against answers that
// look whole though the exit has cut them off: without a length, long, read slowly by the caller or sent slowly by the upstream.
func TestPlainAnswersAcrossAStop(t *testing.T) {
	for _, a := range []plainAnswer{
		{name: "without a length", parts: 3, size: 100, pause: 100 * time.Millisecond, span: 2500, status: http.StatusOK, whole: true},
		{name: "long, sent slowly", parts: 10, size: 100 << 10, pause: 100 * time.Millisecond, span: 2500, status: http.StatusOK, whole: true},
		{name: "long, read slowly", parts: 10, size: 100 << 10, slow: 70 * time.Millisecond, span: 2500, status: http.StatusOK, whole: true},
		{name: "not yet begun at the exit", before: true, parts: 10, size: 100, pause: 100 * time.Millisecond, span: 400, status: http.StatusGatewayTimeout},
		{name: "begun and not whole at the exit", before: true, parts: 10, size: 200 << 10, pause: 100 * time.Millisecond, span: 400, status: http.StatusOK},
	} {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			status, read, err := a.ask(newSetup(noFaults))
			total := a.parts * a.size
			if status != a.status || a.whole && (err != nil || read != total) || !a.whole && status == http.StatusOK && err == nil {
				t.Errorf("status %d, %d of %d bytes, error %v", status, read, total, err)
			}
		})
	}
}
