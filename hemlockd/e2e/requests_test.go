package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// response is what a caller received for one request.
type response struct {
	status  int
	header  http.Header
	body    string
	problem problem.Problem // set if the body is a problem document
	err     error
	elapsed time.Duration // from sending to the end of the body
}

func (a response) id() string { return a.header.Get("X-Request-Id") }

// client opens a new connection for each request, as many callers do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 40 * time.Second}

// call sends one request with the team's key; headers are names and values in turn.
func (m *daemon) call(method, path, body string, headers ...string) response {
	return m.callAs(context.Background(), teamKey, method, path, body, headers...)
}

// callAs is call with a context and any key.
func (m *daemon) callAs(ctx context.Context, key, method, path, body string, headers ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err, elapsed: time.Since(started)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err, elapsed: time.Since(started)}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		_ = json.Unmarshal(text, &a.problem)
	}
	return a
}

// createPlacement posts a placement with an idempotency key.
func (m *daemon) createPlacement(key, body string) response {
	return m.call(http.MethodPost, "/services/order-desk/placements", body, "Idempotency-Key", key)
}

// complete requests a completion in one response.
func (m *daemon) complete(prompt string, tokens int) response {
	return m.call(http.MethodPost, "/v1/completions", completionBody(prompt, tokens, false))
}

// stream requests a completion as a stream of events.
func (m *daemon) stream(prompt string, tokens int) response {
	return m.call(http.MethodPost, "/v1/completions", completionBody(prompt, tokens, true))
}

func completionBody(prompt string, tokens int, stream bool) string {
	text, _ := json.Marshal(map[string]any{"model": "spec-models", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(text)
}

// runWorkers starts workers that call do repeatedly, with the worker's number and
// the number of the call, until stop is called. stop waits for the last calls.
func runWorkers(workers int, do func(w, i int)) (stop func()) {
	stopping := make(chan struct{})
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stopping:
					return
				default:
					do(w, i)
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(stopping)
		wg.Wait()
	})
}

// checkStream returns what is wrong with a streamed response of so many tokens, or
// "" if it is complete, in order and made of one digest.
func checkStream(a response, tokens int) string {
	if a.err != nil {
		return a.err.Error()
	}
	next := 0
	firstDigest := ""
	for _, line := range strings.Split(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if next != tokens {
				return fmt.Sprintf("got %d chunks, want %d", next, tokens)
			}
			return ""
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return "unreadable chunk: " + data
		}
		digest, index, _ := strings.Cut(strings.TrimSpace(chunk.Choices[0].Text), ".")
		if firstDigest == "" {
			firstDigest = digest
		}
		if digest != firstDigest || index != strconv.Itoa(next) {
			return fmt.Sprintf("chunk %d has unexpected text %q", next, chunk.Choices[0].Text)
		}
		next++
	}
	return "stream ended without [DONE]: " + a.body[max(0, len(a.body)-300):]
}

// event is one line of the stand-ins' event log.
type event struct {
	Event     string `json:"event"`
	Upstream  string `json:"upstream"`
	RequestID string `json:"requestId"`
	Key       string `json:"key"`
	Phase     string `json:"phase"`
	Pieces    int    `json:"pieces"`
	AtMs      int64  `json:"atMs"`
}

func (d *deployment) events() []event {
	file, err := os.Open(filepath.Join(d.dir, "events.jsonl"))
	if err != nil {
		d.t.Fatal(err)
	}
	defer file.Close()
	var events []event
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			events = append(events, e)
		}
	}
	return events
}

// runsByKey returns how often services ran each placement, by idempotency key.
func (d *deployment) runsByKey() map[string]int {
	runs := map[string]int{}
	for _, e := range d.events() {
		if e.Event == "run" && e.Key != "" {
			runs[e.Key]++
		}
	}
	return runs
}

// ran reports whether any upstream ran any part of a request.
func (d *deployment) ran(requestID string) bool {
	for _, e := range d.events() {
		if e.Event == "run" && e.RequestID == requestID {
			return true
		}
	}
	return false
}

// heldPieces returns the number of memory pieces that engines hold according to the
// event log.
func (d *deployment) heldPieces() int {
	held := 0
	for _, e := range d.events() {
		switch e.Event {
		case "take":
			held += e.Pieces
		case "free":
			held -= e.Pieces
		}
	}
	return held
}

// operator calls the operators' interface with a JSON body and decodes the response
// into out.
func (m *daemon) operator(method, path string, in, out any) (int, error) {
	text, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+m.operators+path, bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

// isKeeperOf reports whether the daemon is the keeper of an engine.
func (m *daemon) isKeeperOf(engine string) bool {
	var list []operatorapi.UpstreamStatus
	_, _ = m.operator(http.MethodGet, "/v1/upstreams", nil, &list)
	for _, u := range list {
		if u.Name == engine && u.Keeper == m.name {
			return true
		}
	}
	return false
}

// daemonStatuses returns the state of all daemons as this daemon sees it.
func (m *daemon) daemonStatuses() []operatorapi.DaemonStatus {
	var list []operatorapi.DaemonStatus
	_, _ = m.operator(http.MethodGet, "/v1/daemons", nil, &list)
	return list
}

// verdict returns the verdict on a request, and whether the daemon found one.
func (m *daemon) verdict(id string) (operatorapi.VerdictResponse, bool) {
	var v operatorapi.VerdictResponse
	status, err := m.operator(http.MethodGet, "/v1/verdicts/"+id, nil, &v)
	return v, err == nil && status == http.StatusOK
}

// applySettings applies a change to the settings of version from through the first
// daemon and returns the new version. It fails the test if the change is refused.
func (d *deployment) applySettings(from int64, nodes ...settings.NodeChange) int64 {
	d.t.Helper()
	change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: from, Nodes: nodes}
	var out operatorapi.ApplyResponse
	status, err := d.daemons[0].operator(http.MethodPost, "/v1/settings", change, &out)
	if err != nil || status != http.StatusOK {
		d.t.Fatalf("apply settings: status %d, error %v", status, err)
	}
	return out.Version
}

// settingsVersion returns the version of the settings in force at the daemon.
func (m *daemon) settingsVersion() int64 {
	var out operatorapi.SettingsResponse
	for _, v := range m.daemonStatuses() {
		if v.Name == m.name {
			return v.SettingsVersion
		}
	}
	return out.Version
}

// metric returns one number of a group of the daemon's expvar variables, or 0 if it
// can't be read.
func (m *daemon) metric(group, name string) float64 {
	resp, err := client.Get("http://" + m.operators + "/debug/vars")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var vars map[string]json.RawMessage
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0
	}
	var values map[string]any
	_ = json.Unmarshal(vars[group], &values)
	v, _ := values[name].(float64)
	return v
}
