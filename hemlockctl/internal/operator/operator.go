// Package operator is the client of a daemon's operators' port.
//
// # Usage
//
//	c := operator.New("127.0.0.1:8081", key)
//	answer, err := c.Settings(ctx)
//
// A refusal is a *RefusedError; a daemon that can't be reached an
// *UnreachableError.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/settings"
)

// timeout bounds one call; a change may be settled for a while by the daemon.
const timeout = 60 * time.Second

// RefusedError reports a daemon's refusal.
type RefusedError struct {
	Status  int
	Refusal operatorapi.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Refusal.Detail }

// UnreachableError reports that no answer came.
type UnreachableError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from the operators' port %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls one daemon.
type Client struct {
	address string
	key     string
	client  *http.Client
}

// New returns a client of the operators' port at address.
func New(address, key string) *Client {
	return &Client{address: address, key: key, client: &http.Client{Timeout: timeout}}
}

// Settings reads the newest settings.
func (c *Client) Settings(ctx context.Context) (operatorapi.SettingsResponse, error) {
	return call[operatorapi.SettingsResponse](ctx, c, http.MethodGet, "/v1/settings", nil)
}

// Apply asks for a change.
func (c *Client) Apply(ctx context.Context, change settings.Change) (operatorapi.ApplyResponse, error) {
	return call[operatorapi.ApplyResponse](ctx, c, http.MethodPost, "/v1/settings", change)
}

// History reads the audit trail after a version.
func (c *Client) History(ctx context.Context, after int64) ([]settings.AuditRow, error) {
	return call[[]settings.AuditRow](ctx, c, http.MethodGet, "/v1/settings/history?after="+strconv.FormatInt(after, 10), nil)
}

// Daemons reads what the daemon knows of all daemons.
func (c *Client) Daemons(ctx context.Context) ([]operatorapi.DaemonStatus, error) {
	return call[[]operatorapi.DaemonStatus](ctx, c, http.MethodGet, "/v1/daemons", nil)
}

// Upstreams reads what the daemon knows of the upstreams.
func (c *Client) Upstreams(ctx context.Context) ([]operatorapi.UpstreamStatus, error) {
	return call[[]operatorapi.UpstreamStatus](ctx, c, http.MethodGet, "/v1/upstreams", nil)
}

// Verdict reads the verdict of a request.
func (c *Client) Verdict(ctx context.Context, id string) (operatorapi.VerdictResponse, error) {
	return call[operatorapi.VerdictResponse](ctx, c, http.MethodGet, "/v1/verdicts/"+url.PathEscape(id), nil)
}

func call[Out any](ctx context.Context, c *Client, method, path string, in any) (out Out, err error) {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return out, fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return out, &UnreachableError{Address: c.address, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.client.Do(req)
	if err != nil {
		return out, &UnreachableError{Address: c.address, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		refused := &RefusedError{Status: resp.StatusCode}
		if err := json.NewDecoder(resp.Body).Decode(&refused.Refusal); err != nil {
			refused.Refusal.Detail = resp.Status
		}
		return out, refused
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, &UnreachableError{Address: c.address, Err: err}
	}
	return out, nil
}
