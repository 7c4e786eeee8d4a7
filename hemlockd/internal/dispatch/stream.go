package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"mime"
	"net/http"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/peers"
)

var metrics = expvar.NewMap("dispatch")

const (
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// stallTimeout is the time without an event after which the stream of an engine is
	// moved to another one, if it may be and one can take it.
	stallTimeout = 2 * clock.Second
	// moveInterval is the time between two tries to move a silent stream.
	moveInterval = 500 * clock.Millisecond
	// eventBufferBytes is the size of the buffer for reading events.
	eventBufferBytes = 4 << 10
)

// streamState is the progress of a stream.
type streamState struct {
	// lastEventID is the id of the last event that the caller has received, in this
	// request or before. An engine continues after it; empty means from the beginning.
	lastEventID string
	// lastEventMs is when the last event was forwarded, or the current engine's answer
	// began.
	lastEventMs clock.Millis
	// software is the version of the current engine's software.
	software string
	// attempt is the index of the stream's attempt among those of the request.
	attempt int
	// ctx is the context of the call to the current engine.
	ctx    context.Context
	cancel context.CancelFunc
}

// start prepares the context of a call to an engine.
func (s *streamState) start(ctx context.Context) { s.ctx, s.cancel = context.WithCancel(ctx) }

// stop ends the call to the current engine.
func (s *streamState) stop() {
	if s.cancel != nil {
		s.cancel()
	}
}

// errPartialEvent reports that a stream ended in the middle of an event.
var errPartialEvent = errors.New("stream ended in the middle of an event")

// forward forwards an engine's answer to the caller. It returns true if the stream
// failed and may continue at another engine; otherwise the request has been answered.
func (m *modelRun) forward(reply *calls.Reply) bool {
	defer m.stream.cancel() // of this call; a continuation has its own
	defer func() { _ = reply.Body.Close() }()
	if reply.Status != http.StatusOK || !mayBeEventStream(reply.Header) {
		return m.forwardNonStream(reply)
	}
	if !reply.Sealed {
		m.possibleRuns++
		return m.prepareRetry()
	}
	m.possibleRuns++
	m.stream.lastEventMs = m.now()
	err := m.forwardEvents(reply)
	m.recordStreamEnd(err)
	u, listed := m.upstream(m.run.Engine)
	if err == nil {
		m.d.health.recordResult(m.run.Engine, true)
		m.recordCompletion()
		m.endStream()
		if m.possibleRuns == 1 && m.call.ResumeAfter == "" {
			m.d.opts.View.ObserveLength(m.run.ExpectedTokens, m.run.GeneratedTokens)
		}
		return false
	}
	if m.callerGone() {
		m.reason = reasonCallerGone
		return false
	}
	m.outcome = calls.Unknown
	m.d.health.recordResult(m.run.Engine, false)
	if listed { // otherwise it has no address, and gets no work anyway
		m.startCrashCheck(u)
	}
	m.excluded[m.run.Engine] = true
	m.stream.stop()
	if m.continuation != nil {
		m.moveToContinuation()
		return true
	}
	m.run = m.restOfRun()
	return m.prepareRetry()
}

// restOfRun returns the run as it goes on at another engine: what has been generated is
// part of its prompt there.
func (m *modelRun) restOfRun() capacity.Run {
	rest := m.run
	rest.PromptTokens += rest.GeneratedTokens
	rest.MaxTokens = max(1, rest.MaxTokens-rest.GeneratedTokens)
	rest.ExpectedTokens = max(1, rest.ExpectedTokens-rest.GeneratedTokens)
	rest.Continues = rest.Continues || rest.GeneratedTokens > 0
	rest.GeneratedTokens, rest.Decoding = 0, false
	return rest
}

// recordStreamEnd adds the end of an engine's stream to the attempt that began it.
func (m *modelRun) recordStreamEnd(err error) {
	last := &m.attempts[m.stream.attempt]
	last.EndMs = m.now()
	if err != nil {
		last.Cause = string(m.streamEndCause(err))
		m.silentMs = m.now() - m.stream.lastEventMs
	}
}

// streamEndCause returns why a stream ended early.
func (m *modelRun) streamEndCause(err error) calls.Cause {
	switch {
	case m.callerGone():
		return calls.CauseCallerGone
	case m.cutByShutdown():
		return calls.CauseShutdown
	case m.ctx.Err() != nil:
		return calls.CauseDeadline
	case errors.Is(err, errSilent):
		return calls.CauseTimeout
	case errors.Is(err, errPartialEvent):
		return calls.CauseTruncated
	}
	return calls.CauseConnectionLost
}

// mayBeEventStream reports whether an answer's type is that of a stream of events, or is not
// given.
func mayBeEventStream(h http.Header) bool {
	t := h.Get("Content-Type")
	return t == "" || isEventStream(h)
}

// isEventStream reports whether an answer is a stream of events.
func isEventStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// forwardNonStream forwards an answer that is no stream of events or has a status other
// than 200, or returns true if the request may be sent to another engine instead.
func (m *modelRun) forwardNonStream(reply *calls.Reply) bool {
	m.possibleRuns++
	body, whole, err := intake.ReadAnswer(m.r.Context(), reply.Body, maxBufferedBytes)
	unsealed := !reply.Sealed && reply.Status < http.StatusMultipleChoices
	if err != nil || unsealed || !validStatus(reply.Status) || impliesNotRun(reply.Status) || m.answered {
		m.outcome = calls.Unknown
		return m.prepareRetry()
	}
	m.deliver(&bufferedReply{reply: reply, body: body, partial: !whole})
	return false
}

// forwardEvents forwards events, each when it is complete, until the stream ends or goes
// on at another engine.
func (m *modelRun) forwardEvents(reply *calls.Reply) error {
	reader := &eventReader{body: reply.Body, events: make(chan streamEvent), done: m.stream.ctx.Done()}
	go reader.run()
	for {
		e := m.nextEvent(reader.events)
		if e.err == io.EOF {
			m.beginAnswer(reply)
			return nil
		}
		if e.err != nil {
			return e.err
		}
		m.awaitRecord()
		m.beginAnswer(reply)
		if err := m.write(e.data); err != nil {
			return err
		}
		m.recordEvent(e.id)
	}
}

// beginAnswer writes the header of the caller's answer, unless that has been done. It must
// not be called before there is an event, or the end of the stream, to be forwarded: until
// then a failure can still be told by a status.
func (m *modelRun) beginAnswer(reply *calls.Reply) {
	if m.answered {
		return
	}
	// If the stream is resumed, it is longer than the first engine's part.
	if m.route.Resumable {
		reply.Header.Del("Content-Length")
	}
	m.writeHeader(reply)
}

// recordEvent updates the progress of the run after an event was forwarded.
func (m *modelRun) recordEvent(id string) {
	if id != "" {
		m.stream.lastEventID = id
	}
	if m.events == 0 {
		m.d.latencies.recordValue(latencyFirstEvent, m.now()-m.arrivedMs)
	}
	m.events++
	m.run.Software = m.stream.software
	m.stream.lastEventMs = m.now()
	m.run.GeneratedTokens += m.spec.EventTokens
	m.d.opts.View.Progress(m.run.ID, m.run.GeneratedTokens, m.now())
	if m.run.Decoding {
		return
	}
	// From the start of decoding, other daemons estimate the progress by the engine's
	// pace and need no further updates.
	m.run.Decoding = true
	if run, ok := m.d.opts.View.Run(m.run.ID); ok {
		m.d.opts.Peers.Broadcast(peers.Update{Runs: []capacity.Run{run}})
	}
}

// write sends bytes to the caller without buffering.
func (m *modelRun) write(event []byte) error {
	if len(event) == 0 {
		return nil
	}
	if _, err := m.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(m.w).Flush()
}

// streamEvent is one event of a stream, or the end of the stream.
type streamEvent struct {
	data []byte // unchanged, with the blank line
	id   string
	err  error // io.EOF at the end of a whole stream
}

// eventReader reads a stream's events in the background.
type eventReader struct {
	body   io.Reader
	events chan streamEvent // closed after the last event
	done   <-chan struct{}  // closed when no further events are wanted
}

func (r *eventReader) run() {
	defer close(r.events)
	reader := bufio.NewReaderSize(r.body, eventBufferBytes)
	for {
		data, id, err := readEvent(reader)
		select {
		case r.events <- streamEvent{data, id, err}:
		case <-r.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// received returns what was received from a reader's channel. If that has been closed, the
// call has ended before the end of the stream.
func received(e streamEvent, ok bool) streamEvent {
	if !ok {
		e.err = context.Canceled
	}
	return e
}

// readEvent reads one event and returns its unchanged bytes and its id. Events end
// with a blank line; a stream that ends without one has been broken off, even if its
// length was as announced, and the result is errPartialEvent. Further blank lines at the
// end of a stream are returned as an event, since they are part of its length.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return nil, "", errors.New("event exceeds the size limit of 1 MiB")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(event) > 0 {
			if len(bytes.Trim(event, "\r\n")) == 0 {
				return event, "", nil
			}
			return nil, "", errPartialEvent
		}
		if err != nil {
			return nil, "", err
		}
		line := event[lineStart:]
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && lineStart > 0 {
			return event, id, nil
		}
		lineStart = len(event)
	}
}
