package dispatch

import (
	"context"
	"net/http"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/streamversions"
)

const (
	// lookupTimeout limits the time to find out which version began a stream.
	lookupTimeout = 400 * clock.Millisecond
	// recordTimeout limits how long the first event of a stream waits until its version is recorded.
	recordTimeout = 250 * clock.Millisecond
)

// resumes reports whether the request goes on with a stream that an earlier one began.
func (m *modelRun) resumes() bool { return m.route.Resumable && m.call.ResumeAfter != "" }

// streamOf returns the request's stream as one that an attempt has begun.
func (m *modelRun) streamOf(attempt string) streamversions.Stream {
	return streamversions.Stream{Service: m.service, Attempt: attempt, Digest: m.digest}
}

// findSoftware finds the version that the request's stream must go on at. It refuses the request and
// returns false if that is not known or no engine of it is listed.
func (m *modelRun) findSoftware() bool {
	ctx, cancel := context.WithTimeout(m.ctx, lookupTimeout.Duration())
	defer cancel()
	software, err := m.d.opts.StreamVersions.Lookup(ctx, m.streamOf(m.call.Resumed))
	if err != nil {
		m.refusalBasis = err.Error()
		m.respondError(http.StatusServiceUnavailable, reasonVersionUnknown, capacityRetryAfter+jitter(capacityRetryAfter))
		return false
	}
	m.run.Software, m.run.Continues = software, true
	if !m.versionServed() {
		m.refusalBasis = "no engine of version " + software + " is listed"
		m.respondError(http.StatusServiceUnavailable, reasonVersionGone, capacityRetryAfter+jitter(capacityRetryAfter))
		return false
	}
	return true
}

// versionServed reports whether the run may go on at an engine that is listed and that it has not been
// at: after the first event only engines of the software version that wrote it are left.
func (m *modelRun) versionServed() bool {
	return m.run.Software == "" || m.served(m.run.Software)
}

// served reports whether an engine of a version is listed that the run has not been at.
func (m *modelRun) served(software string) bool {
	for _, u := range m.d.opts.Directory.Upstreams(m.service) {
		if u.Role == routing.RoleDecode && u.Software == software && !m.excluded[u.ID] {
			return true
		}
	}
	return false
}

// wantedSoftware returns the version at which the run should be placed; empty if any will do.
func (m *modelRun) wantedSoftware() string {
	if m.prefillResult != nil {
		return m.prefillSoftware
	}
	if m.run.Software != "" || !m.route.Resumable {
		return m.run.Software
	}
	base, ok := m.d.opts.StreamVersions.OnlyWithoutRecord(m.service)
	if !ok || !m.served(base) {
		return ""
	}
	return base
}

// beginStream records the version of the engine that is about to begin the stream, unless an event has
// been forwarded before or nobody may take the stream up.
func (m *modelRun) beginStream(u routing.Upstream) {
	if m.route.Resumable && m.stream.lastEventID == "" {
		m.d.opts.StreamVersions.Begin(m.streamOf(m.call.ID), u.Software)
	}
}

// awaitRecord waits, before the first event is forwarded, until any daemon would find the stream's version.
// The caller gets the event all the same if that takes long.
func (m *modelRun) awaitRecord() {
	if !m.route.Resumable || m.events > 0 || m.call.ResumeAfter != "" {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, recordTimeout.Duration())
	defer cancel()
	_ = m.d.opts.StreamVersions.Recorded(ctx, m.call.ID) // a failure is counted there
}

// endStream records that the caller has the whole stream.
func (m *modelRun) endStream() {
	if m.route.Resumable && m.call.ResumeAfter == "" {
		m.d.opts.StreamVersions.End(m.call.ID)
	}
}
