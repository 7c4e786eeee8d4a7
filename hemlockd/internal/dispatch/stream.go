package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
)

var metrics = expvar.NewMap("dispatch")

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// stallAfter is the silence after which an engine's stream counts as lost
	// where it can go on at another engine.
	stallAfter = 2 * clock.Second
	// eventBufferBytes is the size of the buffer that events are read into.
	eventBufferBytes = 4 << 10
)

// streamState is how far a stream has come.
type streamState struct {
	// after is the id of the last event handed on, or that the caller had; an engine
	// goes on after it. "": from the beginning.
	after  string
	events int // handed on
	// ctx ends the current engine's stream.
	ctx    context.Context
	cancel context.CancelFunc
}

func (s *streamState) begin(ctx context.Context) { s.ctx, s.cancel = context.WithCancel(ctx) }

func (s *streamState) end() {
	if s.cancel != nil {
		s.cancel()
	}
}

// errPartialEvent says that a stream ended in the middle of an event.
var errPartialEvent = errors.New("the stream ended in the middle of an event")

// forward hands an engine's answer on. It returns true where the stream broke
// and may go on at another engine.
func (m *modelRun) forward(reply *calls.Reply) bool {
	defer m.stream.end()
	defer func() { _ = reply.Body.Close() }()
	if reply.Status != http.StatusOK {
		return m.forwardFailure(reply)
	}
	if !reply.Sealed {
		m.runs++
		return m.mayGoOn()
	}
	m.runs++
	err := m.forwardEvents(reply)
	u, _ := m.upstream(m.run.Engine)
	if err == nil {
		m.d.health.result(u.ID, true)
		if m.runs == 1 && m.call.ResumeAfter == "" {
			m.d.o.View.ObserveLength(m.run.ExpectedTokens, m.run.GeneratedTokens)
		}
		return false
	}
	if m.callerGone() {
		m.reason = reasonCallerGone
		return false
	}
	m.outcome = calls.Unknown
	m.d.health.result(m.run.Engine, false)
	m.checkCrash(u)
	m.not[m.run.Engine] = true
	m.stream.end()
	m.run.PromptTokens += m.run.GeneratedTokens
	m.run.MaxTokens = max(1, m.run.MaxTokens-m.run.GeneratedTokens)
	m.run.ExpectedTokens = max(1, m.run.ExpectedTokens-m.run.GeneratedTokens)
	m.run.GeneratedTokens, m.run.Decoding = 0, false
	return m.mayGoOn()
}

// forwardFailure hands on an answer that is no stream.
func (m *modelRun) forwardFailure(reply *calls.Reply) bool {
	m.runs++
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeAnswerBytes))
	if err != nil || promises(reply.Status) || m.answered {
		m.outcome = calls.Unknown
		return m.mayGoOn()
	}
	m.deliver(&wholeAnswer{reply: reply, body: body})
	return false
}

// forwardEvents hands on whole events as they come, until the stream ends.
func (m *modelRun) forwardEvents(reply *calls.Reply) error {
	var stalled *time.Timer
	if m.route.Resumable {
		stalled = time.AfterFunc(stallAfter.Duration(), m.stream.cancel)
		defer stalled.Stop()
	}
	if !m.answered {
		// A stream that is resumed is longer than its first engine's part.
		if m.route.Resumable {
			reply.Header.Del("Content-Length")
		}
		m.writeHead(reply)
	}
	reader := bufio.NewReaderSize(reply.Body, eventBufferBytes)
	for {
		event, id, err := readEvent(reader)
		if err == io.EOF && (len(event) == 0 || reply.Framed) {
			return m.write(event)
		}
		if err == io.EOF {
			return errPartialEvent
		}
		if err != nil {
			return err
		}
		if stalled != nil {
			stalled.Reset(stallAfter.Duration())
		}
		if err := m.write(event); err != nil {
			return err
		}
		m.noteEvent(id)
	}
}

func (m *modelRun) noteEvent(id string) {
	if id != "" {
		m.stream.after = id
	}
	if m.stream.events == 0 {
		m.d.latencies.note(latencyFirstEvent, m.now()-m.arrivedMs)
	}
	m.stream.events++
	m.run.GeneratedTokens += m.spec.EventTokens
	m.d.o.View.Progress(m.run.ID, m.run.GeneratedTokens, m.now())
	if m.run.Decoding {
		return
	}
	// The other daemons go on from here by the engine's pace.
	m.run.Decoding = true
	if run, ok := m.d.o.View.Run(m.run.ID); ok {
		m.d.o.Peers.Broadcast(peers.Update{Runs: []capacity.Run{run}})
	}
}

// write hands bytes on to the caller at once.
func (m *modelRun) write(event []byte) error {
	if len(event) == 0 {
		return nil
	}
	if _, err := m.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(m.w).Flush()
}

// readEvent reads the bytes of one event, unchanged, and its id. Events end with
// a blank line; what is left at the end of the stream is returned with io.EOF.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, "", errors.New("an event is too large")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return event, id, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && len(event) > len(line) {
			return event, id, nil
		}
	}
}
