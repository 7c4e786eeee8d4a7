package engines

import (
	"strings"
	"testing"

	"hemlockmux.example/hemlockd/internal/streams"
)

// TestDataOfSeveralLinesStaysWhole guards against an event with several lines of data of which
// the caller, or the daemon that handed the request over, gets only the first.
func TestDataOfSeveralLinesStaysWhole(t *testing.T) {
	text := "id: 0\ndata: {\"choices\":\ndata: []}\n\nid: 1\ndata: [DONE]\n\n"
	var first, second []streams.Chunk
	for chunk, err := range ReadEvents(strings.NewReader(text)) {
		if err != nil {
			t.Fatal(err)
		}
		first = append(first, chunk)
	}
	forwarded := string(streams.AppendEvents(nil, first))
	for chunk, err := range ReadEvents(strings.NewReader(forwarded)) {
		if err != nil {
			t.Fatal(err)
		}
		second = append(second, chunk)
	}
	if len(first) != 2 || len(second) != 2 || string(first[0].Data) != string(second[0].Data) {
		t.Errorf("%d chunks forwarded as %q, read again as %d", len(first), forwarded, len(second))
	}
}
