package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hemlockmux.example/common/routing"
)

// readBody reads the request's body. If that fails, it answers the caller and returns
// false.
func (x *exchange) readBody(limits routing.Limits) bool {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := x.readAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.respondError(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.uploadCut = true
		x.respondError(http.StatusServiceUnavailable, reasonShutdown, x.d.shutdownRetryAfter())
	case err != nil:
		x.respondError(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.call.Body = body
	return err == nil
}

// readAll reads the request's body. If the daemon is about to exit before the end of the body, the error is
// [os.ErrDeadlineExceeded].
func (x *exchange) readAll(body io.Reader) ([]byte, error) {
	conn := http.NewResponseController(x.w)
	stopped := make(chan struct{})
	stop := context.AfterFunc(x.d.uploads.Load().ended, func() {
		defer close(stopped)
		_ = conn.SetReadDeadline(time.Now().Add(lastReadTime.Duration())) // fails only if the connection is closed
	})
	read, err := io.ReadAll(body)
	if !stop() {
		<-stopped
		_ = conn.SetReadDeadline(time.Time{})
		x.uploadCut = true
		if err == nil && x.r.Context().Err() != nil { // the deadline has passed after the end of the body
			err = os.ErrDeadlineExceeded
		}
	}
	return read, err
}
