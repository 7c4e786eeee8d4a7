package engines

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"hemlockmux.example/hemlockd/internal/streams"
)

// TestCutEventIsNoEvent guards against a stream that ends inside an event, of which the part
// that came is taken as the whole: above all the last event, or a chunk that is valid
// JSON where it is cut.
func TestCutEventIsNoEvent(t *testing.T) {
	for name, newline := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		for end, last := range map[string]string{"DONE": "[DONE]", "numbers": "12345"} {
			text := strings.ReplaceAll("id: 0\ndata: {\"choices\":[]}\n\nid: 1\ndata: "+last+"\n\n", "\n", newline)
			for cut := range text {
				for kind, tail := range map[string]io.Reader{"end": strings.NewReader(""), "break": iotest.ErrReader(errors.New("connection reset"))} {
					want := strings.Count(text[:cut], newline+newline)
					if newline == "\r\n" && strings.HasSuffix(text[:cut], "\r\n\r") {
						want++ // a lone CR ends a line too
					}
					got := 0
					for chunk, err := range ReadEvents(io.MultiReader(strings.NewReader(text[:cut]), tail)) {
						if err != nil {
							break
						}
						got++
						if chunk.Last && last != "[DONE]" {
							t.Errorf("%s, %s, %s at %d: chunk %q is the last", name, end, kind, cut, chunk.Data)
						}
					}
					if got != want {
						t.Errorf("%s, %s, %s at %d: %d events, want %d of %q", name, end, kind, cut, got, want, text[:cut])
					}
				}
			}
		}
	}
}

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
