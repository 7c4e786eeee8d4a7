package app

import (
	"context"
	"sync"
	"time"

	"hemlockmux.example/common/clock"
)

// stopTimes holds when the daemon does what during its shutdown. The times follow from the grace period in force, which
// may change at any time.
type stopTimes struct {
	// exit is called with the time left until requests in flight end, when the shutdown begins and when that time changes.
	// It returns false if they have been ended.
	exit func(left clock.Millis) bool

	mu      sync.Mutex
	graceMs clock.Millis
	began   time.Time   // zero until the shutdown begins
	timer   *time.Timer // ends the wait for requests in flight
}

// setGrace puts a grace period in force.
func (s *stopTimes) setGrace(graceMs clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if graceMs == s.graceMs {
		return
	}
	before := s.graceMs
	s.graceMs = graceMs
	if !s.began.IsZero() && !s.applyLocked() {
		s.graceMs = before
	}
}

// begin begins the shutdown. The returned context ends when the wait for requests in flight does. The end of hard ends requests at
// once.
func (s *stopTimes) begin(hard context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Now()
	s.timer = time.AfterFunc((s.spanLocked() + shutdownReserve).Duration(), cancel) // until it is set for the first time
	s.applyLocked()
	stop := context.AfterFunc(hard, s.endRequests)
	return ctx, func() {
		stop()
		cancel()
	}
}

// endRequests ends requests in flight as if the grace period ended with the time for their answers.
func (s *stopTimes) endRequests() {
	s.mu.Lock()
	began := s.began
	s.mu.Unlock()
	s.setGrace(clock.Millis(time.Since(began).Milliseconds()) + shutdownReserve)
}

// applyLocked sets the times that follow from the grace period. It returns false if it is too late for that.
func (s *stopTimes) applyLocked() bool {
	left := max(0, s.spanLocked()-clock.Millis(time.Since(s.began).Milliseconds()))
	if !s.exit(left) {
		return false
	}
	s.timer.Reset((left + lastAnswersTime).Duration())
	return true
}

// spanLocked returns the time from the signal until requests in flight end.
func (s *stopTimes) spanLocked() clock.Millis {
	if s.graceMs <= 0 { // the settings do not give it
		return shutdownListenTime
	}
	return max(0, s.graceMs-shutdownReserve)
}

// closeEnd returns a channel that receives when the daemon must not wait for its parts any longer; never if it is not
// shutting down.
func (s *stopTimes) closeEnd() <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() {
		return nil
	}
	return time.After(time.Until(s.began.Add((s.spanLocked() + shutdownReserve - closeMargin).Duration())))
}

// listenTime returns how long after the signal connections are accepted.
func (s *stopTimes) listenTime() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(shutdownListenTime, s.spanLocked())
}
