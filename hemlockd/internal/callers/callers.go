// Package callers implements the port for callers: OpenAI's completions and chat
// completions for models, and /services/{service}/... for plain services. It
// authenticates callers, enforces the limits of teams, has each request run by a
// daemon that manages suitable upstreams, and records exactly one verdict for each.
//
// # Usage
//
//	c := callers.New(env, deps)
//	server := &http.Server{Handler: c.Handler()}
package callers

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/handoff"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/limits"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/verdicts"
)

var metrics = expvar.NewMap("callers")

// headerRequestID is the header that holds the request ID in every response.
const headerRequestID = "X-Request-Id"

// Dependencies are the parts of the daemon that the callers' port uses.
type Dependencies struct {
	// Configuration holds the settings in force.
	Configuration *configuration.Configuration
	// Daemons is the view of the other daemons.
	Daemons *daemons.Daemons
	// Keeper runs calls to models on this daemon's engines.
	Keeper *keeper.Keeper
	// Services runs calls to plain services.
	Services *services.Services
	// HandOff hands calls off to other daemons.
	HandOff *handoff.Client
	// Limits enforces the limits of teams.
	Limits *limits.Limits
	// Suspects lists requests that are suspected of crashing engines.
	Suspects *suspects.Suspects
	// Verdicts records the verdicts of requests.
	Verdicts *verdicts.Recorder
}

// Callers serves the requests of callers.
type Callers struct {
	env process.Environment
	Dependencies
	draining atomic.Bool
}

// New returns the callers' port.
func New(env process.Environment, deps Dependencies) *Callers {
	return &Callers{env: env, Dependencies: deps}
}

// Drain prepares for the daemon's exit: answers close the callers' connections, so that
// callers reconnect to other daemons.
func (c *Callers) Drain() { c.draining.Store(true) }

// Handler serves the port.
func (c *Callers) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(completions.Path, c.exchange((*exchange).model))
	r.Post(completions.ChatPath, c.exchange((*exchange).model))
	r.HandleFunc("/services/{service}/*", c.exchange((*exchange).service))
	unknown := c.exchange(func(e *exchange) *problem.Problem {
		return problem.New(problem.UnknownPath, "there is no %s %s; use POST %s, POST %s or /services/{service}/...",
			e.r.Method, e.r.URL.Path, completions.Path, completions.ChatPath)
	})
	r.NotFound(unknown)
	r.MethodNotAllowed(unknown)
	return r
}

// Refuse answers a request that the daemon has no memory for, before it is handled.
func (c *Callers) Refuse(w http.ResponseWriter, r *http.Request) {
	c.exchange(func(*exchange) *problem.Problem { return noMemory() })(w, r)
}

// noMemory returns the refusal of a request that the daemon has no memory for.
func noMemory() *problem.Problem {
	return problem.New(problem.NoMemory, "the daemon has no memory for this request now").WithRetryAfter(clock.Second)
}

// exchange is one request with the state of its response.
type exchange struct {
	c *Callers
	w http.ResponseWriter
	r *http.Request
	// connection is done once the caller has left; the context of r also ends with the daemon's shutdown.
	connection context.Context
	id         string
	tree       *settings.Tree
	team       settings.Team
	verdict    verdict.Verdict
	// headersSent is set once the headers of a streamed response have been sent.
	headersSent bool
	// answered is set once the headers of a response with a complete body have been sent.
	answered bool
	// closed is set once the verdict has been recorded.
	closed bool

	controller  *http.ResponseController
	deadlineDue time.Time // when the write deadline is to be renewed; see send
}

// exchange returns an HTTP handler that runs serve for each request. serve either
// writes the response and returns nil, or returns the reason for a refusal.
func (c *Callers) exchange(serve func(*exchange) *problem.Problem) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := c.env.Clock.Now()
		e := &exchange{
			c: c, w: w, r: r, id: verdict.NewID(c.env.Config.Name, now), tree: c.Configuration.Tree(),
			controller: http.NewResponseController(w),
		}
		// net/http keeps the write deadline of an earlier stream on the connection.
		_ = e.controller.SetWriteDeadline(time.Time{})
		e.verdict = verdict.Verdict{
			RequestID: e.id, Daemon: c.env.Config.Name, DataCentre: c.env.Config.DataCentre,
			StartMs: now, SettingsVersion: c.Configuration.Version(),
		}
		ctx, cancel := c.env.Shutdown.WithEnd(r.Context())
		defer cancel()
		e.connection, e.r = r.Context(), r.WithContext(ctx)
		w.Header().Set(headerRequestID, e.id)
		c.Verdicts.Open(e.verdict)
		defer e.recoverPanic()
		if p := e.serve(serve); p != nil {
			e.refuse(p)
		}
	}
}

func (e *exchange) serve(serve func(*exchange) *problem.Problem) *problem.Problem {
	if e.tree == nil {
		return problem.New(problem.NotReady, "this daemon has no settings yet").WithRetryAfter(clock.Second)
	}
	if p := e.authenticate(); p != nil {
		return p
	}
	return serve(e)
}

// authenticate finds the team by the caller's key.
func (e *exchange) authenticate() *problem.Problem {
	key, ok := strings.CutPrefix(e.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return problem.New(problem.Unauthenticated, "send the team's key as Authorization: Bearer KEY")
	}
	name, ok := e.c.Configuration.TeamOf(key)
	if !ok {
		return problem.New(problem.Unauthenticated, "this key belongs to no team")
	}
	e.verdict.Team = name
	e.team = e.tree.Teams[name]
	return nil
}

// refuse records the verdict of a refusal and sends the reason as the response. A
// streamed response that has begun ends with the reason as its last event instead.
func (e *exchange) refuse(p *problem.Problem) {
	v := &e.verdict
	v.Outcome, v.Ran, v.Reason, v.Detail, v.Status = verdict.OutcomeRefused, p.Ran, p.Reason, p.Detail, p.Status
	if p.Ran != problem.RanNo {
		v.Outcome = verdict.OutcomeUnknown
	}
	if p.Ran == problem.RanYes {
		v.Outcome = verdict.OutcomeRun
	}
	e.close()
	p.RequestID = e.id
	p.Receipt = verdict.Sign([]byte(e.c.env.Config.DaemonKey), *v)
	if e.headersSent {
		e.endWithError(p)
		return
	}
	e.writeProblem(p)
}

// writeProblem sends a problem as the complete response.
func (e *exchange) writeProblem(p *problem.Problem) {
	e.closeIfDraining()
	err := p.Write(e.w)
	e.answered = true
	if err != nil {
		metrics.Add("callersGone", 1)
	}
}

// closeIfDraining asks the caller to close the connection if the daemon is shutting
// down. It must be called before the headers of each response are sent.
func (e *exchange) closeIfDraining() {
	if e.c.draining.Load() {
		e.w.Header().Set("Connection", "close")
	}
}

// recoverPanic ends a request whose handler has panicked, which is a bug: with a problem and
// a verdict as far as these have not been sent and recorded. After a part of a response
// with a complete body it closes the connection, so that the part is not taken as whole.
func (e *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	metrics.Add("panics", 1)
	e.c.env.Log.Error("panic: the handler of a request has a bug", zap.String("request", e.id), zap.Any("cause", cause), zap.Stack("stack"))
	p := problem.New(problem.Internal, "the daemon failed while it handled the request; this is a bug").WithRan(problem.RanUnknown)
	switch {
	case !e.closed:
		e.refuse(p)
	case e.answered || e.headersSent:
		panic(http.ErrAbortHandler)
	default:
		p.RequestID, p.Ran = e.id, e.verdict.Ran
		clear(e.w.Header()) // of the response that could not be sent
		e.w.Header().Set(headerRequestID, e.id)
		e.writeProblem(p)
	}
}

// close records the verdict; it must be called once.
func (e *exchange) close() {
	e.closed = true
	e.verdict.EndMs = e.c.env.Clock.Now()
	e.c.Verdicts.Close(e.connection, e.verdict)
}

// succeed records the verdict of a request that has been run and gets a response.
func (e *exchange) succeed(status int) {
	e.verdict.Outcome, e.verdict.Ran, e.verdict.Status = verdict.OutcomeRun, problem.RanYes, status
	e.close()
}
