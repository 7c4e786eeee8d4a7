package keeper

import (
	"fmt"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
	"hemlockmux.example/hemlockd/internal/prompts"
)

const (
	// crashStep is the length of the steps in which the times of crashes are part of the ids of
	// engine processes. It is longer than the clocks of daemons differ.
	crashStep = 4 * clock.Second
	// crashSlack is how long after a crash a connection that the crash breaks may be opened.
	crashSlack = 250 * clock.Millisecond
)

// crashes gives ids to the processes of engines that crashed. Engines don't report when they
// started and start again under the same name, so an id is made of the engine's name and the time
// of the crash in steps of crashStep.
//
// The runs that one crash breaks at this daemon get the same id. Those at other daemons get that
// id, or that of the next or previous step: a crash counts as two processes at most, and a part is
// not blamed for two. Two crashes of an engine in one step count as one process.
type crashes struct {
	mu   sync.Mutex
	last map[string]crash // by the name of the engine
}

// crash is a crash of an engine.
type crash struct {
	process string
	atMs    clock.Millis
}

func newCrashes() crashes { return crashes{last: map[string]crash{}} }

// process returns the id of the engine's process whose crash broke a run that began and broke at
// the given times.
func (c *crashes) process(engine string, begun, broken clock.Millis) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last, ok := c.last[engine]; ok && begun < last.atMs+crashSlack {
		return last.process
	}
	process := engine + "@" + strconv.FormatInt(int64(broken/crashStep), 36)
	c.last[engine] = crash{process: process, atMs: broken}
	return process
}

// recordCrash records that an engine crashed during the run's decode. A broken connection alone is
// not taken for a crash: the engine must also be unreachable right after. Neither is the end of an
// engine that is leaving.
func (r *Run) recordCrash(engine string, begun, broken clock.Millis) {
	if r.leaving(engine) {
		return
	}
	k := r.keeper
	process := k.crashes.process(engine, begun, broken)
	k.env.Log.Info("engine crashed while it ran a request",
		zap.String("engine", engine), zap.String("request", r.call.RequestID), zap.Strings("parts", r.call.SharedParts))
	k.parts.RecordCrash(r.call.Model, process, r.call.SharedParts, k.env.Clock.Now())
}

// crashingPartRefusal returns the refusal of a run that has a part which crashes engines, or nil.
// It is asked before each send: a part may be blamed while the run is queued or prefilled.
func (r *Run) crashingPartRefusal() *problem.Problem {
	return r.keeper.CheckParts(&r.call, !r.dispatched)
}

// CheckParts returns the refusal of a call that has a part which crashes engines, or nil if the
// call may be sent to an engine. Only a call that has not been sent anywhere mayTry a part again;
// if it does, TryingPart is set.
func (k *Keeper) CheckParts(call *Call, mayTry bool) *problem.Problem {
	if call.TryingPart {
		return nil
	}
	now := k.env.Clock.Now()
	refusal, refused, try := k.parts.Check(call.Model, call.SharedParts, false, now)
	if refused && mayTry && k.peers.Owns(refusal.Part) {
		refusal, refused, try = k.parts.Check(call.Model, call.SharedParts, true, now)
	}
	call.TryingPart = try
	if !refused {
		return nil
	}
	metrics.Add("refused:"+string(problem.CrashingPart), 1)
	return crashingPartProblem(call, refusal)
}

// crashingPartProblem returns the refusal of a call because of a part of its prompt.
func crashingPartProblem(call *Call, refusal prompts.Refusal) *problem.Problem {
	place := 1
	for call.SharedParts[place-1] != refusal.Part {
		place++
	}
	name := fmt.Sprintf("paragraph %d of the prompt", place)
	if call.Path == completions.ChatPath {
		name = fmt.Sprintf("message %d of the chat", place)
	}
	return problem.New(problem.CrashingPart, "%d engines crashed while they ran requests with %s (part %s); requests with it are refused until one that is tried from time to time succeeds",
		refusal.Engines, name, refusal.Part).WithRetryAfter(refusal.RetryAfterMs)
}
