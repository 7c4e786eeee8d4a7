package dispatch

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/intake"
)

// readBody reads the request's body. If that fails, it answers the caller and returns
// false.
func (x *exchange) readBody(limits routing.Limits) bool {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := x.readAll(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		x.closeUnread()
		x.respondError(http.StatusServiceUnavailable, reasonNoMemory, busyRetryAfter+jitter(busyRetryAfter))
	case errors.As(err, &tooLarge):
		x.closeUnread()
		x.respondError(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	case errors.Is(err, errUploadTimeout):
		x.closeUnread()
		x.respondError(http.StatusRequestTimeout, reasonUploadTimeout, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.respondError(http.StatusServiceUnavailable, reasonShutdown, x.d.shutdownRetryAfter())
	case err != nil:
		x.respondError(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.call.Body = body
	return err == nil
}

// closeUnread has the connection closed after an answer to a request whose body has not been read to its end.
func (x *exchange) closeUnread() { x.w.Header().Set("Connection", "close") }

// errUploadTimeout reports that the answer to a request was due before its body had come.
var errUploadTimeout = errors.New("the body has not come in time")

// readAll reads the request's body, of at most limit bytes. If the daemon is about to exit before the end of the body, the error is
// [os.ErrDeadlineExceeded]; if the answer is due and the daemon does not shut down, errUploadTimeout.
func (x *exchange) readAll(limit int64) ([]byte, error) {
	conn := http.NewResponseController(x.w)
	stopped := make(chan struct{})
	uploads := x.d.uploads.Load().ended
	ctx, cancel := context.WithTimeout(uploads, (x.dueMs() - x.now()).Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		_ = conn.SetReadDeadline(time.Now().Add(lastReadTime.Duration())) // fails only if the connection is closed
	})
	read, err := intake.ReadBody(x.r.Context(), http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit)
	if !stop() {
		<-stopped
		_ = conn.SetReadDeadline(time.Time{})
		x.uploadCut = true
		if err == nil && x.r.Context().Err() != nil { // the deadline has passed after the end of the body
			err = os.ErrDeadlineExceeded
		}
		if _, draining := x.d.draining(); errors.Is(err, os.ErrDeadlineExceeded) && !draining {
			err = errUploadTimeout
		}
	}
	return read, err
}
