package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a decode engine that reads prompts itself and writes one event every gap.
type engine struct {
	id, service string
	slots       int
	store       *store
	gap         time.Duration
	events      int
	// onBegin and onEnd are called when the engine begins a stream and when it ends; whole is set if all
	// events were written.
	onBegin func(id string)
	onEnd   func(id string, events int, whole bool)

	mu      sync.Mutex
	running int
	address string
}

func (e *engine) start() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	e.address = l.Addr().String()
	go http.Serve(l, http.HandlerFunc(e.serve))
	entry, _ := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.address, "Zone": "brandon-a", "Version": "v1", "Slots": e.slots, "State": "ready", "Stage": "decode",
		"Models": []any{map[string]any{"Name": "m", "Version": 1}}, "ColdLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	e.store.set("servers", e.id, entry)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	switch r.URL.Path {
	case "/health":
		return
	case "/hemlockmux/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "decode", "Busy": false, "Sequence": 0, "Active": e.running})
		return
	case "/hemlockmux/hold-take", "/hemlockmux/order": // no room, and no other stage
		status := http.StatusServiceUnavailable
		if r.URL.Path == "/hemlockmux/order" {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != e.id || r.Header.Get("X-Stage") == "prefill" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	full := e.running >= e.slots
	if !full {
		e.running++
	}
	e.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.onBegin(attempt)
	w.Header().Set("X-Server-Seal", "seal-"+e.id+"-"+attempt)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(e.gap):
		case <-r.Context().Done():
			e.onEnd(attempt, n-1, false)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, attempt)
		_ = http.NewResponseController(w).Flush()
	}
	e.onEnd(attempt, e.events, true)
}

// configureEngines writes a configuration with one service of engines.
func configureEngines(s *store, version, timeoutMs int) {
	r := route("r-assess", "/assess/", "streaming", "spec-models", timeoutMs, 1)
	r["TargetLatencyMs"], r["GapTargetMs"], r["Sticky"], r["Priority"] = 900, 300, true, 1
	raw, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": []any{r},
		"Services": []any{map[string]any{"Name": "spec-models", "HealthPath": "/health", "MaxConns": 290, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
			"Slots": 48, "KvCapacity": 76160, "KvTokenBytes": 163840, "LinkMbps": 8800000.0, "Moves": true, "Backups": true, "Stride": 1, "most": 12,
			"KvHoldS": 0.5, "SwapS": 6.0, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": []any{map[string]any{"Name": "m"}},
		}}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	s.set("op", "config", raw)
}
