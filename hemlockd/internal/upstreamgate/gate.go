// Package upstreamgate decides whether this daemon may send an upstream something now, and why not.
// It combines what upstreams say of themselves in their answers: that they shut down, that they want
// nothing from this daemon for a time, and which rate they take from all daemons together. It does
// no I/O and takes the time as an argument.
//
// An upstream that shuts down gets nothing new until another process is listed in its place, whatever
// older or newer lists say of the old one. A pause binds this daemon alone and stops everything,
// health checks included. Rate limits are kept by package upstreamlimits.
//
// # Usage
//
//	g := upstreamgate.New(limits, onChange)
//	g.Observe(answer, now)                      // each answer of an upstream
//	if reason := g.Check(target, now); reason != upstreamgate.Open { ... choose another upstream ... }
//	if reason := g.Take(target, now); reason == upstreamgate.Open { ... send one call ... }
//	servers := upstreamgate.NewServers(client, g, clk) // lets no call pass that the gate stops
package upstreamgate

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// metrics counts the calls that were not sent, by reason, and what upstreams announce.
var metrics = expvar.NewMap("upstreamGate")

// Reason says why nothing may be sent to an upstream. Logs, verdicts and operators see this name.
type Reason string

// The reasons.
const (
	// Open means that a call may be sent.
	Open Reason = ""
	// Leaving means that the upstream's process has said that it shuts down.
	Leaving = Reason(calls.CauseLeaving)
	// Paused means that the upstream has told this daemon to wait.
	Paused = Reason(calls.CausePaused)
	// Limited means that this daemon's share of the upstream's rate limit is used up.
	Limited = Reason(calls.CauseLimited)
)

// LeavingHeader is "1" in the answers of an upstream of the own interface that shuts down.
const LeavingHeader = "Upstream-Leaving"

// ReadNotice returns what an answer of an upstream of the own interface says about calls to it. The
// error is that of [calls.ParsePause].
func ReadNotice(upstream string, status int, header http.Header) (Notice, error) {
	n := Notice{Target: Target{Upstream: upstream}, Leaving: calls.ParseLeaving(header.Values(LeavingHeader))}
	if status != http.StatusServiceUnavailable {
		return n, nil
	}
	var err error
	n.PauseMs, err = calls.ParsePause(header.Values("Retry-After"), time.Now())
	return n, err
}

// problemReasons are the reasons that callers are told if no upstream may be called.
var problemReasons = map[Reason]problem.Reason{
	Limited: problem.UpstreamLimited, Paused: problem.UpstreamsPaused, Leaving: problem.UpstreamsLeaving,
}

// ProblemReason returns the reason that callers are told.
func (r Reason) ProblemReason() problem.Reason { return problemReasons[r] }

// Target is one process of an upstream. Daemons tell each other which of them shut down.
type Target struct {
	// Upstream is the upstream's ID.
	Upstream string `json:"upstream"`
	// StartedMs is the start of its process (Unix ms); 0 where the platform does not tell it.
	StartedMs clock.Millis `json:"startedMs"`
}

// TargetOf returns the process that is listed for an upstream.
func TargetOf(u routing.Upstream) Target { return Target{Upstream: u.ID, StartedMs: u.StartedMs} }

// Gate holds what upstreams say of themselves. It is safe for concurrent use.
type Gate struct {
	// Limits holds the rate limits that upstreams name.
	Limits  *upstreamlimits.Limits
	notices notices
}

// New returns a gate that stops nothing yet. onChange is called, with no lock held, when an upstream
// announces its shutdown or a pause.
func New(limits *upstreamlimits.Limits, onChange func(Notice)) *Gate {
	return &Gate{Limits: limits, notices: newNotices(onChange)}
}

// CheckNotices returns the reason for which nothing at all may be sent to a process now, or Open. It
// leaves rate limits aside, which hold only for requests.
func (g *Gate) CheckNotices(t Target, now clock.Millis) Reason { return g.notices.check(t, now) }

// Check returns the reason for which no request may be sent to a process now, or Open.
func (g *Gate) Check(t Target, now clock.Millis) Reason {
	if reason := g.notices.check(t, now); reason != Open {
		return reason
	}
	if !g.Limits.Ready(t.Upstream, now) {
		return Limited
	}
	return Open
}

// Usable reports whether requests may be sent to a process now, or soon within its rate limit.
func (g *Gate) Usable(t Target, now clock.Millis) bool {
	return g.notices.check(t, now) == Open && g.Limits.HasShare(t.Upstream, now)
}

// Take takes one request to a process from this daemon's share of its rate limit. It must not be sent
// unless Open is returned.
func (g *Gate) Take(t Target, now clock.Millis) Reason {
	reason := g.notices.check(t, now)
	if reason == Open && !g.Limits.Take(t.Upstream, now) {
		reason = Limited
	}
	if reason != Open {
		metrics.Add("stopped "+string(reason), 1)
	}
	return reason
}

const (
	// leavingRetry is when callers should come back if all upstreams shut down: others have to be
	// listed first.
	leavingRetry = 600 * clock.Millisecond
	// minSpread is the shortest span over which callers return after a pause.
	minSpread = 300 * clock.Millisecond
)

// Closed returns the reason for which no request may be sent to any of the processes, and when callers
// should come back: after the soonest end, spread over some time. It returns Open if one of them may be
// called, or if there are none.
func (g *Gate) Closed(targets []Target, now clock.Millis) (reason Reason, retry clock.Millis) {
	var limited []string
	for _, t := range targets {
		switch r := g.Check(t, now); r {
		case Open:
			return Open, 0
		case Limited:
			limited = append(limited, t.Upstream)
			reason = Limited
		case Paused:
			left := g.notices.pauseLeft(t.Upstream, now)
			end := left + clock.Millis(rand.Int64N(int64(max(minSpread, left/2))))
			if retry == 0 || end < retry {
				retry = end
			}
			if reason != Limited {
				reason = Paused
			}
		case Leaving:
			if reason == Open {
				reason = Leaving
			}
		}
	}
	if len(limited) > 0 {
		if soonest := g.Limits.Retry(limited, now); retry == 0 || soonest < retry {
			retry = soonest
		}
	}
	if reason == Leaving {
		retry = leavingRetry + clock.Millis(rand.Int64N(int64(leavingRetry)))
	}
	return reason, retry
}

// Summary describes why processes may not be called now, as the basis of a refusal.
func (g *Gate) Summary(targets []Target, now clock.Millis) string {
	var texts, limited []string
	for _, t := range targets {
		switch reason := g.Check(t, now); reason {
		case Leaving:
			texts = append(texts, fmt.Sprintf("%s: leaving", t.Upstream))
		case Paused:
			texts = append(texts, fmt.Sprintf("%s: paused for another %d ms", t.Upstream, g.notices.pauseLeft(t.Upstream, now)))
		case Limited:
			limited = append(limited, t.Upstream)
		}
	}
	if len(limited) > 0 {
		texts = append(texts, g.Limits.Summary(limited, now))
	}
	return strings.Join(texts, "; ")
}
