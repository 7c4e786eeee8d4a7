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

// answer is a caller's view of one request.
type answer struct {
	status  int
	header  http.Header
	body    string
	problem problem.Problem // where the answer is one
	err     error
	took    time.Duration
}

func (a answer) id() string { return a.header.Get("X-Request-Id") }

// client opens a connection for each request, as many callers do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 40 * time.Second}

// call sends one request with the team's key.
func (m *daemon) call(method, path, body string, headers ...string) answer {
	return m.callAs(context.Background(), teamKey, method, path, body, headers...)
}

func (m *daemon) callAs(ctx context.Context, key, method, path, body string, headers ...string) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	started := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(text), err: err, took: time.Since(started)}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		_ = json.Unmarshal(text, &a.problem)
	}
	return a
}

// place sends a placement.
func (m *daemon) place(key, body string) answer {
	return m.call(http.MethodPost, "/services/order-desk/placements", body, "Idempotency-Key", key)
}

// complete asks for a whole answer.
func (m *daemon) complete(prompt string, tokens int) answer {
	return m.call(http.MethodPost, "/v1/completions", completion(prompt, tokens, false))
}

// stream asks for a streamed answer.
func (m *daemon) stream(prompt string, tokens int) answer {
	return m.call(http.MethodPost, "/v1/completions", completion(prompt, tokens, true))
}

func completion(prompt string, tokens int, stream bool) string {
	text, _ := json.Marshal(map[string]any{"model": "spec-models", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(text)
}

// background calls do again and again from a number of workers, until the
// function that it returns is called; that waits for the last calls.
func background(workers int, do func(w, i int)) (end func()) {
	stop := make(chan struct{})
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
					do(w, i)
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(stop)
		all.Wait()
	})
}

// whole tells what is wrong with a streamed answer, or "".
func whole(a answer, tokens int) string {
	if a.err != nil {
		return a.err.Error()
	}
	next := 0
	first := ""
	for _, line := range strings.Split(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if next != tokens {
				return fmt.Sprintf("%d chunks, not %d", next, tokens)
			}
			return ""
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return "a chunk that can't be read: " + data
		}
		digest, place, _ := strings.Cut(strings.TrimSpace(chunk.Choices[0].Text), ".")
		if first == "" {
			first = digest
		}
		if digest != first || place != strconv.Itoa(next) {
			return fmt.Sprintf("chunk %d is %q", next, chunk.Choices[0].Text)
		}
		next++
	}
	return "no end: " + a.body[max(0, len(a.body)-300):]
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

// runs counts how often the services ran a placement, by key.
func (d *deployment) runs() map[string]int {
	runs := map[string]int{}
	for _, e := range d.events() {
		if e.Event == "run" && e.Key != "" {
			runs[e.Key]++
		}
	}
	return runs
}

// ran tells whether any upstream ran any part of a request.
func (d *deployment) ran(requestID string) bool {
	for _, e := range d.events() {
		if e.Event == "run" && e.RequestID == requestID {
			return true
		}
	}
	return false
}

// held is the pieces of memory that the event log shows as held.
func (d *deployment) held() int {
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

// operator calls the operators' port.
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

// keeps tells whether the daemon keeps an engine.
func (m *daemon) keeps(engine string) bool {
	var list []operatorapi.UpstreamStatus
	_, _ = m.operator(http.MethodGet, "/v1/upstreams", nil, &list)
	for _, u := range list {
		if u.Name == engine && u.Keeper == m.name {
			return true
		}
	}
	return false
}

func (m *daemon) views() []operatorapi.DaemonStatus {
	var list []operatorapi.DaemonStatus
	_, _ = m.operator(http.MethodGet, "/v1/daemons", nil, &list)
	return list
}

// verdict asks for the verdict on a request; ok is false where there is none.
func (m *daemon) verdict(id string) (operatorapi.VerdictResponse, bool) {
	var v operatorapi.VerdictResponse
	status, err := m.operator(http.MethodGet, "/v1/verdicts/"+id, nil, &v)
	return v, err == nil && status == http.StatusOK
}

// apply changes settings through the first daemon that takes the change.
func (d *deployment) apply(from int64, nodes ...settings.NodeChange) int64 {
	d.t.Helper()
	change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: from, Nodes: nodes}
	var out operatorapi.ApplyResponse
	status, err := d.daemons[0].operator(http.MethodPost, "/v1/settings", change, &out)
	if err != nil || status != http.StatusOK {
		d.t.Fatalf("apply: status %d, %v", status, err)
	}
	return out.Version
}

// versions returns the settings version in force at each daemon.
func (m *daemon) version() int64 {
	var out operatorapi.SettingsResponse
	for _, v := range m.views() {
		if v.Name == m.name {
			return v.SettingsVersion
		}
	}
	return out.Version
}

// metric reads one number from the daemon's expvar.
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
