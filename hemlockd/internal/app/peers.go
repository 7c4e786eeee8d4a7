package app

import (
	"context"
	"slices"
	"syscall"
	"time"

	"hemlockmux.example/hemlockd/internal/daemons"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/shared"
	"hemlockmux.example/hemlockd/internal/suspects"
)

// copyPeers chooses who holds the copies of this daemon's verdicts: another
// live daemon of its data centre, or of any where there is none.
type copyPeers struct {
	daemons *daemons.Daemons
	config  shared.Config
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

func suspectNews(common shared.Common, sus *suspects.Suspects) func() []daemons.SuspectUpdate {
	return func() []daemons.SuspectUpdate {
		var news []daemons.SuspectUpdate
		for _, e := range sus.Recent(common.Clock.Now()) {
			news = append(news, daemons.SuspectUpdate{Digest: e.Digest, Deaths: e.Deaths, UntilMs: e.UntilMs})
		}
		return news
	}
}

func learnSuspects(common shared.Common, sus *suspects.Suspects) func([]daemons.SuspectUpdate) {
	return func(news []daemons.SuspectUpdate) {
		for _, n := range news {
			sus.Merge(suspects.Entry{Digest: n.Digest, Deaths: n.Deaths, UntilMs: n.UntilMs}, common.Clock.Now())
		}
	}
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
