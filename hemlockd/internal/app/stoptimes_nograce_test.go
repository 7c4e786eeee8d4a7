package app

import (
	"context"
	"testing"
	"time"

	"hemlockmux.example/common/clock"
)

// Guards against a daemon whose settings do not give a grace period and that does not wait for requests in flight at all.
func TestStopWithoutGracePeriodWaits(t *testing.T) {
	s := &stopTimes{exit: func(clock.Millis) bool {
		time.Sleep(10 * time.Millisecond) // as on a busy machine
		return true
	}}
	ctx, cancel := s.begin(context.Background())
	defer cancel()
	select {
	case <-ctx.Done():
		t.Error("the wait for requests in flight has ended at once")
	case <-time.After(100 * time.Millisecond):
	}
}
