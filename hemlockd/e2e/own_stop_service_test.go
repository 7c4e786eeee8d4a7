package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
)

// handOverCall hands a call to a service over to the daemon as another daemon does and returns the outcome.
func (m *daemon) handOverCall(method, key string) string {
	head, _ := json.Marshal(map[string]any{
		"requestId": "front~1~" + method + key, "team": "quotes", "service": "order-desk", "method": method, "path": "/placements/1", "key": key,
		"digest": key, "header": map[string][]string{},
	})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+m.advertise+"/handoff/services", strings.NewReader("{}"))
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
	if a.err != nil {
		return a.err.Error()
	}
	return a.body
}

// Guards against calls to services that another daemon hands over to one that stops, and that it takes although they may not end
// before it exits, or that are in flight then and end without a result.
func TestOwnDoorStoppingDaemonTellsHandedOverCalls(t *testing.T) {
	d := deployOwnStop(t, 2)
	m := d.daemons[1]
	d.injectFault("brandon-a-service-1", "slow", map[string]any{"delayMs": 5500})
	type result struct{ name, text string }
	results := make(chan result, 2)
	go func() { results <- result{"placement", m.handOverCall(http.MethodPost, "before")} }()
	go func() { results <- result{"look-up", m.handOverCall(http.MethodGet, "")} }()
	time.Sleep(200 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		text := m.handOverCall(method, strings.Repeat("after", len(method)-3))
		if !strings.Contains(text, `"reason":"notReady"`) || !strings.Contains(text, `"ran":"no"`) {
			t.Errorf("%s after the signal: %s", method, text)
		}
	}
	for range 2 {
		r := <-results
		if !strings.Contains(r.text, `"ran":"unknown"`) || !strings.Contains(r.text, `"reason":"outcomeUnknown"`) && !strings.Contains(r.text, `"reason":"daemonLost"`) {
			t.Errorf("%s before the signal: %s", r.name, r.text)
		}
	}
	d.eventually("the daemon has exited", 5*time.Second, m.exited)
}

// Guards against SIGINT that ends the wait for requests in flight by closed connections: callers get the reason.
func TestOwnDoorInterruptedStopIsTold(t *testing.T) {
	d := deployOwnStop(t, 2)
	m, other := d.modelKeeper()
	streams := make(chan response, 2)
	go func() { streams <- m.stream("interrupted", 600) }()
	go func() { streams <- m.complete("interrupted completion", 600) }()
	time.Sleep(300 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	m.signal(syscall.SIGINT)
	signalled := time.Now()
	for range 2 {
		a := <-streams
		d.eventually("the daemon has exited", 5*time.Second, m.exited)
		if defect := checkToldOfEnd(a, other, problem.DaemonLost, problem.RanYes, problem.RanUnknown); defect != "" {
			t.Error(defect)
		}
	}
	if took := time.Since(signalled); took > 1500*time.Millisecond {
		t.Errorf("the daemon has exited %v after SIGINT", took)
	}
}
