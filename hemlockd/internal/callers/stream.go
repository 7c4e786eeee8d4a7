package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/streams"
)

// sink writes a response from its chunks.
type sink interface {
	// writeChunks adds the next chunks, which must come in order. It returns a *chunkError
	// for an answer that can't be used; any other error means that the caller has
	// disconnected.
	writeChunks([]streams.Chunk) error
	// started reports whether any part of the response has been received, so that the
	// call must not be run again elsewhere.
	started() bool
	// end records the verdict and completes the response.
	end() *problem.Problem
}

// streamSink forwards chunks to the caller as they come. The last event is held back
// until the verdict is recorded.
type streamSink struct {
	*exchange
	next   int
	last   []streams.Chunk
	buffer []byte
}

func (s *streamSink) started() bool { return s.headersSent }

func (s *streamSink) writeChunks(chunks []streams.Chunk) error {
	for _, c := range chunks {
		s.checkOrder(c, s.next)
		s.next++
	}
	if n := len(chunks); chunks[n-1].Last {
		s.last, chunks = chunks[n-1:], chunks[:n-1]
	}
	if len(chunks) == 0 {
		return nil
	}
	return s.write(chunks)
}

func (s *streamSink) write(chunks []streams.Chunk) error {
	if !s.headersSent {
		s.headersSent = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.closeIfDraining()
		s.w.WriteHeader(http.StatusOK)
	}
	s.buffer = streams.AppendEvents(s.buffer[:0], chunks)
	return s.send(s.buffer)
}

// send writes and flushes data. It fails if the caller reads nothing for
// writeTimeout.
func (e *exchange) send(data []byte) error {
	if now := time.Now(); now.After(e.deadlineDue) {
		_ = e.controller.SetWriteDeadline(now.Add(writeTimeout.Duration()))
		e.deadlineDue = now.Add(deadlineRenewInterval.Duration())
	}
	if _, err := e.w.Write(data); err != nil {
		return err
	}
	return e.controller.Flush()
}

func (s *streamSink) end() *problem.Problem {
	s.succeed(http.StatusOK)
	if err := s.write(s.last); err != nil {
		metrics.Add("callersGone", 1)
	}
	return nil
}

// endWithError ends a response that has begun with the problem as its last event.
func (e *exchange) endWithError(p *problem.Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		return
	}
	_ = e.send(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}
