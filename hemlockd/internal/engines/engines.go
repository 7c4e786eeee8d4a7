// Package engines is the client for the model engines: prefill, decode as a resumable stream,
// abort, load reports and cache events.
//
// # Usage
//
//	c, closeClient := engines.NewClient(gate, clk, log)
//	result, err := c.Prefill(ctx, engine, call)
//	for event, err := range c.Stream(ctx, engine, call, engines.Fresh) { ... }
//
// Failed calls return a *CallError, which states whether the engine ran the call, as far as it is
// known.
package engines

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"
	"go.uber.org/zap"

	"hemlockmux.example/common/answers"
	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/streams"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// Bounds of the calls to engines.
const (
	dialTimeout = 500 * clock.Millisecond
	// controlTimeout bounds an abort or the reading of a load report.
	controlTimeout = clock.Second
	// maxAnswerBytes bounds an answer that is not a stream, and one message of cache events.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of an answer's stream.
	maxEventBytes = 1 << 20
)

// controlHeadBytes is the approximate size of the HTTP headers of a control call and its response.
const controlHeadBytes = 210

var metrics = expvar.NewMap("engines")

// statusExpired is the status with which an engine refuses a decode call because the result of its
// prefill is no longer held.
const statusExpired = http.StatusConflict

// Engine is the target of a call.
type Engine struct {
	// Name is the engine's name in the settings.
	Name string
	// Address is the engine's host and port.
	Address string
}

// Call is one request to an engine.
type Call struct {
	// Path is the URL path of the call.
	Path string
	// AttemptID is the id under which the engine knows this attempt.
	AttemptID string
	// RequestID is the id of the caller's request, for the engine's own logs.
	RequestID string
	// Body is the request body.
	Body []byte
}

// PrefillResult is the result of a prefill.
type PrefillResult struct {
	// KV locates the KV cache; the decode call passes it on.
	KV completions.KVTransferParams
	// CachedTokens is the number of prompt tokens that the engine found in its cache.
	CachedTokens int
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int
}

// CallError reports a call that failed.
type CallError struct {
	// Engine is the engine's name.
	Engine string
	// Status is the HTTP status of an error response, else 0.
	Status int
	// Result states whether the engine ran the call, as far as it is known.
	Result verdict.AttemptResult
	// Expired is true if the engine no longer holds the prefill's result.
	Expired bool
	// Refused is true if the engine answered that it accepts no more work.
	Refused bool
	// Closed is why the call was not sent, if that is because of what the engine has announced.
	// Refused is true as well.
	Closed upstreamgate.Reason
	// Unreachable is true if no connection could be opened.
	Unreachable bool
	// Broken is true if the connection ended during the call.
	Broken bool
	// Accepted is true if the engine had accepted the call: it failed after the begin of a response
	// with status 200.
	Accepted bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("engine %s: %v (%s)", e.Engine, e.Err, e.Result)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls engines.
type Client struct {
	control *http.Client // connections are reused
	work    *http.Client // a new connection for each call
	gate    *upstreamgate.Gate
	clk     clock.Clock
	log     *zap.Logger
}

// NewClient returns a client and the function that closes its connections.
//
// Calls that do work use a new connection each: a pooled connection whose state a device on the
// network path has dropped could swallow a call without an error.
//
// All calls that do work pass the gate. Load reports, aborts and cache events go on while an engine
// shuts down and do not count in its limit, but wait while it is paused.
func NewClient(gate *upstreamgate.Gate, clk clock.Clock, log *zap.Logger) (*Client, func()) {
	dial := (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext
	control := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	work := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	c := &Client{control: &http.Client{Transport: answers.NewTransport(control)}, work: &http.Client{Transport: answers.NewTransport(work)}, gate: gate, clk: clk, log: log}
	return c, func() {
		control.CloseIdleConnections()
		work.CloseIdleConnections()
	}
}

// post sends a call that does work and returns the response if its status is 200.
func (c *Client) post(ctx context.Context, e Engine, call Call, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &CallError{Engine: e.Name, Result: verdict.AttemptNotRun, Err: err}
	}
	for key, values := range header {
		req.Header[key] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", call.AttemptID)
	req.Header.Set("X-Correlation-Id", call.RequestID)
	sent := c.clk.Now()
	if reason := c.gate.Take(upstreamgate.Target{Upstream: e.Name}, sent); reason != upstreamgate.Open {
		return nil, closedError(e.Name, reason)
	}
	resp, err := c.work.Do(req)
	if err != nil {
		return nil, transportError(e, err)
	}
	c.observe(e.Name, resp)
	c.gate.Limits.Observe(upstreamlimits.Answer{
		Upstream: e.Name, PerSecond: calls.ParseLimit(resp.Header.Get(upstreamlimits.Header)), SentMs: sent,
	}, c.clk.Now())
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	return nil, statusError(e, resp.StatusCode, string(text))
}

// transportError wraps a transport error. After a failed dial the call was not run; after any other
// error it may have been.
func transportError(e Engine, err error) *CallError {
	call := &CallError{Engine: e.Name, Result: verdict.AttemptUnknown, Err: err}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		call.Result, call.Unreachable = verdict.AttemptNotRun, true
	case !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded):
		call.Broken = true
	}
	return call
}

// statusError converts an error status of an engine. A call refused with 503 or a 4xx status other
// than 499 was not run; after any other status it may have been.
func statusError(e Engine, status int, text string) error {
	call := &CallError{Engine: e.Name, Status: status, Result: verdict.AttemptUnknown, Err: fmt.Errorf("status %d: %s", status, text)}
	switch {
	case status == statusExpired:
		call.Result, call.Expired = verdict.AttemptNotRun, true
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		call.Result, call.Refused = verdict.AttemptNotRun, true
	case status >= 400 && status < 499:
		call.Result = verdict.AttemptNotRun
	}
	return call
}

// Prefill sends a prefill call and waits for its result.
func (c *Client) Prefill(ctx context.Context, e Engine, call Call) (PrefillResult, error) {
	resp, err := c.post(ctx, e, call, nil)
	if err != nil {
		return PrefillResult{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return PrefillResult{}, transportError(e, err)
	}
	var answer completions.Response
	if err := json.Unmarshal(body, &answer); err != nil || answer.KVTransferParams == nil {
		return PrefillResult{}, &CallError{Engine: e.Name, Result: verdict.AttemptRan, Err: errors.New("prefill response is malformed or has no kv_transfer_params")}
	}
	result := PrefillResult{KV: *answer.KVTransferParams}
	if answer.Usage != nil {
		result.CachedTokens = answer.Usage.PromptTokensDetails.CachedTokens
		result.PromptTokens = answer.Usage.PromptTokens
	}
	return result, nil
}

// Fresh is passed to Stream as the offset of a new call, as opposed to a resumption.
const Fresh = -1

// Stream sends a decode call if from is Fresh; otherwise it resumes the call's stream at the offset
// from. It yields the chunks as they arrive and ends after the last chunk or the first error.
func (c *Client) Stream(ctx context.Context, e Engine, call Call, from int) iter.Seq2[streams.Chunk, error] {
	return func(yield func(streams.Chunk, error) bool) {
		header := http.Header{"Accept": {"text/event-stream"}}
		if from != Fresh {
			header.Set("Last-Event-ID", strconv.Itoa(from-1))
		}
		resp, err := c.post(ctx, e, call, header)
		if err != nil {
			yield(streams.Chunk{}, err)
			return
		}
		defer resp.Body.Close()
		for chunk, err := range ReadEvents(resp.Body) {
			if err != nil {
				err := transportError(e, err)
				err.Accepted = true
				yield(chunk, err)
				return
			}
			if !yield(chunk, nil) || chunk.Last {
				return
			}
		}
		yield(streams.Chunk{}, &CallError{Engine: e.Name, Result: verdict.AttemptRan, Broken: true, Accepted: true, Err: io.ErrUnexpectedEOF})
	}
}

// ReadEvents yields the chunks of a stream of server-sent events whose ids are the chunks' offsets.
func ReadEvents(r io.Reader) iter.Seq2[streams.Chunk, error] {
	return func(yield func(streams.Chunk, error) bool) {
		for event, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(streams.Chunk{}, err)
				return
			}
			offset, err := strconv.Atoi(event.LastEventID)
			if err != nil {
				yield(streams.Chunk{}, fmt.Errorf("parse event id as chunk offset: %w", err))
				return
			}
			chunk := streams.Chunk{Offset: offset, Data: []byte(event.Data), Last: event.Data == completions.DoneEvent}
			if !yield(chunk, nil) {
				return
			}
		}
	}
}

// Abort ends an attempt at an engine and frees its memory.
func (c *Client) Abort(ctx context.Context, e Engine, attemptID string) error {
	body, err := json.Marshal(completions.AbortRequest{RequestID: attemptID})
	if err != nil {
		return fmt.Errorf("encode abort: %w", err)
	}
	return c.controlCall(ctx, e, http.MethodPost, "/abort_request", body, nil)
}

// Load reads an engine's load report. If held is set, the report lists the requests that the engine
// holds memory for.
func (c *Client) Load(ctx context.Context, e Engine, held bool) (completions.Load, error) {
	var load completions.Load
	path := "/load"
	if held {
		path += "?held=1"
	}
	err := c.controlCall(ctx, e, http.MethodGet, path, nil, &load)
	return load, err
}

// controlCall makes a call on a pooled connection and decodes the response into out unless it is nil.
func (c *Client) controlCall(ctx context.Context, e Engine, method, path string, body []byte, out any) error {
	sent := c.clk.Now()
	if c.Paused(e.Name) {
		return closedError(e.Name, upstreamgate.Paused)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	resp, err := c.control.Do(req)
	if err != nil {
		// The pooled connection may be dead: make the next call open a new one.
		c.control.CloseIdleConnections()
		return transportError(e, err)
	}
	defer resp.Body.Close()
	c.observe(e.Name, resp)
	if !calls.ParseLeaving(resp.Header.Values(upstreamgate.LeavingHeader)) {
		c.gate.Reopen(e.Name, sent)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return transportError(e, err)
	}
	metrics.Add("controlBytes", int64(len(path)+len(body)+len(answer))+controlHeadBytes)
	if resp.StatusCode != http.StatusOK {
		return statusError(e, resp.StatusCode, string(answer))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}

// CacheEvents yields an engine's cache events until the connection ends.
func (c *Client) CacheEvents(ctx context.Context, e Engine) iter.Seq2[completions.CacheEvents, error] {
	return func(yield func(completions.CacheEvents, error) bool) {
		if c.Paused(e.Name) {
			yield(completions.CacheEvents{}, closedError(e.Name, upstreamgate.Paused))
			return
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/kv_events", nil)
		if err != nil {
			yield(completions.CacheEvents{}, err)
			return
		}
		resp, err := c.work.Do(req)
		if err != nil {
			yield(completions.CacheEvents{}, transportError(e, err))
			return
		}
		defer resp.Body.Close()
		c.observe(e.Name, resp)
		for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxAnswerBytes}) {
			var events completions.CacheEvents
			if err == nil {
				err = json.Unmarshal([]byte(event.Data), &events)
			}
			if !yield(events, err) || err != nil {
				return
			}
		}
	}
}
