package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
)

// ownStopDrainMs is the drainMs of these tests; a stop takes one second more.
const ownStopDrainMs = 2000

// deployOwnStop starts daemons whose engines need 10 ms a token and whose service needs longer than a stop.
func deployOwnStop(t *testing.T, daemons int) *deployment {
	t.Helper()
	d := deploy(t, options{
		daemons: daemons, daemon: fmt.Sprintf("drainMs = %d\n", ownStopDrainMs),
		model:   "prefillTokenUs = 20\nstepBaseMs = 10.0\nstepPerSlotMs = 0.1\n",
		service: "timeoutMs = 6000\n",
	})
	return d
}

// modelKeeper returns the one of two daemons that runs the streams of both, and the other one.
func (d *deployment) modelKeeper() (keeper, other *daemon) {
	d.t.Helper()
	done := make(chan response, 1)
	go func() { done <- d.daemons[0].stream("where", 100) }()
	keeper, other = d.daemons[0], d.daemons[1]
	d.eventually("a stream runs", 5*time.Second, func() bool {
		if other.metric("daemon", "keeperRuns") == 1 {
			keeper, other = other, keeper
		}
		return keeper.metric("daemon", "keeperRuns") == 1
	})
	if a := <-done; a.err != nil {
		d.t.Fatal(a.err)
	}
	return keeper, other
}

// keptCaller is a caller on one connection, which it keeps.
type keptCaller struct {
	m      *daemon
	client *http.Client
}

func newKeptCaller(m *daemon) *keptCaller {
	return &keptCaller{m: m, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 20 * time.Second}}
}

// post sends a request and reads its answer; closes reports whether the answer closes the connection.
func (c *keptCaller) post(path, body, key string) (a response, closes bool) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.m.callers+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}, false
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if key != "" { // net/http sends a request with this header again by itself
		req.Header.Set("Idempotency-Key", key)
	}
	started := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return response{err: err, elapsed: time.Since(started)}, false
	}
	return readAnswer(resp, started), resp.Close
}

func readAnswer(resp *http.Response, started time.Time) response {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err, elapsed: time.Since(started)}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		_ = json.Unmarshal(text, &a.problem)
	}
	return a
}

// checkOwed returns what is wrong with the answer to a request that a stopping daemon has read, or "": it is whole,
// or says that the request was not run and when to come back, on a connection that it closes.
func checkOwed(a response, closes bool, tokens int, stream bool) string {
	switch {
	case a.err != nil:
		return "no whole answer: " + a.err.Error()
	case a.problem.Reason != "":
		if a.problem.Ran != problem.RanNo || a.header.Get("Retry-After") == "" || !closes || a.elapsed > 700*time.Millisecond {
			return fmt.Sprintf("refused with ran %s, Retry-After %q, closing %v, after %v: %s", a.problem.Ran, a.header.Get("Retry-After"), closes, a.elapsed, a.body)
		}
	case stream:
		return checkStream(a, tokens)
	case a.status/100 != 2:
		return fmt.Sprintf("status %d: %s", a.status, a.body)
	}
	return ""
}

// Guards against a stopping daemon that accepts streams, completions and calls to services which can't end before it
// exits, and cuts them off then.
func TestOwnDoorStoppingDaemonTakesOnlyWhatItCanFinish(t *testing.T) {
	const long, short = 600, 40
	d := deployOwnStop(t, 2)
	m := d.daemons[0]
	d.injectFault("brandon-a-service-1", "slow", map[string]any{"delayMs": 4500, "match": "/placements"})
	kinds := []struct {
		name, path string
		tokens     int
		stream     bool
	}{
		{"long stream", "/v1/completions", long, true},
		{"long completion", "/v1/completions", long, false},
		{"call", "/services/order-desk/placements", 0, false},
		{"short stream", "/v1/completions", short, true},
		{"short completion", "/v1/completions", short, false},
	}
	var mu sync.Mutex
	served := map[string]int{}
	var wg sync.WaitGroup
	signalled := make(chan struct{})
	for _, k := range kinds {
		for _, afterMs := range []int{100, 800} {
			for _, kept := range []bool{true, false} {
				name := fmt.Sprintf("%s after %d ms, kept %v", k.name, afterMs, kept)
				c := newKeptCaller(m)
				if kept {
					if a, _ := c.post("/v1/completions", completionBody("warm "+name, 2, false), ""); a.err != nil || a.status != http.StatusOK {
						t.Fatalf("%s: status %d, %v", name, a.status, a.err)
					}
				}
				wg.Go(func() {
					<-signalled
					time.Sleep(time.Duration(afterMs) * time.Millisecond)
					body := "{}"
					if k.tokens > 0 {
						body = completionBody(name, k.tokens, k.stream)
					}
					key := ""
					if k.tokens == 0 {
						key = name
					}
					a, closes := c.post(k.path, body, key)
					if defect := checkOwed(a, closes, k.tokens, k.stream); defect != "" {
						t.Errorf("%s: %s", name, defect)
					}
					if a.status/100 == 2 {
						mu.Lock()
						defer mu.Unlock()
						served[k.name]++
					}
				})
			}
		}
	}
	m.signal(syscall.SIGTERM)
	close(signalled)
	wg.Wait()
	d.eventually("the daemon has exited", 5*time.Second, m.exited)
	for _, k := range []string{"short stream", "short completion"} {
		if served[k] != 4 {
			t.Errorf("%s: %d of 4 were served; all fit", k, served[k])
		}
	}
	t.Logf("served: %v", served)
}

// Guards against a request that is accepted because it was begun in time, although its body ends so late that it can't
// end before the exit.
func TestOwnDoorStoppingDaemonAsksOnceTheBodyIsRead(t *testing.T) {
	d := deployOwnStop(t, 2)
	m := d.daemons[0]
	c, err := net.Dial("tcp", m.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	m.signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	body := completionBody("late body", 150, true) // 1.5 s
	_, _ = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body[:10])
	time.Sleep(1700 * time.Millisecond)
	started := time.Now()
	if _, err := io.WriteString(c, body[10:]); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if defect := checkOwed(readAnswer(resp, started), resp.Close, 150, true); defect != "" {
		t.Error(defect)
	}
}

// Guards against a keeper that stops and takes calls that other daemons hand over, which don't know yet that it stops, although
// they can't end before it exits.
func TestOwnDoorStoppingKeeperTakesOnlyWhatItCanFinish(t *testing.T) {
	d := deployOwnStop(t, 2)
	front, keeper := d.daemons[0], d.daemons[1]
	keeper.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	for _, tokens := range []int{40, 600} {
		text := keeper.handOver(fmt.Sprintf("%s-1-%d", front.name, tokens), front.name+"~1", tokens)
		whole, refused := strings.Contains(text, "[DONE]"), strings.Contains(text, `"reason":"notReady"`) && strings.Contains(text, `"ran":"no"`)
		if whole != (tokens == 40) || refused != (tokens == 600) {
			t.Errorf("%d tokens: whole %v, refused %v: %.300s", tokens, whole, refused, text)
		}
	}
}

// handOver hands a stream over to the daemon as another daemon does and returns the events.
func (m *daemon) handOver(id, front string, tokens int) string {
	head, _ := json.Marshal(map[string]any{
		"requestId": id, "team": "quotes", "model": "spec-models", "path": "/v1/completions", "promptTokens": 4, "outputTokens": tokens,
		"digest": id, "arrivedMs": time.Now().UnixMilli(), "front": front, "frontCentre": m.dataCentre,
	})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+m.advertise+"/handoff/models", strings.NewReader(completionBody(id, tokens, true)))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+daemonKey)
	req.Header.Set("X-Hemlock-Call", string(head))
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	a := readAnswer(resp, time.Now())
	return a.body
}
