package callers

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/handoff"
	"hemlockmux.example/hemlockd/internal/intake"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/services"
)

const (
	// writeTimeout bounds a write to a caller; a caller that reads nothing for that
	// long is treated as disconnected.
	writeTimeout = 20 * clock.Second
	// deadlineRenewInterval is the minimum time between two renewals of the write
	// deadline.
	deadlineRenewInterval = clock.Second
	// defaultMaxTokens is the maximum number of output tokens of a request that does
	// not set max_tokens.
	defaultMaxTokens = 128
	// parsedBodyFactor times the length of a body is what it takes with its parsed form.
	parsedBodyFactor = 3
	// maxHandOffs bounds the number of daemons that are tried in turn for one request.
	maxHandOffs = 3
)

// model serves a completions request.
func (e *exchange) model() *problem.Problem {
	body, p := e.readBody()
	if p != nil {
		return p
	}
	call, req, p := e.modelCall(body)
	if p != nil {
		return p
	}
	if until, refused := e.c.Suspects.Refused(call.Digest, call.ArrivedMs); refused {
		return keeper.CrashSuspectProblem(until - call.ArrivedMs)
	}
	if p := e.c.Keeper.CheckParts(&call, true); p != nil {
		return p
	}
	if p := e.shutdownRefusal(func() clock.Millis { return e.c.Keeper.Longest(e.tree, call) }); p != nil {
		return p
	}
	release, p := e.admit()
	if p != nil {
		return p
	}
	defer release()
	var sink sink = &bufferedSink{exchange: e, chat: call.Path == completions.ChatPath}
	if req.Stream {
		sink = &streamSink{exchange: e}
	}
	result := e.runModel(call, sink)
	e.verdict.Attempts = result.Attempts
	if result.Problem != nil {
		result.Problem.Ran = result.Ran
		return result.Problem
	}
	return sink.end()
}

// readBody reads the request's body, which is limited in size by the settings.
func (e *exchange) readBody() ([]byte, *problem.Problem) {
	limit := e.tree.System.Policy.MaxBodyBytes
	ended := e.c.env.Shutdown.Ended()
	_ = e.controller.SetReadDeadline(time.Now().Add(e.c.env.Config.BodyTimeoutMs.Duration())) // fails only if the connection is closed
	defer func() { _ = e.controller.SetReadDeadline(time.Time{}) }()
	defer context.AfterFunc(ended, func() { _ = e.controller.SetReadDeadline(time.Now()) })()
	body, err := intake.ReadBody(e.r.Context(), http.MaxBytesReader(e.w, e.r.Body, limit), e.r.ContentLength, limit)
	if err == nil && !intake.Of(e.r.Context()).TakeBody(parsedBodyFactor*int64(len(body))) {
		err = intake.ErrNoMemory
	}
	if err != nil {
		e.w.Header().Set("Connection", "close") // the body may not have been read to its end
	}
	if errors.Is(err, intake.ErrNoMemory) {
		return nil, noMemory()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	if err != nil && ended.Err() != nil {
		return nil, process.ShutdownProblem(0, 0)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, problem.New(problem.UploadTimeout, "the body has not come within %d ms", e.c.env.Config.BodyTimeoutMs)
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, "the body could not be read completely: %v", err)
	}
	return body, nil
}

// modelCall validates a completions request and converts it to a call.
func (e *exchange) modelCall(body []byte) (keeper.Call, completions.Request, *problem.Problem) {
	var req completions.Request
	bad := func(format string, args ...any) (keeper.Call, completions.Request, *problem.Problem) {
		return keeper.Call{}, req, problem.New(problem.BadRequest, format, args...)
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return bad("the body is not a JSON object of the completions format: %v", err)
	}
	model, ok := e.tree.System.Models[req.Model]
	if !ok {
		return keeper.Call{}, req, problem.New(problem.UnknownModel, "there is no model %q; set model to one of %v", req.Model, e.team.Models)
	}
	e.verdict.Target = req.Model
	if !slices.Contains(e.team.Models, req.Model) {
		return keeper.Call{}, req, problem.New(problem.NotAllowed, "team %q may not use model %q", e.verdict.Team, req.Model)
	}
	text, err := req.Text()
	if err != nil {
		return bad("%v", err)
	}
	if req.N > 1 {
		return bad("n is %d; only 1 is supported", req.N)
	}
	if req.MaxTokens < 0 || req.MaxTokens > model.MaxTokens {
		return bad("max_tokens is %d; use 1 to %d", req.MaxTokens, model.MaxTokens)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = min(defaultMaxTokens, model.MaxTokens)
		if body, err = completions.ReplaceMembers(body, map[string]any{"max_tokens": req.MaxTokens}); err != nil {
			return bad("%v", err)
		}
	}
	call := keeper.Call{
		RequestID: e.id, Team: e.verdict.Team, Model: req.Model, Path: e.r.URL.Path, Priority: e.team.Priority,
		PromptTokens: prefix.EstimateTokens(text), OutputTokens: req.MaxTokens, ArrivedMs: e.verdict.StartMs,
		Front: e.c.env.RunID(), FrontDataCentre: e.c.env.Config.DataCentre, SettingsVersion: e.verdict.SettingsVersion, Buffered: !req.Stream,
		Digest:       services.Digest(e.verdict.Team, e.r.URL.Path, body),
		PrefixHashes: prefix.BlockHashes(text, model.PieceTokens), SharedParts: req.SharedParts(), Body: body,
	}
	return call, req, nil
}

// runModel tries the candidates in turn until one of them runs the call.
func (e *exchange) runModel(call keeper.Call, sink sink) keeper.Result {
	candidates := e.modelCandidates(call)
	result := keeper.Result{Ran: problem.RanNo, Problem: problem.New(problem.NoUpstream,
		"no engine that the team may use serves model %q", call.Model).WithRetryAfter(clock.Second)}
	if len(candidates) == 0 && e.hasEngines(call) {
		result.Problem = problem.New(problem.DataCentreOutOfReach,
			"no daemon of a data centre with engines for model %q can be reached", call.Model).WithRetryAfter(clock.Second)
	}
	var attempts []verdict.Attempt
	ran := problem.RanNo
	for i, candidate := range candidates {
		if i >= maxHandOffs || i > 0 && sink.started() {
			break
		}
		result = e.runModelAt(candidate, call, sink)
		attempts = append(attempts, result.Attempts...)
		if result.Problem != nil && result.Ran == problem.RanNo {
			result.Ran = ran // an earlier candidate may have run it
		}
		ran = result.Ran
		if e.r.Context().Err() != nil || !canRunElsewhere(result) || call.TryingPart && result.Ran != problem.RanNo {
			break
		}
	}
	result.Attempts = attempts
	return result
}

// canRunElsewhere reports whether another candidate may run the call after this
// result. Calls to models may be repeated, so a daemon that was lost during the run
// does not prevent a retry as long as the caller has received nothing of the response.
func canRunElsewhere(result keeper.Result) bool {
	if result.Problem == nil {
		return false
	}
	switch result.Problem.Reason {
	case problem.DaemonLost:
		return true
	case problem.NoUpstream, problem.NotReady, problem.DataCentreOutOfReach:
		return result.Ran == problem.RanNo
	}
	return false
}

func (e *exchange) runModelAt(at candidate, call keeper.Call, sink sink) keeper.Result {
	local, sameDataCentre := at.daemon == e.c.env.Config.Name, at.dataCentre == e.c.env.Config.DataCentre
	e.c.Verdicts.SetCopiedElsewhere(e.id, sameDataCentre && !local)
	if local {
		return e.runModelHere(call, sink)
	}
	address, ok := e.c.Daemons.Address(at.daemon)
	if !ok {
		return daemonLostResult(at, verdict.AttemptNotRun, "daemon "+at.daemon+" is not a known member")
	}
	ctx := e.r.Context()
	call.LeftMs = e.leftMs()
	if call.LeftMs == 0 {
		defer e.c.env.Shutdown.AfterBegin(func() { e.c.HandOff.Bound(ctx, address, e.id, e.leftMs()) })()
	}
	result, err := e.c.HandOff.RunModel(ctx, address, call, sink.writeChunks)
	if err == nil {
		if result.Inferred {
			e.c.Verdicts.SetCopiedElsewhere(e.id, false)
		}
		return result
	}
	var noResult *handoff.NoResultError
	if ctx.Err() == nil && errors.As(err, &noResult) {
		return daemonLostResult(at, noResult.Result, noResult.Err.Error())
	}
	if process.HasEnded(ctx) {
		go e.cancelAt(address) // the answer waits for nothing else
	} else {
		e.cancelAt(address)
	}
	var bad *chunkError
	if errors.As(err, &bad) {
		return bad.result([]verdict.Attempt{{Upstream: at.daemon, Phase: "handOff", Result: verdict.AttemptRan, Cause: bad.Error()}})
	}
	return goneResult(ctx)
}

// cancelAt asks the daemon that runs the call to cancel it because its answer is no longer
// wanted.
func (e *exchange) cancelAt(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
	defer cancel()
	e.c.HandOff.Cancel(ctx, address, e.id)
}

// goneResult returns the result of a run that was ended for its caller has left, or because this daemon exits.
func goneResult(ctx context.Context) keeper.Result {
	p := problem.New(problem.CallerGone, "the caller disconnected before the response was complete").WithRan(problem.RanUnknown)
	p = process.CutOff(ctx, p)
	return keeper.Result{Problem: p, Ran: problem.RanUnknown}
}

func daemonLostResult(at candidate, result verdict.AttemptResult, cause string) keeper.Result {
	ran := verdict.CombineRan([]verdict.Attempt{{Result: result}})
	p := problem.New(problem.DaemonLost, "the daemon in %s that was to run the request gave no result", at.dataCentre)
	return keeper.Result{
		Problem: p.WithRan(ran).WithRetryAfter(clock.Second), Ran: ran,
		Attempts: []verdict.Attempt{{Upstream: at.daemon, Phase: "handOff", Result: result, Cause: cause}},
	}
}

func (e *exchange) runModelHere(call keeper.Call, sink sink) keeper.Result {
	run, p := e.c.Keeper.Begin(call)
	if p != nil {
		return keeper.Result{Problem: p, Ran: p.Ran}
	}
	defer run.Cancel()
	ctx, cancel := context.WithCancel(e.r.Context())
	defer cancel()
	var bad *chunkError
	for chunks := range run.Chunks(ctx, 0) {
		if err := sink.writeChunks(chunks); err != nil {
			errors.As(err, &bad)
			break
		}
	}
	if result := run.Result(); result != nil && bad == nil {
		return *result
	}
	// The answer is no longer wanted: cancel the run and wait for its end. Its result
	// states whether an engine ran the call.
	run.Cancel()
	for range run.Chunks(context.Background(), 0) {
		continue
	}
	result := run.Result()
	if bad != nil {
		return bad.result(result.Attempts)
	}
	if result.Problem != nil {
		return *result
	}
	return goneResult(ctx)
}
