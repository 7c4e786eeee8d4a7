package e2e

import (
	"context"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/problem"
)

// An invalid request gets a 4xx with a message that says what to change, and a
// verdict. No upstream runs it, and no engine memory or open request remains.
func TestBadRequestsAreRefused(t *testing.T) {
	d := deploy(t, options{policy: "maxBodyBytes = 2000", team: "requestsPerSecond = 1000.0\nburst = 1000"})
	m := d.daemons[0]
	good := completionBody("hello", 3, false)
	for _, c := range []struct {
		name, key, method, path, body string
		headers                       []string
		status                        int
		reason                        problem.Reason
		says                          string
	}{
		{"no key", "", "POST", "/v1/completions", good, nil, 401, problem.Unauthenticated, "Authorization: Bearer"},
		{"unknown key", "nobody", "POST", "/v1/completions", good, nil, 401, problem.Unauthenticated, "belongs to no team"},
		{"not JSON", teamKey, "POST", "/v1/completions", "{", nil, 400, problem.BadRequest, "not a JSON object"},
		{"a list", teamKey, "POST", "/v1/completions", "[1]", nil, 400, problem.BadRequest, "not a JSON object"},
		{"no prompt", teamKey, "POST", "/v1/completions", `{"model":"spec-models"}`, nil, 400, problem.BadRequest, "prompt"},
		{"unknown model", teamKey, "POST", "/v1/completions", `{"model":"spec-model","prompt":"x"}`, nil, 404, problem.UnknownModel, "spec-models"},
		{"too many tokens", teamKey, "POST", "/v1/completions", completionBody("x", 99999, false), nil, 400, problem.BadRequest, "use 1 to 1024"},
		{"several choices", teamKey, "POST", "/v1/completions", `{"model":"spec-models","prompt":"x","n":3}`, nil, 400, problem.BadRequest, "only 1"},
		{"too long", teamKey, "POST", "/v1/completions", completionBody(strings.Repeat("x", 3000), 3, false), nil, 413, problem.BodyTooLarge, "2000 bytes"},
		{"unknown path", teamKey, "POST", "/v1/nothing", good, nil, 404, problem.UnknownPath, "/v1/completions"},
		{"wrong method", teamKey, "GET", "/v1/completions", "", nil, 404, problem.UnknownPath, "POST"},
		{"unknown service", teamKey, "GET", "/services/nothing/x", "", nil, 404, problem.UnknownService, "order-desk"},
		{"service not allowed", lowKey, "GET", "/services/order-desk/stock/ash", "", nil, 403, problem.NotAllowed, "may not use"},
		{"placement without key", teamKey, "POST", "/services/order-desk/placements", "{}", nil, 400, problem.IdempotencyKeyMissing, "Idempotency-Key"},
		{"key too long", teamKey, "POST", "/services/order-desk/placements", "{}", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, problem.BadRequest, "255 bytes"},
	} {
		Convey(c.name, t, func() {
			a := m.callAs(context.Background(), c.key, c.method, c.path, c.body, c.headers...)
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, c.status)
			So(a.problem.Reason, ShouldEqual, c.reason)
			So(a.problem.Ran, ShouldEqual, problem.RanNo)
			So(a.problem.Detail, ShouldContainSubstring, c.says)
			So(a.problem.RequestID, ShouldEqual, a.id())
			v, ok := d.daemons[1].verdict(a.id())
			So(ok, ShouldBeTrue)
			So(v.Verdict.Reason, ShouldEqual, c.reason)
			So(d.ran(a.id()), ShouldBeFalse)
		})
	}
	Convey("the service's response headers reach the caller, also on a replayed response", t, func() {
		first, again := m.createPlacement("headers", "{}"), d.daemons[1].createPlacement("headers", "{}")
		So(first.status, ShouldEqual, http.StatusCreated)
		So(first.header.Get("Location"), ShouldNotBeBlank)
		So(again.header.Get("Location"), ShouldEqual, first.header.Get("Location"))
		So(again.header.Get("Idempotency-Replayed"), ShouldEqual, "true")
		So(again.id(), ShouldNotEqual, first.id())
	})
	Convey("no engine memory or open request remains", t, func() {
		So(d.heldPieces(), ShouldEqual, 0)
		So(m.metric("daemon", "openRequests"), ShouldEqual, 0)
	})
}
