package dispatch

import (
	"context"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// suspectFor is how long a request during which upstreams crashed is remembered.
const suspectFor = 30 * clock.Second

// crashCheck finds out whether an upstream crashed while it ran a request. A lost
// answer alone is no crash; a crash takes the upstream out of use and makes the
// request a suspect.
type crashCheck struct {
	d        *Dispatcher
	digest   string
	upstream routing.Upstream
	path     string
}

// checkCrash starts a check of the upstream that broke a call off.
func (x *exchange) checkCrash(u routing.Upstream) {
	table := x.d.o.Directory.Table()
	if table == nil || x.callerGone() {
		return
	}
	c := &crashCheck{d: x.d, digest: x.digest, upstream: u, path: table.Config.Services[x.service].HealthPath}
	go c.run()
}

func (c *crashCheck) run() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	if c.d.o.Upstreams.Probe(ctx, c.upstream, c.path) == nil {
		return
	}
	c.d.setDown(c.upstream.ID)
	now := c.d.o.Clock.Now()
	c.d.o.Suspects.RecordDeath(c.digest, now, now+suspectFor)
	if _, refused := c.d.o.Suspects.Refused(c.digest, now); refused {
		c.d.o.Log.Info("request is refused for a while: upstreams crashed during it",
			zap.String("digest", c.digest), zap.String("upstream", c.upstream.ID))
	}
}
