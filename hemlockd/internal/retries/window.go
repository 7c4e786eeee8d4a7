package retries

import (
	"sync"

	"hemlockmux.example/common/clock"
)

const (
	// parts is the number of buckets that make up one window.
	parts = 20
	// buckets is the number of buckets kept: one more than a window has, since the
	// window slides continuously and buckets do not.
	buckets = parts + 1
	// safety is the share of the bound that is used. The rest allows for the delay with
	// which daemons learn of each other.
	safety = 0.9
)

// Bound limits the retries that all daemons together may send to one service in any
// window: Ratio times the service's requests, plus Slack.
type Bound struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in a window regardless of requests.
	Slack float64
	// WindowMs is the length of the window, in ms.
	WindowMs clock.Millis
}

// ServiceBudgets limits the retries of each service over a sliding window. Daemons share
// the bound without exchanging counts: each may use the ratio of its own requests and an
// equal share of the slack. A daemon starts with no slack and earns its share over one
// window, so that a restart cannot spend it twice. It is safe for concurrent use.
type ServiceBudgets struct {
	mu       sync.Mutex
	bound    Bound
	started  clock.Millis
	daemons  func() int
	services map[string]*window
}

type window struct {
	requests, retries [buckets]float64
	bucket            int64 // number of the newest bucket
}

// NewServiceBudgets returns the budgets of a daemon that started at the given time.
// The function daemons returns how many daemons share the bound.
func NewServiceBudgets(bound Bound, started clock.Millis, daemons func() int) *ServiceBudgets {
	return &ServiceBudgets{bound: bound, started: started, daemons: daemons, services: map[string]*window{}}
}

// SetBound replaces the bound.
func (b *ServiceBudgets) SetBound(bound Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound = bound
}

// RecordRequest counts a request to the service.
func (b *ServiceBudgets) RecordRequest(service string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(service, now)
	s.requests[s.bucket%buckets]++
}

// Take spends one retry at the service. It returns false if the budget is used up.
func (b *ServiceBudgets) Take(service string, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasLocked(service, 1, now) {
		return false
	}
	s := b.serviceLocked(service, now)
	s.retries[s.bucket%buckets]++
	return true
}

// Has reports whether n retries at the service are left, without spending them.
func (b *ServiceBudgets) Has(service string, n int, now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasLocked(service, n, now)
}

func (b *ServiceBudgets) hasLocked(service string, n int, now clock.Millis) bool {
	s := b.serviceLocked(service, now)
	earned := min(1, float64(now-b.started)/float64(b.bound.WindowMs))
	slack := earned * b.bound.Slack / float64(max(1, b.daemons()))
	return sum(s.retries)+float64(n) <= safety*(b.bound.Ratio*sum(s.requests)+slack)
}

func (b *ServiceBudgets) serviceLocked(service string, now clock.Millis) *window {
	bucket := int64(now / max(1, b.bound.WindowMs/parts))
	s, ok := b.services[service]
	if !ok {
		s = &window{bucket: bucket}
		b.services[service] = s
	}
	for s.bucket < bucket {
		s.bucket++
		if bucket-s.bucket > buckets {
			s.bucket = bucket - buckets
		}
		s.requests[s.bucket%buckets], s.retries[s.bucket%buckets] = 0, 0
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
