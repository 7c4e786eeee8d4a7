package app

import (
	"context"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// sendLimitNews tells the other daemons of the data centre, the only ones that call its upstreams, of
// a changed limit.
func (d *Daemon) sendLimitNews(n upstreamlimits.News) {
	d.env.Log.Info("an upstream has changed its limit", zap.String("upstream", n.Upstream), zap.Float64("perSecond", n.PerSecond), zap.String("source", "own call"))
	for _, name := range d.daemons.Live(d.env.Config.DataCentre) {
		if name != d.env.Config.Name {
			go d.shareWith(context.Background(), name, daemons.LimitRequest{News: []upstreamlimits.News{n}})
		}
	}
}

// shareWith sends a request about limits to another daemon and takes over the share that it gives.
func (d *Daemon) shareWith(ctx context.Context, name string, req daemons.LimitRequest) {
	ctx, cancel := context.WithTimeout(ctx, upstreamlimits.AskInterval.Duration())
	defer cancel()
	req.From = d.env.Config.Name
	grant, err := d.daemons.ShareLimit(ctx, name, req)
	if err != nil {
		return // the daemon is asked again with the next AskInterval, and the lease that is held ends
	}
	if req.Ask.Upstream != "" {
		d.upstreamLimits.HandleGrant(grant, d.env.Clock.Now())
	}
}

// shareLimit answers a request about limits.
func (d *Daemon) shareLimit(req daemons.LimitRequest) daemons.LimitAnswer {
	d.mergeLimits(req.News)
	if req.Ask.Upstream == "" {
		return daemons.LimitAnswer{}
	}
	return d.upstreamLimits.HandleAsk(req.From, req.Ask, d.env.Clock.Now())
}

// mergeLimits records what another daemon knows of limits.
func (d *Daemon) mergeLimits(news []upstreamlimits.News) {
	for _, n := range news {
		if d.upstreamLimits.Merge(n, d.env.Clock.Now()) {
			d.env.Log.Info("an upstream has changed its limit", zap.String("upstream", n.Upstream), zap.Float64("perSecond", n.PerSecond), zap.String("source", "another daemon"))
		}
	}
}

// runLimits asks for shares of the limits that upstreams of the data centre name.
func (d *Daemon) runLimits(ctx context.Context) {
	dataCentre := d.env.Config.DataCentre
	for clock.Sleep(ctx, upstreamlimits.AskInterval) {
		var alive []string
		for _, name := range d.daemons.Live(dataCentre) {
			if name != d.env.Config.Name {
				alive = append(alive, name)
			}
		}
		for _, m := range d.upstreamLimits.Tick(alive, d.daemons.Known(dataCentre), d.env.Clock.Now()) {
			go d.shareWith(ctx, m.To, daemons.LimitRequest{Ask: m.Ask})
		}
	}
}
