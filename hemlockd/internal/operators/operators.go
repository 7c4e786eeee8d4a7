// Package operators implements the port for operators. It serves health, readiness and
// metrics to everyone, and settings, verdicts, status and profiles to holders of an
// operator's key.
//
// # Usage
//
//	o := operators.New(env, deps)
//	server := &http.Server{Handler: o.Handler()}
package operators

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/verdicts"
)

const (
	// maxChangeBytes bounds the size of a change of settings.
	maxChangeBytes = 16 << 20
	// findTimeout bounds the search for a verdict on other daemons.
	findTimeout = clock.Second
)

// Dependencies are the parts of the daemon that the operators' port uses.
type Dependencies struct {
	// Configuration holds the settings in force.
	Configuration *configuration.Configuration
	// Store holds the settings on the platform.
	Store *settings.Store
	// Objects is the platform's object store, which holds verdicts.
	Objects *platform.Objects
	// Daemons is the view of the other daemons.
	Daemons *daemons.Daemons
	// Keeper reports the status of engines.
	Keeper *keeper.Keeper
	// Services reports the status of the instances of plain services.
	Services *services.Services
	// Parts is the evidence on parts of prompts that crash engines.
	Parts *prompts.Evidence
	// Gate holds what upstreams say about calls to them.
	Gate *upstreamgate.Gate
	// Verdicts holds the recent verdicts of this daemon.
	Verdicts *verdicts.Recorder
}

// Operators serves the requests of operators.
type Operators struct {
	env process.Environment
	Dependencies
	draining atomic.Bool
}

// New returns the operators' port.
func New(env process.Environment, deps Dependencies) *Operators {
	return &Operators{env: env, Dependencies: deps}
}

// Drain makes the daemon not ready, so that the balancer sends it no new requests.
func (o *Operators) Drain() { o.draining.Store(true) }

// Handler returns the HTTP handler of the port.
func (o *Operators) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", o.ready)
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	r.Route("/v1", func(r chi.Router) {
		r.Use(o.authenticate)
		r.Get("/settings", o.getSettings)
		r.Post("/settings", o.applySettings)
		r.Get("/settings/history", o.history)
		r.Get("/daemons", o.daemons)
		r.Get("/upstreams", o.upstreams)
		r.Get("/parts", o.parts)
		r.Get("/limits", o.limits)
		r.Get("/closed", o.closed)
		r.Post("/parts/lift", o.liftPart)
		r.Get("/verdicts/{id}", o.verdict)
	})
	r.Route("/debug/pprof", func(r chi.Router) {
		r.Use(o.authenticate)
		r.Get("/profile", pprof.Profile)
		r.Get("/heap", pprof.Handler("heap").ServeHTTP)
		r.Get("/goroutine", pprof.Handler("goroutine").ServeHTTP)
	})
	return r
}

// ready answers the balancer's readiness checks.
func (o *Operators) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case o.draining.Load():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	case o.Configuration.Tree() == nil:
		http.Error(w, "no settings yet: none received from the platform or from another daemon", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// authenticate rejects requests without an operator's key and puts the operator's name
// into the request's context.
func (o *Operators) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := o.Configuration.OperatorOf(key)
		if key == "" || !ok {
			writeRefusal(w, http.StatusUnauthorized, operatorapi.Refusal{Code: operatorapi.CodeDenied, Detail: "the bearer token in the Authorization header is not an operator's key"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

func writeRefusal(w http.ResponseWriter, status int, refusal operatorapi.Refusal) {
	writeJSON(w, status, refusal)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// getSettings responds with the newest settings: the platform's or, if the platform is
// unavailable, those in force here.
func (o *Operators) getSettings(w http.ResponseWriter, r *http.Request) {
	head, nodes, err := o.Store.Snapshot(r.Context())
	if err != nil {
		delta := o.Configuration.DeltaSince(settings.ChangeRef{})
		writeJSON(w, http.StatusOK, operatorapi.SettingsResponse{Version: delta.Version, Nodes: delta.Nodes})
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.SettingsResponse{Version: head.Version, Nodes: nodes, FromPlatform: true})
}

// applySettings applies a change of settings and loads the result.
func (o *Operators) applySettings(w http.ResponseWriter, r *http.Request) {
	var change settings.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		writeRefusal(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: err.Error()})
		return
	}
	if change.ChangeID == "" || len(change.Nodes) == 0 {
		writeRefusal(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: "changeId and nodes are required"})
		return
	}
	change.Operator, _ = r.Context().Value(operatorKey{}).(string)
	change.AtMs = o.env.Clock.Now()
	// A change must not be interrupted half-way if the operator disconnects.
	version, err := o.Store.Apply(context.WithoutCancel(r.Context()), change)
	if err != nil {
		o.refuseChange(w, change, err)
		return
	}
	o.env.Log.Info("settings changed", zap.Int64("version", version), zap.String("operator", change.Operator), zap.String("changeId", change.ChangeID))
	if err := o.Configuration.Poll(context.WithoutCancel(r.Context()), o.Store); err != nil {
		o.env.Log.Warn("changed settings could not be read back from the platform", zap.Error(err))
	}
	writeJSON(w, http.StatusOK, operatorapi.ApplyResponse{Version: version})
}

// refuseChange responds with the reason why a change of settings failed.
func (o *Operators) refuseChange(w http.ResponseWriter, change settings.Change, err error) {
	refusal := operatorapi.Refusal{Detail: err.Error(), ChangeID: change.ChangeID}
	status := http.StatusServiceUnavailable
	var bad *settings.BadSettingsError
	var conflict *settings.ConflictError
	var unsettled *settings.OutcomeUnknownError
	switch {
	case errors.As(err, &bad):
		refusal.Code, refusal.Findings, status = operatorapi.CodeBadSettings, bad.Findings, http.StatusUnprocessableEntity
	case errors.As(err, &conflict):
		refusal.Code, refusal.Conflicting, status = operatorapi.CodeConflict, conflict.Conflicting, http.StatusConflict
	case errors.As(err, &unsettled):
		refusal.Code = operatorapi.CodeOutcomeUnknown
	default:
		refusal.Code = operatorapi.CodeUnavailable
	}
	writeRefusal(w, status, refusal)
}

// history responds with the audit rows after a version.
func (o *Operators) history(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	rows, err := o.Store.AuditSince(r.Context(), after)
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, operatorapi.Refusal{Code: operatorapi.CodeUnavailable, Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, rows)
}

// daemons lists all daemons as this daemon knows them.
func (o *Operators) daemons(w http.ResponseWriter, _ *http.Request) {
	o.Daemons.Refresh()
	list := []operatorapi.DaemonStatus{}
	for _, v := range o.Daemons.Views() {
		list = append(list, operatorapi.DaemonStatus{
			Name: v.Name, DataCentre: v.DataCentre, Address: v.Address, State: string(v.State),
			SettingsVersion: v.Version, SinceHeardMs: v.HeardMsAgo,
		})
	}
	writeJSON(w, http.StatusOK, list)
}

// upstreams lists the upstreams of this data centre as this daemon knows them.
func (o *Operators) upstreams(w http.ResponseWriter, _ *http.Request) {
	list := []operatorapi.UpstreamStatus{}
	tree := o.Configuration.Tree()
	if tree == nil {
		writeJSON(w, http.StatusOK, list)
		return
	}
	known := map[string]operatorapi.UpstreamStatus{}
	for _, e := range o.Keeper.EngineStatuses() {
		known[e.Name] = operatorapi.UpstreamStatus{
			State: upstreamState(e.Up, e.Leaving), InFlight: e.InFlight, PiecesHeld: e.Pieces, Keeper: o.env.Config.Name,
		}
	}
	for name, u := range tree.System.Upstreams {
		s, ok := known[name]
		if !ok {
			s.State = "unknown"
		}
		if up, leaving, inFlight, checked := o.Services.InstanceStatus(name); checked {
			s.State, s.InFlight = upstreamState(up, leaving), inFlight
		}
		if u.Leaving {
			s.State = "leaving"
		}
		s.Name, s.Kind, s.DataCentre = name, u.Kind, u.DataCentre
		list = append(list, s)
	}
	writeJSON(w, http.StatusOK, list)
}

// parts lists the parts of prompts that this daemon refuses.
func (o *Operators) parts(w http.ResponseWriter, _ *http.Request) {
	list := []operatorapi.RefusedPartView{}
	for _, r := range o.Parts.Blamed(o.env.Clock.Now()) {
		list = append(list, operatorapi.RefusedPartView{
			Service: r.Service, Part: r.Part, Engines: r.Engines, SinceCrashMs: r.CrashAgoMs, SinceTryMs: r.TryAgoMs, SinceRefusalMs: r.SeenAgoMs,
		})
	}
	writeJSON(w, http.StatusOK, list)
}

// limits lists the limits that upstreams of this data centre name, as this daemon knows them.
func (o *Operators) limits(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.Gate.Limits.All(o.env.Clock.Now()))
}

// closed lists the upstreams that this daemon sends nothing because of what they have announced.
func (o *Operators) closed(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.Gate.All(o.env.Clock.Now()))
}

// liftPart lifts the refusal of a part of prompts at all daemons, which learn of it by gossip.
func (o *Operators) liftPart(w http.ResponseWriter, r *http.Request) {
	var lift operatorapi.LiftPartRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&lift); err != nil {
		writeRefusal(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: err.Error()})
		return
	}
	if !o.Parts.Lift(lift.Service, lift.Part, o.env.Clock.Now()) {
		writeRefusal(w, http.StatusNotFound, operatorapi.Refusal{Code: operatorapi.CodeNotFound,
			Detail: fmt.Sprintf("part %s of prompts for %s is not refused", lift.Part, lift.Service)})
		return
	}
	operator, _ := r.Context().Value(operatorKey{}).(string)
	o.env.Log.Info("refusal of a part of prompts lifted", zap.String("model", lift.Service), zap.String("part", lift.Part), zap.String("operator", operator))
	writeJSON(w, http.StatusOK, operatorapi.LiftPartResponse{Lifted: true})
}

func upstreamState(up, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case up:
		return "up"
	}
	return "down"
}

// verdict looks up a verdict in this daemon, then in other daemons, then in the object
// store.
func (o *Operators) verdict(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	daemon, _, err := verdict.ParseID(id)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: err.Error()})
		return
	}
	if found := o.Verdicts.Find(findRequest(id)); found.Found {
		writeJSON(w, http.StatusOK, operatorapi.VerdictResponse{Verdict: found.Verdict, Source: verdictSource(found.Copy)})
		return
	}
	if answer, ok := o.askDaemons(r.Context(), daemon, id); ok {
		writeJSON(w, http.StatusOK, answer)
		return
	}
	v, ok, err := verdicts.FindStored(r.Context(), o.Objects, id)
	switch {
	case err != nil:
		writeRefusal(w, http.StatusServiceUnavailable, operatorapi.Refusal{Code: operatorapi.CodeUnavailable,
			Detail: "no reachable daemon has this verdict, and the object store can't be read: " + err.Error()})
	case !ok:
		writeRefusal(w, http.StatusNotFound, operatorapi.Refusal{Code: operatorapi.CodeNotFound, Detail: "no verdict is recorded for " + id})
	default:
		writeJSON(w, http.StatusOK, operatorapi.VerdictResponse{Verdict: v, Source: "store"})
	}
}

func findRequest(id string) daemons.FindRequest { return daemons.FindRequest{RequestID: id} }

func verdictSource(isCopy bool) string {
	if isCopy {
		return "copy"
	}
	return "daemon"
}

// askDaemons asks the daemon that accepted the request and the others of its data centre
// for a verdict, concurrently. It prefers an original to a copy.
func (o *Operators) askDaemons(ctx context.Context, daemon, id string) (operatorapi.VerdictResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	var best operatorapi.VerdictResponse
	var asked sync.WaitGroup
	for _, name := range o.daemonsToAsk(daemon) {
		asked.Go(func() {
			v, found, isCopy, err := o.Daemons.FindVerdict(ctx, name, id)
			if err != nil || !found {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if best.Source == "" || !isCopy {
				best = operatorapi.VerdictResponse{Verdict: v, Source: verdictSource(isCopy)}
			}
		})
	}
	asked.Wait()
	return best, best.Source != ""
}

// daemonsToAsk lists the daemons that may have a verdict of the named daemon: the other
// daemons of its data centre that aren't dead, or of all data centres if the named
// daemon is unknown.
func (o *Operators) daemonsToAsk(daemon string) []string {
	dataCentre := ""
	for _, v := range o.Daemons.Views() {
		if v.Name == daemon {
			dataCentre = v.DataCentre
		}
	}
	var names []string
	for _, v := range o.Daemons.Views() {
		same := dataCentre == "" || v.DataCentre == dataCentre
		if same && v.State != membership.Dead && v.Name != o.env.Config.Name {
			names = append(names, v.Name)
		}
	}
	return names
}
