// Package progress bounds a call by its progress instead of by its duration. The time that an
// answer takes depends on its size and on the link, which a fixed time-out does not know; a call
// that is stuck shows by bringing no bytes.
//
// # Usage
//
//	ctx, cancel := progress.WithTimeout(ctx, progress.Bounds{FirstMs: 700, IdleMs: 500})
//	defer cancel()
//	answer, err := io.ReadAll(progress.Reader(ctx, resp.Body))
package progress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
)

// Bounds limits the time without progress.
type Bounds struct {
	// FirstMs is the time until the first progress, in ms.
	FirstMs clock.Millis
	// IdleMs is the time from one progress to the next, in ms.
	IdleMs clock.Millis
	// OnProgress, if not nil, is called at each progress.
	OnProgress func()
}

// StalledError reports that a call has made no progress for too long.
type StalledError struct {
	// WaitedMs is how long there was no progress, in ms.
	WaitedMs clock.Millis
}

// Error implements error.
func (e *StalledError) Error() string { return fmt.Sprintf("no progress for %d ms", e.WaitedMs) }

// contextKey is the key of the watch in a context.
type contextKey struct{}

// watch ends a context when there is no progress.
type watch struct {
	bounds Bounds
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// WithTimeout returns a context that ends with a *StalledError as its cause once there is no
// progress within the bounds. The returned function releases it.
func WithTimeout(ctx context.Context, b Bounds) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{bounds: b, cancel: cancel}
	w.wait(b.FirstMs)
	return context.WithValue(ctx, contextKey{}, w), w.end
}

// wait ends the context unless there is progress within the time span.
func (w *watch) wait(span clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(span.Duration(), func() { w.cancel(&StalledError{WaitedMs: span}) })
}

func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.cancel(context.Canceled)
}

// Report records progress of the call whose context is ctx. It does nothing if the call is not
// bounded by its progress.
func Report(ctx context.Context) {
	w, ok := ctx.Value(contextKey{}).(*watch)
	if !ok {
		return
	}
	w.wait(w.bounds.IdleMs)
	if w.bounds.OnProgress != nil {
		w.bounds.OnProgress()
	}
}

// Cause returns err, or the *StalledError that has ended ctx and so caused it.
func Cause(ctx context.Context, err error) error {
	var stalled *StalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

// Reader returns a reader whose reads are progress of the call whose context is ctx.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx: ctx, r: r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements [io.Reader].
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.r.Read(b)
	if n > 0 {
		Report(r.ctx)
	}
	if err == io.EOF {
		return n, err
	}
	return n, Cause(r.ctx, err)
}

// Conn returns a connection whose reads are progress of the call whose context is ctx.
func Conn(ctx context.Context, conn net.Conn) net.Conn {
	return &progressConn{Conn: conn, reader: Reader(ctx, conn)}
}

type progressConn struct {
	net.Conn
	reader io.Reader
}

// Read implements [net.Conn].
func (c *progressConn) Read(b []byte) (int, error) { return c.reader.Read(b) }
