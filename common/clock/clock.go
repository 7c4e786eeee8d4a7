// Package clock represents time as whole milliseconds and provides clocks that tests
// can control.
//
// # Usage
//
// Code that makes decisions takes the time as a [Millis] argument and reads no
// clock; the loops that call it hold a [Clock]:
//
//	clk := clock.System()
//	group.Tick(clk.Now())
//
// Tests use [NewManual] and advance the time themselves.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time, in milliseconds since the Unix epoch, or a duration in
// milliseconds.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a duration to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts a point in time to a time.Time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// Sleep waits for d or until ctx is done. It returns false if ctx was done first.
func Sleep(ctx context.Context, d Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Clock is a source of the current time.
type Clock struct {
	now func() Millis
}

// processStart is the base of the system clock. The clock adds monotonic time to it,
// so that a step of the machine's wall clock does not move it.
var processStart = time.Now()

// System returns the wall clock as of the process's start, advanced by monotonic
// time. It never goes backwards within a process.
func System() Clock {
	base := Millis(processStart.UnixMilli())
	return Clock{now: func() Millis { return base + Millis(time.Since(processStart)/time.Millisecond) }}
}

// Boot returns a clock that counts from the machine's boot and, unlike System, also
// advances while the machine is suspended.
func Boot() Clock {
	return Clock{now: func() Millis {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			panic(fmt.Sprintf("clock: read CLOCK_BOOTTIME: %v", err))
		}
		return Millis(t.Nano() / int64(time.Millisecond))
	}}
}

// Now returns the current time.
func (c Clock) Now() Millis { return c.now() }

// Manual is a clock for tests, which advances only by Advance.
type Manual struct {
	at atomic.Int64
}

// NewManual returns a manual clock whose time is at.
func NewManual(at Millis) *Manual {
	m := &Manual{}
	m.at.Store(int64(at))
	return m
}

// Advance moves the clock's time by the given duration, which may be negative.
func (m *Manual) Advance(by Millis) { m.at.Add(int64(by)) }

// Clock returns a Clock that reads the time of m.
func (m *Manual) Clock() Clock { return Clock{now: func() Millis { return Millis(m.at.Load()) }} }
