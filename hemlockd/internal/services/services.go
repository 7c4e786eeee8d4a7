// Package services is the client for the plain services: it selects an instance, calls it, retries
// idempotent calls and runs non-idempotent calls at most once.
//
// # Usage
//
//	s, closeServices := services.New(env, configuration, ledger, leaving, gate)
//	outcome := s.Run(ctx, call)
package services

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockmux.example/common/answers"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/retries"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

var metrics = expvar.NewMap("services")

const (
	dialTimeout   = 500 * clock.Millisecond
	healthTimeout = clock.Second
	// maxResponseBytes bounds the body of a service's response.
	maxResponseBytes = 16 << 20
	// failuresToDown is the number of consecutive health checks that must fail before an instance
	// counts as down.
	failuresToDown = 2
)

// Call is one call of a plain service.
type Call struct {
	// RequestID is the id of the caller's request.
	RequestID string
	// Team is the name of the caller's team.
	Team string
	// Service is the name of the service.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path below the service, with the query.
	Path string
	// Header holds the caller's headers.
	Header http.Header
	// Body is the request body.
	Body []byte
	// Key is the idempotency key; it is empty for idempotent calls.
	Key string
	// Digest identifies the method, path and body, as returned by the function Digest.
	Digest string
}

// Idempotent reports whether a call may be repeated.
func Idempotent(method string, s settings.Service) bool {
	return method == http.MethodGet || method == http.MethodHead || s.Idempotent
}

// Digest returns a digest of a call; a repeat of the same call has the same digest.
func Digest(method, path string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(method + " " + path + "\n")
	_, _ = h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16) + "-" + strconv.Itoa(len(body))
}

// Outcome is the outcome of a call: either an answer or a problem.
type Outcome struct {
	// Answer is the service's answer, or nil.
	Answer *placements.Answer
	// Problem explains why there is no answer.
	Problem *problem.Problem
	// Replayed is true if the answer comes from the record of an earlier call.
	Replayed bool
	// Attempts holds the attempts at instances, in order.
	Attempts []verdict.Attempt
}

// LeavingChecker checks upstreams against the platform's VM list.
type LeavingChecker interface {
	// Leaving reports whether the list shows an upstream as leaving.
	Leaving(upstream string) bool
}

// Services calls the plain services of this data centre.
type Services struct {
	env            process.Environment
	configuration  *configuration.Configuration
	ledger         *placements.Ledger
	leaving        LeavingChecker
	budget         *retries.Budget
	pooledClient   *http.Client // for the first attempt of idempotent calls
	unpooledClient *http.Client // opens a new connection for each call
	dispatched     atomic.Int64 // calls under a claim that have not ended
	gate           *upstreamgate.Gate

	mu     sync.Mutex
	health map[string]*health
}

// New starts the health checks and returns the function that stops them.
//
// Calls that may not be repeated use a new connection each: on a reused one, net/http itself repeats
// a request that has an Idempotency-Key if the connection ends before the response.
func New(env process.Environment, cfg *configuration.Configuration, ledger *placements.Ledger, leaving LeavingChecker, gate *upstreamgate.Gate) (*Services, func()) {
	dial := (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext
	pooled := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 32, IdleConnTimeout: 30 * time.Second}
	unpooled := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Services{
		env: env, configuration: cfg, ledger: ledger, leaving: leaving, gate: gate,
		budget:         retries.NewBudget(settings.DefaultSystem().Policy.RetryRatio),
		pooledClient:   &http.Client{Transport: answers.NewTransport(pooled), CheckRedirect: noRedirect},
		unpooledClient: &http.Client{Transport: answers.NewTransport(unpooled), CheckRedirect: noRedirect},
		health:         map[string]*health{},
	}
	done := make(chan struct{})
	go s.runHealth(ctx, done)
	return s, func() {
		cancel()
		<-done
		pooled.CloseIdleConnections()
	}
}

// noRedirect makes the client return a redirect to the caller instead of following it, which would
// run the call again.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run runs one call and returns its outcome.
func (s *Services) Run(ctx context.Context, call Call) Outcome {
	tree := s.configuration.Tree()
	service, ok := tree.System.Services[call.Service]
	if !ok {
		return Outcome{Problem: problem.New(problem.UnknownService, "there is no service %q", call.Service)}
	}
	if p := s.env.Shutdown.Refusal(Longest(s.env.Config, service, call), s.env.Clock.Now()); p != nil {
		return Outcome{Problem: p}
	}
	if Idempotent(call.Method, service) {
		r := &idempotentRun{
			services: s, ctx: ctx, tree: tree, service: service, call: call, excluded: map[string]bool{}, running: map[string]*attempt{},
			results: make(chan attemptResult, tree.System.Policy.MaxAttempts),
		}
		return r.serve()
	}
	return s.runAtMostOnce(ctx, tree, service, call)
}

// Longest returns how long a call may take until it has an answer.
func Longest(cfg process.Config, service settings.Service, call Call) clock.Millis {
	if Idempotent(call.Method, service) {
		return service.TimeoutMs
	}
	return cfg.PlatformTimeoutMs + service.TimeoutMs // it is recorded first
}

// instances returns the names of the service's instances in this data centre that the team may use,
// sorted.
func (s *Services) instances(tree *settings.Tree, call Call) []string {
	var names []string
	team := tree.Teams[call.Team]
	for name, u := range tree.System.Upstreams {
		if u.Kind == settings.KindService && u.Service == call.Service &&
			u.DataCentre == s.env.Config.DataCentre && team.MayUse(name, u) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Available reports whether this data centre has an instance that can serve the call, now or when its
// limit allows it.
func (s *Services) Available(tree *settings.Tree, call Call) bool {
	_, ok := s.choose(tree, call, nil)
	return ok || len(s.heldBack(tree, call, nil)) > 0
}

// choose returns the instance with the fewest calls in flight from this daemon, without instances
// that are down, leaving or excluded and those that may not be called now. The result is false
// if there is none.
func (s *Services) choose(tree *settings.Tree, call Call, excluded map[string]bool) (string, bool) {
	best, bestLoad := "", 0
	names, now := s.instances(tree, call), s.env.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		h := s.healthLocked(name)
		if excluded[name] || h.failures >= failuresToDown || h.leaving || tree.System.Upstreams[name].Leaving || s.leaving.Leaving(name) {
			continue
		}
		if s.gate.Check(upstreamgate.Target{Upstream: name}, now) != upstreamgate.Open {
			continue
		}
		if best == "" || h.inFlight < bestLoad {
			best, bestLoad = name, h.inFlight
		}
	}
	return best, best != ""
}

// wantInstances counts the call in the demand for the instances that could serve it.
func (s *Services) wantInstances(tree *settings.Tree, call Call) {
	now := s.env.Clock.Now()
	for _, name := range s.instances(tree, call) {
		s.gate.Limits.Want(name, now)
	}
}

// heldBack returns the instances that only their announcements exclude from a call that no instance is
// left for: a limit, a pause or a shutdown.
func (s *Services) heldBack(tree *settings.Tree, call Call, excluded map[string]bool) []upstreamgate.Target {
	names, now := s.instances(tree, call), s.env.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []upstreamgate.Target
	for _, name := range names {
		t := upstreamgate.Target{Upstream: name}
		announced := s.gate.Limits.Limited(name, now) || s.gate.CheckNotices(t, now) != upstreamgate.Open
		if !excluded[name] && announced && s.healthLocked(name).failures < failuresToDown {
			held = append(held, t)
		}
	}
	return held
}

// closedProblem refuses a call because the instances held back take none now.
func (s *Services) closedProblem(call Call, held []upstreamgate.Target) *problem.Problem {
	now := s.env.Clock.Now()
	reason, retry := s.gate.Closed(held, now)
	if reason == upstreamgate.Open { // a call may be sent again by now
		reason, retry = upstreamgate.Limited, s.gate.Limits.Retry(nil, now)
	}
	return problem.New(reason.ProblemReason(), "the instances of service %q take no more calls now: %s", call.Service, s.gate.Summary(held, now)).
		WithRetryAfter(retry)
}

// isClosed reports whether a call was not sent because of what the instance has announced.
func isClosed(err error) bool {
	var closed *upstreamgate.ClosedError
	return errors.As(err, &closed)
}
