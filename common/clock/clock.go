// Package clock gives every part of hemlockmux one small notion of time:
// whole milliseconds.
//
// # Usage
//
// Decisions take a [Millis] as an argument and never read a clock themselves;
// the loops around them hold a [Clock]:
//
//	clk := clock.System()
//	group.Tick(clk.Now())
//
// Tests use [NewManual] and move time by hand.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time (milliseconds since the Unix epoch) or a span of
// time (milliseconds).
type Millis int64

// Spans of time in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts a point in time to the standard library's type, in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Sleep waits for a span and tells whether ctx still holds.
func Sleep(ctx context.Context, span Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Clock tells the time.
type Clock struct {
	now func() Millis
}

// processStart anchors the system clock, so that a step of the machine's wall
// clock never moves time backwards inside a process.
var processStart = time.Now()

// System returns the clock of the machine. It is monotonic within a process.
func System() Clock {
	base := Millis(processStart.UnixMilli())
	return Clock{now: func() Millis { return base + Millis(time.Since(processStart)/time.Millisecond) }}
}

// Boot returns a clock that goes on while the machine is suspended; its times
// count from the machine's start.
func Boot() Clock {
	return Clock{now: func() Millis {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			panic(fmt.Sprintf("clock: the machine has no boot time: %v", err))
		}
		return Millis(t.Nano() / int64(time.Millisecond))
	}}
}

// Now returns the current time.
func (c Clock) Now() Millis { return c.now() }

// Manual is a clock that a test moves by hand.
type Manual struct {
	at atomic.Int64
}

// NewManual returns a manual clock that starts at the given time.
func NewManual(at Millis) *Manual {
	m := &Manual{}
	m.at.Store(int64(at))
	return m
}

// Advance moves the clock by a span, which may be negative.
func (m *Manual) Advance(by Millis) { m.at.Add(int64(by)) }

// Clock returns the Clock view of m.
func (m *Manual) Clock() Clock { return Clock{now: func() Millis { return Millis(m.at.Load()) }} }
