package app

import (
	"sync/atomic"
	"testing"
	"time"
)

// A crash breaks many runs at once; their evidence is sent in few messages, and the last of it is
// not lost.
func TestPartsAreSharedInFewMessages(t *testing.T) {
	const changes = 200
	var made, sends, seen atomic.Int64
	sharer := newPartsSharer(func() {
		sends.Add(1)
		seen.Store(made.Load())
	})
	stop := sharer.start()
	defer stop()
	started := time.Now()
	for range changes {
		made.Add(1)
		sharer.share()
		time.Sleep(time.Millisecond / 2)
	}
	for end := time.Now().Add(5 * time.Second); seen.Load() < changes && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if most := int64(time.Since(started)/shareInterval.Duration()) + 1; seen.Load() != changes || sends.Load() > most {
		t.Errorf("%d messages, at most %d may be sent; the last had %d of %d changes", sends.Load(), most, seen.Load(), changes)
	}
}
