package prompts

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
)

const service = "s"

// crash records crashes of the given engines during runs with the parts.
func crash(e *Evidence, now clock.Millis, parts []string, engines ...string) {
	for _, engine := range engines {
		e.RecordCrash(service, engine, parts, now)
	}
}

// refuses returns which of the parts are refused alone.
func refuses(e *Evidence, now clock.Millis, parts ...string) []string {
	refused := []string{}
	for _, p := range parts {
		if _, ok, _ := e.Check(service, []string{p}, false, now); ok {
			refused = append(refused, p)
		}
	}
	return refused
}

func TestBlame(t *testing.T) {
	shared, guilty := []string{"first"}, []string{"first", "guilty"}
	for _, c := range []struct {
		name string
		do   func(e *Evidence)
		want []string
	}{
		{"nothing happened", func(*Evidence) {}, []string{}},
		{"two crashes", func(e *Evidence) { crash(e, 1, guilty, "1", "2") }, []string{}},
		{"two engines, many runs", func(e *Evidence) { crash(e, 1, guilty, "1", "2", "1", "2", "1") }, []string{}},
		{"three crashes blame only the deepest part", func(e *Evidence) { crash(e, 1, guilty, "1", "2", "3") }, []string{"guilty"}},
		{"two other crashes don't blame the first part", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			crash(e, 1, shared, "4", "5")
		}, []string{"guilty"}},
		{"three other crashes blame the first part too", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			crash(e, 1, shared, "4", "5", "6")
		}, []string{"first", "guilty"}},
		{"sound requests that died with the engines", func(e *Evidence) {
			crash(e, 1, shared, "1", "2", "3")
			crash(e, 1, guilty, "1", "2", "3")
		}, []string{"guilty"}},
		{"of equal depth, the part with more crashes explains", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3", "4")
			crash(e, 1, []string{"first", "a"}, "1", "2", "3")
		}, []string{"guilty"}},
		{"ever other deeper parts", func(e *Evidence) {
			for i := range 3 {
				crash(e, 1, []string{"first", fmt.Sprint("junk", i)}, fmt.Sprint(i))
			}
		}, []string{"first"}},
		{"a completion clears the part", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			e.RecordCompletion(service, guilty, 2)
		}, []string{}},
		{"a completion of another run clears just its parts", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			e.RecordCompletion(service, shared, 2)
		}, []string{"guilty"}},
		{"a completion of the deeper part uncovers the other", func(e *Evidence) {
			crash(e, 1, []string{"first", "guilty", "deep"}, "1", "2", "3")
			e.RecordCompletion(service, []string{"x", "y", "deep"}, 2)
		}, []string{"guilty"}},
		{"a late report of an earlier epoch", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			e.RecordCompletion(service, guilty, 2)
			e.Merge(Report{Service: service, Part: "guilty", Depth: 1, Engines: []string{"1", "2", "3"}, CrashAgoMs: 1}, 3)
		}, []string{}},
		{"a completion of another service", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			e.RecordCompletion("other", guilty, 2)
		}, []string{"guilty"}},
		{"lifted", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			e.Lift(service, "guilty", 2)
		}, []string{}},
		{"lift of a part that isn't blamed", func(e *Evidence) {
			crash(e, 1, guilty, "1", "2", "3")
			e.Lift(service, "first", 2)
		}, []string{"guilty"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New()
			c.do(e)
			if got := refuses(e, 10, "first", "guilty"); !slices.Equal(got, c.want) {
				t.Errorf("refused: got %v, want %v", got, c.want)
			}
			if _, refused, _ := e.Check("other", guilty, false, 10); refused {
				t.Error("refused in another service")
			}
		})
	}
}

func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		engines int
		now     clock.Millis
		want    clock.Millis
	}{
		{3, 0, 30 * clock.Second},
		{3, 20 * clock.Second, 10 * clock.Second},
		{3, 29_500, clock.Second},
		{3, clock.Minute, clock.Second},
		{4, 0, clock.Minute},
		{5, 0, clock.Minute},
		{5, 90 * clock.Second, 30 * clock.Second},
	} {
		e := New()
		for i := range c.engines {
			crash(e, 0, []string{"a"}, fmt.Sprint(i))
		}
		r, refused, _ := e.Check(service, []string{"x", "a"}, false, c.now)
		if want := (Refusal{Part: "a", Engines: c.engines, RetryAfterMs: c.want}); !refused || r != want {
			t.Errorf("%d engines at %d ms: got %t %+v, want %+v", c.engines, c.now, refused, r, want)
		}
	}
}

func TestTries(t *testing.T) {
	e := New()
	updates := 0
	crash(e, 0, []string{"first", "a"}, "1", "2", "3")
	e.OnUpdate = func() { updates++ }
	check := func(now clock.Millis, mayTry, wantRefused, wantTry bool) {
		t.Helper()
		if _, refused, try := e.Check(service, []string{"first", "a"}, mayTry, now); refused != wantRefused || try != wantTry {
			t.Errorf("at %d ms: refused %t, try %t", now, refused, try)
		}
	}
	check(29*clock.Second, true, true, false)
	check(30*clock.Second, false, true, false)
	check(30*clock.Second, true, false, true)
	if updates != 1 {
		t.Errorf("a try gave %d updates", updates)
	}
	check(30*clock.Second, true, true, false)
	if r := e.Blamed(31 * clock.Second)[0]; r.TryAgoMs != clock.Second {
		t.Errorf("got %+v", r)
	}
	crash(e, 31*clock.Second, []string{"first", "a"}, "4")
	check(90*clock.Second, true, true, false)
	check(91*clock.Second, true, false, true)
	e.RecordCompletion(service, []string{"first", "a"}, 92*clock.Second)
	check(92*clock.Second, true, false, false)
}

// A part that completed lately is suspected only of crashes of runs whose parts all did.
func TestCompletedParts(t *testing.T) {
	sound, mixed := []string{"first"}, []string{"first", "new"}
	for _, c := range []struct {
		name string
		do   func(e *Evidence)
		want []string
	}{
		{"crashes with another part", func(e *Evidence) { crash(e, 10, mixed, "1", "2", "3") }, []string{"new"}},
		{"crashes with ever other parts", func(e *Evidence) {
			for i := range 10 {
				crash(e, 10, []string{"first", fmt.Sprint("junk", i)}, fmt.Sprint(i))
			}
		}, []string{}},
		{"crashes with no other part", func(e *Evidence) { crash(e, 10, sound, "1", "2", "3") }, []string{"first"}},
		{"crashes with another part long after", func(e *Evidence) {
			for i := range 3 {
				crash(e, completedFor+clock.Second, []string{"first", fmt.Sprint("junk", i)}, fmt.Sprint(i))
			}
		}, []string{"first"}},
		{"the completion was in another service", func(e *Evidence) {
			for i := range 3 {
				e.RecordCrash("other", fmt.Sprint(i), []string{"first", fmt.Sprint("junk", i)}, 10)
			}
			if _, refused, _ := e.Check("other", sound, false, 20); !refused {
				t.Error("not refused in the other service")
			}
		}, []string{}},
		{"a report of crashes before the completion", func(e *Evidence) {
			e.Merge(Report{Service: service, Part: "first", Engines: []string{"1", "2", "3"}, CrashAgoMs: 5 * clock.Second}, 2*clock.Second)
		}, []string{}},
		{"a report of crashes after the completion", func(e *Evidence) {
			e.Merge(Report{Service: service, Part: "first", Engines: []string{"1", "2", "3"}, CrashAgoMs: 1}, 2*clock.Second)
		}, []string{"first"}},
		{"the completion is learned of another daemon", func(e *Evidence) {
			e.Merge(Report{Service: service, Part: "new", Epoch: 1, CompletedAgoMs: 5}, 10)
			for i := range 3 {
				crash(e, 10, []string{"new", fmt.Sprint("junk", i)}, fmt.Sprint(i))
			}
		}, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New()
			e.RecordCompletion(service, sound, 0)
			c.do(e)
			if got := refuses(e, completedFor+2*clock.Second, "first", "new"); !slices.Equal(got, c.want) {
				t.Errorf("refused: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestCompletedPartsAreRemembered(t *testing.T) {
	c := newCompletedParts(1)
	c.record(service, "first", 0)
	for i := range 4000 { // fewer than the slots
		c.record(service, fmt.Sprint(i), clock.Minute)
	}
	if !c.has(service, "first", clock.Minute) || c.has("other", "first", clock.Minute) || c.has(service, "first", completedFor) {
		t.Error("the part must be known in its service until completedFor")
	}
	for i := range 100_000 {
		c.record(service, fmt.Sprint("x", i), 2*clock.Minute)
	}
	c.record(service, "first", 3*clock.Minute)
	if ago := c.ago(service, "first", 4*clock.Minute); ago != clock.Minute {
		t.Errorf("completed %d ms ago", ago)
	}
}

// After a mass crash, any daemon tries a part again soon that completed before; if that
// crashes, the usual intervals hold.
func TestTryOfCompletedPart(t *testing.T) {
	e, first := New(), []string{"first"}
	check := func(now clock.Millis, parts []string, wantTry bool) {
		t.Helper()
		if _, refused, try := e.Check(service, parts, false, now); try != wantTry || refused == wantTry {
			t.Errorf("at %d ms: refused %t, try %t", now, refused, try)
		}
	}
	e.RecordCompletion(service, first, 0)
	crash(e, 0, first, "1", "2", "3", "4", "5", "6")
	check(1999, first, false)
	check(2000, []string{"first", "new"}, false)
	check(2000, first, true)
	check(2000, first, false)
	check(11_999, first, false)
	check(12_000, first, true) // the first try was lost
	crash(e, 13_000, first, "7")
	check(120_000, first, false)
	e.RecordCompletion(service, first, 120_000)
	if got := refuses(e, 120_000, "first"); len(got) != 0 {
		t.Errorf("refused after a completion: %v", got)
	}
}

func TestTryIntervalIsBounded(t *testing.T) {
	e := New()
	for i := range 40 {
		crash(e, 0, []string{"a"}, fmt.Sprint(i))
	}
	for now := clock.Millis(0); now < clock.Hour; now += clock.Minute {
		if _, refused, try := e.Check(service, []string{"a"}, true, now); !refused || try {
			t.Fatalf("at %d ms: refused %t, try %t", now, refused, try)
		}
	}
	if _, _, try := e.Check(service, []string{"a"}, true, clock.Hour); !try {
		t.Error("no try after an hour")
	}
}

// With two blamed parts a request is a try only if one is due for both.
func TestTryOfTwoParts(t *testing.T) {
	e := New()
	crash(e, 0, []string{"a"}, "1", "2", "3")
	crash(e, 10*clock.Second, []string{"b"}, "4", "5", "6")
	both := []string{"a", "b"}
	if r, refused, _ := e.Check(service, both, true, 35*clock.Second); !refused || r.Part != "b" {
		t.Errorf("got %t %+v", refused, r)
	}
	if _, _, try := e.Check(service, both, true, 40*clock.Second); !try {
		t.Error("no try")
	}
	if got := refuses(e, 41*clock.Second, "a", "b"); len(got) != 2 {
		t.Errorf("refused after the try: %v", got)
	}
	if _, _, try := e.Check(service, []string{"a"}, true, 41*clock.Second); try {
		t.Error("the try didn't count for both")
	}
}

func TestForgetting(t *testing.T) {
	crashed := func(engines ...string) *Evidence {
		e := New()
		crash(e, 0, []string{"a"}, engines...)
		return e
	}
	t.Run("below the threshold", func(t *testing.T) {
		e := crashed("1", "2")
		crash(e, forgetAfter, []string{"a"}, "3")
		if got := refuses(e, forgetAfter, "a"); len(got) != 0 {
			t.Errorf("refused: %v", got)
		}
		e = crashed("1", "2")
		crash(e, forgetAfter-1, []string{"a"}, "3")
		if got := refuses(e, forgetAfter, "a"); len(got) != 1 {
			t.Error("forgotten early")
		}
	})
	t.Run("blamed, not seen", func(t *testing.T) {
		e := crashed("1", "2", "3")
		if got := refuses(e, forgetBlamedAfter, "a"); len(got) != 0 {
			t.Errorf("refused: %v", got)
		}
		if e.Blamed(forgetBlamedAfter) != nil || e.size.Load() != 0 || e.blamed.Load() != 0 {
			t.Error("not forgotten")
		}
	})
	t.Run("blamed, seen here", func(t *testing.T) {
		e := crashed("1", "2", "3")
		refuses(e, 9*clock.Minute, "a")
		if got := refuses(e, 18*clock.Minute, "a"); len(got) != 1 {
			t.Error("forgotten early")
		}
	})
	t.Run("blamed, seen elsewhere", func(t *testing.T) {
		e, other := crashed("1", "2", "3"), New()
		exchange(e, other, 0)
		refuses(other, 9*clock.Minute, "a")
		exchange(other, e, 9*clock.Minute)
		if got := refuses(e, 18*clock.Minute, "a"); len(got) != 1 {
			t.Error("forgotten early")
		}
	})
	t.Run("epoch", func(t *testing.T) {
		e := crashed("1", "2", "3")
		e.RecordCompletion(service, []string{"a"}, 1)
		old := Report{Service: service, Part: "a", Engines: []string{"1", "2", "3"}, CrashAgoMs: 1}
		e.Merge(old, forgetEpochAfter)
		if got := refuses(e, forgetEpochAfter, "a"); len(got) != 0 {
			t.Error("brought back")
		}
		e.Recent(2*forgetEpochAfter + 1)
		if n := e.size.Load(); n != 0 {
			t.Errorf("%d parts are kept", n)
		}
	})
	t.Run("expired evidence keeps its epoch", func(t *testing.T) {
		e := New()
		e.Merge(Report{Service: service, Part: "a", Epoch: 2, Engines: []string{"1", "2", "3"}, CrashAgoMs: 1}, 0)
		e.Recent(forgetBlamedAfter)
		e.Merge(Report{Service: service, Part: "a", Engines: []string{"1", "2", "3"}, CrashAgoMs: 1}, forgetBlamedAfter)
		for _, r := range e.Recent(forgetBlamedAfter) { // the sender learns the epoch
			if r.Epoch != 2 || len(r.Engines) != 0 || !r.valid() {
				t.Errorf("got %+v", r)
			}
		}
	})
}

// Ages stay bounded though each message delays them: daemons that exchange reports of a part that
// isn't seen any more forget it.
func TestDelaysDontKeepEvidence(t *testing.T) {
	daemons := []*Evidence{New(), New(), New()}
	crash(daemons[0], 0, []string{"a"}, "1", "2", "3")
	for now := clock.Millis(0); now < 2*forgetAfter; now += 500 {
		for i, from := range daemons {
			for _, r := range from.Recent(now) {
				daemons[(i+1)%3].Merge(r, now+100)
				daemons[(i+2)%3].Merge(r, now+400)
			}
		}
	}
	for _, e := range daemons {
		if e.size.Load() != 0 {
			t.Errorf("kept: %+v", e.Blamed(2*forgetAfter))
		}
	}
}

func TestUpdates(t *testing.T) {
	e, updates := New(), 0
	e.OnUpdate = func() { updates++ }
	expect := func(what string, want int) {
		t.Helper()
		if updates != want {
			t.Errorf("%s: %d updates, want %d", what, updates, want)
		}
		updates = 0
	}
	crash(e, 1, []string{"a", "b"}, "1")
	expect("crash", 1)
	crash(e, 1, []string{"a", "b"}, "1")
	expect("the same engine again", 0)
	e.RecordCompletion(service, []string{"x"}, 2)
	expect("completion without evidence", 0)
	e.RecordCompletion(service, []string{"a"}, 2)
	expect("completion", 1)
	report := Report{Service: service, Part: "b", Engines: []string{"2", "3"}, CrashAgoMs: 5}
	e.Merge(report, 2)
	expect("a report by which a part is blamed", 1)
	e.Merge(report, 2)
	expect("the report again", 0)
	e.Merge(Report{Service: service, Part: "b", Epoch: 1}, 2)
	expect("a report by which a part isn't blamed any more", 1)
}

func TestNoAllocationsWithoutEvidence(t *testing.T) {
	e, parts := New(), []string{"x", "y", "z"}
	crash(e, 0, []string{"a"}, "1", "2", "3")
	if n := testing.AllocsPerRun(100, func() {
		e.RecordCompletion(service, parts, 1)
		e.Check(service, parts, false, 1)
		e.Check("other", parts, false, 1)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func TestLiftIsShared(t *testing.T) {
	a, b := New(), New()
	crash(a, 0, []string{"first", "guilty"}, "1", "2", "3")
	exchange(a, b, 0)
	if !a.Lift(service, "guilty", 1) || a.Lift(service, "guilty", 1) {
		t.Error("lifted once: want true, then false")
	}
	exchange(b, a, 2)
	exchange(a, b, 2)
	for _, e := range []*Evidence{a, b} {
		if got := refuses(e, 3, "first", "guilty"); len(got) != 0 {
			t.Errorf("refused: %v", got)
		}
	}
}

func TestEviction(t *testing.T) {
	e := New()
	crash(e, 0, []string{"blamed"}, "1", "2", "3")
	crash(e, 0, []string{"two"}, "4", "5")
	for i := range 2 * maxParts {
		crash(e, clock.Millis(i/100), []string{fmt.Sprint("junk", i)}, fmt.Sprint("e", i))
	}
	if n := e.size.Load(); n > maxParts || n < maxParts-evictedParts {
		t.Errorf("%d parts are kept", n)
	}
	if got := refuses(e, 100, "blamed"); len(got) != 1 {
		t.Error("the blamed part was evicted")
	}
	crash(e, 100, []string{"two"}, "6")
	if got := refuses(e, 100, "two"); len(got) != 1 {
		t.Error("the part with two crashes was evicted")
	}
	for i := range maxParts + 100 { // each of these parts is blamed
		e.Merge(Report{Service: fmt.Sprint(i % 64), Part: fmt.Sprint("x", i), Engines: []string{fmt.Sprint("x", i), fmt.Sprint("y", i), fmt.Sprint("z", i)}, CrashAgoMs: 1}, 200)
	}
	if n := e.size.Load(); n != maxParts || e.blamed.Load() != maxParts || int(e.blamed.Load()) != len(e.Blamed(200)) {
		t.Errorf("%d parts are kept, %d of them blamed (%d counted)", n, len(e.Blamed(200)), e.blamed.Load())
	}
}

func TestRecentIsBoundedAndFair(t *testing.T) {
	e := New()
	for i := range 10 {
		crash(e, 0, []string{fmt.Sprint("blamed", i)}, "1", "2", "3", strings.Repeat("e", maxIDBytes))
	}
	for i := range 10 {
		crash(e, 0, []string{fmt.Sprint("two", i)}, "4", fmt.Sprint("x", i))
		crash(e, 0, []string{fmt.Sprint("one", i)}, fmt.Sprint("y", i))
	}
	seen := map[string]int{}
	for range 6 {
		reports := e.Recent(1)
		if len(reports) > maxRecent {
			t.Errorf("%d reports", len(reports))
		}
		for _, r := range reports {
			seen[r.Part]++
		}
	}
	for i := range 10 {
		for _, kind := range []string{"blamed", "two", "one"} {
			if seen[fmt.Sprint(kind, i)] == 0 {
				t.Errorf("%s%d wasn't sent", kind, i)
			}
		}
	}
	for _, r := range e.Recent(shareFor) {
		if !strings.HasPrefix(r.Part, "blamed") {
			t.Errorf("%s is still sent", r.Part)
		}
	}
}

func TestMalformedReportsAreIgnored(t *testing.T) {
	good := Report{Service: service, Part: "a", Depth: 1, Engines: []string{"1", "2", "3"}, CrashAgoMs: 1}
	for name, change := range map[string]func(r *Report){
		"no service":       func(r *Report) { r.Service = "" },
		"no part":          func(r *Report) { r.Part = "" },
		"long part":        func(r *Report) { r.Part = strings.Repeat("a", maxIDBytes+1) },
		"negative depth":   func(r *Report) { r.Depth = -1 },
		"absurd depth":     func(r *Report) { r.Depth = maxRunParts },
		"negative epoch":   func(r *Report) { r.Epoch = -1 },
		"absurd epoch":     func(r *Report) { r.Epoch = maxEpoch + 1 },
		"empty engine":     func(r *Report) { r.Engines[1] = "" },
		"long engine":      func(r *Report) { r.Engines[1] = strings.Repeat("a", maxIDBytes+1) },
		"too many engines": func(r *Report) { r.Engines = slices.Repeat(r.Engines, 10) },
		"no crash":         func(r *Report) { r.CrashAgoMs = 0 },
		"crash, no engine": func(r *Report) { r.Engines = nil },
		"negative crash":   func(r *Report) { r.CrashAgoMs = -1 },
		"negative try":     func(r *Report) { r.TryAgoMs = -1 },
		"negative seen":    func(r *Report) { r.SeenAgoMs = -1 },
		"absurd age":       func(r *Report) { r.SeenAgoMs = maxAge + 1 },
		"old":              func(r *Report) { r.CrashAgoMs = forgetAfter },
	} {
		t.Run(name, func(t *testing.T) {
			e, r := New(), good
			r.Engines = slices.Clone(good.Engines)
			change(&r)
			e.Merge(r, 1)
			if n := e.size.Load(); n != 0 {
				t.Errorf("%d parts are kept", n)
			}
		})
	}
	e := New()
	e.Merge(good, 1)
	if len(e.Blamed(1)) != 1 {
		t.Error("the well-formed report was ignored")
	}
}

func TestMalformedRunsAreIgnored(t *testing.T) {
	e, long := New(), strings.Repeat("a", maxIDBytes+1)
	e.RecordCrash("", "1", []string{"a"}, 0)
	e.RecordCrash(long, "1", []string{"a"}, 0)
	e.RecordCrash(service, "", []string{"a"}, 0)
	e.RecordCrash(service, long, []string{"a"}, 0)
	e.RecordCrash(service, "1", nil, 0)
	e.RecordCrash(service, "1", []string{"", long}, 0)
	if n := e.size.Load(); n != 0 || len(e.services) != 0 {
		t.Errorf("%d parts are kept", n)
	}
	many := make([]string, 10*maxRunParts)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	e.RecordCrash(service, "1", many, 0)
	if n := e.size.Load(); n != maxRunParts {
		t.Errorf("%d parts are kept", n)
	}
}

// exchange sends a message from one daemon to another.
func exchange(from, to *Evidence, now clock.Millis) {
	for _, r := range from.Recent(now) {
		to.Merge(r, now)
	}
}

func drawReport(t *rapid.T) Report {
	r := Report{
		Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"),
		Part:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"),
		Depth:   rapid.IntRange(0, 3).Draw(t, "depth"),
		Epoch:   rapid.IntRange(0, 2).Draw(t, "epoch"),
	}
	for range rapid.IntRange(0, maxEngines).Draw(t, "engines") {
		r.Engines = append(r.Engines, fmt.Sprint("e", rapid.IntRange(0, 40).Draw(t, "engine")))
	}
	if len(r.Engines) > 0 {
		r.CrashAgoMs = clock.Millis(rapid.IntRange(1, 5000).Draw(t, "crash"))
	}
	return r
}

// state is what merging must not depend on the order for.
func state(e *Evidence) map[string]Report {
	all := map[string]Report{}
	for service, known := range e.services {
		for id, p := range known {
			r := e.reportLocked(p, 0)
			r.CrashAgoMs, r.TryAgoMs, r.SeenAgoMs = 0, 0, 0
			r.Engines = append([]string{fmt.Sprint(p.blamed)}, r.Engines...)
			all[service+"/"+id] = r
		}
	}
	return all
}

// Merging is commutative, associative and idempotent: daemons that got the same reports,
// in whatever order, how often and by whatever way, agree.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(drawReport), 1, 12).Draw(t, "reports")
		a, b, c := New(), New(), New()
		for _, r := range reports {
			a.Merge(r, 10_000)
		}
		shuffled := rapid.Permutation(slices.Concat(reports, reports)).Draw(t, "order")
		for _, r := range shuffled {
			b.Merge(r, 10_000)
		}
		// c gets the first half by another daemon that merged it before.
		half, relay := rapid.IntRange(0, len(reports)).Draw(t, "half"), New()
		for _, r := range reports[half:] {
			c.Merge(r, 10_000)
		}
		for _, r := range reports[:half] {
			relay.Merge(r, 10_000)
		}
		exchange(relay, c, 10_000)
		if want, got := state(a), state(b); !reflect.DeepEqual(got, want) {
			t.Fatalf("order matters: got %v, want %v", got, want)
		}
		if want, got := state(a), state(c); !reflect.DeepEqual(got, want) {
			t.Fatalf("the way matters: got %v, want %v", got, want)
		}
	})
}

// Whatever happens, counts and bounds hold, ages never grow older by a merge, and reports
// survive JSON and are well-formed.
func TestInvariantsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := []*Evidence{New(), New(), New()}
		now := clock.Millis(rapid.IntRange(0, 1_000_000).Draw(t, "start"))
		parts := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				e := rapid.SampledFrom(daemons).Draw(t, "daemon")
				crash(e, now, rapid.Permutation(parts).Draw(t, "parts")[:2], fmt.Sprint("e", rapid.IntRange(0, 30).Draw(t, "engine")))
			},
			"complete": func(t *rapid.T) {
				rapid.SampledFrom(daemons).Draw(t, "daemon").RecordCompletion(service, rapid.Permutation(parts).Draw(t, "parts")[:1], now)
			},
			"check": func(t *rapid.T) {
				e := rapid.SampledFrom(daemons).Draw(t, "daemon")
				if r, refused, try := e.Check(service, parts, rapid.Bool().Draw(t, "mayTry"), now); refused && (try || r.RetryAfterMs < minRetryAfter || r.RetryAfterMs > maxRetryAfter) {
					t.Fatalf("got %+v, try %t", r, try)
				}
			},
			"lift":    func(t *rapid.T) { daemons[0].Lift(service, rapid.SampledFrom(parts).Draw(t, "part"), now) },
			"advance": func(t *rapid.T) { now += clock.Millis(rapid.IntRange(0, 200_000).Draw(t, "by")) },
			"exchange": func(t *rapid.T) {
				to := rapid.SampledFrom(daemons).Draw(t, "to")
				for _, r := range rapid.SampledFrom(daemons).Draw(t, "from").Recent(now) {
					if !r.valid() {
						t.Fatalf("malformed: %+v", r)
					}
					to.Merge(jsonCopy(t, r), now)
				}
			},
			"": func(t *rapid.T) {
				for _, e := range daemons {
					checkCounts(t, e)
				}
			},
		})
	})
}

func jsonCopy(t *rapid.T, r Report) Report {
	raw, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var copied Report
	if err := json.Unmarshal(raw, &copied); err != nil || !reflect.DeepEqual(copied, r) {
		t.Fatalf("got %+v, want %+v: %v", copied, r, err)
	}
	return copied
}

func checkCounts(t *rapid.T, e *Evidence) {
	parts, blamed := 0, 0
	for service, known := range e.services {
		if len(known) == 0 {
			t.Fatalf("service %s is kept without parts", service)
		}
		for _, p := range known {
			parts++
			if p.blamed {
				blamed++
			}
			if p.blamed && len(p.engines) < blameThreshold || len(p.engines) > maxEngines || !slices.IsSorted(p.engines) {
				t.Fatalf("part %s: blamed %t with %v", p.id, p.blamed, p.engines)
			}
		}
	}
	if int64(parts) != e.size.Load() || int64(blamed) != e.blamed.Load() {
		t.Fatalf("%d parts and %d blamed, counted %d and %d", parts, blamed, e.size.Load(), e.blamed.Load())
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"service":"s","part":"a","depth":1,"engines":["1","2","3"],"crashAgoMs":5}]`), int64(0))
	f.Add([]byte(`[{"service":"s","part":"a","epoch":1},{"service":"s","part":"a","depth":-1,"tryAgoMs":-9223372036854775808}]`), int64(1_700_000_000_000))
	f.Fuzz(func(t *testing.T, raw []byte, at int64) {
		var reports []Report
		if json.Unmarshal(raw, &reports) != nil {
			return
		}
		now := clock.Millis(at % (1 << 50))
		e := New()
		for _, r := range reports {
			e.Merge(r, now)
			e.Check(r.Service, []string{r.Part}, true, now)
			e.RecordCompletion(r.Service, []string{r.Part}, now)
			e.Merge(r, now)
		}
		for _, r := range append(e.Recent(now), e.Blamed(now)...) {
			if !r.valid() {
				t.Errorf("malformed: %+v", r)
			}
			e.Lift(r.Service, r.Part, now)
		}
		if n := e.size.Load(); n > maxParts || n > int64(len(reports)) {
			t.Errorf("%d parts of %d reports", n, len(reports))
		}
	})
}
