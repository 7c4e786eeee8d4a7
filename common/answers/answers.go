// Package answers is a transport for HTTP answers that are checked before anyone believes them. net/http is lenient with
// servers: it takes any three digits for a status and blanks in the names of fields, and it can take an answer that was
// reset for one that has ended.
//
// An answer is refused with a *[MalformedError] if its status is none of a final answer, or if its head, its trailer or
// an interim answer before it is malformed. An answer that ends with its connection is whole only if the connection
// ended in order, also if a request was still being written then.
//
// # Usage
//
//	client := &http.Client{Transport: answers.NewTransport(&http.Transport{DialContext: dial, MaxResponseHeaderBytes: 64 << 10})}
//	resp, err := client.Do(req)
//	var malformed *answers.MalformedError
//	if errors.As(err, &malformed) { ... the server may have run the request ... }
package answers

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

var metrics = expvar.NewMap("answers")

const (
	// MaxHeadBytes is the longest head of an answer, interim ones and what a line takes beside its bytes included.
	MaxHeadBytes = 64 << 10
	// lineBytes is the least that a line of a head counts as.
	lineBytes = 64
	// maxStatus is the largest status that HTTP defines.
	maxStatus = 599
)

// MalformedError reports an answer that is not one of the protocol.
type MalformedError struct {
	// Part is what is malformed, such as "status" or "field name".
	Part string
	// Text is the malformed text.
	Text string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed answer: %s %.40q", e.Part, e.Text)
}

// malformed counts and returns an error.
func malformed(part, text string) *MalformedError {
	metrics.Add("malformed", 1)
	return &MalformedError{Part: part, Text: text}
}

// Transport sends requests and checks their answers. It implements [http.RoundTripper].
type Transport struct{ inner *http.Transport }

// NewTransport returns a transport that sends requests by inner, which must not be used otherwise.
func NewTransport(inner *http.Transport) *Transport {
	dial := inner.DialContext
	inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(nc), nil
	}
	if inner.MaxResponseHeaderBytes == 0 {
		inner.MaxResponseHeaderBytes = MaxHeadBytes
	}
	return &Transport{inner: inner}
}

// CloseIdleConnections closes connections that are kept for further requests.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.beginHead()
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkFields(http.Header(header)) },
	}
	resp, err := t.inner.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	return resp, nil
}

// check returns an error if the status or the head of an answer is malformed.
func check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return malformed("status", resp.Status)
	}
	return checkFields(resp.Header)
}

// checkFields returns a *MalformedError if a field of a head or trailer is malformed.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return malformed("value of field "+name, v)
			}
		}
	}
	return nil
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := checkFields(b.resp.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
