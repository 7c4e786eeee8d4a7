package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
)

const (
	// patience is the part of a route's target that a request may wait for a
	// place; the rest is for reading the prompt and the way.
	patience = 0.6
	// resumePatience is how long a stream that has lost its engine waits for
	// another.
	resumePatience = 2 * clock.Second
	// maxPlacements bounds the engines that one run is sent to, also where they
	// do not take it.
	maxPlacements = 4
	// prefillReserve and prefillPatience times the predicted time bound the wait
	// for a prefill.
	prefillReserve  = 600 * clock.Millisecond
	prefillPatience = 2
	// resultReserve is the time before a result lapses in which it is no longer
	// sent for.
	resultReserve = 120 * clock.Millisecond
	// holdFrom is the forecast part of an engine's memory from which a place is
	// confirmed by the engine, holdWithinMs the longest way there and back at
	// which that pays.
	holdFrom     = 0.7
	holdWithinMs = 10
	// holdOutput is the number of events that a reservation has room for, beside
	// the prompt.
	holdOutput = 4
	// holdSpan is how long a reservation lasts, holdTimeout bounds the call.
	holdSpan    = 1500 * clock.Millisecond
	holdTimeout = 250 * clock.Millisecond
	// maxHoldRefusals bounds the engines that are asked.
	maxHoldRefusals = 4
	// streamReserve is added to the time that a stream is expected to take where
	// the daemon's own end is near.
	streamReserve = 800 * clock.Millisecond
	// freeTimeout bounds the call that frees a prefill's result.
	freeTimeout = clock.Second
	// roomRetry is the least and the spread of the time after which a request
	// that found no room may come back.
	roomRetry = 1500 * clock.Millisecond
)

// modelRun takes one request through prefill and decode.
type modelRun struct {
	*exchange
	ctx  context.Context
	spec *routing.EngineSpec
	run  capacity.Run
	// not holds engines that are not tried again.
	not map[string]bool
	// source is the prefill's result while nobody has fetched it.
	source *calls.KVSource
	// resultUntilMs is when the result lapses.
	resultUntilMs clock.Millis
	// held is a reservation at the engine that has not been used yet; refusals
	// counts those that engines refused.
	held     *held
	refusals int
	// prefills, sends count calls to upstreams; runs those that may have run.
	prefills, sends, runs int
	stream                streamState
}

func (m *modelRun) serve() {
	p := m.call.Prompt
	done := eventsBefore(m.call.ResumeAfter) * m.spec.EventTokens
	m.run = capacity.Run{
		ID: m.call.ID, Prompt: p.Tokens + done, Most: max(1, p.MostOutput-done), Likely: max(0, p.LikelyOutput-done),
	}
	m.stream.after = m.call.ResumeAfter
	defer m.release()
	if !m.d.o.View.Fits(m.run) {
		m.refuse(http.StatusServiceUnavailable, reasonNoUpstream, roomRetry+jitter(roomRetry))
		return
	}
	if until, yes := m.d.draining(); yes && m.now()+m.d.o.View.Span(m.run)+streamReserve > until {
		m.refuse(http.StatusServiceUnavailable, reasonShutdown, 100*clock.Millisecond)
		return
	}
	wait := clock.Millis(patience * float64(m.route.TargetMs))
	for m.runs < m.route.MaxAttempts {
		if !m.attempt(wait - (m.now() - m.arrivedMs)) {
			return
		}
		wait = m.now() - m.arrivedMs + resumePatience
	}
	m.giveUp(reasonUnknown)
}

// eventsBefore is the number of events up to an id; ids count from 0 or 1.
func eventsBefore(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// attempt runs the request at one engine, from the place to the last event. It
// returns true where the stream may go on at another engine.
func (m *modelRun) attempt(wait clock.Millis) bool {
	if !m.placeAndHold(wait) {
		m.basis = m.d.o.View.Summary(m.now())
		m.giveUp(reasonNoRoom)
		return false
	}
	for {
		if !m.prefill() {
			m.giveUp(reasonBusy)
			return false
		}
		reply, failed := m.decode()
		if failed == nil {
			return m.forward(reply)
		}
		if failed.Outcome != calls.NotRun {
			m.runs++
			return m.mayGoOn()
		}
		if !m.placeAgain(failed) {
			m.giveUp(reasonBusy)
			return false
		}
	}
}

// mayGoOn tells whether the request may be sent to another engine after one
// may have run it.
func (m *modelRun) mayGoOn() bool {
	if m.callerGone() || m.leftMs() <= 0 || !m.route.Repeatable() || m.runs >= m.route.MaxAttempts ||
		!m.d.o.Retries.Take(m.service, m.now()) {
		m.giveUp(reasonUnknown)
		return false
	}
	m.releasePlace()
	return true
}

// giveUp ends the request without a whole answer.
func (m *modelRun) giveUp(reason string) {
	if m.answered {
		m.cut(reasonStreamCut)
	}
	m.fail(reason, roomRetry+jitter(roomRetry))
}

// place books a place at a decode engine and tells the other daemons.
func (m *modelRun) place(wait clock.Millis) bool {
	start := m.now()
	ctx, cancel := context.WithTimeout(m.ctx, max(0, wait).Duration())
	defer cancel()
	run, ok := m.d.o.Queue.Place(ctx, m.run, m.source != nil, m.not)
	m.waitedMs += m.now() - start
	if !ok {
		return false
	}
	m.run = run
	m.d.o.Peers.Tell(peers.News{Runs: []capacity.Run{run}})
	return true
}

// placeAndHold books a place and, at an engine that is nearly full, has the
// engine itself confirm it before the prompt is read: other daemons may have
// booked the same room at the same moment.
func (m *modelRun) placeAndHold(wait clock.Millis) bool {
	end := m.now() + wait
	for m.place(end - m.now()) {
		if m.hold() {
			return true
		}
		m.refusals++
		m.releasePlace()
		if m.refusals >= maxHoldRefusals || m.leftMs() <= 0 || m.callerGone() {
			return false
		}
	}
	return false
}

// hold reserves the run's memory at its engine where that pays. It returns false
// where the engine has no room.
func (m *modelRun) hold() bool {
	u, ok := m.upstream(m.run.Engine)
	if !ok || m.spec.HoldMs <= 0 {
		return true
	}
	tokens := m.run.Prompt + holdOutput*m.spec.EventTokens
	if m.d.o.Peers.InTheDark() {
		// Only the engine knows what else it has to hold.
		tokens = m.run.Prompt + min(m.run.Likely, m.run.Most)
	} else if m.run.Use < holdFrom || m.d.distance(u.DataCentre) > holdWithinMs {
		return true
	}
	ctx, cancel := context.WithTimeout(m.ctx, holdTimeout.Duration())
	defer cancel()
	id, err := m.d.o.Upstreams.Hold(ctx, u, tokens, min(holdSpan, m.spec.HoldMs))
	var failed *calls.Error
	if errors.As(err, &failed) && failed.Cause == calls.CauseBusy {
		metrics.Add("holdsRefused", 1)
		return false
	}
	if err != nil {
		metrics.Add("holdsFailed", 1)
		return true // the engine decides when the run is sent there
	}
	m.held = &held{d: m.d, at: u, id: id}
	return true
}

// held is a reservation that has not been used yet.
type held struct {
	d  *Dispatcher
	at routing.Upstream
	id string
}

// run gives the reservation back.
func (h *held) run() {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout.Duration())
	defer cancel()
	if err := h.d.o.Upstreams.Drop(ctx, h.at, h.id); err != nil {
		metrics.Add("dropFailed", 1)
	}
}

// takeHold returns the reservation at the run's engine, "" where there is none.
func (m *modelRun) takeHold() string {
	h := m.held
	m.held = nil
	if h == nil {
		return ""
	}
	return h.id
}

// placeAgain moves the run to another engine after one has not taken it. It
// waits for room as long as the prefill's result lives.
func (m *modelRun) placeAgain(failed *calls.Error) bool {
	m.not[m.run.Engine] = true
	m.releasePlace()
	if m.sends >= maxPlacements || m.leftMs() <= 0 || m.callerGone() {
		return false
	}
	// A call that reached no engine is no repeat.
	if failed.Cause != calls.CauseUnreachable && !m.d.o.Retries.Take(m.service, m.now()) {
		return false
	}
	return m.place(m.resultUntilMs - resultReserve - m.now())
}

// releasePlace frees the place that is booked and tells the other daemons.
func (m *modelRun) releasePlace() {
	if m.held != nil {
		go m.held.run()
		m.held = nil
	}
	if m.run.Engine == "" {
		return
	}
	m.d.o.View.End(m.run.ID)
	m.run.Engine, m.run.Prefill = "", ""
	m.d.o.Peers.Tell(peers.News{Ended: []string{m.run.ID}})
	m.d.o.Queue.Wake()
}

func (m *modelRun) release() {
	m.releasePlace()
	m.freeResult()
}

// freeResult frees a prefill's result that no engine has fetched.
func (m *modelRun) freeResult() {
	if m.source == nil {
		return
	}
	f := &freeing{d: m.d, source: *m.source}
	m.source = nil
	go f.run()
}

// freeing frees one prefill's result.
type freeing struct {
	d      *Dispatcher
	source calls.KVSource
}

func (f *freeing) run() {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout.Duration())
	defer cancel()
	if err := f.d.o.Upstreams.Free(ctx, f.source); err != nil {
		metrics.Add("freeFailed", 1)
	}
}

// prefill has the prompt read, unless a result is there already.
func (m *modelRun) prefill() bool {
	if m.source != nil || m.run.Prefill == "" && m.d.o.View.Prefillers() == 0 {
		return true
	}
	tried := map[string]bool{}
	for m.prefills < maxPlacements && m.leftMs() > 0 && !m.callerGone() {
		if m.run.Prefill == "" && !m.placePrefill(tried) {
			return false
		}
		if m.prefills > 0 && !m.d.o.Retries.Take(m.service, m.now()) {
			return false
		}
		id := m.run.Prefill
		tried[id] = true
		u, ok := m.upstream(id)
		if !ok {
			m.endPrefill(false)
			continue
		}
		start := m.now()
		source, err := m.sendPrefill(u)
		failed := m.record(u.ID, calls.PhasePrefill, start, err)
		m.endPrefill(failed == nil)
		m.noteResult(u, err)
		if failed == nil {
			m.prefills++
			m.source = &source
			m.resultUntilMs = m.now() + m.spec.ResultLivesMs
			return true
		}
		if failed.Cause != calls.CauseUnreachable {
			m.prefills++
		}
	}
	return false
}

// placePrefill books another prefill engine.
func (m *modelRun) placePrefill(tried map[string]bool) bool {
	run, ok := m.d.o.View.PlacePrefill(m.run.ID, tried, m.now())
	if !ok {
		return false
	}
	m.run.Prefill = run.Prefill
	m.d.o.Peers.Tell(peers.News{Runs: []capacity.Run{run}})
	return true
}

func (m *modelRun) endPrefill(read bool) {
	m.d.o.View.PrefillDone(m.run.ID, read, m.now())
	m.run.Prefill = ""
	m.d.o.Queue.Wake()
}

func (m *modelRun) sendPrefill(u routing.Upstream) (calls.KVSource, error) {
	defer m.d.health.begin(u.ID)()
	timeout := prefillReserve + prefillPatience*m.d.o.View.PrefillDueMs(m.run, m.now())
	ctx, cancel := context.WithTimeout(m.ctx, timeout.Duration())
	defer cancel()
	return m.d.o.Upstreams.Prefill(ctx, m.call, u, calls.Delivery{LeftMs: max(1, m.leftMs()), ResumeAfter: m.stream.resumeAfter()})
}

func (m *modelRun) upstream(id string) (routing.Upstream, bool) {
	for _, u := range m.d.o.Directory.Upstreams(m.service) {
		if u.ID == id {
			return u, true
		}
	}
	return routing.Upstream{}, false
}

// decode sends the request to the engine where its place is.
func (m *modelRun) decode() (*calls.Reply, *calls.Error) {
	u, ok := m.upstream(m.run.Engine)
	if !ok {
		return nil, &calls.Error{
			Upstream: m.run.Engine, Phase: calls.PhaseDecode, Cause: calls.CauseUnreachable, Outcome: calls.NotRun,
			Err: errors.New("the engine has left"),
		}
	}
	start := m.now()
	m.sends++
	m.stream.begin(m.ctx)
	var source calls.KVSource // none: the engine reads the prompt itself
	if m.source != nil {
		source = *m.source
	}
	reply, err := m.d.o.Upstreams.Send(m.stream.ctx, m.call, u, calls.Delivery{
		Phase: calls.PhaseDecode, LeftMs: max(1, m.leftMs()), KVSource: source, ResumeAfter: m.stream.resumeAfter(), Hold: m.takeHold(),
	})
	failed := m.record(u.ID, calls.PhaseDecode, start, err)
	if failed == nil {
		m.source = nil
		return reply, nil
	}
	m.stream.end()
	m.noteResult(u, err)
	if failed.Outcome != calls.NotRun {
		m.source = nil
		return nil, failed
	}
	if m.sends > 1 {
		// Two engines refused: the result is probably gone.
		m.freeResult()
	}
	return nil, failed
}
