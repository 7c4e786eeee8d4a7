package app

import (
	"context"
	"testing"
	"time"

	"hemlockmux.example/common/clock"
)

// Guards against a grace period that is raised once requests in flight have been ended, and makes the daemon stay and take
// requests that it ends at once.
func TestGraceRaisedAfterTheEndIsIgnored(t *testing.T) {
	ended := make(chan struct{})
	s := &stopTimes{graceMs: shutdownReserve + 100, exit: func(left clock.Millis) bool {
		select {
		case <-ended:
			return false
		default:
		}
		return true
	}}
	ctx, cancel := s.begin(context.Background())
	defer cancel()
	close(ended)
	s.setGrace(clock.Minute)
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
		t.Error("the wait for requests in flight goes on")
	}
}

// Guards against requests that get no time for their last answers because the grace period is lowered below the time that
// has passed.
func TestGraceLoweredBelowThePresentLeavesTimeForAnswers(t *testing.T) {
	s := &stopTimes{graceMs: clock.Minute, exit: func(clock.Millis) bool { return true }}
	ctx, cancel := s.begin(context.Background())
	defer cancel()
	time.Sleep(lastAnswersTime.Duration())
	lowered := time.Now()
	s.setGrace(1)
	<-ctx.Done()
	if took := time.Since(lowered); took < lastAnswersTime.Duration()-10*time.Millisecond {
		t.Errorf("the wait ended after %v", took)
	}
}
