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

// TestUnframedAnswerStaysUnframed guards against an answer that an instance's end may have cut, with
// neither length nor chunks, and that the caller gets as provably whole.
func TestUnframedAnswerStaysUnframed(t *testing.T) {
	for name, test := range map[string]struct {
		head string
		want bool
	}{
		"neither": {"", false},
		"length":  {"Content-Length: 4\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawInstance(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+test.head+"\r\npart")
			p := newTestPort(t, "",
				upstream("s1", settings.KindService, "s", address), upstream("o1", settings.KindService, "once", address))
			for range 2 { // the second placement is a replay
				for _, path := range []string{"/services/s/x", "/services/once/x"} {
					a, err := p.call(http.MethodPost, path, "", "Idempotency-Key", "k")
					if err != nil || a.status != http.StatusOK || a.body != "part" || a.framed != test.want {
						t.Errorf("%s: status %d, body %q, error %v, end marked %t; want it %t", path, a.status, a.body, err, a.framed, test.want)
					}
				}
			}
			p.checkVerdicts()
		})
	}
}
