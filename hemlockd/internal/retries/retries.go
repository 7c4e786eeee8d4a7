// Package retries limits retries by a budget: each first attempt earns a fraction of a
// retry, so that an outage cannot multiply the load. It does no I/O.
//
// # Usage
//
//	b := retries.NewBudget(0.1)
//	b.RecordFirstAttempt()
//	if b.Take() { ... retry after retries.Backoff(attempt, rng) ... }
package retries

import (
	"math/rand/v2"
	"sync"

	"hemlockmux.example/common/clock"
)

// Limits of the budget and the backoff.
const (
	// reserve is the number of retries that a budget starts with and its maximum.
	reserve = 10
	// baseBackoff is the upper limit of the wait at attempt 0; it doubles with each
	// further attempt.
	baseBackoff = 10 * clock.Millisecond
	// maxBackoff is the upper limit of the wait at any attempt.
	maxBackoff = 500 * clock.Millisecond
)

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64 // tokens that a first attempt earns
	tokens float64 // retries that may still be made
}

// NewBudget returns a full budget that earns ratio retries for each first attempt.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: reserve} }

// SetRatio changes the number of retries that a first attempt earns.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// RecordFirstAttempt adds what a first attempt earns to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(reserve, b.tokens+b.ratio)
}

// Take spends one retry. It returns false if the budget is used up.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before a retry: exponential, with full jitter.
func Backoff(attempt int, rng *rand.Rand) clock.Millis {
	limit := min(maxBackoff, baseBackoff<<min(attempt, 10))
	return clock.Millis(rng.Int64N(int64(limit) + 1))
}
