package capacity

import (
	"fmt"
	"math/rand"
	"testing"

	"hemlockmux.example/common/clock"
)

// paceModel is an engine whose steps take longer the more runs it has and the more tokens they hold.
type paceModel struct {
	stepMs, perRunMs, perThousandTokensMs float64
	slots, memory, eventTokens            int
}

// loadedEngine runs a paceModel in virtual time, with the view of a daemon that places all its runs.
type loadedEngine struct {
	paceModel
	view    *View
	random  *rand.Rand
	now     float64
	started int
	running map[string]Run
}

func newLoadedEngine(m paceModel, seed int64) *loadedEngine {
	e := &loadedEngine{paceModel: m, view: NewView(DefaultLimits()), random: rand.New(rand.NewSource(seed)), now: 1, running: map[string]Run{}}
	e.view.SetEngines([]Engine{{ID: "e", Service: "s", MemoryTokens: m.memory, Slots: m.slots}})
	return e
}

func (e *loadedEngine) start(id string, prompt, tokens int) bool {
	placed, ok := e.view.Place(Run{ID: id, Service: "s", PromptTokens: prompt, ExpectedTokens: tokens, MaxTokens: tokens}, PlaceOptions{SkipPrefill: true}, clock.Millis(e.now))
	if ok {
		e.running[id] = placed
	}
	return ok
}

// fill starts runs until the engine has n or no room for more.
func (e *loadedEngine) fill(n int) {
	for tokens := e.memory / e.slots; len(e.running) < n; {
		e.started++
		if !e.start(fmt.Sprint("other-", e.started), tokens/2, tokens/4+e.random.Intn(tokens/4)) {
			return
		}
	}
}

// step generates one event of each run.
func (e *loadedEngine) step() {
	held := 0
	for _, r := range e.running {
		held += r.PromptTokens + r.GeneratedTokens
	}
	e.now += float64(e.eventTokens) * (e.stepMs + e.perRunMs*float64(len(e.running)) + e.perThousandTokensMs*float64(held)/1000)
	for id, r := range e.running {
		r.GeneratedTokens += e.eventTokens
		e.running[id] = r
		e.view.Progress(id, r.GeneratedTokens, clock.Millis(e.now))
		if r.GeneratedTokens >= r.MaxTokens {
			e.view.End(id)
			delete(e.running, id)
		}
	}
}

// TestLongestDurationHoldsWhileTheEngineFills guards against a stream that is admitted during a shutdown and cut off because
// its engine becomes slower: others are placed beside it until the engine is full, however empty it was.
func TestLongestDurationHoldsWhileTheEngineFills(t *testing.T) { fillBeside(t, 1, 1.5) }

// TestLongestDurationHoldsWhileHalfTheEngineFills guards against the same where others take up to half of the engine, and against
// refusing streams that would have ended in time.
func TestLongestDurationHoldsWhileHalfTheEngineFills(t *testing.T) { fillBeside(t, 0.5, 1.25) }

// fillBeside has others take a share of an engine beside a run. The run must not take longer than its longest duration, nor that
// be more than excess times what it takes.
func fillBeside(t *testing.T, share, excess float64) {
	const prompt, limit = 100, 4000
	for _, m := range []paceModel{
		{0.554, 0.00243, 0.00142, 48, 76_160, 77}, {0.637, 0.00319, 0.00213, 64, 92_343, 64},
	} {
		for _, use := range []float64{0, 0.25, 0.5, 0.75, 1} {
			e := newLoadedEngine(m, 1)
			before := max(1, int(use*float64(m.slots-1)))
			for range 100 {
				e.fill(before)
				e.step()
			}
			if !e.start("asked", prompt, limit) {
				continue // no room: it is not admitted
			}
			began := e.now
			longest, ok := e.view.LongestDuration(e.running["asked"], clock.Millis(e.now))
			if !ok {
				t.Fatal("the pace is not known")
			}
			for e.running["asked"].ID != "" {
				e.fill(min(m.slots, before+int(share*float64(m.slots))))
				e.step()
			}
			took := clock.Millis(e.now - began)
			t.Logf("%+v, %.0f %% of the slots used: longest %d ms, took %d ms (%.2f)", m, 100*use, longest, took, float64(took)/float64(longest))
			if took > longest {
				t.Errorf("%+v, %.0f %% of the slots used: the run took %d ms, longest %d ms", m, 100*use, took, longest)
			}
			if float64(longest) > excess*float64(took) {
				t.Errorf("%+v, %.0f %% of the slots used: the run took %d ms, longest %d ms: too many streams are refused", m, 100*use, took, longest)
			}
		}
	}
}
