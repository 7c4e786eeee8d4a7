package callers

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// partsBody is a completions request whose prompt has the parts and one of its own.
func partsBody(own int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"first\n\nguilty\n\nown %d","max_tokens":4,"stream":true}`, own)
}

// sharedParts are the parts of partsBody.
func sharedParts() []string {
	return completions.Request{Messages: []completions.Message{{Content: "first"}, {Content: "guilty"}, {Content: "own"}}}.SharedParts()
}

// blame records that three engines crashed a time ago during requests with the parts.
func (p *testPort) blame(ago clock.Millis) {
	for i := range 3 {
		p.parts.RecordCrash("m", fmt.Sprint("process ", i), sharedParts(), p.env.Clock.Now()-ago)
	}
}

// counted returns a handler that counts its calls.
func counted(calls *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		handler(w, r)
	}
}

func prefilled(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprint(w, `{"kv_transfer_params":{"do_remote_prefill":true}}`)
}

// cut ends the connection; it does not know streams to be resumed.
func cut(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last-Event-ID") != "" {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	panic(http.ErrAbortHandler)
}

// checkRefusal fails the test unless the answer is a refusal because of the second part.
func checkRefusal(t *testing.T, a answer, ran problem.Ran) {
	t.Helper()
	if a.status != http.StatusServiceUnavailable || a.problem.Reason != problem.CrashingPart || a.problem.Ran != ran ||
		a.header.Get("Retry-After") == "" || !strings.Contains(a.problem.Detail, "3 engines crashed") || !strings.Contains(a.problem.Detail, "paragraph 2 of the prompt") {
		t.Errorf("status %d, Retry-After %q, body %s", a.status, a.header.Get("Retry-After"), a.body)
	}
}

// TestCrashingPartIsRefusedAtThePort checks that no engine gets a request with a blamed part.
func TestCrashingPartIsRefusedAtThePort(t *testing.T) {
	var calls atomic.Int64
	p := newTestPort(t, "",
		upstream("p1", settings.KindPrefill, "m", engine(t, counted(&calls, prefilled))),
		upstream("d1", settings.KindDecode, "m", engine(t, counted(&calls, events(chunkText("a"), completions.DoneEvent)))))
	p.blame(0)
	a, err := p.call(http.MethodPost, completions.Path, partsBody(1))
	if err != nil || calls.Load() != 0 {
		t.Errorf("error %v, %d calls of engines", err, calls.Load())
	}
	checkRefusal(t, a, problem.RanNo)
	if a, err := p.call(http.MethodPost, completions.Path, completion(true)); err != nil || a.status != http.StatusOK {
		t.Errorf("another request: error %v, status %d", err, a.status)
	}
	p.checkVerdicts()
}

// TestCrashingPartIsRefusedBeforeAdmission checks that a request with a blamed part does not wait
// for engines: without engines it would be refused for another reason.
func TestCrashingPartIsRefusedBeforeAdmission(t *testing.T) {
	p := newTestPort(t, "")
	p.blame(0)
	a, err := p.call(http.MethodPost, completions.Path, partsBody(1))
	if err != nil {
		t.Fatal(err)
	}
	checkRefusal(t, a, problem.RanNo)
	p.checkVerdicts()
}

// TestPartBlamedDuringPrefillIsNotDecoded checks the refusal of a request that was under way
// when its part was blamed.
func TestPartBlamedDuringPrefillIsNotDecoded(t *testing.T) {
	var p *testPort
	var decodes atomic.Int64
	prefill := engine(t, func(w http.ResponseWriter, r *http.Request) {
		p.blame(0)
		prefilled(w, r)
	})
	p = newTestPort(t, "",
		upstream("p1", settings.KindPrefill, "m", prefill),
		upstream("d1", settings.KindDecode, "m", engine(t, counted(&decodes, events(chunkText("a"), completions.DoneEvent)))))
	a, err := p.call(http.MethodPost, completions.Path, partsBody(1))
	if err != nil || decodes.Load() != 0 {
		t.Errorf("error %v, %d decodes", err, decodes.Load())
	}
	checkRefusal(t, a, problem.RanYes)
	p.checkVerdicts()
}

// TestTryOfPartIsNotRepeated checks that the request that tries a part again runs once, although
// its decode fails.
func TestTryOfPartIsNotRepeated(t *testing.T) {
	var prefills, decodes atomic.Int64
	decode := func() string { return engine(t, counted(&decodes, cut)) }
	p := newTestPort(t, "maxAttempts = 4\nretryRatio = 1.0\n",
		upstream("p1", settings.KindPrefill, "m", engine(t, counted(&prefills, prefilled))),
		upstream("d1", settings.KindDecode, "m", decode()), upstream("d2", settings.KindDecode, "m", decode()))
	p.blame(31 * clock.Second)
	a, err := p.call(http.MethodPost, completions.Path, partsBody(1))
	if err != nil || a.problem.Reason != problem.UpstreamFailed || prefills.Load() != 1 || decodes.Load() != 2 {
		t.Errorf("error %v, reason %q, %d prefills, %d decodes with the resumption", err, a.problem.Reason, prefills.Load(), decodes.Load())
	}
	a, err = p.call(http.MethodPost, completions.Path, partsBody(2))
	if err != nil {
		t.Error(err)
	}
	checkRefusal(t, a, problem.RanNo)
	p.checkVerdicts()
}

// TestTryOfPartIsNotPrefilledAgain checks the same of a prefill that fails.
func TestTryOfPartIsNotPrefilledAgain(t *testing.T) {
	var prefills atomic.Int64
	prefill := func() string { return engine(t, counted(&prefills, cut)) }
	p := newTestPort(t, "maxAttempts = 4\nretryRatio = 1.0\n",
		upstream("p1", settings.KindPrefill, "m", prefill()), upstream("p2", settings.KindPrefill, "m", prefill()),
		upstream("d1", settings.KindDecode, "m", engine(t, cut)))
	p.blame(31 * clock.Second)
	a, err := p.call(http.MethodPost, completions.Path, partsBody(1))
	if err != nil || a.problem.Reason != problem.UpstreamFailed || prefills.Load() != 1 {
		t.Errorf("error %v, reason %q, %d prefills", err, a.problem.Reason, prefills.Load())
	}
	p.checkVerdicts()
}

// TestCutConnectionsBlameNoPart guards against the blame of a part because of a network that
// cuts connections of engines which go on.
func TestCutConnectionsBlameNoPart(t *testing.T) {
	p := newTestPort(t, "maxAttempts = 4\nretryRatio = 1.0\n",
		upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
		upstream("d1", settings.KindDecode, "m", engine(t, cut)), upstream("d2", settings.KindDecode, "m", engine(t, cut)))
	for i := range 6 {
		a, err := p.call(http.MethodPost, completions.Path, partsBody(i))
		if err != nil || a.status == http.StatusOK || a.problem.Reason == problem.CrashingPart {
			t.Errorf("error %v, status %d, body %s", err, a.status, a.body)
		}
	}
	if reports := p.parts.Recent(p.env.Clock.Now()); len(reports) != 0 {
		t.Errorf("evidence: %+v", reports)
	}
	p.checkVerdicts()
}

// TestCompletedAnswerClearsParts checks that an answer that ends clears the parts of its prompt, and
// one that does not end clears none.
func TestCompletedAnswerClearsParts(t *testing.T) {
	for name, test := range map[string]struct {
		serve http.HandlerFunc
		clear bool
	}{"ends": {events(chunkText("a"), completions.DoneEvent), true}, "is cut": {cut, false}} {
		t.Run(name, func(t *testing.T) {
			p := newTestPort(t, "",
				upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
				upstream("d1", settings.KindDecode, "m", engine(t, test.serve)))
			p.blame(31 * clock.Second)
			if _, err := p.call(http.MethodPost, completions.Path, partsBody(1)); err != nil {
				t.Error(err)
			}
			if blamed := p.parts.Blamed(p.env.Clock.Now()); (len(blamed) == 0) != test.clear {
				t.Errorf("blamed: %+v", blamed)
			}
		})
	}
}
