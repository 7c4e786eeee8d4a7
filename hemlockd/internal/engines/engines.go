// Package engines is this daemon's side of the model engines: prefill, decode
// as a stream that can be resumed, abort, load reports and cache events.
//
// # Usage
//
//	c, closeClient := engines.NewClient()
//	result, err := c.Prefill(ctx, engine, call)
//	for event, err := range c.Stream(ctx, engine, call, engines.Fresh) { ... }
//
// A failed call returns a *CallError, which says what is known about whether
// the engine ran it.
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

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/streams"
)

// Bounds of the calls to engines.
const (
	dialTimeout = 500 * clock.Millisecond
	// controlTimeout is the longest wait for an abort or a load report.
	controlTimeout = clock.Second
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 8 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// controlHeadBytes is about what the heads of a control call and of its answer
// add to the bodies.
const controlHeadBytes = 210

var metrics = expvar.NewMap("engines")

// statusExpired is the status by which an engine says that a prefill's result
// is gone.
const statusExpired = http.StatusConflict

// Engine is where a call goes.
type Engine struct {
	Name    string
	Address string
}

// Call is one request to an engine.
type Call struct {
	Path string
	// AttemptID is the id by which the engine knows this attempt.
	AttemptID string
	// RequestID is the caller's request, for the engine's own logs.
	RequestID string
	Body      []byte
}

// PrefillResult is what a prefill gives to the decode call.
type PrefillResult struct {
	KV           completions.KVTransferParams
	CachedTokens int
	PromptTokens int
}

// CallError reports a call that failed.
type CallError struct {
	Engine string
	Status int
	Result verdict.AttemptResult
	// Expired says that the prefill's result lives no more.
	Expired bool
	// Refused says that the engine answered that it takes no more work.
	Refused bool
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Broken says that the connection ended in the middle of the call.
	Broken bool
	Err    error
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
}

// NewClient returns a client and the function that closes its connections.
//
// Calls that do work get a connection of their own: a connection that something
// between the two ends has lost track of can then never swallow one.
func NewClient() (*Client, func()) {
	dial := (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext
	control := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	work := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	c := &Client{control: &http.Client{Transport: control}, work: &http.Client{Transport: work}}
	return c, func() {
		control.CloseIdleConnections()
		work.CloseIdleConnections()
	}
}

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
	resp, err := c.work.Do(req)
	if err != nil {
		return nil, transportError(e, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
	return nil, statusError(e, resp.StatusCode, string(text))
}

// transportError tells a call that never left from one that may have run.
func transportError(e Engine, err error) error {
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

// statusError reads an engine's refusal. A refusal by status was not run; an
// internal error may have been.
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

// Prefill runs a prefill and waits for its result.
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
	var answer completions.Answer
	if err := json.Unmarshal(body, &answer); err != nil || answer.KVTransferParams == nil {
		return PrefillResult{}, &CallError{Engine: e.Name, Result: verdict.AttemptRan, Err: errors.New("answer without kv_transfer_params")}
	}
	result := PrefillResult{KV: *answer.KVTransferParams}
	if answer.Usage != nil {
		result.CachedTokens = answer.Usage.PromptTokensDetails.CachedTokens
		result.PromptTokens = answer.Usage.PromptTokens
	}
	return result, nil
}

// Fresh is the offset of a call that is not a resumption.
const Fresh = -1

// Stream runs a decode call where from is Fresh, or comes back for its stream
// at the offset from, and yields its events as they come. It ends after the
// last event or the first error.
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
				yield(chunk, transportError(e, err))
				return
			}
			if !yield(chunk, nil) || chunk.Last {
				return
			}
		}
		yield(streams.Chunk{}, &CallError{Engine: e.Name, Result: verdict.AttemptRan, Broken: true, Err: io.ErrUnexpectedEOF})
	}
}

// ReadEvents reads server-sent events whose ids are offsets.
func ReadEvents(r io.Reader) iter.Seq2[streams.Chunk, error] {
	return func(yield func(streams.Chunk, error) bool) {
		for event, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(streams.Chunk{}, err)
				return
			}
			offset, err := strconv.Atoi(event.LastEventID)
			if err != nil {
				yield(streams.Chunk{}, fmt.Errorf("event without an offset: %w", err))
				return
			}
			chunk := streams.Chunk{Offset: offset, Data: []byte(event.Data), Last: event.Data == completions.Done}
			if !yield(chunk, nil) {
				return
			}
		}
	}
}

// Abort ends a request at an engine and frees its memory.
func (c *Client) Abort(ctx context.Context, e Engine, rid string) error {
	body, err := json.Marshal(completions.Abort{RequestID: rid})
	if err != nil {
		return fmt.Errorf("encode abort: %w", err)
	}
	return c.controlCall(ctx, e, http.MethodPost, "/abort_request", body, nil)
}

// Load reads an engine's load report, with the requests that it holds memory
// for where held is set.
func (c *Client) Load(ctx context.Context, e Engine, held bool) (completions.Load, error) {
	var load completions.Load
	path := "/load"
	if held {
		path += "?held=1"
	}
	err := c.controlCall(ctx, e, http.MethodGet, path, nil, &load)
	return load, err
}

func (c *Client) controlCall(ctx context.Context, e Engine, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.Name, err)
	}
	resp, err := c.control.Do(req)
	if err != nil {
		// The connection may have gone silent: the next call opens another.
		c.control.CloseIdleConnections()
		return transportError(e, err)
	}
	defer resp.Body.Close()
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
