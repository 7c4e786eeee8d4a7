// Package handoff forwards requests to the daemon that is the keeper of their engine group, or to a
// daemon in another data centre, and serves the requests that other daemons forward to this one.
//
// A model request is sent over HTTP. It is answered by a stream of server-sent events whose ids are
// chunk offsets, with a comment as keep-alive every keepAliveInterval, and an event "result" at the
// end. A client that receives nothing for streamTimeout reattaches on a new connection with
// Last-Event-ID.
//
// # Usage
//
//	result, err := client.RunModel(ctx, address, call, func(chunks []streams.Chunk) error { ... })
//	outcome, err := client.RunService(ctx, address, call, timeout)
package handoff

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"hemlockmux.example/common/answers"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/streams"
)

var metrics = expvar.NewMap("handoff")

// Headers and the final event of the protocol.
const (
	headerCall   = "X-Hemlock-Call"
	headerResult = "X-Hemlock-Result"
	resultEvent  = "result"
)

const (
	dialTimeout = 500 * clock.Millisecond
	// keepAliveInterval is the time between two keep-alive comments on an answer's stream.
	keepAliveInterval = 300 * clock.Millisecond
	// streamTimeout is how long a client waits for the next data of a stream. It leaves time for
	// several keep-alive comments.
	streamTimeout = 1200 * clock.Millisecond
	// maxReattachments bounds the consecutive reattachments to a stream that bring no new chunk.
	maxReattachments = 2
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// NoResultError reports that a daemon returned no result for a request that was handed to it.
type NoResultError struct {
	// Address is the daemon's address.
	Address string
	// Result states whether that daemon ran the request, as far as it is known.
	Result verdict.AttemptResult
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *NoResultError) Error() string {
	return fmt.Sprintf("daemon at %s returned no result: %v (%s)", e.Address, e.Err, e.Result)
}

// Unwrap returns the cause.
func (e *NoResultError) Unwrap() error { return e.Err }

// serviceCall is the encoded form of a service call without its body.
type serviceCall struct {
	RequestID string      `json:"requestId"`
	Team      string      `json:"team"`
	Service   string      `json:"service"`
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	Key       string      `json:"key,omitempty"`
	Digest    string      `json:"digest"`
	Header    http.Header `json:"header"`
}

// boundCall is the encoded form of a request's bound.
type boundCall struct {
	RequestID string       `json:"requestId"`
	LeftMs    clock.Millis `json:"leftMs"`
}

// serviceResult is the encoded form of a service call's outcome.
type serviceResult struct {
	Answer   *placements.Answer `json:"answer,omitempty"`
	Problem  *problem.Problem   `json:"problem,omitempty"`
	Replayed bool               `json:"replayed,omitempty"`
	Attempts []verdict.Attempt  `json:"attempts,omitempty"`
}

// Client hands requests over to other daemons.
type Client struct {
	key    string
	client *http.Client
}

// NewClient returns a client and the function that closes its connections. Each request uses a new
// connection, so that net/http never sends a request twice.
func NewClient(cfg process.Config) (*Client, func()) {
	transport := &http.Transport{DialContext: cfg.Dialer(dialTimeout).DialContext, DisableKeepAlives: true}
	return &Client{key: cfg.DaemonKey, client: &http.Client{Transport: answers.NewTransport(transport)}}, transport.CloseIdleConnections
}

// newRequest returns a request with head in the call header and with the daemons' key.
func (c *Client) newRequest(ctx context.Context, address, path string, head any, body []byte) (*http.Request, error) {
	text, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/handoff"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(headerCall, string(text))
	return req, nil
}

// RunModel hands a model request over and passes its chunks to sink, in order. If the stream ends
// early or times out, it reattaches where the stream stopped. It returns a *NoResultError if the
// daemon returned no result.
func (c *Client) RunModel(ctx context.Context, address string, call keeper.Call, sink func([]streams.Chunk) error) (keeper.Result, error) {
	metrics.Add("models", 1)
	assembler := streams.NewAssembler(0)
	reached := false
	for attempts := 0; ; attempts++ {
		before := assembler.Next()
		result, err := c.modelOnce(ctx, address, call, assembler, sink)
		if err == nil && ctx.Err() == nil && result.Problem != nil && result.Problem.Reason == problem.CallerGone {
			return keeper.Result{}, takenForGone(address, result)
		}
		if err == nil {
			return *result, nil
		}
		var noResult *NoResultError
		if !errors.As(err, &noResult) || ctx.Err() != nil {
			return keeper.Result{}, err
		}
		reached = reached || noResult.Result != verdict.AttemptNotRun
		if assembler.Next() > before {
			attempts = 0
		}
		if noResult.Result == verdict.AttemptNotRun || attempts >= maxReattachments {
			if assembler.Done() {
				metrics.Add("resultsMissing", 1)
				return wholeAnswerResult(address), nil
			}
			if reached {
				noResult.Result = verdict.AttemptUnknown
			}
			return keeper.Result{}, noResult
		}
		metrics.Add("reattaches", 1)
	}
}

// takenForGone returns the error of a request that a daemon cancelled although the caller waits: it
// could not reach this daemon for a time, took it for dead, or stops itself.
func takenForGone(address string, result *keeper.Result) *NoResultError {
	metrics.Add("takenForGone", 1)
	noResult := &NoResultError{Address: address, Result: verdict.AttemptUnknown, Err: errors.New("it cancelled the request")}
	switch result.Ran {
	case problem.RanNo:
		noResult.Result = verdict.AttemptNotRun
	case problem.RanYes:
		noResult.Result = verdict.AttemptRan
	}
	return noResult
}

// wholeAnswerResult is the result of a request whose answer came whole from a daemon that ended before
// it sent the result.
func wholeAnswerResult(address string) keeper.Result {
	return keeper.Result{Inferred: true, Ran: problem.RanYes, Attempts: []verdict.Attempt{{
		Upstream: address, Phase: "handOff", Result: verdict.AttemptRan, Cause: "the answer came whole, without the result",
	}}}
}

// errStreamTimeout reports that no data was received within streamTimeout.
var errStreamTimeout = errors.New("no data received within the stream time-out")

// modelOnce sends the request on one connection, from the assembler's next chunk on.
func (c *Client) modelOnce(ctx context.Context, address string, call keeper.Call, assembler *streams.Assembler, sink func([]streams.Chunk) error) (*keeper.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := c.newRequest(ctx, address, "/models", call, call.Body)
	if err != nil {
		return nil, err
	}
	if next := assembler.Next(); next > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(next-1))
	}
	watchdog := time.AfterFunc(streamTimeout.Duration(), func() { cancel(errStreamTimeout) })
	defer watchdog.Stop()
	progress := func() { watchdog.Reset(streamTimeout.Duration()) }
	req.Body = io.NopCloser(&activityReader{Reader: req.Body, onData: progress})
	req.GetBody = nil // it would return a body that reports no progress
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, noResultError(ctx, address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &NoResultError{Address: address, Result: verdict.AttemptNotRun, Err: errors.New(resp.Status)}
	}
	body := &activityReader{Reader: resp.Body, onData: progress}
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil, noResultError(ctx, address, err)
		}
		if event.Type == resultEvent {
			var result keeper.Result
			if err := json.Unmarshal([]byte(event.Data), &result); err != nil {
				return nil, noResultError(ctx, address, err)
			}
			return &result, nil
		}
		offset, err := strconv.Atoi(event.LastEventID)
		if err != nil {
			return nil, noResultError(ctx, address, err)
		}
		ready, err := assembler.Add(streams.Chunk{Offset: offset, Data: []byte(event.Data), Last: event.Data == completions.DoneEvent})
		if err != nil {
			return nil, noResultError(ctx, address, err)
		}
		if len(ready) > 0 {
			if err := sink(ready); err != nil {
				return nil, err
			}
		}
	}
	return nil, noResultError(ctx, address, io.ErrUnexpectedEOF)
}

// noResultError wraps a transport error. A failed dial means that the request was not run.
func noResultError(ctx context.Context, address string, err error) error {
	noResult := &NoResultError{Address: address, Result: verdict.AttemptUnknown, Err: err}
	if errors.Is(context.Cause(ctx), errStreamTimeout) {
		noResult.Err = errStreamTimeout
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		noResult.Result = verdict.AttemptNotRun
	}
	return noResult
}

// activityReader calls onData whenever data was read.
type activityReader struct {
	io.Reader
	onData func()
}

// Read implements io.Reader.
func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onData()
	}
	return n, err
}

// Cancel asks a daemon to cancel a request because its caller has disconnected. Errors are ignored:
// it is best effort.
func (c *Client) Cancel(ctx context.Context, address, requestID string) {
	req, err := c.newRequest(ctx, address, "/cancel", requestID, nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// Bound tells a daemon that runs a request that the caller's daemon ends it after left. Errors are ignored: the daemon then
// goes on as before.
func (c *Client) Bound(ctx context.Context, address, requestID string, left clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout.Duration())
	defer cancel()
	req, err := c.newRequest(ctx, address, "/bound", boundCall{RequestID: requestID, LeftMs: left}, nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// RunService hands a service call over and waits for its outcome. The call is never sent again.
func (c *Client) RunService(ctx context.Context, address string, call services.Call, timeout clock.Millis) (services.Outcome, error) {
	metrics.Add("services", 1)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	head := serviceCall{
		RequestID: call.RequestID, Team: call.Team, Service: call.Service, Method: call.Method,
		Path: call.Path, Key: call.Key, Digest: call.Digest, Header: call.Header,
	}
	req, err := c.newRequest(ctx, address, "/services", head, call.Body)
	if err != nil {
		return services.Outcome{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return services.Outcome{}, noResultError(ctx, address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 400 && resp.StatusCode < 500 || resp.StatusCode == http.StatusServiceUnavailable { // see readCall and [intake.Guard]
		return services.Outcome{}, &NoResultError{Address: address, Result: verdict.AttemptNotRun, Err: errors.New(resp.Status)}
	}
	var result serviceResult
	if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
		return services.Outcome{}, noResultError(ctx, address, err)
	}
	return services.Outcome(result), nil
}
