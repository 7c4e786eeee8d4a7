package app

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/process"
	"hemlockmux.example/hemlockd/internal/prompts"
	"hemlockmux.example/hemlockd/internal/suspects"
)

// copyPeers selects the daemon that holds the copies of this daemon's verdicts:
// another live daemon of its data centre or, if there is none, of any data centre.
type copyPeers struct {
	daemons *daemons.Daemons
	config  process.Config
}

// CopyHolder implements verdicts.Peers.
func (p copyPeers) CopyHolder() string {
	others := slices.DeleteFunc(p.daemons.Live(p.config.DataCentre), func(n string) bool { return n == p.config.Name })
	if len(others) == 0 {
		for _, v := range p.daemons.Views() {
			if v.Name != p.config.Name && v.State == membership.Live {
				others = append(others, v.Name)
			}
		}
	}
	return membership.Owner("copies of "+p.config.Name, others)
}

// CopyVerdicts implements verdicts.Peers.
func (p copyPeers) CopyVerdicts(ctx context.Context, daemon string, req daemons.CopyRequest) error {
	return p.daemons.CopyVerdicts(ctx, daemon, req)
}

// recentSuspects returns a function that lists the crash suspects to send to other
// daemons.
func recentSuspects(env process.Environment, sus *suspects.Suspects) func() []daemons.SuspectUpdate {
	return func() []daemons.SuspectUpdate {
		var updates []daemons.SuspectUpdate
		for _, e := range sus.Recent(env.Clock.Now()) {
			updates = append(updates, daemons.SuspectUpdate{Digest: e.Digest, Deaths: e.Deaths, UntilMs: e.UntilMs})
		}
		return updates
	}
}

// mergeSuspects returns a function that merges crash suspects received from another
// daemon.
func mergeSuspects(env process.Environment, sus *suspects.Suspects) func([]daemons.SuspectUpdate) {
	return func(updates []daemons.SuspectUpdate) {
		for _, u := range updates {
			sus.Merge(suspects.Entry{Digest: u.Digest, Deaths: u.Deaths, UntilMs: u.UntilMs}, env.Clock.Now())
		}
	}
}

// mergeParts returns a function that merges evidence on parts of prompts received from
// another daemon.
func mergeParts(env process.Environment, parts *prompts.Evidence) func([]prompts.Report) {
	return func(reports []prompts.Report) {
		for _, r := range reports {
			parts.Merge(r, env.Clock.Now())
		}
	}
}

// shareInterval is the minimum time between two extra messages about parts of prompts: the crash
// of an engine breaks many runs, each of which changes the evidence.
const shareInterval = 20 * clock.Millisecond

// partsSharer sends changed evidence on parts of prompts to other daemons.
type partsSharer struct {
	send    func()        // sends the evidence to some daemons
	changed chan struct{} // signals that evidence has changed
}

func newPartsSharer(send func()) *partsSharer {
	return &partsSharer{send: send, changed: make(chan struct{}, 1)}
}

// share sends the evidence soon.
func (s *partsSharer) share() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// start starts the sending and returns the function that stops it.
func (s *partsSharer) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { s.run(ctx) })
	return func() {
		cancel()
		done.Wait()
	}
}

func (s *partsSharer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		s.send()
		if !clock.Sleep(ctx, shareInterval) {
			return
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
