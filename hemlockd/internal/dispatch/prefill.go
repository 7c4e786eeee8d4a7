package dispatch

import (
	"context"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

const (
	// prefillTimeoutBase is the constant part of a prefill call's time-out.
	prefillTimeoutBase = 600 * clock.Millisecond
	// prefillTimeoutFactor times the predicted duration of the prefill is added to it.
	prefillTimeoutFactor = 2
	// resultExpiryMargin is how long before the expiry of a prefill result the run is
	// no longer placed at another engine, because the engine might fetch it too late.
	resultExpiryMargin = 120 * clock.Millisecond
	// cleanupTimeout limits the call that frees a prefill result or a reservation.
	cleanupTimeout = clock.Second
)

// freeResult frees an unused prefill result in the background.
func (m *modelRun) freeResult() {
	if m.prefillResult == nil {
		return
	}
	c := &resultCleanup{d: m.d, source: *m.prefillResult}
	m.prefillResult = nil
	go c.run()
}

// resultCleanup frees one prefill result at its engine.
type resultCleanup struct {
	d      *Dispatcher
	source calls.KVSource
}

func (c *resultCleanup) run() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout.Duration())
	defer cancel()
	if err := c.d.opts.Upstreams.FreeResult(ctx, c.source); err != nil {
		metrics.Add("freeFailed", 1)
	}
}

// prefill has a prefill engine process the prompt, unless there is a result already or
// no prefill engine is available, in which case the decode engine does it. It tries
// other prefill engines after failures and returns false if none succeeded, or if the run's
// decode engine may no longer be called.
func (m *modelRun) prefill() bool {
	if m.prefillResult != nil || m.run.Prefill == "" && m.d.opts.View.PrefillEngineCount(m.service, m.softwareOf(m.run.Engine)) == 0 {
		return true
	}
	tried := map[string]bool{}
	for m.prefillCalls < maxEngineCalls && m.remainingMs() > 0 && !m.callerGone() {
		if m.blamed() || m.run.Prefill == "" && !m.placePrefill(tried) {
			return false
		}
		id := m.run.Prefill
		tried[id] = true
		u, ok := m.upstream(id)
		if !ok || m.take(u) != upstreamgate.Open {
			m.finishPrefill(false)
			continue
		}
		if m.engineClosed() != upstreamgate.Open {
			return false // the result would be for nothing
		}
		if m.prefillCalls > 0 && !m.d.opts.Retries.Take(m.service, m.now()) {
			return false
		}
		start := m.now()
		source, err := m.sendPrefill(u)
		failed := m.recordAttempt(u.ID, calls.PhasePrefill, start, err)
		m.finishPrefill(failed == nil)
		m.recordResult(u, err)
		if failed == nil {
			m.prefillCalls++
			m.prefillResult, m.prefillSoftware = &source, u.Software
			m.resultExpiresMs = m.now() + m.spec.PrefillResultTTLMs
			return true
		}
		if !failed.Cause.NotSent() {
			m.prefillCalls++
		}
	}
	return false
}

// placePrefill places the run's prefill at an engine that is not in tried and informs
// the other daemons.
func (m *modelRun) placePrefill(tried map[string]bool) bool {
	run, ok := m.d.opts.View.PlacePrefill(m.run.ID, tried, m.now())
	if !ok {
		return false
	}
	m.run.Prefill = run.Prefill
	m.d.opts.Peers.Broadcast(peers.Update{DataCentres: m.dataCentres(run), Runs: []capacity.Run{run}})
	return true
}

// finishPrefill records the end of a prefill call in the capacity view.
func (m *modelRun) finishPrefill(succeeded bool) {
	m.d.opts.View.PrefillDone(m.run.ID, succeeded, m.now())
	m.run.Prefill = ""
	m.d.opts.Queue.Retry()
}

// sendPrefill calls a prefill engine, with a time-out that depends on the predicted
// duration.
func (m *modelRun) sendPrefill(u routing.Upstream) (calls.KVSource, error) {
	defer m.d.health.beginCall(u.ID)()
	timeout := prefillTimeoutBase + prefillTimeoutFactor*m.d.opts.View.PrefillRemainingMs(m.run, m.now())
	ctx, cancel := context.WithTimeout(m.ctx, timeout.Duration())
	defer cancel()
	return m.d.opts.Upstreams.Prefill(ctx, m.call, u, calls.Delivery{RemainingMs: max(1, m.remainingMs()), ResumeAfter: m.stream.lastEventID})
}
