package streams

import (
	"testing"

	"pgregory.net/rapid"
)

// Property: chunks that come late, twice and in any order leave the assembler
// once each and in order; a resumption at Next goes on without gap or repeat.
func TestChunksLeaveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "chunks")
		var arrivals []int
		for i := range n {
			for range rapid.IntRange(1, 3).Draw(t, "copies") {
				arrivals = append(arrivals, i)
			}
		}
		arrivals = rapid.Permutation(arrivals).Draw(t, "order")
		cut := rapid.IntRange(0, len(arrivals)).Draw(t, "cut")
		var got []int
		take := func(a *Assembler, offsets []int) {
			for _, i := range offsets {
				ready, err := a.Add(Chunk{Offset: i, Last: i == n-1})
				if err != nil {
					t.Fatal(err)
				}
				for _, c := range ready {
					got = append(got, c.Offset)
				}
			}
		}
		first := NewAssembler(0)
		take(first, arrivals[:cut])
		second := NewAssembler(first.Next())
		if !first.Done() {
			take(second, arrivals)
		}
		if !first.Done() && !second.Done() || len(got) != n {
			t.Fatalf("%d of %d chunks came out", len(got), n)
		}
		for i, offset := range got {
			if offset != i {
				t.Fatalf("chunk %d came out as number %d", offset, i)
			}
		}
	})
}

func TestTooManyHeldChunksAreAGap(t *testing.T) {
	a := NewAssembler(0)
	for i := range maxHeld {
		if _, err := a.Add(Chunk{Offset: i + 1}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.Add(Chunk{Offset: maxHeld + 1}); err == nil {
		t.Error("no error although the first chunk is missing")
	}
}
