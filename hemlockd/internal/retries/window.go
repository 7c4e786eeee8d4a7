package retries

import (
	"sync"

	"hemlockmux.example/common/clock"
)

const (
	// parts is the number of parts that a window is counted in; one more is kept,
	// since windows slide and buckets do not.
	parts   = 20
	buckets = parts + 1
	// safety is the part of the bound that is used: daemons learn of each other
	// late.
	safety = 0.9
)

// Bound is what all daemons together may send beyond the first time to one
// service: Ratio times its requests, and Slack, in any WindowMs.
type Bound struct {
	Ratio, Slack float64
	WindowMs     clock.Millis
}

// ServiceBudgets bounds the repeats of each service over a sliding window. Daemons
// share the bound without messages: each may use its own requests' part of the
// ratio and an equal part of the slack. A daemon starts with nothing of the
// slack and earns its part over one window, so that a restart can't spend it
// twice.
type ServiceBudgets struct {
	mu       sync.Mutex
	bound    Bound
	started  clock.Millis
	daemons  func() int
	services map[string]*window
}

type window struct {
	firsts, repeats [buckets]float64
	bucket          int64 // the newest bucket
}

// NewServiceBudgets returns the budgets of a daemon that started at the given time;
// daemons tells how many share the bound.
func NewServiceBudgets(b Bound, started clock.Millis, daemons func() int) *ServiceBudgets {
	return &ServiceBudgets{bound: b, started: started, daemons: daemons, services: map[string]*window{}}
}

// SetBound replaces the bound.
func (w *ServiceBudgets) SetBound(b Bound) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bound = b
}

// RecordRequest takes in a request for the service.
func (w *ServiceBudgets) RecordRequest(service string, now clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.serviceLocked(service, now)
	s.firsts[s.bucket%buckets]++
}

// Take spends one repeat at the service; it returns false where the budget is
// used up.
func (w *ServiceBudgets) Take(service string, now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.serviceLocked(service, now)
	earned := min(1, float64(now-w.started)/float64(w.bound.WindowMs))
	slack := earned * w.bound.Slack / float64(max(1, w.daemons()))
	if sum(s.repeats)+1 > safety*(w.bound.Ratio*sum(s.firsts)+slack) {
		return false
	}
	s.repeats[s.bucket%buckets]++
	return true
}

func (w *ServiceBudgets) serviceLocked(service string, now clock.Millis) *window {
	bucket := int64(now / max(1, w.bound.WindowMs/parts))
	s, ok := w.services[service]
	if !ok {
		s = &window{bucket: bucket}
		w.services[service] = s
	}
	for s.bucket < bucket {
		s.bucket++
		if bucket-s.bucket > buckets {
			s.bucket = bucket - buckets
		}
		s.firsts[s.bucket%buckets], s.repeats[s.bucket%buckets] = 0, 0
	}
	return s
}

func sum(counts [buckets]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
