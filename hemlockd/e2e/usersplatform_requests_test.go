package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

func TestPlatformServesAllRoutes(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	for i, d := range p.daemons {
		if a := p.send(d, fmt.Sprint("l", i), "/lookup/a%2Fb?q=1", "", nil); a.status != http.StatusOK || !strings.HasPrefix(a.header.Get("X-Server-Seal"), "seal-") {
			t.Errorf("lookup: %+v", a)
		}
		if got := p.arrivals(fmt.Sprint("l", i)); len(got) != 1 || got[0].Target != "/lookup/a%2Fb?q=1" {
			t.Errorf("arrivals of the lookup: %+v", got)
		}
		if a := p.send(d, fmt.Sprint("o", i), "/order/x", "an order", nil); a.status != http.StatusOK || a.body != "answer of 8 bytes asked" {
			t.Errorf("order: %+v", a)
		}
		if a := p.stream(d, fmt.Sprint("s", i), "resumable", 8); a.err != nil || a.body != expectedStream(8) {
			t.Errorf("stream: %+v", a)
		}
		if a := p.send(d, fmt.Sprint("n", i), "/nowhere/x", "", nil); a.status != http.StatusNotFound {
			t.Errorf("unknown route: %+v", a)
		}
		if a := p.send(d, fmt.Sprint("b", i), "/order/x", strings.Repeat("x", 70000), nil); a.status != http.StatusRequestEntityTooLarge {
			t.Errorf("body too large: status %d", a.status)
		}
	}
	var phases []string
	for _, a := range p.arrivals("s0") {
		phases = append(phases, a.Phase)
	}
	if strings.Join(phases, " ") != "prefill decode" {
		t.Errorf("phases %v", phases)
	}
}

func TestPlatformOrderRunsAtMostOnce(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.injectServerFault(id, map[string]any{"loseAnswers": true})
	}
	if a := p.send(p.daemons[0], "o1", "/order/x", "an order", nil); a.status != http.StatusBadGateway || p.runCount("o1") != 1 {
		t.Errorf("status %d, %d runs; an order that ran and whose response was lost must not be retried", a.status, p.runCount("o1"))
	}
	for _, id := range []string{"i-desk1", "i-desk2"} {
		p.injectServerFault(id, map[string]any{"busy": true})
	}
	if a := p.send(p.daemons[0], "o2", "/order/x", "an order", nil); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || p.runCount("o2") != 0 {
		t.Errorf("status %d, Retry-After %q, %d runs", a.status, a.header.Get("Retry-After"), p.runCount("o2"))
	}
	p.injectServerFault("i-desk1", map[string]any{})
	p.injectServerFault("i-desk2", map[string]any{"loseAnswers": true, "once": true})
	if a := p.send(p.daemons[0], "l1", "/lookup/x", "", nil); a.status != http.StatusOK {
		t.Errorf("lookup: status %d", a.status)
	}
}

func TestPlatformStreamGoesOnAtAnotherEngine(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	cut := map[string]any{"cutAfter": 4, "once": true}
	p.injectServerFault("i-dec1", cut)
	p.injectServerFault("i-dec2", map[string]any{})
	for i := range 4 { // some of them run on the engine that cuts streams
		id := fmt.Sprint("r", i)
		if a := p.stream(p.daemons[0], id, "resumable", 12); a.err != nil || a.body != expectedStream(12) {
			t.Errorf("%s: %v, body %q, arrivals %+v", id, a.err, a.body, p.arrivals(id))
		}
	}
	p.injectServerFault("i-dec1", cut)
	p.injectServerFault("i-dec2", cut)
	a := p.stream(p.daemons[0], "once1", "once", 12)
	if a.err == nil || p.runCount("once1") != 1 {
		t.Errorf("stream that is not resumable: error %v, %d runs; want an error and 1 run", a.err, p.runCount("once1"))
	}
}

func TestPlatformRefusesStreamsBeyondKVCapacity(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	var wg sync.WaitGroup
	answers := make([]platformResponse, 24)
	for i := range answers {
		wg.Go(func() { answers[i] = p.stream(p.daemons[0], fmt.Sprint("f", i), "once", 100) })
	}
	wg.Wait()
	refused := 0
	for i, a := range answers {
		switch {
		case a.status == http.StatusServiceUnavailable:
			refused++
			if p.runCount(fmt.Sprint("f", i)) != 0 || a.header.Get("Retry-After") == "" {
				t.Errorf("f%d refused, %d runs, Retry-After %q", i, p.runCount(fmt.Sprint("f", i)), a.header.Get("Retry-After"))
			}
		case a.err != nil || a.body != expectedStream(100):
			t.Errorf("f%d: status %d, %v", i, a.status, a.err)
		}
	}
	if refused == 0 {
		t.Error("24 streams of 1,100 tokens were admitted to a KV capacity of 8,000 tokens")
	}
}
