package daemons

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/progress"
	"hemlockmux.example/hemlockd/internal/membership"
)

// probeTimeout bounds the wait for the response to a probe. It is well above the
// round-trip time between the most distant regions.
const probeTimeout = 400 * clock.Millisecond

// maxCatchUps is the number of peers from which settings are fetched at the same time: one that
// is silent does not hold up the others.
const maxCatchUps = 3

// catchUpTimeout is the time within which settings that are fetched from a peer must begin to
// come, and within which they must go on.
const catchUpTimeout = 2 * clock.Second

// maxRefreshProbes bounds the number of probes that one refresh sends.
const maxRefreshProbes = 16

// RunID identifies one run of a daemon by its name and start time.
func RunID(m membership.Member) string {
	return m.Name + "~" + strconv.FormatInt(int64(m.Started), 36)
}

// parseRunID returns the name and the start time in a run's ID.
func parseRunID(id string) (name string, started clock.Millis, ok bool) {
	name, text, found := strings.Cut(id, "~")
	ms, err := strconv.ParseInt(text, 36, 64)
	return name, clock.Millis(ms), found && err == nil
}

// runProbes probes peers in every period, and immediately after a settings change.
func (d *Daemons) runProbes() {
	defer d.done.Done()
	ticker := time.NewTicker(d.env.Config.ProbeMs.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.versionChanged:
			for range fanoutRounds {
				d.gossip(fanout)
			}
		case <-ticker.C:
			d.mu.Lock()
			addresses := d.members.Tick(d.env.Clock.Now())
			d.mu.Unlock()
			d.probeAll(addresses)
		}
	}
}

// gossip immediately probes up to the given number of random peers.
func (d *Daemons) gossip(peers int) {
	d.mu.Lock()
	addresses := d.members.Fanout(peers)
	d.mu.Unlock()
	d.probeAll(addresses)
}

// GossipNow immediately probes a few random peers of this data centre and one in each
// other data centre. It is meant for rare updates that must spread without delay.
func (d *Daemons) GossipNow() {
	d.gossip(fanout)
	d.mu.Lock()
	addresses := d.members.OnePerDataCentre()
	d.mu.Unlock()
	d.probeAll(addresses)
}

// Refresh probes some of the daemons that are not known to have this daemon's settings
// version in force, and waits for the responses up to probeTimeout. Gossip spreads
// changes of versions alone slowly, but an operator should see the current state.
func (d *Daemons) Refresh() {
	own := d.configuration.Version()
	var outdated []string
	for _, v := range d.Views() {
		if v.State != membership.Dead && v.Version < own && v.Name != d.env.Config.Name {
			outdated = append(outdated, v.Address)
		}
	}
	rand.Shuffle(len(outdated), func(i, j int) { outdated[i], outdated[j] = outdated[j], outdated[i] })
	outdated = outdated[:min(maxRefreshProbes, len(outdated))]
	answered := make(chan struct{}, len(outdated))
	for _, address := range outdated {
		d.done.Add(1)
		go func() {
			d.runProbe(address)
			answered <- struct{}{}
		}()
	}
	timer := time.NewTimer(probeTimeout.Duration())
	defer timer.Stop()
	for range outdated {
		select {
		case <-answered:
		case <-timer.C:
			return
		}
	}
}

// probeAll probes the addresses in the background.
func (d *Daemons) probeAll(addresses []string) {
	for _, address := range addresses {
		d.done.Add(1)
		go d.runProbe(address)
	}
}

func (d *Daemons) runProbe(address string) {
	defer d.done.Done()
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout.Duration())
	defer cancel()
	var answer ProbeMessage
	metrics.Add("probes", 1)
	err := d.pool.call(ctx, address, methodProbe, d.message(address), &answer)
	if err != nil {
		if d.ctx.Err() != nil {
			return
		}
		metrics.Add("probeFailures", 1)
		d.mu.Lock()
		d.members.ProbeFailed(address, d.env.Clock.Now())
		d.mu.Unlock()
		d.publishViews()
		return
	}
	d.receive(answer)
}

// message returns the probe message for the daemon at an address.
func (d *Daemons) message(to string) ProbeMessage {
	d.mu.Lock()
	msg := ProbeMessage{Membership: d.members.Message(to)}
	d.mu.Unlock()
	msg.Suspects = d.handlers.RecentSuspects()
	msg.Parts = d.handlers.RecentParts()
	msg.Limits = d.handlers.RecentLimits()
	msg.StoredUpToMs = d.handlers.StoredUpTo()
	return msg
}

// receive processes a probe or the response to one.
func (d *Daemons) receive(msg ProbeMessage) {
	now := d.env.Clock.Now()
	d.mu.Lock()
	d.members.Receive(msg.Membership, now)
	d.mu.Unlock()
	d.handlers.MergeSuspects(msg.Suspects)
	d.handlers.MergeParts(msg.Parts)
	if msg.Membership.From.DataCentre == d.env.Config.DataCentre {
		d.handlers.MergeLimits(msg.Limits)
	}
	d.handlers.AcceptCopies(CopyRequest{From: RunID(msg.Membership.From), StoredUpToMs: msg.StoredUpToMs})
	d.publishViews()
	if msg.Membership.From.Version > d.configuration.Version() {
		d.catchUp(msg.Membership.From.Address)
	}
}

// catchUp fetches newer settings from a peer that has them. Settings may be large, so the call
// has a connection of its own, which holds up no probes, and is bounded by its progress.
func (d *Daemons) catchUp(address string) {
	select {
	case d.catchUps <- struct{}{}:
	default:
		return
	}
	defer func() { <-d.catchUps }()
	ctx, cancel := progress.WithTimeout(d.ctx, progress.Bounds{FirstMs: catchUpTimeout, IdleMs: catchUpTimeout})
	defer cancel()
	var delta SettingsAnswer
	if err := d.pool.callOnce(ctx, address, methodSettings, SettingsRequest{Have: d.configuration.Change()}, &delta); err != nil {
		metrics.Add("catchUpFailures", 1)
		return
	}
	metrics.Add("catchUps", 1)
	if _, err := d.configuration.Apply(delta); err != nil {
		d.env.Log.Error("settings received from a peer were rejected", zap.String("peer", address), zap.Error(err))
	}
}

// publishViews publishes the current view for reads without the lock, and reports the
// runs of daemons that have ended since the previous view.
func (d *Daemons) publishViews() {
	d.mu.Lock()
	views := d.members.Views(d.env.Clock.Now())
	before := d.views.Swap(&views)
	d.mu.Unlock()
	if before == nil {
		return
	}
	states := runStates(*before)
	for _, v := range views {
		old, known := states[RunID(v.Member)]
		if known && old != v.State && (v.State == membership.Dead || old == membership.Dead) {
			d.env.Log.Info("daemon changed state", zap.String("daemon", v.Name), zap.String("state", string(v.State)))
		}
	}
	for _, m := range endedRuns(*before, views) {
		d.handlers.DaemonDied(m)
	}
}

// runStates returns the states of the daemons by the IDs of their runs.
func runStates(views []membership.View) map[string]membership.State {
	states := map[string]membership.State{}
	for _, v := range views {
		states[RunID(v.Member)] = v.State
	}
	return states
}

// endedRuns returns the runs of daemons that have ended between two views: those found
// dead, and those replaced by a new run of the same daemon, which may happen before
// any probe has failed.
func endedRuns(before, after []membership.View) []membership.Member {
	statesBefore, statesAfter := runStates(before), runStates(after)
	hasNewRun := map[string]bool{} // names of daemons that have a new run
	var ended []membership.Member
	for _, v := range after {
		state, known := statesBefore[RunID(v.Member)]
		hasNewRun[v.Name] = hasNewRun[v.Name] || !known
		if v.State == membership.Dead && known && state != membership.Dead {
			ended = append(ended, v.Member)
		}
	}
	for _, v := range before {
		_, stillListed := statesAfter[RunID(v.Member)]
		if !stillListed && hasNewRun[v.Name] && v.State != membership.Dead {
			ended = append(ended, v.Member)
		}
	}
	return ended
}
