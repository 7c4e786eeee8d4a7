package engines

import (
	"net/http"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// HeldBack reports whether an engine takes no call now. Whoever asks wants to send one.
func (c *Client) HeldBack(engine string) bool {
	now := c.clk.Now()
	c.gate.Limits.Want(engine, now)
	return c.gate.Check(upstreamgate.Target{Upstream: engine}, now) != upstreamgate.Open
}

// Paused reports whether an engine wants nothing from this daemon now.
func (c *Client) Paused(engine string) bool {
	return c.gate.CheckNotices(upstreamgate.Target{Upstream: engine}, c.clk.Now()) == upstreamgate.Paused
}

// Closed returns why none of the engines takes calls now, and when callers should come back. It returns
// [upstreamgate.Open] if one does.
func (c *Client) Closed(engines []string) (reason upstreamgate.Reason, retry clock.Millis) {
	var targets []upstreamgate.Target
	for _, name := range engines {
		targets = append(targets, upstreamgate.Target{Upstream: name})
	}
	return c.gate.Closed(targets, c.clk.Now())
}

// closedError is the result of a call that was not sent.
func closedError(engine string, reason upstreamgate.Reason) *CallError {
	return &CallError{
		Engine: engine, Result: verdict.AttemptNotRun, Refused: true, Closed: reason,
		Err: &upstreamgate.ClosedError{Upstream: engine, Reason: reason},
	}
}

// observe records what an answer says about calls to its engine.
func (c *Client) observe(engine string, resp *http.Response) {
	notice, err := upstreamgate.ReadNotice(engine, resp.StatusCode, resp.Header)
	if err != nil {
		c.log.Warn("an upstream names an unusable time to wait", zap.String("upstream", engine), zap.Error(err))
	}
	c.gate.Observe(notice, c.clk.Now())
}
