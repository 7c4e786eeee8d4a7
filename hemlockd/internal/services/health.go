package services

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
)

// health is the state of one instance, as it is known to this daemon.
type health struct {
	failures int  // consecutive health checks that failed
	leaving  bool // from the last successful health check
	inFlight int  // calls from this daemon
}

// healthLocked returns the health of an instance and creates it on first use. The caller holds s.mu.
func (s *Services) healthLocked(name string) *health {
	h, ok := s.health[name]
	if !ok {
		h = &health{}
		s.health[name] = h
	}
	return h
}

// runHealth checks all instances of this data centre at twice the interval of load reports.
func (s *Services) runHealth(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker((2 * s.env.Config.LoadMs).Duration())
	defer ticker.Stop()
	for {
		if tree := s.configuration.Tree(); tree != nil {
			s.checkInstances(ctx, tree)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Services) checkInstances(ctx context.Context, tree *settings.Tree) {
	var checks sync.WaitGroup
	for name, u := range tree.System.Upstreams {
		if u.Kind == settings.KindService && u.DataCentre == s.env.Config.DataCentre {
			checks.Go(func() { s.checkInstance(ctx, name, u.Address) })
		}
	}
	checks.Wait()
}

func (s *Services) checkInstance(ctx context.Context, name, address string) {
	sent := s.env.Clock.Now()
	if s.gate.CheckNotices(upstreamgate.Target{Upstream: name}, sent) == upstreamgate.Paused {
		return // the instance wants no health checks either
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	leaving := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err == nil {
		var resp *http.Response
		if resp, err = s.unpooledClient.Do(req); err == nil {
			leaving = resp.Header.Get("X-Upstream-State") == "leaving"
			s.observe(name, resp.StatusCode, resp.Header)
			if !calls.ParseLeaving(resp.Header.Values(upstreamgate.LeavingHeader)) {
				s.gate.Reopen(name, sent)
			}
			_ = resp.Body.Close()
		}
	}
	s.mu.Lock()
	h := s.healthLocked(name)
	wasUp, wasLeaving := h.failures < failuresToDown, h.leaving
	if err != nil {
		h.failures++
	} else {
		h.failures, h.leaving = 0, leaving
	}
	up := h.failures < failuresToDown
	leaving = h.leaving
	s.mu.Unlock()
	if up != wasUp || leaving != wasLeaving {
		s.env.Log.Info("service instance changed state", zap.String("instance", name), zap.Bool("up", up), zap.Bool("leaving", leaving))
	}
}

// InstanceStatus returns the health of an instance. known is false if this daemon has neither
// checked nor considered it.
func (s *Services) InstanceStatus(name string) (up, leaving bool, inFlight int, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.health[name]
	if !ok {
		return false, false, 0, false
	}
	return h.failures < failuresToDown, h.leaving, h.inFlight, true
}
