package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/streams"
)

// checkOrder asserts that chunks come in order, without gaps or repeats.
func (e *exchange) checkOrder(c streams.Chunk, next int) {
	if c.Offset != next { // avoids evaluating the arguments unless the invariant is violated
		e.c.env.Invariants.Check(invariant.WholeAnswer, false, "requestId", e.id, "offset", c.Offset, "next", next)
	}
}

// chunkError reports that a chunk of an engine's answer can't be used.
type chunkError struct {
	// offset is the offset of the chunk.
	offset int
	err    error
}

// Error implements error.
func (e *chunkError) Error() string {
	return fmt.Sprintf("chunk %d of the answer: %v", e.offset, e.err)
}

// Unwrap returns the cause.
func (e *chunkError) Unwrap() error { return e.err }

// result returns the result of a call whose answer holds the chunk: an engine ran the call.
func (e *chunkError) result(attempts []verdict.Attempt) keeper.Result {
	p := problem.New(problem.UpstreamFailed, "the engine's answer can't be used: %v", e).WithRan(problem.RanYes)
	return keeper.Result{Problem: p.WithRetryAfter(clock.Second), Ran: problem.RanYes, Attempts: attempts}
}

// bufferedSink collects the chunks into one response for a caller that did not
// request a stream.
type bufferedSink struct {
	*exchange
	chat   bool
	next   int
	text   strings.Builder
	answer completions.Response
	finish *string
}

func (s *bufferedSink) started() bool { return s.next > 0 }

func (s *bufferedSink) writeChunks(chunks []streams.Chunk) error {
	for _, c := range chunks {
		s.checkOrder(c, s.next)
		s.next++
		if c.Last {
			return nil
		}
		if err := s.add(c.Data); err != nil {
			return &chunkError{offset: c.Offset, err: err}
		}
	}
	return nil
}

func (s *bufferedSink) add(data []byte) error {
	var chunk struct {
		completions.Response
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return fmt.Errorf("the engine reports the error %s", chunk.Error)
	}
	if s.answer.ID == "" {
		s.answer = completions.Response{ID: chunk.ID, Created: chunk.Created, Model: chunk.Model}
	}
	if chunk.Usage != nil {
		s.answer.Usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		s.text.WriteString(choice.Text)
		if choice.Delta != nil {
			s.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != nil {
			s.finish = choice.FinishReason
		}
	}
	return nil
}

func (s *bufferedSink) end() *problem.Problem {
	choice := completions.Choice{FinishReason: s.finish, Text: s.text.String()}
	s.answer.Object = "text_completion"
	if s.chat {
		choice = completions.Choice{
			FinishReason: s.finish, Message: &completions.Message{Role: "assistant", Content: s.text.String()},
		}
		s.answer.Object = "chat.completion"
	}
	s.answer.Choices = []completions.Choice{choice}
	body, err := json.Marshal(s.answer)
	if err != nil {
		return problem.New(problem.Internal, "the response can't be encoded: %v", err).WithRan(problem.RanYes)
	}
	s.succeed(http.StatusOK)
	s.w.Header().Set("Content-Type", "application/json")
	s.writeResponse(http.StatusOK, body)
	return nil
}

// writeResponse sends a response with a complete body, with its length unless the header has a
// transfer encoding.
func (e *exchange) writeResponse(status int, body []byte) {
	if e.r.Method != http.MethodHead && e.w.Header().Get("Transfer-Encoding") == "" {
		e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	e.closeIfDraining()
	e.w.WriteHeader(status)
	e.answered = true
	if _, err := e.w.Write(body); err != nil {
		metrics.Add("callersGone", 1)
	}
}
