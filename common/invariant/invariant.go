// Package invariant checks the invariants of hemlockmux at run time.
//
// Each violation is counted in expvar under "invariants", logged, and passed to a
// hook if there is one; tests set a hook that fails the test. The program continues:
// a router that stopped at a violation would turn one fault into an outage.
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

// Name is the name of an invariant, as it appears in expvar.
type Name string

// The invariants of hemlockmux.
const (
	// OneVerdict says that a request gets exactly one verdict.
	OneVerdict Name = "oneVerdict"
	// RefusedNotRun says that a request refused as not run was never dispatched.
	RefusedNotRun Name = "refusedNotRun"
	// AtMostOnce says that a call that is not idempotent is dispatched at most once.
	AtMostOnce Name = "atMostOnce"
	// WholeAnswer says that the chunks of an answer reach the caller in order, without
	// gaps or duplicates.
	WholeAnswer Name = "wholeAnswer"
	// SettingsMonotonic says that the settings version in force never decreases.
	SettingsMonotonic Name = "settingsForward"
	// GrantsBalanced says that the numbers of granted slots and pieces are never
	// negative, and zero when no request is in flight.
	GrantsBalanced Name = "grantsBalanced"
	// NoWorkToLeaving says that a leaving upstream gets no new work after the
	// grace period.
	NoWorkToLeaving Name = "noWorkToLeaving"
	// DrainedAtExit says that a graceful shutdown leaves no request in flight.
	DrainedAtExit Name = "drainedAtExit"
)

var (
	// published counts the violations by the name of the invariant.
	published     = new(expvar.Map).Init()
	publishedOnce sync.Once
)

// Checker records violations of invariants. The zero value is not usable; call New.
type Checker struct {
	log  *zap.Logger
	hook func(Name, string)
}

// New returns a checker that logs violations to log.
func New(log *zap.Logger) *Checker {
	publishedOnce.Do(func() { expvar.Publish("invariants", published) })
	return &Checker{log: log}
}

// OnViolation sets the hook that is called with the name and the details of each
// violation. It must be called before the first Check.
func (c *Checker) OnViolation(hook func(Name, string)) { c.hook = hook }

// Check records a violation of the named invariant unless ok is true. keysAndValues
// are alternating keys and values that describe the violation.
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

// Violations returns the number of violations of the named invariant in this process.
func Violations(name Name) int64 {
	if v, ok := published.Get(string(name)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
