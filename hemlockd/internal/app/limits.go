package app

import (
	"context"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// observeAnswer records what an answer of an upstream says about its limit.
func (d *platformDaemon) observeAnswer(a calls.Answer) {
	now := d.clk.Now()
	d.limits.Observe(upstreamlimits.Answer{
		Upstream: a.Upstream, StartedMs: a.StartedMs, PerSecond: a.LimitPerSecond, SentMs: now - a.TookMs,
	}, now)
}

// sendLimitNews tells the other daemons of a changed limit.
func (d *platformDaemon) sendLimitNews(n upstreamlimits.News) {
	d.log.Info("an upstream has changed its limit", zap.String("upstream", n.Upstream), zap.Float64("perSecond", n.PerSecond), zap.String("source", "own call"))
	d.peers.Broadcast(peers.Update{Limits: []upstreamlimits.News{n}})
}

// runLimits asks for shares of the limits that upstreams name.
func (d *platformDaemon) runLimits(ctx context.Context) {
	for clock.Sleep(ctx, upstreamlimits.AskInterval) {
		var alive []string
		for _, other := range d.peers.Alive() {
			if !other.Leaving {
				alive = append(alive, other.Name)
			}
		}
		for _, m := range d.limits.Tick(alive, d.peers.Count(), d.clk.Now()) {
			d.peers.AskForLimit(m)
		}
	}
}
