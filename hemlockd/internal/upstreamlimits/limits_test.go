package upstreamlimits

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
)

// windowMs is the span over which the users count the calls to a limited upstream.
const windowMs = 4 * clock.Second

func allowed(perSecond float64) float64 { return 1.5*perSecond*4 + 5 }

// fleet is a number of daemons that call one upstream, in virtual time.
type fleet struct {
	rng       *rand.Rand
	now       clock.Millis
	perSecond float64
	// lost is the share of messages that are lost; each takes 10 to 100 ms.
	lost    float64
	daemons []*daemon
	mail    []mail
	calls   []clock.Millis
}

type daemon struct {
	name   string
	limits *Limits
	demand float64 // requests per second
	// cut is set if the daemon neither hears nor is heard; it goes on calling.
	cut bool
	// leaving is set if the daemon shuts down and has told the others.
	leaving bool
	// toldMs is when the process first passed on an answer that names the limit; 0 if it has not.
	toldMs clock.Millis
	// healedMs is when the daemon's last cut ended.
	healedMs clock.Millis
	// heardMs is when each other daemon was last heard.
	heardMs map[string]clock.Millis
}

// mail is something that is done at a daemon when a message arrives there.
type mail struct {
	at clock.Millis
	do func()
}

const (
	aliveSpan  = 2500 * clock.Millisecond
	memorySpan = clock.Minute
	// contactSpan is the time after a cut from which a daemon's calls count again: the users
	// excuse a daemon that is cut off.
	contactSpan = 4 * clock.Second
	// toldSpan is the time after its first answer from which a daemon's calls count.
	toldSpan   = 500 * clock.Millisecond
	upstreamID = "u"
)

func newFleet(seed uint64, n int, perSecond, demand float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Minute, perSecond: perSecond}
	for i := range n {
		d := &daemon{name: fmt.Sprintf("d%d", i), demand: demand}
		f.daemons = append(f.daemons, d)
		f.restart(d)
	}
	f.now += acquaintSpan
	for _, d := range f.daemons {
		for _, other := range f.daemons {
			d.heardMs[other.name] = f.now
		}
		f.tick(d)
	}
	return f
}

// restart starts a new process of a daemon.
func (f *fleet) restart(d *daemon) {
	d.heardMs, d.toldMs = map[string]clock.Millis{}, 0
	d.limits = New(d.name, f.now, func(n News) { f.broadcast(d, func(to *daemon) { to.limits.Merge(n, f.now) }) })
}

// send delivers a message after a while, unless it is lost.
func (f *fleet) send(from, to *daemon, do func()) {
	if from.cut || to.cut || from == to || f.rng.Float64() < f.lost {
		return
	}
	limits := to.limits
	f.mail = append(f.mail, mail{f.now + 10 + clock.Millis(f.rng.IntN(90)), func() {
		if to.limits == limits && !to.cut {
			to.heardMs[from.name] = f.now
			do()
		}
	}})
}

func (f *fleet) broadcast(from *daemon, do func(to *daemon)) {
	for _, to := range f.daemons {
		f.send(from, to, func() { do(to) })
	}
}

func (f *fleet) isLeaving(name string) bool {
	return slices.ContainsFunc(f.daemons, func(d *daemon) bool { return d.name == name && d.leaving })
}

func (f *fleet) tick(d *daemon) {
	var alive []string
	known := 1
	for name, at := range d.heardMs {
		if name == d.name {
			continue
		}
		if f.now-at <= aliveSpan && !f.isLeaving(name) {
			alive = append(alive, name)
		}
		if f.now-at <= memorySpan {
			known++
		}
	}
	for _, m := range d.limits.Tick(alive, known, f.now) {
		for _, to := range f.daemons {
			if to.name == m.To {
				f.send(d, to, func() {
					g := to.limits.HandleAsk(d.name, m.Ask, f.now)
					f.send(to, d, func() { d.limits.HandleGrant(g, f.now) })
				})
			}
		}
	}
}

// call sends a request of a caller to the upstream, if the daemon may.
func (f *fleet) call(d *daemon) {
	d.limits.Want(upstreamID, f.now)
	if !d.limits.Take(upstreamID, f.now) {
		return
	}
	if d.toldMs != 0 && f.now-d.toldMs >= toldSpan && !d.cut && f.now-d.healedMs >= contactSpan {
		f.calls = append(f.calls, f.now)
	}
	sent, limits, perSecond := f.now, d.limits, f.perSecond
	f.mail = append(f.mail, mail{f.now + 20, func() {
		if d.limits == limits && d.toldMs == 0 {
			d.toldMs = f.now
		}
		limits.Observe(Answer{Upstream: upstreamID, StartedMs: 1, PerSecond: perSecond, SentMs: sent}, f.now)
	}})
}

// run lets time pass.
func (f *fleet) run(span clock.Millis) {
	const step = 10 * clock.Millisecond
	for end := f.now + span; f.now < end; f.now += step {
		due := f.mail
		f.mail = nil
		for _, m := range due {
			if m.at > f.now {
				f.mail = append(f.mail, m)
				continue
			}
			m.do()
		}
		for i, d := range f.daemons {
			if (f.now/step)%30 == clock.Millis(i%30) {
				f.tick(d)
				for _, n := range d.limits.Recent(f.now) {
					f.broadcast(d, func(to *daemon) { to.limits.Merge(n, f.now) })
				}
				f.broadcast(d, func(*daemon) {}) // a heartbeat
			}
			if f.rng.Float64() < d.demand*float64(step)/float64(clock.Second) {
				f.call(d)
			}
		}
	}
}

// most returns the greatest number of calls in a window, of those that are not before a time.
func (f *fleet) most(from clock.Millis) int {
	most, first := 0, 0
	for i, at := range f.calls {
		for f.calls[first] < from || at-f.calls[first] >= windowMs {
			if first == i {
				break
			}
			first++
		}
		if at >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

func (f *fleet) total(from clock.Millis) int {
	n := 0
	for _, at := range f.calls {
		if at >= from {
			n++
		}
	}
	return n
}

// TestLimitIsKeptAndUsedOverAllDaemons checks both sides of a limit at several sizes: no more calls in
// a window than the users allow, and most of what the upstream offers is used.
func TestLimitIsKeptAndUsedOverAllDaemons(t *testing.T) {
	for _, test := range []struct {
		daemons           int
		perSecond, demand float64 // demand of each daemon
		lost              float64
		use               float64 // least share of the limit, or of the demand, that must be used
	}{
		{1, 7.3, 30, 0, 0.75}, {6, 7.3, 12, 0, 0.75}, {6, 7.3, 12, 0.2, 0.75}, {6, 0.8, 12, 0, 0.75},
		{82, 7.3, 3, 0, 0.75}, {82, 40, 3, 0.1, 0.75}, {82, 120, 3, 0, 0.75},
		{6, 7.3, 1.5, 0, 0.6}, // little more than the limit comes, in a random rhythm
	} {
		f := newFleet(1, test.daemons, test.perSecond, test.demand)
		named := f.now
		f.run(4 * clock.Second)
		from := f.now
		f.run(30 * clock.Second)
		if most := f.most(from); float64(most) > allowed(test.perSecond) {
			t.Errorf("%+v: %d calls in 4 s, at most %.0f are allowed", test, most, allowed(test.perSecond))
		}
		offered := min(test.perSecond, test.demand*float64(test.daemons)) * 30
		if used := float64(f.total(from)) / offered; used < test.use {
			t.Errorf("%+v: %.2f of what the upstream offers is used", test, used)
		}
		t.Logf("%+v: at most %d calls in 4 s (%.0f allowed), %.2f used, %d in the first 4 s", test, f.most(from), allowed(test.perSecond), float64(f.total(from))/offered, f.total(named)-f.total(from))
	}
}

// TestLimitIsKeptWhileDaemonsFail kills, restarts and cuts daemons, and moves their demand.
func TestLimitIsKeptWhileDaemonsFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "daemons")
		perSecond := rapid.Float64Range(1, 30).Draw(t, "perSecond")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), n, perSecond, 10)
		f.lost = rapid.Float64Range(0, 0.3).Draw(t, "lost")
		f.run(4 * clock.Second)
		from := f.now
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			d := f.daemons[rapid.IntRange(0, n-1).Draw(t, "daemon")]
			switch rapid.SampledFrom([]string{"restart", "cut", "heal", "demand"}).Draw(t, "event") {
			case "restart":
				f.restart(d)
			case "cut":
				d.cut = true
			case "heal":
				if d.cut {
					d.cut, d.healedMs = false, f.now
				}
			case "demand":
				d.demand = rapid.Float64Range(0, 40).Draw(t, "demand")
			}
			f.run(clock.Millis(rapid.IntRange(100, 4000).Draw(t, "pause")))
		}
		if most := f.most(from); float64(most) > allowed(perSecond) {
			t.Errorf("%d calls in 4 s at a limit of %.1f, at most %.0f are allowed", most, perSecond, allowed(perSecond))
		}
	})
}

// TestLatestAnswerSaysWhatTheLimitIs checks the order of answers, which may overtake each other.
func TestLatestAnswerSaysWhatTheLimitIs(t *testing.T) {
	type answer struct {
		at, sent  clock.Millis
		perSecond float64
		started   clock.Millis
	}
	for name, test := range map[string]struct {
		answers []answer
		want    float64
	}{
		"none":                                  {[]answer{{100, 50, 0, 1}}, 0},
		"named":                                 {[]answer{{100, 50, 7, 1}}, 7},
		"named anew":                            {[]answer{{100, 50, 7, 1}, {200, 150, 9, 1}}, 9},
		"order unknown, lower":                  {[]answer{{100, 50, 7, 1}, {200, 60, 5, 1}}, 5},
		"order unknown, higher":                 {[]answer{{100, 50, 7, 1}, {200, 60, 9, 1}}, 7},
		"ended":                                 {[]answer{{100, 50, 7, 1}, {200, 150, 0, 1}}, 0},
		"an older answer without a limit":       {[]answer{{100, 50, 7, 1}, {200, 60, 0, 1}}, 7},
		"a new process without a limit":         {[]answer{{100, 50, 7, 1}, {200, 60, 0, 2}}, 0},
		"a late answer of the process before":   {[]answer{{100, 50, 7, 2}, {200, 60, 9, 1}}, 7},
		"a new process with a limit of its own": {[]answer{{100, 50, 7, 1}, {200, 60, 9, 2}}, 9},
	} {
		l := New("d", 0, func(News) {})
		for _, a := range test.answers {
			l.Observe(Answer{Upstream: "u", StartedMs: a.started, PerSecond: a.perSecond, SentMs: a.sent}, a.at)
		}
		got := 0.0
		for _, v := range l.All(300) {
			got = v.PerSecond
		}
		if got != test.want {
			t.Errorf("%s: limit %v, want %v", name, got, test.want)
		}
	}
}

// TestNewsOfLimitsSpreadsAndLapses passes what one daemon knows on to another.
func TestNewsOfLimitsSpreadsAndLapses(t *testing.T) {
	var sent []News
	a, b := New("a", 0, func(n News) { sent = append(sent, n) }), New("b", 0, func(News) {})
	now := clock.Minute
	a.Observe(Answer{Upstream: "u", StartedMs: 1, PerSecond: 7, SentMs: now - 20}, now)
	if len(sent) != 1 {
		t.Fatalf("%d messages about a new limit, want 1", len(sent))
	}
	b.Merge(sent[0], now+50)
	if !b.Limited("u", now+50) {
		t.Error("the limit is not known at the other daemon")
	}
	a.Observe(Answer{Upstream: "u", StartedMs: 1, PerSecond: 0, SentMs: now + 100}, now+120)
	if len(sent) != 2 {
		t.Fatalf("%d messages, want 2: the limit has ended", len(sent))
	}
	b.Merge(sent[1], now+150)
	b.Merge(sent[0], now+160) // overtaken
	if b.Limited("u", now+200) {
		t.Error("the end of the limit is not known at the other daemon")
	}
	a.Observe(Answer{Upstream: "u", StartedMs: 1, PerSecond: 7, SentMs: now + 300}, now+320)
	if a.Limited("u", now+320+lapseSpan+1) {
		t.Error("a limit that nothing confirms does not lapse")
	}
	if len(a.Recent(now+400+lapseSpan)) != 0 {
		t.Error("a limit that has lapsed is still told")
	}
}

// TestUnlimitedUpstreamsCostNothing checks that calls to upstreams without a limit always pass.
func TestUnlimitedUpstreamsCostNothing(t *testing.T) {
	l := New("d", 0, func(News) {})
	l.Observe(Answer{Upstream: "u", PerSecond: 1, SentMs: 1}, 1)
	for range 1000 {
		if !l.Take("v", 2) || !l.Ready("v", 2) || !l.HasShare("v", 2) || l.Limited("v", 2) {
			t.Fatal("an upstream without a limit is limited")
		}
	}
	if l.pressure([]string{"v"}, 2) != 0 {
		t.Error("an upstream without a limit is under pressure")
	}
	for range 1000 {
		if retry := l.Retry([]string{"u"}, 2); retry < minRetry/2 || retry > 2*maxRetry {
			t.Fatalf("callers come back after %d ms", retry)
		}
	}
}
