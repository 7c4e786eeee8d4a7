// Package logs writes the daemon's log without ever blocking a request: lines go into a
// buffer of bounded size, from which one goroutine writes them to the output. If the
// reader of the output stops, lines are dropped and counted.
//
// # Usage
//
//	log, closeLog := logs.New(os.Stdout, "brandon-a-1")
//	log.Info("request", zap.String("request", id))
//
// The expvar map "logs" counts the lines and bytes accepted, the lines and bytes dropped,
// and the failed writes.
package logs

import (
	"expvar"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"hemlockmux.example/common/clock"
)

const (
	// maxPendingBytes bounds the size of the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// flushDelay is how long lines are collected before they are written.
	flushDelay = 50 * clock.Millisecond
	// closeTimeout bounds the wait for the last lines to be written.
	closeTimeout = 80 * clock.Millisecond
)

var metrics = expvar.NewMap("logs")

// Writer writes lines to an output without blocking the caller. It implements
// [zapcore.WriteSyncer].
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte        // lines that wait to be written
	spare   []byte        // buffer that is reused for pending
	wake    chan struct{} // signals that pending is not empty
	closed  chan struct{} // closed to stop the writing goroutine
	done    chan struct{} // closed when the writing goroutine has ended
}

// NewWriter starts a writer. The returned function writes the remaining lines, waiting
// at most closeTimeout, and stops the writer.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

// Write queues one line. The line is dropped if the queue is full; the returned error is
// always nil.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	dropped := len(w.pending)+len(line) > maxPendingBytes
	if !dropped {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	if dropped {
		metrics.Add("lostLines", 1)
		metrics.Add("lostBytes", int64(len(line)))
		return len(line), nil
	}
	metrics.Add("lines", 1)
	metrics.Add("bytes", int64(len(line)))
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements [zapcore.WriteSyncer]. It does nothing, since lines are written after
// flushDelay anyway.
func (w *Writer) Sync() error { return nil }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
		case <-w.closed:
			w.flush()
			return
		}
		select {
		case <-time.After(flushDelay.Duration()):
		case <-w.closed:
		}
		w.flush()
	}
}

// flush writes the pending lines, without holding the lock while it writes.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.pending
	w.pending = w.spare[:0]
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := w.out.Write(lines); err != nil {
		metrics.Add("failedWrites", 1)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

func (w *Writer) close() {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(closeTimeout.Duration()):
	}
}

// New returns a logger that writes JSON lines, and the function that writes the remaining
// lines and stops it.
func New(out io.Writer, daemon string) (*zap.Logger, func()) {
	writer, closeWriter := NewWriter(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "atMs", zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, zap.InfoLevel)
	return zap.New(core, zap.Fields(zap.String("daemon", daemon))), closeWriter
}
