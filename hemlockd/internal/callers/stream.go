package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/streams"
)

// sink takes an answer's chunks in order.
type sink interface {
	chunks([]streams.Chunk) error
	// started tells whether the caller has seen any part of the answer.
	started() bool
	// end completes the answer.
	end() *problem.Problem
}

// streamSink passes chunks on to the caller as they come. The event that ends
// the stream waits for the verdict.
type streamSink struct {
	*exchange
	next   int
	last   []streams.Chunk
	buffer []byte
}

func (s *streamSink) started() bool { return s.begun }

func (s *streamSink) chunks(chunks []streams.Chunk) error {
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
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	s.buffer = streams.AppendEvents(s.buffer[:0], chunks)
	return s.send(s.buffer)
}

// send writes and flushes, and gives up on a caller that takes nothing.
func (e *exchange) send(data []byte) error {
	if e.controller == nil {
		e.controller = http.NewResponseController(e.w)
	}
	if now := time.Now(); now.After(e.deadlineDue) {
		_ = e.controller.SetWriteDeadline(now.Add(writeTimeout.Duration()))
		e.deadlineDue = now.Add(deadlineEvery.Duration())
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

// cutShort ends an answer that has begun with the reason as its last event.
func (e *exchange) cutShort(p *problem.Problem) {
	data, err := json.Marshal(p)
	if err != nil {
		return
	}
	_ = e.send(fmt.Appendf(nil, "event: error\ndata: %s\n\n", data))
}
