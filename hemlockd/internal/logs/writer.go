// Package logs writes the daemon's log so that it can never hold a request up:
// lines go into a buffer of bounded size, from which one goroutine writes them
// out. Where the reader of standard output stops, lines are lost and counted.
//
// # Usage
//
//	log, closeLog := logs.New(os.Stdout, "brandon-a-1")
//	log.Info("request", zap.String("request", id))
//
// The counters are in expvar under "logs": lines and bytes written, lines and
// bytes lost.
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
	// maxBuffered bounds the bytes that wait to be written.
	maxBuffered = 256 << 10
	// gatherTime is how long lines are gathered before they are written.
	gatherTime = 50 * clock.Millisecond
	// closeTime bounds the wait for the last lines.
	closeTime = 300 * clock.Millisecond
)

var metrics = expvar.NewMap("logs")

// Writer hands lines to an output without ever waiting for it. It implements
// zapcore.WriteSyncer.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter starts a writer and returns the function that writes what is left
// and ends it.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w, w.close
}

// Write takes one line; it is lost where too much waits already.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	lost := len(w.pending)+len(line) > maxBuffered
	if !lost {
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	if lost {
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

// Sync implements zapcore.WriteSyncer; lines are written soon in any case.
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
		case <-time.After(gatherTime.Duration()):
		case <-w.closed:
		}
		w.flush()
	}
}

// flush writes what waits. Writing goes on outside the lock.
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
	case <-time.After(closeTime.Duration()):
	}
}

// New returns a log of JSON lines and the function that writes what is left.
func New(out io.Writer, daemon string) (*zap.Logger, func()) {
	writer, closeWriter := NewWriter(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "atMs", zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, zap.InfoLevel)
	return zap.New(core, zap.Fields(zap.String("daemon", daemon))), closeWriter
}
