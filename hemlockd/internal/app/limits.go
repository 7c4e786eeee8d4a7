package app

import (
	"context"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/peers"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// observeAnswer records what an answer of an upstream says about calls to it.
func (d *platformDaemon) observeAnswer(a calls.Answer) {
	now := d.clk.Now()
	if a.PauseErr != nil {
		d.log.Warn("an upstream names an unusable time to wait", zap.String("upstream", a.Upstream), zap.Error(a.PauseErr))
	}
	d.gate.Observe(upstreamgate.Notice{
		Target: upstreamgate.Target{Upstream: a.Upstream, StartedMs: a.StartedMs}, Leaving: a.Leaving, PauseMs: a.PauseMs,
	}, now)
	if a.Control {
		return
	}
	d.gate.Limits.Observe(upstreamlimits.Answer{
		Upstream: a.Upstream, StartedMs: a.StartedMs, PerSecond: a.LimitPerSecond, SentMs: now - a.TookMs,
	}, now)
}

// sendLimitNews tells the other daemons of a changed limit.
func (d *platformDaemon) sendLimitNews(n upstreamlimits.News) {
	d.log.Info("an upstream has changed its limit", zap.String("upstream", n.Upstream), zap.Float64("perSecond", n.PerSecond), zap.String("source", "own call"))
	d.peers.Broadcast(peers.Update{Limits: []upstreamlimits.News{n}})
}

// noticeChanged takes an upstream out of use that has announced its shutdown or a pause. The other
// daemons are told of a shutdown; a pause binds only this one.
func (d *platformDaemon) noticeChanged(n upstreamgate.Notice) {
	logNotice(d.log, n)
	if n.Leaving {
		d.peers.Broadcast(peers.Update{Leaving: []upstreamgate.Target{n.Target}})
	}
	d.dispatcher.RefreshEngines()
}

// logNotice logs what an upstream has told this daemon of itself.
func logNotice(log *zap.Logger, n upstreamgate.Notice) {
	log.Info("an upstream has announced that it takes no calls", zap.String("upstream", n.Upstream), zap.Bool("leaving", n.Leaving),
		zap.Int64("pauseMs", int64(n.PauseMs)), zap.Int64("startedMs", int64(n.StartedMs)), zap.String("source", "own call"))
}

// logLeavingNews logs what an upstream has told another daemon of its shutdown.
func logLeavingNews(log *zap.Logger, n upstreamgate.Target, from string) {
	log.Info("an upstream has announced that it takes no calls", zap.String("upstream", n.Upstream), zap.Bool("leaving", true),
		zap.Int64("startedMs", int64(n.StartedMs)), zap.String("source", from))
}

// upstreamsLeaving takes upstreams out of use that have told another daemon that they shut down.
func (d *platformDaemon) upstreamsLeaving(news []upstreamgate.Target, from string) {
	for _, n := range news {
		logLeavingNews(d.log, n, from)
	}
	d.dispatcher.RefreshEngines()
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
		for _, m := range d.gate.Limits.Tick(alive, d.peers.Count(), d.clk.Now()) {
			d.peers.AskForLimit(m)
		}
	}
}
