package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/prompts"
)

// Reasons recorded for requests, and sent to callers with refusals and failures.
const (
	reasonNoConfig   = "noConfiguration"
	reasonNoRoute    = "noRoute"
	reasonBadRequest = "badRequest"
	reasonTooLarge   = "tooLarge"
	reasonNoMemory   = "noMemory"
	// The body has not come before the answer was due.
	reasonUploadTimeout = "uploadTimeout"
	reasonNoUpstream    = "noUpstream"
	reasonNoCapacity    = "noRoom"
	reasonBusy          = "upstreamsBusy"
	reasonSuspect       = "crashSuspect"
	reasonShutdown      = "shuttingDown"
	reasonTimeout       = "timeout"
	reasonUnknown       = "outcomeUnknown"
	reasonCallerGone    = "callerGone"
	reasonStreamCut     = "streamCut"
	reasonServed        = "served"
	reasonUnreachable   = "upstreamsUnreachable"
	reasonInternal      = "internal"
	reasonPart          = "crashingPart"
	// The software version that began the stream is not known, or none of its engines is left.
	reasonVersionUnknown = "streamVersionUnknown"
	reasonVersionGone    = "streamVersionGone"
)

const (
	// defaultMaxBodyBytes limits the body of a request if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// initialTableTimeout is how long a request waits at a daemon that is not ready
	// yet, because it has just started.
	initialTableTimeout = 500 * clock.Millisecond
	// tablePollInterval is the interval at which such a request checks again.
	tablePollInterval = 20 * clock.Millisecond
)

// exchange is one request of a caller with its answer.
type exchange struct {
	d         *Dispatcher
	w         http.ResponseWriter
	r         *http.Request
	call      *calls.Call
	arrivedMs clock.Millis
	route     *routing.Route // nil until the route is known
	service   string
	// configVersion is the version of the configuration that the request is served by.
	configVersion int64
	timeoutMs     clock.Millis // limits the time from the arrival to the end of the answer
	digest        string       // identifies the request, see digest
	// outcome says whether an upstream has run the call, as far as is known.
	outcome     calls.Outcome
	attempts    []verdict.Attempt
	answered    bool // the header of an answer has been written
	status      int
	reason      string
	queueTimeMs clock.Millis // the time spent waiting for an engine
	// refusalBasis describes the state on which a refusal for lack of capacity was
	// based.
	refusalBasis string
	// forecastUse is the fraction of the engine's memory that was forecast to be in use
	// when the request was last placed; 0 if it was never placed.
	forecastUse float64
	// blame is set if the request is refused because of a part of its prompt.
	blame *prompts.Refusal
	// tryingPart is true if the request tries a blamed part again.
	tryingPart bool
	// closedSkipped is true if an upstream was passed over because it may not be called now.
	closedSkipped bool
	// events is the number of stream events forwarded.
	events int
	// neededMs and leftMs are the time that the request was expected to take and the time until the daemon's
	// exit when it was admitted or refused during the shutdown; 0 otherwise.
	neededMs, leftMs clock.Millis
	// uploadCut is set if the reading of the body has been ended, by the shutdown or since the answer was due, or was
	// about to be. The request's context may be done then, though the caller is there.
	uploadCut bool
	// silentMs is the time without an event before the last stream that ended early.
	silentMs clock.Millis
}

func (x *exchange) now() clock.Millis { return x.d.opts.Clock.Now() }

// dueMs returns when the answer is due.
func (x *exchange) dueMs() clock.Millis { return x.arrivedMs + x.timeoutMs }

// remainingMs returns the time until the answer is due, or the daemon exits.
func (x *exchange) remainingMs() clock.Millis {
	due := x.dueMs()
	if until, draining := x.d.draining(); draining {
		due = min(due, until-exitMargin)
	}
	return due - x.now()
}

// serve checks the request and answers it.
func (x *exchange) serve() {
	table := x.d.awaitTable(x.r.Context())
	if table == nil {
		x.respondError(http.StatusServiceUnavailable, reasonNoConfig, clock.Second)
		return
	}
	x.configVersion = table.Config.Version
	route, ok := table.Match(x.call.Host, x.call.Path)
	if !ok {
		x.respondError(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	x.route, x.service = route, route.PickService(rand.Float64())
	x.timeoutMs = route.TimeoutMs
	if x.call.TimeoutMs > 0 {
		x.timeoutMs = min(x.timeoutMs, x.call.TimeoutMs)
	}
	if !x.readBody(table.Config.Limits) {
		return
	}
	if x.call.ID == "" {
		x.respondError(http.StatusBadRequest, reasonBadRequest, 0)
		return
	}
	x.digest = digest(x.call)
	if until, refused := x.d.opts.Suspects.Refused(x.digest, x.now()); refused {
		x.respondError(http.StatusServiceUnavailable, reasonSuspect, until-x.now())
		return
	}
	if x.blamed() {
		x.respondError(http.StatusServiceUnavailable, reasonPart, x.blame.RetryAfterMs)
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), (x.dueMs() - x.now()).Duration()) // the time of the exit may still change
	defer cancel()
	defer context.AfterFunc(x.d.exiting, cancel)()
	x.d.opts.Retries.RecordRequest(x.service, x.now())
	engine := table.Config.Services[x.service].Engine
	if route.Kind == routing.Streaming && engine != nil && x.call.Prompt != nil {
		m := &modelRun{exchange: x, ctx: ctx, spec: engine, excluded: map[string]bool{}}
		m.serve()
		return
	}
	x.servePlain(ctx)
}

// awaitTable returns the current routes, or nil if there are none. If the daemon is
// not ready yet, it waits up to initialTableTimeout.
func (d *Dispatcher) awaitTable(ctx context.Context) *routing.Table {
	for end := d.opts.Clock.Now() + initialTableTimeout; d.opts.Clock.Now() < end; {
		if d.opts.Directory.Ready() {
			break
		}
		if !clock.Sleep(ctx, tablePollInterval) {
			break
		}
	}
	return d.opts.Directory.Table()
}

// digest returns a hash of the request that is the same for all attempts of it.
func digest(call *calls.Call) string {
	h := xxhash.New()
	_, _ = h.WriteString(call.Method + "\x00" + call.Host + "\x00" + call.Target + "\x00")
	_, _ = h.Write(call.Body)
	return strconv.FormatUint(h.Sum64(), 36)
}

// callerGone reports whether the caller has stopped waiting for the answer. When the daemon exits, it ends the writes to
// callers that don't read: their contexts are done then, too.
func (x *exchange) callerGone() bool {
	return x.r.Context().Err() != nil && !x.uploadCut && !x.cutByShutdown()
}

// respondError answers the caller with a problem document, unless the caller is gone.
// A status of 429 or 503 tells the caller that the request was not run; if that is
// not certain, it is replaced by 502.
func (x *exchange) respondError(status int, reason string, retryMs clock.Millis) {
	if x.outcome != calls.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway
	}
	x.status, x.reason = status, reason
	if x.callerGone() {
		x.reason = reasonCallerGone
		return
	}
	x.answered = true
	header := x.w.Header()
	x.closeIfDraining()
	header.Set("Content-Type", problem.ContentType)
	if status == http.StatusServiceUnavailable && retryMs > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(retryMs)/float64(clock.Second), 'f', 3, 64))
	}
	x.w.WriteHeader(status)
	body := problem.Problem{Title: reason, Status: status, Reason: problem.Reason(reason), Ran: x.ran(), RequestID: x.call.ID}
	if err := json.NewEncoder(x.w).Encode(body); err != nil {
		x.reason = reasonCallerGone
	}
}

// ran converts the outcome to the value that callers are told.
func (x *exchange) ran() problem.Ran {
	switch x.outcome {
	case calls.NotRun:
		return problem.RanNo
	case calls.Ran:
		return problem.RanYes
	}
	return problem.RanUnknown
}

// respondFailure answers the caller after all attempts at upstreams have failed. The
// reason and the retry time are used only if the request was not run.
func (x *exchange) respondFailure(reason string, retryMs clock.Millis) {
	if x.outcome == calls.NotRun {
		x.respondError(http.StatusServiceUnavailable, reason, retryMs)
		return
	}
	if x.remainingMs() <= 0 {
		x.respondError(http.StatusGatewayTimeout, reasonTimeout, 0)
		return
	}
	x.respondError(http.StatusBadGateway, reasonUnknown, 0)
}

// closeIfDraining asks the caller to close the connection if the daemon is shutting
// down.
func (x *exchange) closeIfDraining() {
	if _, draining := x.d.draining(); draining {
		x.w.Header().Set("Connection", "close")
	}
}

// writeHeader forwards the status and header of an upstream's answer.
func (x *exchange) writeHeader(reply *calls.Reply) {
	header := x.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	x.closeIfDraining()
	x.answered, x.status, x.reason = true, reply.Status, reasonServed
	x.w.WriteHeader(reply.Status)
}

// abort closes the caller's connection in the middle of an answer, so that the caller
// can tell that the answer is incomplete.
func (x *exchange) abort(reason string) {
	x.reason = reason
	panic(http.ErrAbortHandler)
}

// answerPanic answers a request whose handling panicked, if nothing of an answer has been
// sent. Otherwise the connection is closed, as by abort.
func (x *exchange) answerPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	metrics.Add("panics", 1)
	x.d.opts.Log.Error("handling a request panicked", zap.String("request", x.call.ID), zap.Any("cause", cause), zap.Stack("stack"))
	if x.answered {
		x.abort(reasonInternal)
	}
	x.outcome = calls.Unknown
	x.respondError(http.StatusInternalServerError, reasonInternal, 0)
}

// recordAttempt adds a finished attempt to the request's verdict and updates the
// outcome. It returns the *calls.Error in err, or nil.
func (x *exchange) recordAttempt(upstream string, phase calls.Phase, startMs clock.Millis, err error) *calls.Error {
	a := verdict.Attempt{Upstream: upstream, Software: x.softwareOf(upstream), Phase: string(phase), Result: calls.Ran, StartMs: startMs, EndMs: x.now()}
	var failed *calls.Error
	if errors.As(err, &failed) {
		a.Result, a.Cause = failed.Outcome, string(failed.Cause)
	}
	if phase == calls.PhasePrefill {
		a.Result = calls.NotRun // a prefill alone does not run the request
	}
	x.attempts = append(x.attempts, a)
	if a.Result != calls.NotRun && x.outcome != calls.Ran {
		x.outcome = a.Result
	}
	return failed
}

// upstream returns the upstream of the request's service with the id, if it is listed.
func (x *exchange) upstream(id string) (routing.Upstream, bool) {
	for _, u := range x.d.opts.Directory.Upstreams(x.service) {
		if u.ID == id {
			return u, true
		}
	}
	return routing.Upstream{}, false
}

// softwareOf returns the version of an upstream's software; empty if the upstream is not listed.
func (x *exchange) softwareOf(id string) string {
	u, _ := x.upstream(id)
	return u.Software
}

// conclude records the end of the request: its verdict, a log line and the metrics.
func (x *exchange) conclude() {
	end := x.now()
	v := verdict.Verdict{
		RequestID: x.call.ID, Target: x.service, Outcome: x.verdictOutcome(), Ran: x.ran(), Reason: problem.Reason(x.reason),
		Status: x.status, SettingsVersion: x.configVersion, Daemon: x.d.opts.Name, DataCentre: x.d.opts.DataCentre,
		StartMs: x.arrivedMs, EndMs: end, Attempts: x.attempts,
	}
	x.d.opts.Verdicts.Record(v)
	metrics.Add("request "+x.reason, 1)
	duringShutdown := x.noteShutdown()
	x.d.latencies.recordRequest(x, end)
	served := x.reason == reasonServed && x.status < http.StatusInternalServerError
	if !x.cutByShutdown() && !x.d.logLimits.allow(served) {
		metrics.Add("linesLeftOut", 1)
		return
	}
	fields := []zap.Field{
		zap.String("request", x.call.ID), zap.String("reason", x.reason), zap.Int("status", x.status),
		zap.String("ran", string(v.Ran)), zap.Int64("version", x.configVersion), zap.Int64("startMs", int64(x.arrivedMs)),
		zap.Int64("tookMs", int64(end-x.arrivedMs)),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service))
	}
	if x.queueTimeMs > 0 {
		fields = append(fields, zap.Int64("waitedMs", int64(x.queueTimeMs)))
	}
	if x.forecastUse > 0 {
		fields = append(fields, zap.Float64("forecast", x.forecastUse))
	}
	if x.events > 0 {
		fields = append(fields, zap.Int("events", x.events))
	}
	if x.call.ResumeAfter != "" {
		fields = append(fields, zap.String("resumes", x.call.Resumed), zap.String("after", x.call.ResumeAfter))
	}
	fields = append(fields, duringShutdown...)
	if x.silentMs > 0 {
		fields = append(fields, zap.Int64("silentMs", int64(x.silentMs)))
	}
	if x.blame != nil {
		fields = append(fields, zap.String("part", x.blame.Part))
	}
	if x.tryingPart {
		fields = append(fields, zap.Bool("tryingPart", true))
	}
	if x.refusalBasis != "" {
		fields = append(fields, zap.String("basis", x.refusalBasis))
	}
	if len(x.attempts) > 0 {
		fields = append(fields, zap.Any("attempts", x.attempts))
	}
	x.d.opts.Log.Info("request", fields...)
}

func (x *exchange) verdictOutcome() verdict.Outcome {
	switch x.outcome {
	case calls.NotRun:
		return verdict.OutcomeRefused
	case calls.Ran:
		return verdict.OutcomeRun
	}
	return verdict.OutcomeUnknown
}
