package callers

import (
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/handoff"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/services"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// handOffReserve is added to a service's timeout for the transfer to another
	// daemon and back, and for the placement's record.
	handOffReserve = 8 * clock.Second
)

// service serves a call to a plain service.
func (e *exchange) service() *problem.Problem {
	body, p := e.readBody()
	if p != nil {
		return p
	}
	call, p := e.serviceCall(body)
	if p != nil {
		return p
	}
	longest := func() clock.Millis {
		return services.Longest(e.c.env.Config, e.tree.System.Services[call.Service], call)
	}
	if p := e.shutdownRefusal(longest); p != nil {
		return p
	}
	release, p := e.admit()
	if p != nil {
		return p
	}
	defer release()
	out := e.runService(call)
	e.verdict.Attempts, e.verdict.Replayed = out.Attempts, out.Replayed
	if out.Problem != nil {
		return out.Problem
	}
	if out.Replayed {
		e.w.Header().Set("Idempotency-Replayed", "true")
	}
	for key, values := range out.Answer.Header {
		e.w.Header()[key] = values
	}
	if out.Answer.Unframed {
		// Makes net/http mark the end of the body by that of the connection too.
		e.w.Header().Set("Transfer-Encoding", "identity")
	}
	e.succeed(out.Answer.Status)
	e.writeResponse(out.Answer.Status, out.Answer.Body)
	return nil
}

// serviceCall validates a request and converts it to a call to a plain service.
func (e *exchange) serviceCall(body []byte) (services.Call, *problem.Problem) {
	name := chi.URLParam(e.r, "service")
	service, ok := e.tree.System.Services[name]
	if !ok {
		return services.Call{}, problem.New(problem.UnknownService, "there is no service %q; the team may use %v", name, e.team.Services)
	}
	e.verdict.Target = name
	if !slices.Contains(e.team.Services, name) {
		return services.Call{}, problem.New(problem.NotAllowed, "team %q may not use service %q", e.verdict.Team, name)
	}
	path := strings.TrimPrefix(e.r.URL.EscapedPath(), "/services/"+name)
	if e.r.URL.RawQuery != "" {
		path += "?" + e.r.URL.RawQuery
	}
	call := services.Call{
		RequestID: e.id, Team: e.verdict.Team, Service: name, Method: e.r.Method, Path: path,
		Header: e.r.Header.Clone(), Body: body, Digest: services.Digest(e.r.Method, path, body),
	}
	call.Header.Del("Authorization")
	if services.Idempotent(call.Method, service) {
		return call, nil
	}
	call.Key = e.r.Header.Get("Idempotency-Key")
	if call.Key == "" {
		return call, problem.New(problem.IdempotencyKeyMissing, "this call to service %q is not idempotent: send an Idempotency-Key header with a unique key", name)
	}
	if len(call.Key) > maxKeyBytes {
		return call, problem.New(problem.BadRequest, "the Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	return call, nil
}

// runService runs a call here if a usable instance of the service is in this data
// centre. Otherwise it hands the call off to daemons of other data centres with
// instances, the nearest first.
func (e *exchange) runService(call services.Call) services.Outcome {
	dcs := e.dataCentres(func(name string, u settings.Upstream) bool {
		return u.Kind == settings.KindService && u.Service == call.Service && e.team.MayUse(name, u)
	})
	own := e.c.env.Config.DataCentre
	out := services.Outcome{Problem: problem.New(problem.NoUpstream, "no instance of service %q is reachable", call.Service).WithRetryAfter(clock.Second)}
	for _, dc := range dcs {
		if dc == own {
			if e.c.Services.Available(e.tree, call) {
				return e.c.Services.Run(e.r.Context(), call)
			}
			continue
		}
		if next := e.handOffService(dc, call, &out); !next {
			return out
		}
	}
	return out
}

// handOffService hands a call off to a daemon of another data centre. next reports
// that the call was not run there, so that another data centre may be tried.
func (e *exchange) handOffService(dc string, call services.Call, out *services.Outcome) (next bool) {
	daemon := membership.Owner(call.RequestID, e.c.Daemons.Live(dc))
	address, ok := e.c.Daemons.Address(daemon)
	if !ok {
		return true
	}
	timeout := e.tree.System.Services[call.Service].TimeoutMs + handOffReserve
	result, err := e.c.HandOff.RunService(e.r.Context(), address, call, timeout)
	var noResult *handoff.NoResultError
	if errors.As(err, &noResult) {
		attempt := verdict.Attempt{Upstream: daemon, Phase: "handOff", Result: noResult.Result, Cause: noResult.Err.Error()}
		ran := problem.RanUnknown
		if noResult.Result == verdict.AttemptNotRun {
			ran = problem.RanNo
		}
		p := problem.New(problem.DaemonLost, "the daemon in %s that was to run the call gave no result; retry with the same Idempotency-Key", dc)
		if call.Method == http.MethodGet {
			p.Detail = "the daemon in " + dc + " that was to run the call gave no result"
		}
		*out = services.Outcome{Problem: p.WithRan(ran).WithRetryAfter(clock.Second), Attempts: append(out.Attempts, attempt)}
		return ran == problem.RanNo
	}
	if err != nil {
		*out = services.Outcome{Problem: problem.New(problem.Internal, "%v", err)}
		return true
	}
	result.Attempts = append(out.Attempts, result.Attempts...)
	*out = result
	return result.Problem != nil && result.Problem.Ran == problem.RanNo &&
		(result.Problem.Reason == problem.NoUpstream || result.Problem.Reason == problem.NotReady)
}
