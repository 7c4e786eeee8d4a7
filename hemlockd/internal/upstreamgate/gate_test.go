package upstreamgate

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

func newGate(onChange func(Notice)) *Gate {
	return New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), onChange)
}

func target(started clock.Millis) Target { return Target{Upstream: "u", StartedMs: started} }

func TestWhatAnUpstreamAnnounces(t *testing.T) {
	const now, started = 100_000, 7
	leaving := Notice{Target: target(started), Leaving: true}
	pause := func(ms clock.Millis) Notice { return Notice{Target: target(started), PauseMs: ms} }
	for _, test := range []struct {
		name    string
		notices []Notice
		at      clock.Millis // after the notices
		process clock.Millis
		want    Reason
	}{
		{"nothing", []Notice{{Target: target(started)}}, 0, started, Open},
		{"a shutdown", []Notice{leaving}, 0, started, Leaving},
		{"a shutdown, long after", []Notice{leaving}, 5 * clock.Minute, started, Leaving},
		{"a shutdown, said in an older list to be an earlier process", []Notice{leaving}, 0, started - 1, Leaving},
		{"a new process at the address", []Notice{leaving}, 0, started + 1, Open},
		{"an answer that says nothing after it", []Notice{leaving, {Target: target(started)}}, 0, started, Leaving},
		{"a late answer of the process before", []Notice{{Target: target(started + 5)}, {Target: target(started + 5), PauseMs: 1}, leaving}, 2, started + 5, Open},
		{"a pause", []Notice{pause(500)}, 499, started, Paused},
		{"a pause that is over", []Notice{pause(500)}, 500, started, Open},
		{"the latest end of several pauses", []Notice{pause(500), pause(100)}, 300, started, Paused},
		{"a pause, of a new process", []Notice{pause(500)}, 0, started + 1, Open},
		{"a shutdown and a pause", []Notice{leaving, pause(500)}, 100, started, Leaving},
	} {
		g := newGate(func(Notice) {})
		for _, n := range test.notices {
			g.Observe(n, now)
		}
		if got := g.Check(target(test.process), now+test.at); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
		if got := g.Take(target(test.process), now+test.at); got != test.want {
			t.Errorf("%s: took with %q, want %q", test.name, got, test.want)
		}
	}
}

// TestNoticesAgainstAModel compares the gate with a plain list of all that was heard, under restarts of
// the upstream and answers that overtake each other.
func TestNoticesAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type heard struct {
			Notice
			at clock.Millis
		}
		var all []heard
		g, now := newGate(func(Notice) {}), clock.Millis(1000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.Int64Range(0, 3000).Draw(t, "passed"))
			n := Notice{Target: target(clock.Millis(rapid.Int64Range(1, 4).Draw(t, "process")))}
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				n.Leaving = true
			case 1:
				n.PauseMs = clock.Millis(rapid.Int64Range(1, 5000).Draw(t, "pause"))
			}
			g.Observe(n, now)
			all = append(all, heard{n, now})
			for process := clock.Millis(1); process <= 4; process++ {
				got := g.CheckNotices(target(process), now)
				mustStop := Open
				for _, h := range all {
					if h.StartedMs != process {
						continue
					}
					if h.PauseMs > 0 && h.at+h.PauseMs > now && mustStop == Open {
						mustStop = Paused
					}
					if h.Leaving {
						mustStop = Leaving
					}
				}
				newest := clock.Millis(0)
				for _, h := range all {
					if h.Leaving || h.PauseMs > 0 {
						newest = max(newest, h.StartedMs)
					}
				}
				// What was heard of an earlier process may be forgotten: it is gone.
				if process >= newest && got != mustStop {
					t.Fatalf("process %d at %d: %q, want %q after %+v", process, now, got, mustStop, all)
				}
			}
		}
	})
}

func TestRefusalsNameTheSoonestEnd(t *testing.T) {
	const now = 50_000
	targets := []Target{{Upstream: "a"}, {Upstream: "b"}, {Upstream: "c"}}
	g := newGate(func(Notice) {})
	if reason, _ := g.Closed(nil, now); reason != Open {
		t.Errorf("no upstream: %q", reason)
	}
	g.Observe(Notice{Target: targets[0], PauseMs: 4000}, now)
	g.Observe(Notice{Target: targets[1], PauseMs: 1000}, now)
	if reason, _ := g.Closed(targets, now); reason != Open {
		t.Errorf("one is open: %q", reason)
	}
	g.Observe(Notice{Target: targets[2], Leaving: true}, now)
	seen := map[clock.Millis]bool{}
	for range 200 {
		reason, retry := g.Closed(targets, now)
		if reason != Paused || retry < 1000 || retry > 1500 {
			t.Fatalf("%q, %d", reason, retry)
		}
		seen[retry] = true
	}
	if len(seen) < 50 {
		t.Errorf("%d different times to come back", len(seen))
	}
	for _, want := range []string{"a: paused for another 4000 ms", "b: paused for another 1000 ms", "c: leaving"} {
		if text := g.Summary(targets, now); !strings.Contains(text, want) {
			t.Errorf("%q lacks %q", text, want)
		}
	}
	g.Observe(Notice{Target: targets[0], Leaving: true}, now)
	g.Observe(Notice{Target: targets[1], Leaving: true}, now)
	if reason, retry := g.Closed(targets, now); reason != Leaving || retry <= 0 {
		t.Errorf("all leave: %q, %d", reason, retry)
	}
}

func TestOtherDaemonsLearnOfShutdownsOnly(t *testing.T) {
	const now = 50_000
	var changes []Notice
	g := newGate(func(n Notice) { changes = append(changes, n) })
	g.Observe(Notice{Target: Target{Upstream: "a", StartedMs: 3}, Leaving: true}, now)
	g.Observe(Notice{Target: Target{Upstream: "a", StartedMs: 3}, Leaving: true}, now)
	g.Observe(Notice{Target: Target{Upstream: "b"}, PauseMs: 1000}, now)
	if len(changes) != 2 || fmt.Sprint(g.Recent(now)) != "[{a 3}]" {
		t.Errorf("changes %+v, news %v", changes, g.Recent(now))
	}
	other := newGate(func(Notice) { t.Error("news was reported as an own observation") })
	if !other.Merge(Target{"a", 3}, now) || other.Merge(Target{"a", 3}, now) || other.Merge(Target{"a", 2}, now) {
		t.Error("news is a change just once")
	}
	if other.Check(Target{Upstream: "a", StartedMs: 3}, now) != Leaving {
		t.Error("news has no effect")
	}
	if len(g.Recent(now+leavingNewsSpan+1)) != 0 {
		t.Error("old news is still sent")
	}
}

// TestHealthCheckOfANewProcessReopens concerns upstreams whose processes can't be told apart.
func TestHealthCheckOfANewProcessReopens(t *testing.T) {
	g := newGate(func(Notice) {})
	u := Target{Upstream: "u"}
	g.Observe(Notice{Target: u, Leaving: true}, 1000)
	g.Reopen("u", 900) // sent before the shutdown was heard of
	if g.Check(u, 1100) != Leaving {
		t.Error("an overtaken health check has reopened it")
	}
	g.Reopen("u", 1200)
	if g.Check(u, 1300) != Open {
		t.Error("a new process stays closed")
	}
}

func TestNoticesAreBounded(t *testing.T) {
	g := newGate(func(Notice) {})
	for i := range 3 * maxNotices {
		g.Observe(Notice{Target: Target{Upstream: fmt.Sprint(i)}, Leaving: true}, clock.Millis(i))
	}
	if n := g.notices.count.Load(); n > maxNotices {
		t.Errorf("%d are kept", n)
	}
	if g.Check(Target{Upstream: fmt.Sprint(3*maxNotices - 1)}, 3*maxNotices) != Leaving {
		t.Error("the newest is forgotten")
	}
}
