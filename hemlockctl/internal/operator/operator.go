// Package operator provides a client of the operators' port of a daemon.
//
// # Usage
//
//	c := operator.New("127.0.0.1:8081", key)
//	answer, err := c.Settings(ctx)
//
// An error response is returned as a *RefusedError, the failure to get a response as
// an *UnreachableError.
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

// timeout is the time limit of one call. It is long because the daemon may try a
// change several times.
const timeout = 60 * time.Second

// RefusedError reports an error response of the daemon.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Refusal is the body of the response.
	Refusal operatorapi.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Refusal.Detail }

// UnreachableError reports that the daemon gave no usable response.
type UnreachableError struct {
	// Address is the address of the operators' port.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no usable response from the operators' port %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Client calls the operators' port of one daemon.
type Client struct {
	address string
	key     string
	client  *http.Client
}

// New returns a client of the operators' port at address (host:port), which
// authenticates with the operator's key.
func New(address, key string) *Client {
	return &Client{address: address, key: key, client: &http.Client{Timeout: timeout}}
}

// Settings returns the newest settings that the daemon knows.
func (c *Client) Settings(ctx context.Context) (operatorapi.SettingsResponse, error) {
	return call[operatorapi.SettingsResponse](ctx, c, http.MethodGet, "/v1/settings", nil)
}

// Apply asks the daemon to make a change.
func (c *Client) Apply(ctx context.Context, change settings.Change) (operatorapi.ApplyResponse, error) {
	return call[operatorapi.ApplyResponse](ctx, c, http.MethodPost, "/v1/settings", change)
}

// History returns the audit rows of the versions after the given one.
func (c *Client) History(ctx context.Context, after int64) ([]settings.AuditRow, error) {
	return call[[]settings.AuditRow](ctx, c, http.MethodGet, "/v1/settings/history?after="+strconv.FormatInt(after, 10), nil)
}

// Daemons returns the status of all daemons as seen by this one.
func (c *Client) Daemons(ctx context.Context) ([]operatorapi.DaemonStatus, error) {
	return call[[]operatorapi.DaemonStatus](ctx, c, http.MethodGet, "/v1/daemons", nil)
}

// Upstreams returns the status of the upstreams as seen by the daemon.
func (c *Client) Upstreams(ctx context.Context) ([]operatorapi.UpstreamStatus, error) {
	return call[[]operatorapi.UpstreamStatus](ctx, c, http.MethodGet, "/v1/upstreams", nil)
}

// Closed returns the upstreams that the daemon sends nothing because of what they have announced.
func (c *Client) Closed(ctx context.Context) ([]operatorapi.ClosedView, error) {
	return call[[]operatorapi.ClosedView](ctx, c, http.MethodGet, "/v1/closed", nil)
}

// Limits returns the limits that upstreams name, as the daemon knows them.
func (c *Client) Limits(ctx context.Context) ([]operatorapi.LimitView, error) {
	return call[[]operatorapi.LimitView](ctx, c, http.MethodGet, "/v1/limits", nil)
}

// Parts returns the parts of prompts that the daemon refuses.
func (c *Client) Parts(ctx context.Context) ([]operatorapi.RefusedPartView, error) {
	return call[[]operatorapi.RefusedPartView](ctx, c, http.MethodGet, "/v1/parts", nil)
}

// LiftPart lifts the refusal of a part of prompts at all daemons.
func (c *Client) LiftPart(ctx context.Context, lift operatorapi.LiftPartRequest) (operatorapi.LiftPartResponse, error) {
	return call[operatorapi.LiftPartResponse](ctx, c, http.MethodPost, "/v1/parts/lift", lift)
}

// Verdict returns the verdict of a request.
func (c *Client) Verdict(ctx context.Context, id string) (operatorapi.VerdictResponse, error) {
	return call[operatorapi.VerdictResponse](ctx, c, http.MethodGet, "/v1/verdicts/"+url.PathEscape(id), nil)
}

// call sends one request, with in as its JSON body unless it is nil, and decodes the
// response.
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
