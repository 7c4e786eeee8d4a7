// Package answers is a transport for HTTP answers that are checked before anyone believes them: net/http can take an
// answer that was reset for one that has ended.
//
// An answer that ends with its connection is whole only if the connection ended in order, also if a request was still
// being written then.
//
// # Usage
//
//	client := &http.Client{Transport: answers.NewTransport(&http.Transport{DialContext: dial})}
//	resp, err := client.Do(req)
package answers

import (
	"context"
	"expvar"
	"net"
	"net/http"
)

var metrics = expvar.NewMap("answers")

// MaxHeadBytes is the longest head of an answer.
const MaxHeadBytes = 64 << 10

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
		return &conn{Conn: nc}, nil
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
	return t.inner.RoundTrip(req)
}
