// Package invariant asserts, inside the running program, what must always hold.
//
// A violated invariant is counted in expvar under "invariants", written to the
// log once per occurrence and, in test builds, handed to a hook that fails the
// test. The program goes on: a router that stops on a broken invariant would
// turn one fault into an outage.
//
// # Usage
//
//	inv := invariant.New(log)
//	inv.Check(invariant.OneVerdict, !alreadyDecided, "request", id)
package invariant

import (
	"expvar"
	"fmt"
	"sync"

	"go.uber.org/zap"
)

// Name identifies one invariant. The names appear in expvar.
type Name string

// The invariants of hemlockmux.
const (
	// OneVerdict says that a request gets exactly one verdict.
	OneVerdict Name = "oneVerdict"
	// RefusedNotRun says that a request refused as not run was never dispatched.
	RefusedNotRun Name = "refusedNotRun"
	// AtMostOnce says that a non-idempotent call is dispatched at most once.
	AtMostOnce Name = "atMostOnce"
	// WholeAnswer says that chunks reach the caller in order without gap or repeat.
	WholeAnswer Name = "wholeAnswer"
	// SettingsMonotonic says that the settings version in force never goes down.
	SettingsMonotonic Name = "settingsForward"
	// GrantsBalanced says that slots and pieces granted never go below zero and
	// return to zero when no request is in flight.
	GrantsBalanced Name = "grantsBalanced"
	// NoWorkToLeaving says that a leaving upstream gets no new work after the
	// grace period.
	NoWorkToLeaving Name = "noWorkToLeaving"
	// DrainedAtExit says that a graceful shutdown leaves no request in flight.
	DrainedAtExit Name = "drainedAtExit"
)

var (
	published     = new(expvar.Map).Init()
	publishedOnce sync.Once
)

// Checker checks invariants. The zero value is not usable; call New.
type Checker struct {
	log  *zap.Logger
	hook func(Name, string)
}

// New returns a checker that logs violations to log.
func New(log *zap.Logger) *Checker {
	publishedOnce.Do(func() { expvar.Publish("invariants", published) })
	return &Checker{log: log}
}

// OnViolation makes c call hook for every violation; tests fail in it.
func (c *Checker) OnViolation(hook func(Name, string)) { c.hook = hook }

// Check records a violation of the named invariant unless ok. Key and value
// pairs describe the case.
func (c *Checker) Check(name Name, ok bool, keysAndValues ...any) {
	if ok {
		return
	}
	published.Add(string(name), 1)
	detail := fmt.Sprint(keysAndValues...)
	c.log.Sugar().Errorw("invariant violated", append([]any{"invariant", string(name)}, keysAndValues...)...)
	if c.hook != nil {
		c.hook(name, detail)
	}
}

// Violations returns how often the named invariant was violated in this process.
func Violations(name Name) int64 {
	if v, ok := published.Get(string(name)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
