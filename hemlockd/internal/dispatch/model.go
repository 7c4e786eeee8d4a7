package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math"
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
	// streamReserve is added to the time that a stream is expected to take where
	// the daemon's own end is near.
	streamReserve = 800 * clock.Millisecond
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
		ID: m.call.ID, Service: m.service, PromptTokens: p.Tokens + done, MaxTokens: max(1, p.MaxOutputTokens-done), ExpectedTokens: max(0, p.ExpectedOutputTokens-done),
	}
	m.stream.after = m.call.ResumeAfter
	defer m.release()
	if !m.d.o.View.Fits(m.run) {
		m.refuse(http.StatusServiceUnavailable, reasonNoUpstream, roomRetry+jitter(roomRetry))
		return
	}
	if until, yes := m.d.draining(); yes && m.now()+m.d.o.View.ExpectedDuration(m.run)+streamReserve > until {
		m.refuse(http.StatusServiceUnavailable, reasonShutdown, 100*clock.Millisecond)
		return
	}
	wait := clock.Millis(patience * float64(m.route.TargetLatencyMs))
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
		m.basis = m.roomBasis()
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

// roomBasis says on what it was decided that there is no room.
func (m *modelRun) roomBasis() string {
	basis := m.d.o.View.Summary(m.now())
	if m.refusals > 0 {
		basis = fmt.Sprintf("%d engines refused a reservation; %s", m.refusals, basis)
	}
	if m.d.o.Peers.ViewStale() {
		basis = "little is known of other daemons' runs; " + basis
	}
	return basis
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
	m.run, m.forecast = run, math.Round(run.MemoryUse*100)/100
	m.d.o.Peers.Broadcast(peers.Update{Runs: []capacity.Run{run}})
	return true
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
	m.d.o.Peers.Broadcast(peers.Update{Ended: []string{m.run.ID}})
	m.d.o.Queue.Retry()
}

func (m *modelRun) release() {
	m.releasePlace()
	m.freeResult()
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
		Phase: calls.PhaseDecode, RemainingMs: max(1, m.leftMs()), KVSource: source, ResumeAfter: m.stream.after, ReservationID: m.takeHold(),
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
