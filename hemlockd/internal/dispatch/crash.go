package dispatch

import (
	"context"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// suspectDuration is how long a request is remembered after an upstream crashed
// while running it.
const suspectDuration = 30 * clock.Second

// crashCheck finds out whether an upstream crashed while it ran a request. A lost
// answer alone is not taken for a crash; the upstream must also fail a probe. Then
// it is marked down, the request becomes a suspect, and so do the parts of its prompt.
type crashCheck struct {
	d        *Dispatcher
	digest   string // of the request
	upstream routing.Upstream
	path     string // of the health check
	request  string // the id of the caller's attempt
	service  string
	parts    []string // of the prompt, without the last
}

// startCrashCheck checks in the background whether the upstream, whose connection
// was lost during the call, has crashed.
func (x *exchange) startCrashCheck(u routing.Upstream) {
	table := x.d.opts.Directory.Table()
	if table == nil || x.callerGone() {
		return
	}
	c := &crashCheck{d: x.d, digest: x.digest, upstream: u, path: table.Config.Services[x.service].HealthPath,
		request: x.call.ID, service: x.service, parts: x.call.Prompt.SharedParts(),
	}
	go c.run()
}

func (c *crashCheck) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	if c.d.opts.Upstreams.Probe(ctx, c.upstream, c.path) == nil {
		return
	}
	c.d.reportDown(c.upstream.ID)
	now := c.d.opts.Clock.Now()
	c.d.opts.Prompts.RecordCrash(c.service, processID(c.upstream), c.parts, now)
	c.d.opts.Suspects.RecordDeath(c.digest, now, now+suspectDuration)
	c.d.opts.Log.Info("engine or service crashed while it ran a request",
		zap.String("upstream", c.upstream.ID), zap.String("request", c.request), zap.Strings("parts", c.parts))
	if _, refused := c.d.opts.Suspects.Refused(c.digest, now); refused {
		c.d.opts.Log.Info("request is refused temporarily: upstreams crashed while running it",
			zap.String("digest", c.digest), zap.String("upstream", c.upstream.ID))
	}
}
