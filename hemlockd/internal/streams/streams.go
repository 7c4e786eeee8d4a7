// Package streams restores the order of the chunks of an answer. Chunks carry their offset, so that
// delayed, duplicate and reordered ones do not affect the output. It does no I/O.
//
// # Usage
//
//	a := streams.NewAssembler(0)
//	ready, err := a.Add(streams.Chunk{Offset: 3, Data: data})
package streams

import (
	"bytes"
	"fmt"
	"strconv"
)

// maxPending bounds the number of chunks that are kept until an earlier one arrives.
const maxPending = 1024

// Chunk is one event of a stream.
type Chunk struct {
	// Offset is the index of the chunk in its stream, from 0.
	Offset int
	// Data is the data of the event.
	Data []byte
	// Last is true for the event that ends the stream.
	Last bool
}

// GapError reports that a chunk of a stream is missing: the stream ended before it, or too many
// later chunks have arrived.
type GapError struct {
	// Next is the offset of the missing chunk.
	Next int
	// Pending is the number of later chunks that have arrived.
	Pending int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("chunk %d is missing; %d later chunks have arrived", e.Next, e.Pending)
}

// Assembler restores the order of the chunks of one stream.
type Assembler struct {
	next    int
	pending map[int]Chunk
	done    bool
}

// NewAssembler returns an assembler whose first chunk is the one at offset next.
func NewAssembler(next int) *Assembler { return &Assembler{next: next, pending: map[int]Chunk{}} }

// Next returns the offset of the first chunk that has not arrived.
func (a *Assembler) Next() int { return a.next }

// Done reports whether Add has returned the last chunk.
func (a *Assembler) Done() bool { return a.done }

// Add adds one chunk and returns the chunks that are next in order. It ignores chunks that were
// returned before, and returns a *GapError if too many chunks are pending.
func (a *Assembler) Add(c Chunk) ([]Chunk, error) {
	if a.done || c.Offset < a.next {
		return nil, nil
	}
	if c.Offset != a.next {
		if len(a.pending) >= maxPending {
			return nil, &GapError{Next: a.next, Pending: len(a.pending)}
		}
		a.pending[c.Offset] = c
		return nil, nil
	}
	ready := []Chunk{c}
	a.next++
	for !c.Last {
		following, ok := a.pending[a.next]
		if !ok {
			return ready, nil
		}
		delete(a.pending, a.next)
		a.next++
		ready = append(ready, following)
		c = following
	}
	a.done = true
	return ready, nil
}

var newline = []byte("\n")

// AppendEvents appends chunks to buffer as server-sent events whose ids are the chunks' offsets.
// Each line of the data is a field of its own.
func AppendEvents(buffer []byte, chunks []Chunk) []byte {
	for _, c := range chunks {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, int64(c.Offset), 10)
		for line := range bytes.SplitSeq(c.Data, newline) {
			buffer = append(buffer, "\ndata: "...)
			buffer = append(buffer, line...)
		}
		buffer = append(buffer, "\n\n"...)
	}
	return buffer
}
