package dispatch

import (
	"context"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/capacity"
	"hemlockmux.example/hemlockd/internal/peers"
)

const (
	// prefillReserve and prefillPatience times the predicted time bound the wait
	// for a prefill.
	prefillReserve  = 600 * clock.Millisecond
	prefillPatience = 2
	// resultReserve is the time before a result lapses in which it is no longer
	// sent for.
	resultReserve = 120 * clock.Millisecond
	// freeTimeout bounds the call that frees a prefill's result or a reservation.
	freeTimeout = clock.Second
)

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
	if err := f.d.o.Upstreams.FreeResult(ctx, f.source); err != nil {
		metrics.Add("freeFailed", 1)
	}
}

// prefill has the prompt read, unless a result is there already.
func (m *modelRun) prefill() bool {
	if m.source != nil || m.run.Prefill == "" && m.d.o.View.PrefillEngineCount(m.service) == 0 {
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
			m.resultUntilMs = m.now() + m.spec.PrefillResultTTLMs
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
	m.d.o.Peers.Broadcast(peers.Update{Runs: []capacity.Run{run}})
	return true
}

func (m *modelRun) endPrefill(read bool) {
	m.d.o.View.PrefillDone(m.run.ID, read, m.now())
	m.run.Prefill = ""
	m.d.o.Queue.Retry()
}

func (m *modelRun) sendPrefill(u routing.Upstream) (calls.KVSource, error) {
	defer m.d.health.begin(u.ID)()
	timeout := prefillReserve + prefillPatience*m.d.o.View.PrefillRemainingMs(m.run, m.now())
	ctx, cancel := context.WithTimeout(m.ctx, timeout.Duration())
	defer cancel()
	return m.d.o.Upstreams.Prefill(ctx, m.call, u, calls.Delivery{RemainingMs: max(1, m.leftMs()), ResumeAfter: m.stream.after})
}
