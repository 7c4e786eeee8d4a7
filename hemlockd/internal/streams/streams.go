// Package streams puts the chunks of an answer into their order: chunks carry
// their offset, so that late, repeated and reordered ones cannot show. It does
// no I/O.
//
// # Usage
//
//	a := streams.NewAssembler(0)
//	ready, err := a.Add(streams.Chunk{Offset: 3, Data: data})
package streams

import (
	"fmt"
	"strconv"
)

// maxHeld bounds the chunks that wait for an earlier one.
const maxHeld = 1024

// Chunk is one event of a stream.
type Chunk struct {
	// Offset counts the chunks of a stream from 0.
	Offset int
	Data   []byte
	// Last marks the event that ends the stream.
	Last bool
}

// GapError reports that too many chunks wait for one that does not come.
type GapError struct {
	Next, Held int
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("chunk %d is missing while %d later ones wait", e.Next, e.Held)
}

// Assembler orders the chunks of one stream.
type Assembler struct {
	next int
	held map[int]Chunk
	done bool
}

// NewAssembler returns an assembler that waits for the chunk at offset next.
func NewAssembler(next int) *Assembler { return &Assembler{next: next, held: map[int]Chunk{}} }

// Next is the offset of the first chunk that is still missing.
func (a *Assembler) Next() int { return a.next }

// Done tells whether the last chunk has been returned.
func (a *Assembler) Done() bool { return a.done }

// Add takes one chunk and returns those that are next in order.
func (a *Assembler) Add(c Chunk) ([]Chunk, error) {
	if a.done || c.Offset < a.next {
		return nil, nil
	}
	if c.Offset != a.next {
		if len(a.held) >= maxHeld {
			return nil, &GapError{Next: a.next, Held: len(a.held)}
		}
		a.held[c.Offset] = c
		return nil, nil
	}
	ready := []Chunk{c}
	a.next++
	for !c.Last {
		following, ok := a.held[a.next]
		if !ok {
			return ready, nil
		}
		delete(a.held, a.next)
		a.next++
		ready = append(ready, following)
		c = following
	}
	a.done = true
	return ready, nil
}

// AppendEvents appends chunks as server-sent events whose ids are offsets.
func AppendEvents(buffer []byte, chunks []Chunk) []byte {
	for _, c := range chunks {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, int64(c.Offset), 10)
		buffer = append(buffer, "\ndata: "...)
		buffer = append(buffer, c.Data...)
		buffer = append(buffer, "\n\n"...)
	}
	return buffer
}
