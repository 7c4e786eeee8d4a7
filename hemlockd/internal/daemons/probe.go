package daemons

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/membership"
)

// probeTimeout is the longest wait for the answer to a probe. It is well above
// the time between the most distant regions and back.
const probeTimeout = 400 * clock.Millisecond

// refreshProbes is the most probes that one look of an operator causes.
const refreshProbes = 16

// RunID tells one run of a daemon from the next.
func RunID(m membership.Member) string {
	return m.Name + "~" + strconv.FormatInt(int64(m.Started), 36)
}

// runProbes probes peers in every period and at once when settings changed.
func (d *Daemons) runProbes() {
	defer d.done.Done()
	ticker := time.NewTicker(d.common.Config.ProbeMs.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.news:
			for range fanoutRounds {
				d.tell(fanout)
			}
		case <-ticker.C:
			d.mu.Lock()
			addresses := d.members.Tick(d.common.Clock.Now())
			d.mu.Unlock()
			d.probeAll(addresses)
		}
	}
}

// tell sends probes to a few random peers now.
func (d *Daemons) tell(peers int) {
	d.mu.Lock()
	addresses := d.members.Fanout(peers)
	d.mu.Unlock()
	d.probeAll(addresses)
}

// GossipNow sends probes now to a few random peers of the own data centre and to
// one in each other; it is for rare news that can't wait.
func (d *Daemons) GossipNow() {
	d.tell(fanout)
	d.mu.Lock()
	addresses := d.members.OnePerDataCentre()
	d.mu.Unlock()
	d.probeAll(addresses)
}

// Refresh probes live daemons that are not known to have this daemon's settings
// in force, a few at a time, and waits for them a short while: news of versions
// alone is passed on sparingly, and an operator who looks should see what is so
// now.
func (d *Daemons) Refresh() {
	own := d.configuration.Version()
	var behind []string
	for _, v := range d.Views() {
		if v.State != membership.Dead && v.Version < own && v.Name != d.common.Config.Name {
			behind = append(behind, v.Address)
		}
	}
	rand.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	behind = behind[:min(refreshProbes, len(behind))]
	answered := make(chan struct{}, len(behind))
	for _, address := range behind {
		d.done.Add(1)
		go func() {
			d.runProbe(address)
			answered <- struct{}{}
		}()
	}
	timer := time.NewTimer(probeTimeout.Duration())
	defer timer.Stop()
	for range behind {
		select {
		case <-answered:
		case <-timer.C:
			return
		}
	}
}

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
		d.members.ProbeFailed(address, d.common.Clock.Now())
		d.mu.Unlock()
		d.publishViews()
		return
	}
	d.receive(answer)
}

// message is this daemon's share of the news, for the daemon at an address.
func (d *Daemons) message(to string) ProbeMessage {
	d.mu.Lock()
	msg := ProbeMessage{Membership: d.members.Message(to)}
	d.mu.Unlock()
	msg.Suspects = d.handlers.RecentSuspects()
	msg.StoredUpToMs = d.handlers.StoredUpTo()
	return msg
}

// receive takes in a probe or an answer.
func (d *Daemons) receive(msg ProbeMessage) {
	now := d.common.Clock.Now()
	d.mu.Lock()
	d.members.Receive(msg.Membership, now)
	d.mu.Unlock()
	d.handlers.MergeSuspects(msg.Suspects)
	d.handlers.AcceptCopies(CopyRequest{From: RunID(msg.Membership.From), StoredUpToMs: msg.StoredUpToMs})
	d.publishViews()
	if msg.Membership.From.Version > d.configuration.Version() {
		d.catchUp(msg.Membership.From.Address)
	}
}

// catchUp fetches newer settings from a peer that has them.
func (d *Daemons) catchUp(address string) {
	ctx, cancel := context.WithTimeout(d.ctx, 5*probeTimeout.Duration())
	defer cancel()
	var delta SettingsAnswer
	if err := d.pool.call(ctx, address, methodSettings, SettingsRequest{Have: d.configuration.Version()}, &delta); err != nil {
		metrics.Add("catchUpFailures", 1)
		return
	}
	metrics.Add("catchUps", 1)
	if _, err := d.configuration.Apply(delta); err != nil {
		d.common.Log.Error("settings of a peer refused", zap.String("peer", address), zap.Error(err))
	}
}

// publishViews makes the current view readable without the lock, and reports the
// runs of daemons that have ended since the last time.
func (d *Daemons) publishViews() {
	d.mu.Lock()
	views := d.members.Views(d.common.Clock.Now())
	before := d.views.Swap(&views)
	d.mu.Unlock()
	if before == nil {
		return
	}
	states := runStates(*before)
	for _, v := range views {
		old, known := states[RunID(v.Member)]
		if known && old != v.State && (v.State == membership.Dead || old == membership.Dead) {
			d.common.Log.Info("daemon changed state", zap.String("daemon", v.Name), zap.String("state", string(v.State)))
		}
	}
	for _, m := range deaths(*before, views) {
		d.handlers.DaemonDied(m)
	}
}

func runStates(views []membership.View) map[string]membership.State {
	states := map[string]membership.State{}
	for _, v := range views {
		states[RunID(v.Member)] = v.State
	}
	return states
}

// deaths returns the runs of daemons that have ended between two views: those found
// dead, and those in whose place the daemon has started again, which may be before
// anybody missed it.
func deaths(before, after []membership.View) []membership.Member {
	old, now := runStates(before), runStates(after)
	started := map[string]bool{} // names of daemons that have a new run
	var died []membership.Member
	for _, v := range after {
		state, known := old[RunID(v.Member)]
		started[v.Name] = started[v.Name] || !known
		if v.State == membership.Dead && known && state != membership.Dead {
			died = append(died, v.Member)
		}
	}
	for _, v := range before {
		_, there := now[RunID(v.Member)]
		if !there && started[v.Name] && v.State != membership.Dead {
			died = append(died, v.Member)
		}
	}
	return died
}
