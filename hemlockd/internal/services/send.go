package services

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// callError is a failed call; result states whether it ran, as far as it is known.
type callError struct {
	result verdict.AttemptResult
	err    error
}

func (e *callError) Error() string { return e.err.Error() }

func (e *callError) Unwrap() error { return e.err }

// callOnce makes one attempt. One that the instance does not allow is not sent.
func (s *Services) callOnce(ctx context.Context, client *http.Client, name string, tree *settings.Tree, call Call, timeout clock.Millis) (*placements.Answer, verdict.Attempt, error) {
	s.mu.Lock()
	s.healthLocked(name).inFlight++
	s.mu.Unlock()
	started := s.env.Clock.Now()
	answer, err := s.sendIfOpen(ctx, client, name, tree.System.Upstreams[name].Address, call, timeout)
	a := verdict.Attempt{Upstream: name, Phase: "call", Result: verdict.AttemptRan, StartMs: started, EndMs: s.env.Clock.Now()}
	var failed *callError
	if errors.As(err, &failed) {
		a.Result, a.Cause = failed.result, failed.Error()
	}
	s.mu.Lock()
	s.healthLocked(name).inFlight--
	s.mu.Unlock()
	return answer, a, err
}

// sendIfOpen sends the call to an instance if the gate allows that, and records what its answer says
// about calls to it.
func (s *Services) sendIfOpen(ctx context.Context, client *http.Client, name, address string, call Call, timeout clock.Millis) (*placements.Answer, error) {
	sent := s.env.Clock.Now()
	if reason := s.gate.Take(upstreamgate.Target{Upstream: name}, sent); reason != upstreamgate.Open {
		return nil, &callError{result: verdict.AttemptNotRun, err: &upstreamgate.ClosedError{Upstream: name, Reason: reason}}
	}
	answer, err := s.send(ctx, client, address, call, timeout)
	if err == nil {
		s.observe(name, answer.Status, answer.Header)
		s.gate.Limits.Observe(upstreamlimits.Answer{
			Upstream: name, PerSecond: calls.ParseLimit(answer.Header.Get(upstreamlimits.Header)), SentMs: sent,
		}, s.env.Clock.Now())
	}
	return answer, err
}

// observe records what an answer says about calls to its instance.
func (s *Services) observe(name string, status int, header http.Header) {
	notice, err := upstreamgate.ReadNotice(name, status, header)
	if err != nil {
		s.env.Log.Warn("an upstream names an unusable time to wait", zap.String("upstream", name), zap.Error(err))
	}
	s.gate.Observe(notice, s.env.Clock.Now())
}

// hopHeaders are headers that are not forwarded: they apply to one connection only or, like
// Authorization, hold the caller's secret.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length",
}

// send sends the call to an instance and returns the response without connection headers.
func (s *Services) send(ctx context.Context, client *http.Client, address string, call Call, timeout clock.Millis) (*placements.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &callError{result: verdict.AttemptNotRun, err: err}
	}
	req.Header = call.Header.Clone()
	for _, key := range hopHeaders {
		req.Header.Del(key)
	}
	req.Header.Set("X-Request-Id", call.RequestID)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, &callError{result: verdict.AttemptNotRun, err: err}
		}
		return nil, &callError{result: verdict.AttemptUnknown, err: err}
	}
	defer resp.Body.Close()
	body, whole, err := intake.ReadAnswer(ctx, resp.Body, maxResponseBytes+1)
	if err != nil {
		return nil, &callError{result: verdict.AttemptUnknown, err: err}
	}
	if !whole && len(body) <= maxResponseBytes {
		metrics.Add("noMemoryForResponse", 1)
		return nil, &callError{result: verdict.AttemptRan, err: errors.New("the daemon has no memory for the response")}
	}
	if len(body) > maxResponseBytes {
		return nil, &callError{result: verdict.AttemptRan, err: fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)}
	}
	header := resp.Header.Clone()
	for _, key := range append([]string{"Date", "X-Request-Id"}, hopHeaders...) {
		header.Del(key)
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
	return &placements.Answer{Status: resp.StatusCode, Header: header, Body: body, Unframed: unframed}, nil
}
