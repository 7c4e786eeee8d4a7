package callers

import (
	"net/http"
	"testing"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// TestInvalidStatusIsFailedCall guards against a connection that closes without an answer when
// an instance answers with a status that is none.
func TestInvalidStatusIsFailedCall(t *testing.T) {
	for _, status := range []string{"099", "000", "600", "999", "101"} {
		t.Run(status, func(t *testing.T) {
			address := rawInstance(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
			p := newTestPort(t, "",
				upstream("s1", settings.KindService, "s", address), upstream("o1", settings.KindService, "once", address))
			a, err := p.call(http.MethodGet, "/services/s/x", "")
			if err != nil {
				t.Errorf("idempotent call: %v", err)
			} else if a.status != http.StatusBadGateway || a.problem.Reason != problem.UpstreamFailed || a.problem.Ran == problem.RanNo {
				t.Errorf("idempotent call: status %d, body %q; want %s", a.status, a.body, problem.UpstreamFailed)
			}
			for range 2 { // the second is told of the first
				a, err = p.call(http.MethodPost, "/services/once/x", "", "Idempotency-Key", "k")
				if err != nil {
					t.Errorf("placement: %v", err)
				} else if a.status != http.StatusConflict || a.problem.Reason != problem.OutcomeUnknown || a.problem.Ran == problem.RanNo {
					t.Errorf("placement: status %d, body %q; want %s", a.status, a.body, problem.OutcomeUnknown)
				}
			}
			p.checkVerdicts()
		})
	}
}
