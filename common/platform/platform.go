// Package platform holds the clients of the platform that hemlockmux runs on: the
// transactional table, the object store and the VM list.
//
// Each uses a published protocol, so that the stand-in and the real platform get
// the same requests: the table the JSON mapping of the etcd v3 key-value API
// (range and txn, with nested transactions), the object store the S3 REST calls
// PUT, GET and ListObjectsV2, the VM list the Prometheus HTTP service discovery
// format.
//
// # Usage
//
//	table, closeTable := platform.NewTable(url, token, 2*clock.Second)
//	defer closeTable()
//	kvs, err := table.Range(ctx, platform.PrefixRange("settings/tree/"))
//
// A call that fails at the platform returns an *UnavailableError; for a write it
// says whether the write may have taken effect nevertheless.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hemlockmux.example/common/answers"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/progress"
)

// maxAnswerBytes bounds the body of one response; a longer one is not usable.
const maxAnswerBytes = 64 << 20

// UnavailableError reports that the platform gave no usable response.
type UnavailableError struct {
	// Op names the operation that failed.
	Op string
	// MayHaveTakenEffect reports whether the platform may have carried out the
	// request although it gave no usable response.
	MayHaveTakenEffect bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s: %v (may have taken effect: %t)", e.Op, e.Err, e.MayHaveTakenEffect)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// connection is the part that the three clients share: an HTTP client, the base URL
// and the token that authenticates the daemon to the platform.
type connection struct {
	base   string
	token  string
	client *http.Client
	// timeout is the time within which an answer must begin, and within which it must go on.
	timeout clock.Millis
}

// newConnection returns a connection and the function that closes its idle HTTP
// connections. An answer must begin within the timeout and then go on; how long it takes as a
// whole depends on its size.
func newConnection(base, token string, timeout clock.Millis) (*connection, func()) {
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: timeout.Duration()}).DialContext,
		MaxIdleConnsPerHost:   4,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: timeout.Duration(),
	}
	c := &connection{base: base, token: token, client: &http.Client{Transport: answers.NewTransport(transport)}, timeout: timeout}
	return c, transport.CloseIdleConnections
}

// read sends an idempotent request, and sends it again once if no complete response
// came: an idle connection may have been closed, or may have broken silently, since
// its last use.
func (c *connection) read(ctx context.Context, op, method, path string, body []byte) (int, []byte, error) {
	status, answer, err := c.do(ctx, op, method, path, body)
	if err == nil || status != 0 || ctx.Err() != nil {
		return status, answer, err
	}
	c.client.CloseIdleConnections()
	return c.do(ctx, op, method, path, body)
}

// do sends one request and returns the status and the complete body.
func (c *connection) do(ctx context.Context, op, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := progress.WithTimeout(ctx, progress.Bounds{FirstMs: c.timeout, IdleMs: c.timeout})
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, &UnavailableError{Op: op, Err: err}
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, &UnavailableError{Op: op, MayHaveTakenEffect: !neverSent(err), Err: progress.Cause(ctx, err)}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(progress.Reader(ctx, resp.Body), maxAnswerBytes+1))
	if err != nil {
		return 0, nil, &UnavailableError{Op: op, MayHaveTakenEffect: true, Err: err}
	}
	if len(answer) > maxAnswerBytes {
		err := fmt.Errorf("the response is longer than %d bytes", maxAnswerBytes)
		return resp.StatusCode, nil, &UnavailableError{Op: op, MayHaveTakenEffect: true, Err: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		err := fmt.Errorf("status %d", resp.StatusCode)
		return resp.StatusCode, nil, &UnavailableError{Op: op, MayHaveTakenEffect: true, Err: err}
	}
	return resp.StatusCode, answer, nil
}

// neverSent reports whether the request failed before any byte of it was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
