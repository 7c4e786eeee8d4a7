package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// Property: over a data centre, whatever daemon the requests come to, with
// loans that are made, late and lost, a team is admitted at most its rate and
// burst (each daemon's part of the burst is rounded up); n daemons that each see
// only themselves admit at most n times as much.
func TestLimitHoldsOverADataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "daemons")
		team := settings.DefaultTeam()
		team.RequestsPerSecond, team.Burst = float64(rapid.IntRange(1, 200).Draw(t, "rate")), rapid.IntRange(1, 50).Draw(t, "burst")
		daemons := make([]*Limits, n)
		for i := range daemons {
			daemons[i] = New()
		}
		cut := rapid.Bool().Draw(t, "cut")
		views := n
		if cut {
			views = 1
		}
		now, admitted := clock.Millis(10_000), 0
		const span = 5 * clock.Second
		for now < 10_000+span {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "pause"))
			l := daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			if _, release, ok := l.Admit("team", team, views, now); ok {
				admitted++
				release()
				continue
			}
			if cut || !l.ShouldBorrow("team", team, now) {
				continue
			}
			asked := now
			now += clock.Millis(rapid.IntRange(0, 30).Draw(t, "way"))
			loan := daemons[rapid.IntRange(0, n-1).Draw(t, "lender")].Lend("team", team, views, now)
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				l.Borrow("team", team, views, loan, asked)
			}
		}
		seconds := float64(now-10_000) / 1000
		allowed := team.RequestsPerSecond*seconds + float64(team.Burst+n)
		if cut {
			allowed *= float64(n)
		}
		if float64(admitted) > math.Ceil(allowed) {
			t.Fatalf("%d admitted, %f allowed (cut: %t)", admitted, allowed, cut)
		}
	})
}

// A team whose callers all come to one of many daemons gets most of its limit
// there, by loans.
func TestSharesFollowDemand(t *testing.T) {
	const n = 28
	team := settings.DefaultTeam()
	team.RequestsPerSecond, team.Burst = 100, 20
	daemons := make([]*Limits, n)
	for i := range daemons {
		daemons[i] = New()
	}
	busy, admitted, lender := daemons[0], 0, 0
	const start, span = clock.Millis(10_000), 20 * clock.Second
	for now := start; now < start+span; now += 5 { // 200 a second
		_, release, ok := busy.Admit("team", team, n, now)
		if !ok && busy.ShouldBorrow("team", team, now) {
			for range 4 {
				lender = lender%(n-1) + 1
				busy.Borrow("team", team, n, daemons[lender].Lend("team", team, n, now), now)
			}
			_, release, ok = busy.Admit("team", team, n, now)
		}
		if ok {
			admitted++
			release()
		}
	}
	rate := float64(admitted) / (float64(span) / 1000)
	t.Logf("%.1f a second of 100 at one daemon of %d; its equal share is %.1f", rate, n, 100.0/n)
	if rate < 80 || rate > 102 {
		t.Errorf("%.1f a second", rate)
	}
}

func TestInFlightIsGivenBack(t *testing.T) {
	l, team := New(), settings.DefaultTeam()
	team.MaxInFlight = 2
	var releases []func()
	for range 2 {
		_, release, ok := l.Admit("team", team, 1, 1)
		if !ok {
			t.Fatal("refused below the limit")
		}
		releases = append(releases, release)
	}
	if retry, _, ok := l.Admit("team", team, 1, 1); ok || retry <= 0 {
		t.Errorf("admitted above the limit, or no time to come back (%d)", retry)
	}
	for _, release := range releases {
		release()
	}
	if l.InFlight("team") != 0 {
		t.Errorf("%d in flight at the end", l.InFlight("team"))
	}
}
