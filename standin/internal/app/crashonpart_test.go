package app

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/settings"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDecodeEngine starts the stand-ins with one decode engine and returns the
// addresses of the engine and of the administration port.
func startDecodeEngine(t *testing.T) (engine, admin string) {
	t.Helper()
	engine, admin = freeAddress(t), freeAddress(t)
	system, err := settings.Parse(1, []settings.Node{{Path: settings.SystemPath, Text: fmt.Sprintf(`
[models.m]
stepBaseMs = 1.0
[dataCentres.a]
region = "a"
[upstreams.d]
kind = "decode"
model = "m"
address = %q
dataCentre = "a"
`, engine)}})
	if err != nil {
		t.Fatal(err)
	}
	cfg := DefaultConfig()
	cfg.Events = filepath.Join(t.TempDir(), "events.jsonl")
	cfg.Admin, cfg.Table, cfg.Objects, cfg.VMs = admin, freeAddress(t), freeAddress(t), freeAddress(t)
	_, closeApp, err := New(cfg, system.System, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeApp)
	return engine, admin
}

// post sends a JSON body and returns an error unless a whole answer arrived.
func post(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if answer, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, error %w, body %s", resp.StatusCode, err, answer)
	}
	return nil
}

func TestCrashOnPart(t *testing.T) {
	engine, admin := startDecodeEngine(t)
	if err := post("http://"+admin+"/faults", map[string]any{"target": "d", "fault": "crashOnPart", "texts": []string{"bad"}, "restartMs": 700}); err != nil {
		t.Fatal(err)
	}
	complete := func(parts ...string) error {
		return post("http://"+engine+"/v1/completions", map[string]any{"model": "m", "prompt": strings.Join(parts, "\n\n"), "max_tokens": 3})
	}
	chat := func(parts ...string) error {
		messages := []any{}
		for _, part := range parts {
			messages = append(messages, map[string]any{"role": "user", "content": part})
		}
		return post("http://"+engine+"/v1/chat/completions", map[string]any{"model": "m", "messages": messages, "max_tokens": 3})
	}
	for _, send := range []func(...string) error{complete, chat} {
		for _, parts := range [][]string{{"first", "own"}, {"first", "bad"}, {"bad"}, {"first", "a bad one", "own"}} {
			if err := send(parts...); err != nil {
				t.Errorf("%q: %v", parts, err)
			}
		}
		crashed := time.Now()
		if send("first", "bad", "own") == nil {
			t.Error("the part did not crash the engine")
		}
		for send("first", "own") != nil && time.Since(crashed) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if down := time.Since(crashed); down < 700*time.Millisecond || down > 5*time.Second {
			t.Errorf("the engine was down for %v, want 700 ms", down)
		}
	}
}
