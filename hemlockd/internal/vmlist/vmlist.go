// Package vmlist polls the platform's VM list. The list lags and can be unavailable, so
// it serves only as a hint: it names addresses of daemons to contact and upstreams that
// are leaving. It is never taken as proof that a VM is dead.
//
// # Usage
//
//	l, closeList := vmlist.New(env, client, func(address string) { daemons.AddSeed(address) })
//	if l.Leaving("decode-1") { ... }
package vmlist

import (
	"context"
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/platform"
	"hemlockmux.example/hemlockd/internal/process"
)

var metrics = expvar.NewMap("vmList")

// List holds the state of the last list that was read.
type List struct {
	env     process.Environment
	client  *platform.VMs
	addSeed func(address string)

	mu      sync.Mutex
	leaving map[string]bool
}

// New starts polling the list and returns the function that stops it. addSeed is called
// with the address of each VM that the list shows as a daemon.
func New(env process.Environment, client *platform.VMs, addSeed func(string)) (*List, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &List{env: env, client: client, addSeed: addSeed, leaving: map[string]bool{}}
	done := make(chan struct{})
	go l.run(ctx, done)
	return l, func() {
		cancel()
		<-done
	}
}

// Leaving reports whether the list shows a VM as leaving. While the list is unavailable,
// the last list read applies.
func (l *List) Leaving(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving[name]
}

func (l *List) run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(l.env.Config.VMListMs.Duration())
	defer ticker.Stop()
	for {
		if !l.readList(ctx) {
			l.readList(ctx) // at once: the connection may have fallen silent
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readList reads the list within half the interval of reads. It reports whether it could.
func (l *List) readList(ctx context.Context) bool {
	metrics.Add("reads", 1)
	ctx, cancel := context.WithTimeout(ctx, (l.env.Config.VMListMs / 2).Duration())
	defer cancel()
	groups, err := l.client.List(ctx)
	if err != nil {
		metrics.Add("failures", 1)
		return false
	}
	leaving := map[string]bool{}
	for _, g := range groups {
		if g.Labels[platform.LabelState] == platform.StateLeaving {
			leaving[g.Labels[platform.LabelName]] = true
		}
		if g.Labels[platform.LabelRole] == platform.RoleDaemon {
			for _, address := range g.Targets {
				l.addSeed(address)
			}
		}
	}
	l.mu.Lock()
	before := l.leaving
	l.leaving = leaving
	l.mu.Unlock()
	for name := range leaving {
		if !before[name] {
			l.env.Log.Info("VM list shows a VM as leaving", zap.String("vm", name))
		}
	}
	return true
}
