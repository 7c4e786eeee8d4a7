// Package handoff hands requests over whole to the daemon that keeps an engine
// group, or to one in another data centre, and serves those handed over here.
//
// A model request travels as HTTP; its answer is a stream of server-sent events
// whose ids are offsets, with a comment now and then while nothing else is
// there, and a last event "result". A reader that hears nothing comes back on a
// new connection with Last-Event-ID.
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

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/shared"
	"hemlockmux.example/hemlockd/internal/streams"
)

var metrics = expvar.NewMap("handoff")

// Headers and events of the protocol.
const (
	headerCall   = "X-Hemlock-Call"
	headerResult = "X-Hemlock-Result"
	resultEvent  = "result"
)

const (
	dialTimeout = 500 * clock.Millisecond
	// keepAlive is the time between two signs of life on an answer's stream.
	keepAlive = 300 * clock.Millisecond
	// silence is how long a stream may be without any sign of life.
	silence = 1200 * clock.Millisecond
	// maxReattach bounds how often one request comes back for its stream
	// without getting further.
	maxReattach = 2
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// NoResultError reports that a daemon a request was handed to gave no result.
type NoResultError struct {
	Address string
	// Result says whether the request may have been run there.
	Result verdict.AttemptResult
	Err    error
}

// Error implements error.
func (e *NoResultError) Error() string {
	return fmt.Sprintf("daemon at %s: %v (%s)", e.Address, e.Err, e.Result)
}

// Unwrap returns the cause.
func (e *NoResultError) Unwrap() error { return e.Err }

// serviceCall is a service call's head as it travels.
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

// serviceResult is a service call's outcome as it travels.
type serviceResult struct {
	Answer   *placements.Answer `json:"answer,omitempty"`
	Problem  *problem.Problem   `json:"problem,omitempty"`
	Replayed bool               `json:"replayed,omitempty"`
	Attempts []verdict.Attempt  `json:"attempts,omitempty"`
}

// Client hands requests over.
type Client struct {
	key    string
	client *http.Client
}

// NewClient returns a client and the function that closes its connections. Each
// request gets a connection of its own, so that net/http never sends one twice.
func NewClient(cfg shared.Config) (*Client, func()) {
	transport := &http.Transport{DialContext: cfg.Dialer(dialTimeout).DialContext, DisableKeepAlives: true}
	return &Client{key: cfg.DaemonKey, client: &http.Client{Transport: transport}}, transport.CloseIdleConnections
}

func (c *Client) request(ctx context.Context, address, path string, head any, body []byte) (*http.Request, error) {
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

// RunModel hands a model request over and passes its chunks on, in order.
func (c *Client) RunModel(ctx context.Context, address string, call keeper.Call, sink func([]streams.Chunk) error) (keeper.Result, error) {
	metrics.Add("models", 1)
	assembler := streams.NewAssembler(0)
	reached := false
	for tries := 0; ; tries++ {
		before := assembler.Next()
		result, err := c.modelOnce(ctx, address, call, assembler, sink)
		if err == nil {
			return *result, nil
		}
		var lost *NoResultError
		if !errors.As(err, &lost) || ctx.Err() != nil {
			return keeper.Result{}, err
		}
		reached = reached || lost.Result != verdict.AttemptNotRun
		if assembler.Next() > before {
			tries = 0
		}
		if lost.Result == verdict.AttemptNotRun || tries >= maxReattach {
			if reached {
				lost.Result = verdict.AttemptUnknown
			}
			return keeper.Result{}, lost
		}
		metrics.Add("reattaches", 1)
	}
}

// errSilent reports a stream without a sign of life.
var errSilent = errors.New("no sign of life")

func (c *Client) modelOnce(ctx context.Context, address string, call keeper.Call, assembler *streams.Assembler, sink func([]streams.Chunk) error) (*keeper.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := c.request(ctx, address, "/models", call, call.Body)
	if err != nil {
		return nil, err
	}
	if next := assembler.Next(); next > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(next-1))
	}
	watchdog := time.AfterFunc(silence.Duration(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, lostError(ctx, address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &NoResultError{Address: address, Result: verdict.AttemptNotRun, Err: errors.New(resp.Status)}
	}
	body := &liveReader{Reader: resp.Body, alive: func() { watchdog.Reset(silence.Duration()) }}
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil, lostError(ctx, address, err)
		}
		if event.Type == resultEvent {
			var result keeper.Result
			err := json.Unmarshal([]byte(event.Data), &result)
			return &result, err
		}
		offset, err := strconv.Atoi(event.LastEventID)
		if err != nil {
			return nil, lostError(ctx, address, err)
		}
		ready, err := assembler.Add(streams.Chunk{Offset: offset, Data: []byte(event.Data), Last: event.Data == completions.Done})
		if err != nil {
			return nil, lostError(ctx, address, err)
		}
		if len(ready) > 0 {
			if err := sink(ready); err != nil {
				return nil, err
			}
		}
	}
	return nil, lostError(ctx, address, io.ErrUnexpectedEOF)
}

func lostError(ctx context.Context, address string, err error) error {
	lost := &NoResultError{Address: address, Result: verdict.AttemptUnknown, Err: err}
	if errors.Is(context.Cause(ctx), errSilent) {
		lost.Err = errSilent
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		lost.Result = verdict.AttemptNotRun
	}
	return lost
}

// liveReader tells of every sign of life.
type liveReader struct {
	io.Reader
	alive func()
}

// Read implements io.Reader.
func (r *liveReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.alive()
	}
	return n, err
}

// Cancel tells a daemon that the caller of a request is gone.
func (c *Client) Cancel(ctx context.Context, address, requestID string) {
	req, err := c.request(ctx, address, "/cancel", requestID, nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// RunService hands a service call over and waits for its outcome. It is sent once.
func (c *Client) RunService(ctx context.Context, address string, call services.Call, timeout clock.Millis) (services.Outcome, error) {
	metrics.Add("services", 1)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	head := serviceCall{
		RequestID: call.RequestID, Team: call.Team, Service: call.Service, Method: call.Method,
		Path: call.Path, Key: call.Key, Digest: call.Digest, Header: call.Header,
	}
	req, err := c.request(ctx, address, "/services", head, call.Body)
	if err != nil {
		return services.Outcome{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return services.Outcome{}, lostError(ctx, address, err)
	}
	defer resp.Body.Close()
	var result serviceResult
	if err := json.NewDecoder(resp.Body).Decode(&result); err != nil {
		return services.Outcome{}, lostError(ctx, address, err)
	}
	return services.Outcome(result), nil
}
