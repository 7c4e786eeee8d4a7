package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"io"
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
)

// Reasons of refusals and failures that this package gives.
const (
	reasonNoConfig    = "noConfiguration"
	reasonNoRoute     = "noRoute"
	reasonBadRequest  = "badRequest"
	reasonTooLarge    = "tooLarge"
	reasonNoUpstream  = "noUpstream"
	reasonNoRoom      = "noRoom"
	reasonBusy        = "upstreamsBusy"
	reasonSuspect     = "crashSuspect"
	reasonShutdown    = "shuttingDown"
	reasonTimeout     = "timeout"
	reasonUnknown     = "outcomeUnknown"
	reasonCallerGone  = "callerGone"
	reasonStreamCut   = "streamCut"
	reasonServed      = "served"
	reasonUnreachable = "upstreamsUnreachable"
)

const (
	// defaultBodyBytes bounds a body where the configuration doesn't.
	defaultBodyBytes = 4 << 20
	// firstTableWait is how long a request waits at a daemon that has not got a
	// configuration yet; firstTablePause is the time between two looks.
	firstTableWait  = 500 * clock.Millisecond
	firstTablePause = 20 * clock.Millisecond
)

// exchange is one request of a caller with its answer.
type exchange struct {
	d         *Dispatcher
	w         http.ResponseWriter
	r         *http.Request
	call      *calls.Call
	arrivedMs clock.Millis
	route     *routing.Route
	service   string
	version   int64
	limitMs   clock.Millis // the answer is due this long after arrival
	digest    string
	// outcome is what is known of the call at upstreams so far.
	outcome  calls.Outcome
	attempts []verdict.Attempt
	answered bool // the head of an answer has been written
	status   int
	reason   string
	waitedMs clock.Millis
	// basis says on what a refusal for want of room was decided.
	basis string
	// forecast is the part of its engine's memory that was forecast to be needed
	// when the request was last given a place there; 0: it never was.
	forecast float64
}

func (x *exchange) now() clock.Millis { return x.d.o.Clock.Now() }

func (x *exchange) leftMs() clock.Millis { return x.arrivedMs + x.limitMs - x.now() }

// serve takes the request to its answer.
func (x *exchange) serve() {
	table := x.d.awaitTable(x.r.Context())
	if table == nil {
		x.refuse(http.StatusServiceUnavailable, reasonNoConfig, clock.Second)
		return
	}
	x.version = table.Config.Version
	route, ok := table.Match(x.call.Host, x.call.Path)
	if !ok {
		x.refuse(http.StatusNotFound, reasonNoRoute, 0)
		return
	}
	x.route, x.service = route, route.PickService(rand.Float64())
	x.limitMs = route.TimeoutMs
	if x.call.TimeoutMs > 0 {
		x.limitMs = min(x.limitMs, x.call.TimeoutMs)
	}
	if !x.readBody(table.Config.Limits) {
		return
	}
	if x.call.ID == "" {
		x.refuse(http.StatusBadRequest, reasonBadRequest, 0)
		return
	}
	x.digest = digest(x.call)
	if until, refused := x.d.o.Suspects.Refused(x.digest, x.now()); refused {
		x.refuse(http.StatusServiceUnavailable, reasonSuspect, until-x.now())
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), x.leftMs().Duration())
	defer cancel()
	x.d.o.Retries.RecordRequest(x.service, x.now())
	engine := table.Config.Services[x.service].Engine
	if route.Kind == routing.Streaming && engine != nil && x.call.Prompt != nil {
		m := &modelRun{exchange: x, ctx: ctx, spec: engine, not: map[string]bool{}}
		m.serve()
		return
	}
	x.servePlain(ctx)
}

// awaitTable returns the routes in force. A daemon that has just started waits
// a little for them.
func (d *Dispatcher) awaitTable(ctx context.Context) *routing.Table {
	for end := d.o.Clock.Now() + firstTableWait; d.o.Clock.Now() < end; {
		if d.o.Directory.Ready() {
			break
		}
		if !clock.Pause(ctx, firstTablePause) {
			break
		}
	}
	return d.o.Directory.Table()
}

// digest identifies what a caller wants, whichever attempt it is.
func digest(call *calls.Call) string {
	h := xxhash.New()
	_, _ = h.WriteString(call.Method + "\x00" + call.Host + "\x00" + call.Target + "\x00")
	_, _ = h.Write(call.Body)
	return strconv.FormatUint(h.Sum64(), 36)
}

// readBody reads the request's body; it answers itself where that fails.
func (x *exchange) readBody(limits routing.Limits) bool {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
	case err != nil:
		x.refuse(http.StatusBadRequest, reasonBadRequest, 0)
	}
	x.call.Body = body
	return err == nil
}

// callerGone tells whether nobody waits for the answer any more.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil }

// refuse answers with a status of our own. A status that promises that the
// request has not run is given only where that is known.
func (x *exchange) refuse(status int, reason string, retryMs clock.Millis) {
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

func (x *exchange) ran() problem.Ran {
	switch x.outcome {
	case calls.NotRun:
		return problem.RanNo
	case calls.Ran:
		return problem.RanYes
	}
	return problem.RanUnknown
}

// fail answers where no upstream has brought an answer and none will.
func (x *exchange) fail(reason string, retryMs clock.Millis) {
	if x.outcome == calls.NotRun {
		x.refuse(http.StatusServiceUnavailable, reason, retryMs)
		return
	}
	if x.leftMs() <= 0 {
		x.refuse(http.StatusGatewayTimeout, reasonTimeout, 0)
		return
	}
	x.refuse(http.StatusBadGateway, reasonUnknown, 0)
}

func (x *exchange) closeIfDraining() {
	if _, yes := x.d.draining(); yes {
		x.w.Header().Set("Connection", "close")
	}
}

// writeHead hands on the head of an upstream's answer.
func (x *exchange) writeHead(reply *calls.Reply) {
	header := x.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // or the library guesses one
	}
	x.closeIfDraining()
	x.answered, x.status, x.reason = true, reply.Status, reasonServed
	x.w.WriteHeader(reply.Status)
}

// cut ends the caller's connection in the middle of an answer, so that it does
// not look complete.
func (x *exchange) cut(reason string) {
	x.reason = reason
	panic(http.ErrAbortHandler)
}

// record takes in how an attempt ended.
func (x *exchange) record(upstream string, phase calls.Phase, startMs clock.Millis, err error) *calls.Error {
	a := verdict.Attempt{Upstream: upstream, Phase: string(phase), Result: calls.Ran, StartMs: startMs, EndMs: x.now()}
	var failed *calls.Error
	if errors.As(err, &failed) {
		a.Result, a.Cause = failed.Outcome, string(failed.Cause)
	}
	if phase == calls.PhasePrefill {
		a.Result = calls.NotRun // reading a prompt does not run it
	}
	x.attempts = append(x.attempts, a)
	if a.Result != calls.NotRun && x.outcome != calls.Ran {
		x.outcome = a.Result
	}
	return failed
}

// conclude records what became of the request: its verdict, one line of the log
// and the latency.
func (x *exchange) conclude() {
	end := x.now()
	v := verdict.Verdict{
		RequestID: x.call.ID, Target: x.service, Outcome: x.verdictOutcome(), Ran: x.ran(), Reason: problem.Reason(x.reason),
		Status: x.status, SettingsVersion: x.version, Daemon: x.d.o.Name, DataCentre: x.d.o.DataCentre,
		StartMs: x.arrivedMs, EndMs: end, Attempts: x.attempts,
	}
	x.d.o.Verdicts.Record(v)
	metrics.Add("request "+x.reason, 1)
	x.d.latencies.record(x, end)
	served := x.reason == reasonServed && x.status < http.StatusInternalServerError
	if !x.d.lines.allow(served) {
		metrics.Add("linesLeftOut", 1)
		return
	}
	fields := []zap.Field{
		zap.String("request", x.call.ID), zap.String("reason", x.reason), zap.Int("status", x.status),
		zap.String("ran", string(v.Ran)), zap.Int64("version", x.version), zap.Int64("startMs", int64(x.arrivedMs)),
		zap.Int64("tookMs", int64(end-x.arrivedMs)),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service))
	}
	if x.waitedMs > 0 {
		fields = append(fields, zap.Int64("waitedMs", int64(x.waitedMs)))
	}
	if x.forecast > 0 {
		fields = append(fields, zap.Float64("forecast", x.forecast))
	}
	if x.basis != "" {
		fields = append(fields, zap.String("basis", x.basis))
	}
	if len(x.attempts) > 0 {
		fields = append(fields, zap.Any("attempts", x.attempts))
	}
	x.d.o.Log.Info("request", fields...)
}

func (x *exchange) verdictOutcome() verdict.Outcome {
	switch x.outcome {
	case calls.NotRun:
		return verdict.Refused
	case calls.Ran:
		return verdict.Run
	}
	return verdict.Unknown
}
