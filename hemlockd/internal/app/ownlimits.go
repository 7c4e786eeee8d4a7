package app

import (
	"context"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// sendLimitNews tells the other daemons of the data centre, the only ones that call its upstreams, of
// a changed limit.
func (d *Daemon) sendLimitNews(n upstreamlimits.News) {
	d.env.Log.Info("an upstream has changed its limit", zap.String("upstream", n.Upstream), zap.Float64("perSecond", n.PerSecond), zap.String("source", "own call"))
	d.tellDataCentre(daemons.LimitRequest{News: []upstreamlimits.News{n}})
}

// noticeChanged tells the other daemons of the data centre of an upstream's shutdown. A pause binds only
// this daemon.
func (d *Daemon) noticeChanged(n upstreamgate.Notice) {
	logNotice(d.env.Log, n)
	if n.Leaving {
		d.tellDataCentre(daemons.LimitRequest{Leaving: []upstreamgate.Target{n.Target}})
	}
}

// tellDataCentre sends news to the other daemons of the data centre.
func (d *Daemon) tellDataCentre(req daemons.LimitRequest) {
	for _, name := range d.daemons.Live(d.env.Config.DataCentre) {
		if name != d.env.Config.Name {
			go d.shareWith(context.Background(), name, req)
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
		d.gate.Limits.HandleGrant(grant, d.env.Clock.Now())
	}
}

// shareLimit answers a request about limits.
func (d *Daemon) shareLimit(req daemons.LimitRequest) daemons.LimitAnswer {
	d.mergeLimits(req.News)
	for _, n := range req.Leaving {
		if d.gate.Merge(n, d.env.Clock.Now()) {
			logLeavingNews(d.env.Log, n, req.From)
		}
	}
	if req.Ask.Upstream == "" {
		return daemons.LimitAnswer{}
	}
	return d.gate.Limits.HandleAsk(req.From, req.Ask, d.env.Clock.Now())
}

// mergeLimits records what another daemon knows of limits.
func (d *Daemon) mergeLimits(news []upstreamlimits.News) {
	for _, n := range news {
		if d.gate.Limits.Merge(n, d.env.Clock.Now()) {
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
		for _, m := range d.gate.Limits.Tick(alive, d.daemons.Known(dataCentre), d.env.Clock.Now()) {
			go d.shareWith(ctx, m.To, daemons.LimitRequest{Ask: m.Ask})
		}
	}
}
