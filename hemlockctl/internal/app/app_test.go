package app

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/settings"
)

const goodSystem = "[policy]\nfirstTokenMs = 1800\n"

// fakeDaemon serves an operators' port and fails the test at a call that it does not
// expect.
type fakeDaemon struct {
	t             *testing.T
	expectedCalls []string        // method and path of the expected calls, in order
	status        int             // HTTP status of the last call's response
	answer        any             // body of the last call's response
	change        settings.Change // the last change that was received
}

func (f *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(f.expectedCalls) == 0 || f.expectedCalls[0] != r.Method+" "+r.URL.Path {
		f.t.Errorf("unexpected call %s %s", r.Method, r.URL.Path)
		return
	}
	f.expectedCalls = f.expectedCalls[1:]
	if r.Header.Get("Authorization") != "Bearer the-key" {
		f.t.Errorf("got authorization %q", r.Header.Get("Authorization"))
	}
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&f.change)
	}
	if len(f.expectedCalls) > 0 && r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(operatorapi.SettingsResponse{Version: 3, FromPlatform: true})
		return
	}
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(f.answer)
}

func TestExitCodes(t *testing.T) {
	good, bad := t.TempDir(), t.TempDir()
	write(t, good, "system.toml", goodSystem)
	write(t, bad, "system.toml", "[policy]\nfirstTokenMS = 1800\n")
	apply := []string{"GET /v1/settings", "POST /v1/settings"}
	for _, c := range []struct {
		name    string
		args    []string
		expects []string
		status  int
		answer  any
		code    int
		prints  string
	}{
		{"check good", []string{"settings", "check", good}, nil, 0, nil, ExitOK, "are valid"},
		{"check bad", []string{"settings", "check", bad}, nil, 0, nil, ExitBadSettings, `system.toml:2: unknown key "policy.firstTokenMS" (did you mean "firstTokenMs"?)`},
		{"no argument", []string{"verdict"}, nil, 0, nil, ExitUsage, "takes one argument"},
		{"unknown flag", []string{"settings", "apply", "--nonsense", good}, nil, 0, nil, ExitUsage, "nonsense"},
		{"no verdict", []string{"verdict", "a~b~c"}, []string{"GET /v1/verdicts/a~b~c"}, 404, operatorapi.Refusal{Code: operatorapi.CodeNotFound, Detail: "none"}, ExitNotFound, "none"},
		{"refused parts", []string{"parts", "list"}, []string{"GET /v1/parts"}, 200, []operatorapi.RefusedPartView{{Service: "m", Part: "a1b2", Engines: []string{"1", "2", "3"}}}, ExitOK, "a1b2"},
		{"lift", []string{"parts", "lift", "--model", "m", "--part", "a1b2"}, []string{"POST /v1/parts/lift"}, 200, operatorapi.LiftPartResponse{Lifted: true}, ExitOK, "lifted  a1b2  m"},
		{"lift of a part that isn't refused", []string{"parts", "lift", "--model", "m", "--part", "a1b2"}, []string{"POST /v1/parts/lift"}, 404, operatorapi.Refusal{Code: operatorapi.CodeNotFound, Detail: "not refused"}, ExitNotFound, "not refused"},
		{"denied", []string{"daemons"}, []string{"GET /v1/daemons"}, 401, operatorapi.Refusal{Code: operatorapi.CodeDenied, Detail: "no operator's key"}, ExitDenied, "no operator's key"},
		{"accepted", []string{"settings", "apply", good}, apply, 200, operatorapi.ApplyResponse{Version: 4}, ExitOK, "accepted as version 4"},
		{"conflict", []string{"settings", "apply", good}, apply, 409, operatorapi.Refusal{
			Code: operatorapi.CodeConflict, Detail: "changed since",
			Conflicting: []settings.AuditRow{{Version: 4, Operator: "alice", Changes: []settings.NodeChange{{Path: "system", Before: "a = 1", After: "a = 2"}}}},
		}, ExitConflict, "version 4 by alice"},
		{"outcome unknown", []string{"settings", "apply", good}, apply, 503, operatorapi.Refusal{Code: operatorapi.CodeOutcomeUnknown, Detail: "the answer was lost"}, ExitOutcomeUnknown, "the answer was lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_ = os.Remove(filepath.Join(good, ".hemlock.json"))
			fake := &fakeDaemon{t: t, expectedCalls: c.expects, status: c.status, answer: c.answer}
			server := httptest.NewServer(fake)
			defer server.Close()
			args := append([]string{"hemlockctl", "--operator", strings.TrimPrefix(server.URL, "http://"), "--key", "the-key"}, c.args...)
			var out bytes.Buffer
			if code := Run(context.Background(), args, &out, &out); code != c.code {
				t.Errorf("got exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.prints) {
				t.Errorf("missing %q in %q", c.prints, out.String())
			}
			if len(fake.expectedCalls) > 0 {
				t.Errorf("missing calls: %v", fake.expectedCalls)
			}
		})
	}
}

// If the daemon is unreachable, it is not known whether a change was accepted; the error
// must name the change id with which the operator can apply it again.
func TestUnreachableDaemonErrorNamesChangeID(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "system.toml", goodSystem)
	write(t, dir, ".hemlock.json", `{"version": 3}`)
	var out bytes.Buffer
	code := Run(context.Background(), []string{"hemlockctl", "--operator", "127.0.0.1:1", "settings", "apply", dir}, &out, &out)
	if code != ExitUnavailable || !strings.Contains(out.String(), "--change-id") {
		t.Errorf("exit code %d: %s", code, out.String())
	}
}

// An apply sends only the files that differ from their base.
func TestApplySendsOnlyWhatChanged(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "system.toml", goodSystem)
	write(t, dir, "teams/a.toml", "priority = 4\n")
	write(t, dir, "teams/b.toml", "priority = 2\n")
	base, err := json.Marshal(map[string]any{"version": 9, "nodes": []settings.Node{
		{Path: "system", Text: goodSystem}, {Path: "teams/a", Text: "priority = 3\n"}, {Path: "teams/b", Text: "priority = 2\n"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	write(t, dir, ".hemlock.json", string(base))
	fake := &fakeDaemon{t: t, expectedCalls: []string{"POST /v1/settings"}, status: 200, answer: operatorapi.ApplyResponse{Version: 10}}
	server := httptest.NewServer(fake)
	defer server.Close()
	var out bytes.Buffer
	args := []string{"hemlockctl", "--operator", strings.TrimPrefix(server.URL, "http://"), "--key", "the-key", "settings", "apply", dir}
	if code := Run(context.Background(), args, &out, &out); code != ExitOK {
		t.Fatal(out.String())
	}
	if fake.change.BaseVersion != 9 || len(fake.change.Nodes) != 1 || fake.change.Nodes[0].After != "priority = 4\n" {
		t.Errorf("got change %+v", fake.change)
	}
}

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// The reference page must match the settings' structs.
func TestReferencePageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	Run(context.Background(), []string{"hemlockctl", "settings", "reference"}, &out, &out)
	if out.String() != string(page) {
		t.Error("docs/settings.md differs from the output of `hemlockctl settings reference`; generate it again")
	}
}
