package handoff

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/engines"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// alone is the view of a daemon without others, and of upstreams none of which is leaving.
type alone struct{}

func (alone) Live(string) []string { return []string{"vm-1"} }

func (alone) Alive(string) bool { return false }

func (alone) Owns(string) bool { return true }

func (alone) Leaving(string) bool { return false }

// newTestServer returns the handler of a daemon whose settings hold a model with the given engines.
func newTestServer(t *testing.T, parts *prompts.Evidence, upstreams string) (http.Handler, *keeper.Keeper) {
	cfg := process.DefaultConfig()
	cfg.Name, cfg.DataCentre = "vm-1", "a"
	log := zap.NewNop()
	env := process.Environment{Log: log, Clock: clock.System(), Config: cfg, Invariants: invariant.New(log), Incarnation: 1}
	c := configuration.New(env)
	_, err := c.Apply(configuration.Delta{Version: 1, Nodes: []settings.Node{{Path: settings.SystemPath, Version: 1, Text: "[models.m]\n[dataCentres.a]\n" + upstreams +
		"[operators.ops]\nkeyHash = \"" + settings.HashKey("operator") + "\"\n"}}})
	if err != nil {
		t.Fatal(err)
	}
	client, closeClient := engines.NewClient(upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), clock.System(), zap.NewNop())
	t.Cleanup(closeClient)
	k, closeKeeper := keeper.New(env, c, client, alone{}, alone{}, suspects.New(), parts)
	t.Cleanup(closeKeeper)
	return NewServer(env, c, k, nil, func(daemons.CopyRequest) daemons.CopyAnswer { return daemons.CopyAnswer{} }), k
}

// TestForgottenRunIsNotResumed guards against an answer that is put together from two
// generations: a daemon that no longer knows a request ran it again and sent the end of that.
func TestForgottenRunIsNotResumed(t *testing.T) {
	handler, k := newTestServer(t, prompts.New(), "")
	r := httptest.NewRequest(http.MethodPost, "/models", strings.NewReader(`{"model":"m","prompt":"p"}`))
	r.Header.Set(headerCall, `{"requestId":"r","model":"m"}`)
	r.Header.Set("Last-Event-ID", "0")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if _, found := k.Find("r"); found || w.Code != http.StatusGone {
		t.Errorf("status %d, run started %t; want status %d and no run", w.Code, found, http.StatusGone)
	}
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestIncompleteBodyIsRefused guards against a request that runs with a part of its body, and
// against an empty response with status 200 to one whose body can't be read.
func TestIncompleteBodyIsRefused(t *testing.T) {
	handler, _ := newTestServer(t, prompts.New(), "")
	for _, path := range []string{"/models", "/services"} {
		for name, test := range map[string]struct {
			body io.Reader
			want int
		}{
			"too long":   {io.LimitReader(zeros{}, maxBodyBytes+1), http.StatusRequestEntityTooLarge},
			"unreadable": {iotest.ErrReader(errors.New("connection reset")), http.StatusBadRequest},
		} {
			r := httptest.NewRequest(http.MethodPost, path, test.body)
			r.Header.Set(headerCall, `{"requestId":"r","model":"m"}`)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != test.want {
				t.Errorf("%s, %s: status %d, body %s; want status %d", path, name, w.Code, w.Body, test.want)
			}
		}
	}
}

// TestHandedOverCallHasItsParts checks that the daemon that runs a call knows the parts of its prompt.
func TestHandedOverCallHasItsParts(t *testing.T) {
	parts := prompts.New()
	handler, _ := newTestServer(t, parts, "[upstreams.p]\nkind = \"prefill\"\nmodel = \"m\"\naddress = \"127.0.0.1:1\"\ndataCentre = \"a\"\n"+
		"[upstreams.d]\nkind = \"decode\"\nmodel = \"m\"\naddress = \"127.0.0.1:1\"\ndataCentre = \"a\"\n")
	req := completions.Request{Messages: []completions.Message{{Content: "first"}, {Content: "guilty"}, {Content: "own"}}}
	for _, process := range []string{"1", "2", "3"} {
		parts.RecordCrash("m", process, req.SharedParts(), clock.System().Now())
	}
	r := httptest.NewRequest(http.MethodPost, "/models", strings.NewReader(`{"model":"m","max_tokens":1,"prompt":"first\n\nguilty\n\nown"}`))
	r.Header.Set(headerCall, `{"requestId":"r","model":"m","promptTokens":10,"outputTokens":1}`)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if !strings.Contains(w.Body.String(), `"reason":"crashingPart"`) {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
}
