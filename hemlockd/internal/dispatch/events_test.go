package dispatch

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/routing"
)

// TestBlankLinesAfterTheLastEventBreakNothing guards against a whole stream that is taken for
// broken because more than one blank line follows its last event.
func TestBlankLinesAfterTheLastEventBreakNothing(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\n\n"} {
		s := newSetup(noFaults)
		whole := eventsAfter(0) + end
		s.upstreams.decode = func(ctx context.Context, _ routing.Upstream, _ calls.Delivery) *calls.Reply {
			return (&slowStream{pieces: []string{whole}}).newReply(ctx)
		}
		if answer, cut := s.ask("once", "/once/x"); cut || strings.TrimRight(answer.Body.String(), "\r\n") != strings.TrimRight(whole, "\r\n") {
			t.Errorf("end %q: cut %v, answer %q", end, cut, answer.Body.String())
		}
	}
}

// TestLongLineIsReadAsOne guards against an event with a line as long as the read buffer, or a
// multiple of it: the line's end was taken for a blank line, and a part of the event for all of
// it. It was then also cut into two, and a stream that ended with it was broken.
func TestLongLineIsReadAsOne(t *testing.T) {
	for _, length := range []int{eventBufferBytes - 1, eventBufferBytes, eventBufferBytes + 1, 2 * eventBufferBytes} {
		line := "data: " + strings.Repeat("x", length-len("data: "))
		r := bufio.NewReaderSize(strings.NewReader("id: 1\n"+line+"\n"), eventBufferBytes)
		if _, _, err := readEvent(r); !errors.Is(err, errPartialEvent) {
			t.Errorf("line of %d bytes without a blank line: error %v, want errPartialEvent", length, err)
		}
		r = bufio.NewReaderSize(strings.NewReader("id: 1\n"+line+"\n\n"), eventBufferBytes)
		event, id, err := readEvent(r)
		if err != nil || id != "1" || string(event) != "id: 1\n"+line+"\n\n" {
			t.Errorf("line of %d bytes: %d bytes of the event, id %q, error %v", length, len(event), id, err)
		}
		if _, _, err := readEvent(r); err != io.EOF {
			t.Errorf("line of %d bytes: error %v after it, want io.EOF", length, err)
		}
	}
	// The rest of a long line is no field of its own.
	line := "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "id: 77"
	r := bufio.NewReaderSize(strings.NewReader("id: 1\n"+line+"\n\n"), eventBufferBytes)
	if _, id, _ := readEvent(r); id != "1" {
		t.Errorf("id %q taken from the middle of a line", id)
	}
}

// TestAnswerThatIsNoStreamIsWhole guards against an engine's answer with status 200 that is no
// stream of events, and is taken for one that has been broken off: it has no blank line.
func TestAnswerThatIsNoStreamIsWhole(t *testing.T) {
	s := newSetup(noFaults)
	const whole = `{"choices":[{"text":"all"}]}`
	s.upstreams.decode = func(context.Context, routing.Upstream, calls.Delivery) *calls.Reply {
		header := http.Header{"Content-Type": {"application/json"}, "Content-Length": {strconv.Itoa(len(whole))}}
		return &calls.Reply{Status: http.StatusOK, Header: header, Sealed: true, Body: io.NopCloser(strings.NewReader(whole))}
	}
	for _, route := range []string{"once", "resumable"} {
		if answer, cut := s.ask(route, "/"+route+"/x"); cut || answer.Code != http.StatusOK || answer.Body.String() != whole {
			t.Errorf("%s: cut %v, status %d, answer %q", route, cut, answer.Code, answer.Body.String())
		}
	}
}
