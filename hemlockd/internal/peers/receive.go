package peers

import (
	"encoding/json"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// runReceive reads and applies the datagrams of other daemons.
func (p *Peers) runReceive() {
	buffer := make([]byte, maxDatagram)
	for p.ctx.Err() == nil {
		n, _, err := p.conn.ReadFrom(buffer)
		if err != nil {
			if p.ctx.Err() == nil {
				p.options.Log.Warn("reading a datagram from other daemons failed", zap.Error(err))
				clock.Sleep(p.ctx, 100*clock.Millisecond)
			}
			continue
		}
		var message struct {
			Method string `json:"method"`
			Params State  `json:"params"`
		}
		if json.Unmarshal(buffer[:n], &message) != nil || message.Method != methodState || message.Params.Name == "" {
			metrics.Add("unreadable", 1)
			continue
		}
		p.apply(message.Params)
	}
}

// apply applies a message of another daemon. One whose address is not that of another
// daemon is ignored. The runs are ignored if the message was sent by an earlier process or
// before the last full state applied, or if it is a full state and a later message was
// applied before it. Such a message still counts as a heartbeat, if it is from the daemon's
// current process, and the rest of its content is applied.
func (p *Peers) apply(s State) {
	if s.Name == p.options.Name {
		return
	}
	now := p.options.Clock.Now()
	p.mu.Lock()
	a := p.addressLocked(s.Address)
	if a == nil {
		p.mu.Unlock()
		metrics.Add("unreadable", 1)
		return
	}
	a.heard, a.lastHeardMs, a.dataCentre = true, now, s.DataCentre
	d, known := p.daemons[s.Name]
	restarted := known && (s.StartedMs > d.startedMs || s.StartedMs != d.startedMs && now-d.LastHeardMs > restartSilence)
	if !known || restarted {
		d = &Daemon{Name: s.Name, startedMs: s.StartedMs}
		p.daemons[s.Name] = d
		p.handlers.View.Replace(s.Name, nil, now)
	}
	stale := s.StartedMs < d.startedMs || s.Sequence < d.lastFullSequence || s.Full && s.Sequence < d.lastSequence
	if s.StartedMs == d.startedMs {
		d.silent = false
		d.LastHeardMs, d.Leaving, d.FollowsStore = now, s.Leaving, s.FollowsStore
		if d.Config.Before(s.Config) {
			d.Config = s.Config
		}
		d.Address, d.Control, d.DataCentre, d.LinkMbps = s.Address, s.Control, s.DataCentre, s.LinkMbps
		d.lastSequence = max(d.lastSequence, s.Sequence)
		d.hasRuns = d.hasRuns || len(s.Runs) > 0
		p.hearLoadLocked(s.DataCentre, s.Load, now)
		if s.Full && !stale {
			d.lastFullSequence = s.Sequence
		}
	}
	p.markSilentLocked(s, now)
	p.mu.Unlock()
	if !known {
		p.options.Log.Info("first message received from another daemon", zap.String("peer", s.Name), zap.String("address", s.Address))
	}
	if !stale {
		p.applyRuns(s, now)
	}
	if len(s.Unreachable) > 0 {
		p.handlers.Unreachable(s.Unreachable)
	}
	if len(s.ChangingRole) > 0 {
		p.handlers.ChangingRole(s.ChangingRole)
	}
	for _, at := range s.Daemons {
		p.AddAddress(at, "")
	}
	for _, e := range s.Suspects {
		p.handlers.Suspects.Merge(e, now)
	}
	for _, r := range s.Parts {
		p.handlers.Prompts.Merge(r, now)
	}
	p.applyLimits(s, now)
	p.applyLeaving(s, now)
	if s.Freshness != nil {
		p.handlers.Confirmed(*s.Freshness, s.Config, s.List)
	}
	p.handlers.Revisions(s.Control, s.Config, s.List, s.DataCentre == p.options.DataCentre)
}

// applyLimits applies what a message says of the limits that upstreams name, and answers what it
// asks for.
func (p *Peers) applyLimits(s State, now clock.Millis) {
	for _, n := range s.Limits {
		if p.handlers.Gate.Limits.Merge(n, now) {
			p.options.Log.Info("an upstream has changed its limit", zap.String("upstream", n.Upstream), zap.Float64("perSecond", n.PerSecond), zap.String("source", s.Name))
		}
	}
	for _, g := range s.LimitGrants {
		p.handlers.Gate.Limits.HandleGrant(g, now)
	}
	var grants []upstreamlimits.Grant
	for _, a := range s.LimitAsks {
		grants = append(grants, p.handlers.Gate.Limits.HandleAsk(s.Name, a, now))
	}
	if len(grants) > 0 {
		p.send(State{LimitGrants: grants}, p.addressOf(s.Name))
	}
}

// applyLeaving records the upstreams of which a message says that they shut down.
func (p *Peers) applyLeaving(s State, now clock.Millis) {
	var news []upstreamgate.Target
	for _, n := range s.LeavingUpstreams {
		if p.handlers.Gate.Merge(n, now) {
			news = append(news, n)
		}
	}
	if len(news) > 0 {
		p.handlers.Leaving(news, s.Name)
	}
}

func (p *Peers) applyRuns(s State, now clock.Millis) {
	if s.Full {
		p.handlers.View.Replace(s.Name, s.Runs, now)
		p.handlers.CapacityChanged()
		return
	}
	for _, r := range s.Runs {
		p.handlers.View.Add(s.Name, r, now)
	}
	if len(s.Ended) > 0 {
		p.handlers.View.Remove(s.Name, s.Ended)
		p.handlers.CapacityChanged()
	}
}
