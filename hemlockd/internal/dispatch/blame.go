package dispatch

import (
	"fmt"
	"strconv"

	"hemlockmux.example/common/routing"
)

// blamed reports whether the request must not be sent to an engine because of a part of its
// prompt, and remembers why. It is asked before each send: a part may be blamed while the
// request waits, is prefilled, or is about to be repeated.
func (x *exchange) blamed() bool {
	if x.tryingPart {
		return false
	}
	parts := x.call.Prompt.SharedParts()
	refusal, refused, try := x.d.opts.Prompts.Check(x.service, parts, false, x.now())
	// Only a request that has not been sent anywhere tries the part again.
	if refused && len(x.attempts) == 0 && x.d.opts.MayTryPart(refusal.Part) {
		refusal, refused, try = x.d.opts.Prompts.Check(x.service, parts, true, x.now())
	}
	x.tryingPart = try
	if !refused {
		return false
	}
	x.blame = &refusal
	x.refusalBasis = fmt.Sprintf("part %s of the prompt: %d engines crashed while they ran requests with it", refusal.Part, refusal.Engines)
	return true
}

// recordCompletion records that an engine completed the request's stream, so that none of
// the parts of its prompt crashes engines.
func (x *exchange) recordCompletion() {
	x.d.opts.Prompts.RecordCompletion(x.service, x.call.Prompt.SharedParts(), x.now())
}

// processID identifies one process of an upstream, which may start again under its id.
func processID(u routing.Upstream) string {
	return u.ID + "@" + strconv.FormatInt(int64(u.StartedMs), 10)
}
