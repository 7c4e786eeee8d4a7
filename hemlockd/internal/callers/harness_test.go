package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/platform/memory"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/engines"
	"hemlockmux.example/hemlockd/internal/handoff"
	"hemlockmux.example/hemlockd/internal/keeper"
	"hemlockmux.example/hemlockd/internal/limits"
	"hemlockmux.example/hemlockd/internal/placements"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/services"
	"hemlockmux.example/hemlockd/internal/suspects"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
	"hemlockmux.example/hemlockd/internal/verdicts"
)

const testKey = "callers-test-key"

// noSignals reports no upstream as leaving.
type noSignals struct{}

func (noSignals) Leaving(string) bool { return false }

// noPeers holds no copies of verdicts.
type noPeers struct{}

func (noPeers) CopyHolder() string { return "" }

func (noPeers) CopyVerdicts(context.Context, string, daemons.CopyRequest) error { return nil }

// testPort is a callers' port with the parts of one daemon behind it.
type testPort struct {
	t             *testing.T
	env           process.Environment
	callers       *Callers
	handler       http.Handler
	server        *httptest.Server
	configuration *configuration.Configuration
	keeper        *keeper.Keeper
	closeKeeper   func()
	parts         *prompts.Evidence
	recorder      *verdicts.Recorder
	violations    *violations
}

// violations collects the invariants that were violated.
type violations struct {
	mu   sync.Mutex
	list []string
}

func (v *violations) add(name invariant.Name, detail string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, string(name)+": "+detail)
}

// newTestPort starts a port whose settings hold the given upstreams.
func newTestPort(t *testing.T, policy string, upstreams ...string) *testPort {
	t.Helper()
	log := zap.NewNop()
	p := &testPort{t: t, violations: &violations{}}
	inv := invariant.New(log)
	inv.OnViolation(p.violations.add)
	cfg := process.DefaultConfig()
	cfg.Name, cfg.DataCentre, cfg.Daemons, cfg.DaemonKey, cfg.LoadMs = "vm-1", "a", "127.0.0.1:1", "callers-test-daemons-key", 50
	p.env = process.Environment{Log: log, Clock: clock.System(), Config: cfg, Invariants: inv, Incarnation: 1}
	p.configuration = configuration.New(p.env)
	p.apply(1, policy, upstreams...)
	peers := daemons.New(p.env, p.configuration)
	client, closeClient := engines.NewClient(upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), clock.System(), zap.NewNop())
	t.Cleanup(closeClient)
	handOff, closeHandOff := handoff.NewClient(cfg)
	t.Cleanup(closeHandOff)
	sus := suspects.New()
	p.parts = prompts.New()
	k, closeKeeper := keeper.New(p.env, p.configuration, client, peers, noSignals{}, sus, p.parts)
	t.Cleanup(closeKeeper)
	p.configuration.OnChange = func(int64) { k.Reconcile() }
	ledger, closeLedger := placements.New(p.env, memory.New(), func() clock.Millis { return 1 })
	t.Cleanup(closeLedger)
	svc, closeServices := services.New(p.env, p.configuration, ledger, noSignals{}, upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}))
	t.Cleanup(closeServices)
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	objects, closeObjects := platform.NewObjects(store.URL, "b", "", clock.Second)
	t.Cleanup(closeObjects)
	recorder, closeRecorder := verdicts.New(p.env, objects, noPeers{}, func() clock.Millis { return clock.Hour })
	t.Cleanup(closeRecorder)
	p.keeper, p.closeKeeper, p.recorder = k, closeKeeper, recorder
	p.callers = New(p.env, Dependencies{
		Configuration: p.configuration, Daemons: peers, Keeper: k, Services: svc, HandOff: handOff,
		Limits: limits.New(), Suspects: sus, Verdicts: recorder,
	})
	p.handler = p.callers.Handler()
	p.server = httptest.NewServer(p.handler)
	t.Cleanup(p.server.Close)
	t.Cleanup(p.server.CloseClientConnections)
	t.Cleanup(func() {
		p.violations.mu.Lock()
		defer p.violations.mu.Unlock()
		for _, v := range p.violations.list {
			t.Errorf("invariant violated: %s", v)
		}
	})
	return p
}

// apply puts a version of the settings in force.
func (p *testPort) apply(version int64, policy string, upstreams ...string) {
	p.t.Helper()
	system := "[policy]\n" + policy + "\n[models.m]\nslots = 1\n[services.s]\nrepeatable = true\ntimeoutMs = 2000\n" +
		"[services.once]\nrepeatable = false\ntimeoutMs = 300\n[dataCentres.a]\n" +
		"[operators.ops]\nkeyHash = \"" + settings.HashKey("operator") + "\"\n" + strings.Join(upstreams, "")
	team := "models = [\"m\"]\nservices = [\"s\", \"once\"]\n[keys.k]\nhash = \"" + settings.HashKey(testKey) + "\"\n"
	_, err := p.configuration.Apply(configuration.Delta{BaseVersion: version - 1, Version: version, Nodes: []settings.Node{
		{Path: settings.SystemPath, Version: version, Text: system},
		{Path: settings.TeamsPrefix + "t", Version: version, Text: team},
	}})
	if err != nil {
		p.t.Fatal(err)
	}
}

// upstream returns the settings of an upstream of a model or service.
func upstream(name, kind, of, address string) string {
	target := "model"
	if kind == settings.KindService {
		target = "service"
	}
	return fmt.Sprintf("[upstreams.%s]\nkind = %q\n%s = %q\naddress = %q\ndataCentre = \"a\"\n", name, kind, target, of, address)
}

// prefillEngine starts a prefill engine that answers at once.
func prefillEngine(t *testing.T) string {
	return engine(t, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(completions.Response{KVTransferParams: &completions.KVTransferParams{DoRemotePrefill: true}})
	})
}

// engine starts an engine whose completions are served by serve, and returns its
// address. Its load reports say that it is idle.
func engine(t *testing.T, serve http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(completions.Load{FreePieces: 8192, AtMs: time.Now().UnixMilli(), State: "serving"})
	})
	mux.HandleFunc("/abort_request", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/kv_events", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	mux.HandleFunc("POST "+completions.Path, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // so that the end of the connection is noticed
		serve(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// events returns a handler that streams the events with ids from 0.
func events(data ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i, text := range data {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, text)
		}
	}
}

func chunkText(text string) string {
	return `{"id":"x","model":"m","choices":[{"index":0,"text":"` + text + `","finish_reason":null}]}`
}

func completion(stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":4,"stream":%t}`, stream)
}

// rawInstance starts an instance of a service that answers each call but health checks
// with the given bytes and closes the connection.
func rawInstance(t *testing.T, answer string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serveRaw(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	if req.URL.Path == "/health" {
		answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	}
	_, _ = io.WriteString(conn, answer)
}

// answer is what a caller received.
type answer struct {
	status  int
	body    string
	problem problem.Problem
	header  http.Header
	framed  bool // the end of the body was marked
}

// call sends a request with the team's key.
func (p *testPort) call(method, path, body string, headers ...string) (answer, error) {
	req, err := http.NewRequest(method, p.server.URL+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(text), header: resp.Header, framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0}
	_ = json.Unmarshal(text, &a.problem)
	return a, err
}

// checkVerdicts fails the test if a request is still without a verdict.
func (p *testPort) checkVerdicts() {
	p.t.Helper()
	for range 100 {
		if p.recorder.OpenCount() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Errorf("%d requests have no verdict", p.recorder.OpenCount())
}
