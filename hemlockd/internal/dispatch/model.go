package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
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
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

const (
	// queueTimeShare is the fraction of a route's target latency that a request may
	// wait for an engine. The rest is for the prefill and the network.
	queueTimeShare = 0.6
	// resumeQueueTimeout is how long a stream that has lost its engine waits for
	// another.
	resumeQueueTimeout = 2 * clock.Second
	// maxEngineCalls limits the decode calls and, separately, the prefill calls of one
	// request, including those that engines refuse.
	maxEngineCalls = 4
	// capacityRetryAfter is the minimum Retry-After of a request that found no capacity,
	// and also the range of the random time added to it.
	capacityRetryAfter = 1500 * clock.Millisecond
)

// placement is a run with what has been prepared for it at its engines.
type placement struct {
	run capacity.Run
	// prefillResult is the result of the prefill until a decode engine fetches it.
	prefillResult *calls.KVSource
	// prefillSoftware is the version of the software of the engine that holds the result.
	prefillSoftware string
	// resultExpiresMs is when the prefill engine discards the result.
	resultExpiresMs clock.Millis
	// reservation is an unused reservation at the run's engine, or nil.
	reservation *reservation
	// callTaken is set if the call to the run's engine has been taken from what the engine allows.
	callTaken bool
}

// modelRun serves one request to a model, with a prefill and a decode phase.
type modelRun struct {
	*exchange
	placement
	ctx  context.Context
	spec *routing.EngineSpec
	// excluded holds the engines that the request must not be placed at again.
	excluded map[string]bool
	// refusedReservations counts the reservations that engines refused.
	refusedReservations int
	// prefillCalls counts the calls to prefill engines, except those that could not be
	// reached.
	prefillCalls int
	// decodeCalls counts the calls to decode engines.
	decodeCalls int
	// possibleRuns counts the decode calls that ran or may have run.
	possibleRuns int
	stream       streamState
	// continuation is where a silent stream goes on, until it does.
	continuation *continuation
	// continuations counts the tries to move a silent stream.
	continuations int
	// accepted is the answer of the engine that goes on with a silent stream, until it is
	// forwarded.
	accepted *calls.Reply
}

// maxRunIDBytes is the longest id of a caller that identifies a run as it is. All runs of a daemon fit into one message to
// the others.
const maxRunIDBytes = 64

// runID returns the id of the run of an attempt.
func runID(attempt string) string {
	if len(attempt) <= maxRunIDBytes {
		return attempt
	}
	digest := sha256.Sum256([]byte(attempt))
	return hex.EncodeToString(digest[:])
}

// serve runs the request at one engine after another, as far as it may be repeated,
// until one has completed the answer.
func (m *modelRun) serve() {
	p := m.call.Prompt
	done := eventsUpTo(m.call.ResumeAfter) * m.spec.EventTokens
	m.run = capacity.Run{
		ID: runID(m.call.ID), Service: m.service, PromptTokens: p.Tokens + done, MaxTokens: max(1, p.MaxOutputTokens-done), ExpectedTokens: max(0, p.ExpectedOutputTokens-done),
	}
	m.stream.lastEventID = m.call.ResumeAfter
	defer m.releaseAll()
	defer func() { m.drop(m.continuation) }() // if the caller left when it had become ready
	if m.resumes() && !m.findSoftware() {
		return
	}
	m.wantUpstreams()
	if m.refuseClosed(routing.RoleDecode) {
		return
	}
	if !m.d.opts.View.Fits(m.run) {
		m.respondError(http.StatusServiceUnavailable, reasonNoUpstream, capacityRetryAfter+jitter(capacityRetryAfter))
		return
	}
	if m.refuseAtShutdown() {
		return
	}
	queueTimeout := clock.Millis(queueTimeShare * float64(m.route.TargetLatencyMs))
	if m.run.Continues {
		queueTimeout = resumeQueueTimeout
	}
	for m.possibleRuns < m.route.MaxAttempts {
		if !m.attempt(queueTimeout - (m.now() - m.arrivedMs)) {
			return
		}
		queueTimeout = m.now() - m.arrivedMs + resumeQueueTimeout
	}
	m.giveUp(reasonUnknown)
}

// eventsUpTo returns the number of events up to the one with the id, if ids count from
// 1; if they count from 0, the result is one too low. An id that is not a number
// counts as 0.
func eventsUpTo(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// attempt places the request at an engine, waiting for capacity up to queueTimeout, and
// runs it there to the last event. A stream that another engine has begun to go on with is
// only forwarded. It returns true if the stream failed and may
// continue at another engine; otherwise the request has been answered.
func (m *modelRun) attempt(queueTimeout clock.Millis) bool {
	if reply := m.accepted; reply != nil {
		m.accepted = nil
		return m.forward(reply)
	}
	if !m.placeAndReserve(queueTimeout) {
		m.refusalBasis = m.capacityBasis()
		m.giveUp(reasonNoCapacity)
		return false
	}
	for {
		if reason := m.engineClosed(); reason != upstreamgate.Open {
			m.closedSkipped = true
			if !m.placeElsewhere(upstreamgate.CallError(m.run.Engine, calls.PhaseDecode, reason)) {
				m.giveUp(reasonBusy)
				return false
			}
		}
		if m.refuseAtShutdown() { // the shutdown may have begun while the request waited
			return false
		}
		prefilled := m.prefill()
		if !prefilled && !m.blamed() && m.engineClosed() != upstreamgate.Open {
			continue
		}
		if !prefilled || m.blamed() {
			m.giveUp(reasonBusy)
			return false
		}
		if m.refuseAtShutdown() {
			return false
		}
		reply, failed := m.decode()
		if failed == nil {
			return m.forward(reply)
		}
		if failed.Outcome != calls.NotRun {
			m.possibleRuns++
			return m.prepareRetry()
		}
		if !m.placeElsewhere(failed) {
			m.giveUp(reasonBusy)
			return false
		}
	}
}

// capacityBasis describes the state on which a refusal for lack of capacity is based.
func (m *modelRun) capacityBasis() string {
	basis := m.d.opts.View.Summary(m.now())
	if m.refusedReservations > 0 {
		basis = fmt.Sprintf("%d engines refused a reservation; %s", m.refusedReservations, basis)
	}
	if m.d.opts.Peers.ViewStale() {
		basis = "state of other daemons' runs is stale; " + basis
	}
	return basis
}

// prepareRetry is called after an engine has run the request, or may have. If the
// request may be sent to another engine, it takes a retry from the budget, releases
// the placement and returns true. Otherwise it ends the request.
func (m *modelRun) prepareRetry() bool {
	if m.callerGone() || m.remainingMs() <= 0 || !m.route.Repeatable() || m.possibleRuns >= m.route.MaxAttempts ||
		m.tryingPart || m.blamed() || !m.versionServed() || !m.d.opts.Retries.Take(m.service, m.now()) {
		m.giveUp(reasonUnknown)
		return false
	}
	m.releasePlacement()
	return true
}

// giveUp ends the request without a complete answer: it closes the caller's
// connection if part of the answer has been sent, and sends an error otherwise. The reason
// is used if the request was not run and no part of its prompt is to blame.
func (m *modelRun) giveUp(reason string) {
	if m.answered {
		m.abort(reasonStreamCut)
	}
	if m.blame != nil {
		m.respondFailure(reasonPart, m.blame.RetryAfterMs)
		return
	}
	unplaced := reason == reasonBusy || reason == reasonNoCapacity
	if unplaced && m.outcome == calls.NotRun && (m.closedSkipped || m.allClosed(routing.RoleDecode)) && m.refuseClosed(routing.RoleDecode) {
		return
	}
	m.respondFailure(reason, capacityRetryAfter+jitter(capacityRetryAfter))
}

// place places the run at a decode engine that may be called, waiting for capacity up to
// queueTimeout, and informs the other daemons. It returns false if no engine had capacity in time.
func (m *modelRun) place(queueTimeout clock.Millis) bool {
	start := m.now()
	ctx, cancel := context.WithTimeout(m.ctx, max(0, queueTimeout).Duration())
	defer cancel()
	wanted := m.run
	wanted.Software = m.wantedSoftware()
	run, ok := m.d.opts.Queue.Place(ctx, wanted, m.prefillResult != nil, m.excluded)
	for ok && !m.takeEngine(run.Engine) {
		m.excluded[run.Engine] = true
		m.d.opts.View.End(run.ID)
		run, ok = m.d.opts.Queue.Place(ctx, wanted, m.prefillResult != nil, m.excluded)
	}
	run.Software = m.run.Software
	m.queueTimeMs += m.now() - start
	if !ok {
		return false
	}
	m.run, m.callTaken, m.forecastUse = run, true, math.Round(run.MemoryUse*100)/100
	m.d.opts.Peers.Broadcast(peers.Update{DataCentres: m.dataCentres(run), Runs: []capacity.Run{run}})
	return true
}

// dataCentres returns the data centres whose cells a run concerns.
func (m *modelRun) dataCentres(r capacity.Run) []string {
	concerned := []string{r.DataCentre}
	if u, ok := m.upstream(r.Prefill); ok && u.DataCentre != r.DataCentre {
		concerned = append(concerned, u.DataCentre)
	}
	return concerned
}

// placeElsewhere places the run at another engine after one has not accepted it. It
// waits for capacity until shortly before the prefill result expires.
func (m *modelRun) placeElsewhere(failed *calls.Error) bool {
	m.excluded[m.run.Engine] = true
	m.releasePlacement()
	if m.decodeCalls >= maxEngineCalls || m.remainingMs() <= 0 || m.callerGone() {
		return false
	}
	// The next call is not a retry if this one reached no engine.
	if !failed.Cause.NotSent() && !m.d.opts.Retries.Take(m.service, m.now()) {
		return false
	}
	return m.place(m.resultExpiresMs - resultExpiryMargin - m.now())
}

// releasePlacement releases the run's engines and its reservation and informs the
// other daemons.
func (m *modelRun) releasePlacement() {
	if m.reservation != nil {
		go m.reservation.cancel()
		m.reservation = nil
	}
	if m.run.Engine == "" {
		return
	}
	m.d.opts.View.End(m.run.ID)
	ended := peers.Update{DataCentres: m.dataCentres(m.run), Ended: []string{m.run.ID}}
	m.run.Engine, m.run.DataCentre, m.run.Prefill = "", "", ""
	m.d.opts.Peers.Broadcast(ended)
	m.d.opts.Queue.Retry()
}

// releaseAll releases the placement and an unused prefill result.
func (m *modelRun) releaseAll() {
	m.releasePlacement()
	m.freeResult()
}

// takeEngine takes a call from what an engine allows. An engine that is not listed any more is left to
// decode, which reports it.
func (m *modelRun) takeEngine(id string) bool {
	u, ok := m.upstream(id)
	return !ok || m.take(u) == upstreamgate.Open
}

// engineClosed returns why the run's decode engine may not be called because of what it has announced,
// or [upstreamgate.Open]. One that is not listed any more is left to decode.
func (m *modelRun) engineClosed() upstreamgate.Reason {
	u, ok := m.upstream(m.run.Engine)
	if !ok {
		return upstreamgate.Open
	}
	return m.d.opts.Gate.CheckNotices(upstreamgate.TargetOf(u), m.now())
}

// decode sends the request to the decode engine where it is placed.
func (m *modelRun) decode() (*calls.Reply, *calls.Error) {
	u, ok := m.upstream(m.run.Engine)
	if !ok {
		return nil, &calls.Error{
			Upstream: m.run.Engine, Phase: calls.PhaseDecode, Cause: calls.CauseUnreachable, Outcome: calls.NotRun,
			Err: errors.New("engine is no longer listed in the directory"),
		}
	}
	if !m.callTaken {
		if reason := m.take(u); reason != upstreamgate.Open {
			return nil, upstreamgate.CallError(u.ID, calls.PhaseDecode, reason)
		}
	}
	m.callTaken = false
	m.beginStream(u)
	start := m.now()
	m.decodeCalls++
	m.stream.start(m.ctx)
	var source calls.KVSource // empty if there was no prefill: the engine processes the prompt itself
	if m.prefillResult != nil {
		source = *m.prefillResult
	}
	reply, err := m.d.opts.Upstreams.Send(m.stream.ctx, m.call, u, calls.Delivery{
		Phase: calls.PhaseDecode, RemainingMs: max(1, m.remainingMs()), KVSource: source, ResumeAfter: m.stream.lastEventID, ReservationID: m.takeReservationID(),
	})
	failed := m.recordAttempt(u.ID, calls.PhaseDecode, start, err)
	if failed == nil {
		m.prefillResult = nil
		m.stream.attempt, m.stream.software = len(m.attempts)-1, u.Software
		return reply, nil
	}
	m.stream.stop()
	m.recordResult(u, err)
	if failed.Outcome != calls.NotRun {
		m.prefillResult = nil
		return nil, failed
	}
	if m.decodeCalls > 1 {
		// Two engines refused: the prefill result is probably no longer available.
		m.freeResult()
	}
	return nil, failed
}
