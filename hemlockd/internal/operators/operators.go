// Package operators is the port for operators: health and readiness, metrics,
// and, for holders of an operator's key, settings, verdicts and status.
//
// # Usage
//
//	o := operators.New(common, deps)
//	server := &http.Server{Handler: o.Handler()}
package operators

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
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
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/shared"
	"hemlockmux.example/hemlockd/internal/verdicts"
)

const (
	// maxChangeBytes bounds a change of settings.
	maxChangeBytes = 16 << 20
	// findTimeout bounds the search for a verdict at other daemons.
	findTimeout = clock.Second
)

// Dependencies are the parts of the daemon that the operators' port uses.
type Dependencies struct {
	Configuration *configuration.Configuration
	Store         *settings.Store
	Objects       *platform.Objects
	Daemons       *daemons.Daemons
	Keeper        *keeper.Keeper
	Services      *services.Services
	Verdicts      *verdicts.Recorder
}

// Operators serves operators.
type Operators struct {
	common shared.Common
	Dependencies
	draining atomic.Bool
}

// New returns the operators' port.
func New(common shared.Common, deps Dependencies) *Operators {
	return &Operators{common: common, Dependencies: deps}
}

// Drain makes the daemon not ready, so that the balancer sends it nothing new.
func (o *Operators) Drain() { o.draining.Store(true) }

// Handler serves the port.
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

// ready tells the balancer whether to send callers here.
func (o *Operators) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case o.draining.Load():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	case o.Configuration.Tree() == nil:
		http.Error(w, "no settings yet: neither the platform nor another daemon has given any", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

type operatorKey struct{}

// authenticate lets only operators in and remembers who it is.
func (o *Operators) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, ok := o.Configuration.OperatorOf(key)
		if key == "" || !ok {
			refuse(w, http.StatusUnauthorized, operatorapi.Refusal{Code: operatorapi.CodeDenied, Detail: "this is no operator's key"})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, who)))
	})
}

func refuse(w http.ResponseWriter, status int, refusal operatorapi.Refusal) {
	writeJSON(w, status, refusal)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// getSettings answers with the newest settings: the platform's, or those in
// force here where the platform is out of reach.
func (o *Operators) getSettings(w http.ResponseWriter, r *http.Request) {
	head, nodes, err := o.Store.Snapshot(r.Context())
	if err != nil {
		delta := o.Configuration.DeltaSince(0)
		writeJSON(w, http.StatusOK, operatorapi.SettingsAnswer{Version: delta.Version, Nodes: delta.Nodes})
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.SettingsAnswer{Version: head.Version, Nodes: nodes, FromPlatform: true})
}

func (o *Operators) applySettings(w http.ResponseWriter, r *http.Request) {
	var change settings.Change
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		refuse(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: err.Error()})
		return
	}
	if change.ChangeID == "" || len(change.Nodes) == 0 {
		refuse(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: "changeId and nodes must be given"})
		return
	}
	change.Who, _ = r.Context().Value(operatorKey{}).(string)
	change.AtMs = o.common.Clock.Now()
	// A caller who goes away does not stop a change half way.
	version, err := o.Store.Apply(context.WithoutCancel(r.Context()), change)
	if err != nil {
		o.refuseChange(w, change, err)
		return
	}
	o.common.Log.Info("settings changed", zap.Int64("version", version), zap.String("operator", change.Who), zap.String("changeId", change.ChangeID))
	if err := o.Configuration.Poll(context.WithoutCancel(r.Context()), o.Store); err != nil {
		o.common.Log.Warn("changed settings can't be read back yet", zap.Error(err))
	}
	writeJSON(w, http.StatusOK, operatorapi.ApplyAnswer{Version: version})
}

func (o *Operators) refuseChange(w http.ResponseWriter, change settings.Change, err error) {
	refusal := operatorapi.Refusal{Detail: err.Error(), ChangeID: change.ChangeID}
	status := http.StatusServiceUnavailable
	var bad *settings.BadSettingsError
	var conflict *settings.ConflictError
	var unsettled *settings.UnsettledError
	switch {
	case errors.As(err, &bad):
		refusal.Code, refusal.Findings, status = operatorapi.CodeBadSettings, bad.Findings, http.StatusUnprocessableEntity
	case errors.As(err, &conflict):
		refusal.Code, refusal.Theirs, status = operatorapi.CodeConflict, conflict.Theirs, http.StatusConflict
	case errors.As(err, &unsettled):
		refusal.Code = operatorapi.CodeUnsettled
	default:
		refusal.Code = operatorapi.CodeUnavailable
	}
	refuse(w, status, refusal)
}

func (o *Operators) history(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	rows, err := o.Store.Audit(r.Context(), after)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, operatorapi.Refusal{Code: operatorapi.CodeUnavailable, Detail: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, rows)
}

func (o *Operators) daemons(w http.ResponseWriter, _ *http.Request) {
	o.Daemons.Refresh()
	list := []operatorapi.DaemonStatus{}
	for _, v := range o.Daemons.Views() {
		list = append(list, operatorapi.DaemonStatus{
			Name: v.Name, DataCentre: v.DataCentre, Address: v.Address, State: string(v.State),
			SettingsVersion: v.Version, HeardMsAgo: v.HeardMsAgo,
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
			State: state(e.Up, e.Leaving), InFlight: e.InFlight, PiecesHeld: e.Pieces, Keeper: o.common.Config.Name,
		}
	}
	for name, u := range tree.System.Upstreams {
		s, ok := known[name]
		if !ok {
			s.State = "unknown"
		}
		if up, leaving, inFlight, checked := o.Services.InstanceStatus(name); checked {
			s.State, s.InFlight = state(up, leaving), inFlight
		}
		if u.Leaving {
			s.State = "leaving"
		}
		s.Name, s.Kind, s.DataCentre = name, u.Kind, u.DataCentre
		list = append(list, s)
	}
	writeJSON(w, http.StatusOK, list)
}

func state(up, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case up:
		return "up"
	}
	return "down"
}

// verdict looks a verdict up here, at the other daemons, and in the store.
func (o *Operators) verdict(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	daemon, _, err := verdict.ParseID(id)
	if err != nil {
		refuse(w, http.StatusBadRequest, operatorapi.Refusal{Code: operatorapi.CodeBadRequest, Detail: err.Error()})
		return
	}
	if found := o.Verdicts.Find(daemonsFind(id)); found.Found {
		writeJSON(w, http.StatusOK, operatorapi.VerdictAnswer{Verdict: found.Verdict, Source: source(found.Copy)})
		return
	}
	if answer, ok := o.askDaemons(r.Context(), daemon, id); ok {
		writeJSON(w, http.StatusOK, answer)
		return
	}
	v, ok, err := verdicts.FindStored(r.Context(), o.Objects, id)
	switch {
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, operatorapi.Refusal{Code: operatorapi.CodeUnavailable,
			Detail: "no daemon that can be reached has this verdict, and the object store can't be read now: " + err.Error()})
	case !ok:
		refuse(w, http.StatusNotFound, operatorapi.Refusal{Code: operatorapi.CodeNotFound, Detail: "no verdict is recorded for " + id})
	default:
		writeJSON(w, http.StatusOK, operatorapi.VerdictAnswer{Verdict: v, Source: "store"})
	}
}

func daemonsFind(id string) daemons.FindRequest { return daemons.FindRequest{RequestID: id} }

func source(isCopy bool) string {
	if isCopy {
		return "copy"
	}
	return "daemon"
}

// askDaemons asks the daemon that took the request and the others of its data
// centre, all at once; a verdict of the daemon itself goes before a copy.
func (o *Operators) askDaemons(ctx context.Context, daemon, id string) (operatorapi.VerdictAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout.Duration())
	defer cancel()
	var mu sync.Mutex
	var best operatorapi.VerdictAnswer
	var asked sync.WaitGroup
	for _, name := range o.candidates(daemon) {
		asked.Go(func() {
			v, found, isCopy, err := o.Daemons.FindVerdict(ctx, name, id)
			if err != nil || !found {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if best.Source == "" || !isCopy {
				best = operatorapi.VerdictAnswer{Verdict: v, Source: source(isCopy)}
			}
		})
	}
	asked.Wait()
	return best, best.Source != ""
}

// candidates lists the daemons that may have a verdict of the named daemon.
func (o *Operators) candidates(daemon string) []string {
	dataCentre := ""
	for _, v := range o.Daemons.Views() {
		if v.Name == daemon {
			dataCentre = v.DataCentre
		}
	}
	var names []string
	for _, v := range o.Daemons.Views() {
		same := dataCentre == "" || v.DataCentre == dataCentre
		if same && v.State != membership.Dead && v.Name != o.common.Config.Name {
			names = append(names, v.Name)
		}
	}
	return names
}
