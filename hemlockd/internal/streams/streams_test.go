package streams

import (
	"testing"

	"pgregory.net/rapid"
)

// Property: chunks that arrive in any order, with duplicates, are returned once each and in order. A
// second assembler that starts at Next continues without a gap or a duplicate.
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
		split := rapid.IntRange(0, len(arrivals)).Draw(t, "split")
		var got []int
		add := func(a *Assembler, offsets []int) {
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
		add(first, arrivals[:split])
		second := NewAssembler(first.Next())
		if !first.Done() {
			add(second, arrivals)
		}
		if !first.Done() && !second.Done() || len(got) != n {
			t.Fatalf("%d of %d chunks were returned", len(got), n)
		}
		for i, offset := range got {
			if offset != i {
				t.Fatalf("chunk %d was returned as number %d", offset, i)
			}
		}
	})
}

func TestTooManyPendingChunksAreAGap(t *testing.T) {
	a := NewAssembler(0)
	for i := range maxPending {
		if _, err := a.Add(Chunk{Offset: i + 1}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.Add(Chunk{Offset: maxPending + 1}); err == nil {
		t.Error("no error although the first chunk is missing and maxPending later ones arrived")
	}
}
