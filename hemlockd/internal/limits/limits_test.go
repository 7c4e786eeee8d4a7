package limits

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

// Property: however requests are distributed over a data centre's daemons, and with loans that are
// granted, delayed or lost, a team gets at most its rate and burst (each daemon's part of the burst
// is rounded up). If n daemons are partitioned and each sees only itself, they admit at most n times
// as much.
func TestLimitHoldsOverADataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "daemons")
		team := settings.DefaultTeam()
		team.RequestsPerSecond, team.Burst = float64(rapid.IntRange(1, 200).Draw(t, "rate")), rapid.IntRange(1, 50).Draw(t, "burst")
		daemons := make([]*Limits, n)
		for i := range daemons {
			daemons[i] = New()
		}
		partitioned := rapid.Bool().Draw(t, "partitioned")
		live := n
		if partitioned {
			live = 1
		}
		now, admitted := clock.Millis(10_000), 0
		const span = 5 * clock.Second
		for now < 10_000+span {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "pause"))
			l := daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			if _, release, ok := l.Admit("team", team, live, now); ok {
				admitted++
				release()
				continue
			}
			if partitioned || !l.ShouldBorrow("team", team, now) {
				continue
			}
			asked := now
			now += clock.Millis(rapid.IntRange(0, 30).Draw(t, "delay"))
			loan := daemons[rapid.IntRange(0, n-1).Draw(t, "lender")].Lend("team", team, live, now)
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				l.Borrow("team", team, live, loan, asked)
			}
		}
		seconds := float64(now-10_000) / 1000
		allowed := team.RequestsPerSecond*seconds + float64(team.Burst+n)
		if partitioned {
			allowed *= float64(n)
		}
		if float64(admitted) > math.Ceil(allowed) {
			t.Fatalf("%d requests admitted, %f allowed (partitioned: %t)", admitted, allowed, partitioned)
		}
	})
}

// A team whose requests all arrive at one of many daemons gets most of its limit there, through
// loans.
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
	for now := start; now < start+span; now += 5 { // 200 requests/s
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
	t.Logf("%.1f of 100 requests/s at one daemon of %d; its equal share is %.1f", rate, n, 100.0/n)
	if rate < 80 || rate > 102 {
		t.Errorf("admitted %.1f requests/s, want 80 to 102", rate)
	}
}

func TestReleaseLowersInFlight(t *testing.T) {
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
		t.Errorf("admitted above the limit, or refused without a retry time (%d)", retry)
	}
	for _, release := range releases {
		release()
	}
	if l.InFlight("team") != 0 {
		t.Errorf("%d requests in flight after all were released", l.InFlight("team"))
	}
}
