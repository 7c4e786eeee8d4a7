package callers

import (
	"net/http"
	"testing"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// TestUnreadableChunkIsUpstreamFailure guards against a caller of a buffered answer that is told
// that it has disconnected, or gets a part of the answer as the whole, when an engine sends
// a chunk that can't be decoded.
func TestUnreadableChunkIsUpstreamFailure(t *testing.T) {
	for name, bad := range map[string]string{
		"not JSON":    `{"choices":[{"text":"b`,
		"not a chunk": `[]`,
		"empty":       ``,
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPort(t, "",
				upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
				upstream("d1", settings.KindDecode, "m", engine(t, events(chunkText("a"), bad, chunkText("c"), completions.DoneEvent))))
			a, err := p.call(http.MethodPost, completions.Path, completion(false))
			if err != nil {
				t.Fatal(err)
			}
			if a.status != http.StatusBadGateway || a.problem.Reason != problem.UpstreamFailed || a.problem.Ran != problem.RanYes {
				t.Errorf("status %d, body %s; want %s with ran yes", a.status, a.body, problem.UpstreamFailed)
			}
			p.checkVerdicts()
		})
	}
}

// TestErrorInStreamIsUpstreamFailure guards against a buffered answer that ends early and
// looks whole: engines report an error in the middle of an answer as a chunk.
func TestErrorInStreamIsUpstreamFailure(t *testing.T) {
	p := newTestPort(t, "",
		upstream("p1", settings.KindPrefill, "m", prefillEngine(t)),
		upstream("d1", settings.KindDecode, "m", engine(t, events(chunkText("a"), `{"error":{"message":"out of memory"}}`, completions.DoneEvent))))
	a, err := p.call(http.MethodPost, completions.Path, completion(false))
	if err != nil {
		t.Fatal(err)
	}
	if a.status != http.StatusBadGateway || a.problem.Reason != problem.UpstreamFailed || a.problem.Ran != problem.RanYes {
		t.Errorf("status %d, body %s; want %s with ran yes", a.status, a.body, problem.UpstreamFailed)
	}
	p.checkVerdicts()
}
