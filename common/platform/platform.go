// Package platform is hemlockmux's side of the platform that runs it: the
// transactional table, the object store and the VM list.
//
// Each is met through a published format, so that a stand-in and the real
// platform are driven by the same bytes: the table through the JSON mapping of
// the etcd v3 key-value API (range and txn, with nested transactions), the
// object store through the S3 REST calls PUT, GET and ListObjectsV2, the VM
// list through the Prometheus HTTP service discovery format.
//
// # Usage
//
//	table, closeTable := platform.NewTable(url, token, 2*clock.Second)
//	defer closeTable()
//	kvs, err := table.Range(ctx, "settings/tree/")
//
// Every failed call returns an *UnavailableError; for a write it says whether
// the write may have taken effect all the same.
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

	"hemlockmux.example/common/clock"
)

// maxAnswerBytes bounds what is read from the platform in one answer.
const maxAnswerBytes = 64 << 20

// UnavailableError reports that the platform gave no usable answer.
type UnavailableError struct {
	Op string
	// MayHaveTakenEffect is true where the request may have been carried out
	// although its answer is missing.
	MayHaveTakenEffect bool
	Err                error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s: %v (may have taken effect: %t)", e.Op, e.Err, e.MayHaveTakenEffect)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// connection is what the three clients share: an HTTP client, the base URL and
// the token by which the platform knows the daemon.
type connection struct {
	base   string
	token  string
	client *http.Client
}

func newConnection(base, token string, timeout clock.Millis) (*connection, func()) {
	transport := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: timeout.Duration()}).DialContext,
		MaxIdleConnsPerHost:   4,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: timeout.Duration(),
	}
	c := &connection{base: base, token: token, client: &http.Client{Transport: transport, Timeout: timeout.Duration()}}
	return c, transport.CloseIdleConnections
}

// read sends a request that may be repeated, and once more where the connection
// failed: it may have been closed, or have gone silent, since its last use.
func (c *connection) read(ctx context.Context, op, method, path string, body []byte) (int, []byte, error) {
	status, answer, err := c.do(ctx, op, method, path, body)
	if err == nil || status != 0 || ctx.Err() != nil {
		return status, answer, err
	}
	c.client.CloseIdleConnections()
	return c.do(ctx, op, method, path, body)
}

// do sends one request and returns the status and the whole body.
func (c *connection) do(ctx context.Context, op, method, path string, body []byte) (int, []byte, error) {
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
		return 0, nil, &UnavailableError{Op: op, MayHaveTakenEffect: !neverSent(err), Err: err}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, &UnavailableError{Op: op, MayHaveTakenEffect: true, Err: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		err := fmt.Errorf("status %d", resp.StatusCode)
		return resp.StatusCode, nil, &UnavailableError{Op: op, MayHaveTakenEffect: true, Err: err}
	}
	return resp.StatusCode, answer, nil
}

// neverSent tells whether the connection failed before any byte was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
