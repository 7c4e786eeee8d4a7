package e2e

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/common/verdict"
)

// Defaults of a soak in `make test`; `make soak` sets others.
const (
	soakSeed    = 20261204
	soakSeconds = 20
)

// soak is one randomised run: load of all kinds while faults of all kinds come
// at any moment, together and twice.
type soak struct {
	t    *testing.T
	d    *deployment
	rng  *rand.Rand
	stop chan struct{}

	mu      sync.Mutex
	faults  map[string]int
	answers map[string]int
	seen    []seenAnswer
	sent    int
}

// seenAnswer is what a caller keeps of one answer.
type seenAnswer struct {
	id      string
	status  int
	problem problem.Problem
}

// The brief's invariants hold over a long randomised run with every fault of
// the brief mixed; they are asserted inside the daemons (the harness reads
// their logs) and checked again from outside, from the event log and the
// verdicts.
func TestSoak(t *testing.T) {
	seed, seconds := soakSeed, float64(soakSeconds)
	if v, err := strconv.Atoi(os.Getenv("SOAK_SEED")); err == nil {
		seed = v
	}
	if v, err := strconv.ParseFloat(os.Getenv("SOAK_MINUTES"), 64); err == nil {
		seconds = v * 60
	}
	opts := options{
		dataCentres: []string{"brandon-a", "regina-a", "red-deer-a"}, daemons: 2, prefill: 2, decode: 3, services: 2,
		policy: "stallMs = 800\nsuspectMs = 3000\nretryRatio = 0.5",
	}
	s := &soak{
		t: t, d: deploy(t, opts), rng: rand.New(rand.NewPCG(uint64(seed), 1)), stop: make(chan struct{}),
		faults: map[string]int{}, answers: map[string]int{},
	}
	var load sync.WaitGroup
	for w := range 8 {
		load.Go(func() { s.callers(w, uint64(seed)) })
	}
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
	}
	s.recover()
	close(s.stop)
	load.Wait()
	s.check()
	t.Logf("seed %d, %.0f s, %d requests\nfaults: %s\nanswers: %s", seed, seconds, s.sent, counts(s.faults), counts(s.answers))
}

func counts(m map[string]int) string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s %d, ", name, m[name])
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// callers sends requests of all kinds until the end.
func (s *soak) callers(w int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(100+w)))
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		m := s.d.daemons[rng.IntN(len(s.d.daemons))]
		name := fmt.Sprintf("w%d-%d", w, i)
		switch rng.IntN(6) {
		case 0, 1:
			tokens := 5 + rng.IntN(60)
			a := m.stream("soak "+name, tokens)
			s.note("stream", a, a.status == http.StatusOK && whole(a, tokens) == "")
		case 2:
			a := m.complete("soak "+name, 10)
			s.note("whole", a, a.status == http.StatusOK)
		case 3:
			s.placement(rng, m, name)
		case 4:
			a := m.call(http.MethodGet, "/services/order-desk/stock/ash", "")
			s.note("lookup", a, a.status == http.StatusOK)
		case 5:
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(400))*time.Millisecond)
			m.callAs(ctx, teamKey, http.MethodPost, "/v1/completions", completion("soak gone "+name, 200, true))
			cancel()
		}
	}
}

// placement sends a placement, and repeats it through other daemons while the
// answer does not say that it ran.
func (s *soak) placement(rng *rand.Rand, m *daemon, name string) {
	first := ""
	for range 3 {
		a := m.place("soak-"+name, `{"item":"ash"}`)
		s.note("placement", a, a.status == http.StatusCreated)
		if a.status == http.StatusCreated {
			if first != "" && a.body != first {
				s.t.Errorf("placement %s was answered %q and %q", name, first, a.body)
			}
			first = a.body
		}
		if rng.IntN(3) == 0 {
			return
		}
		m = s.d.daemons[rng.IntN(len(s.d.daemons))]
	}
}

func (s *soak) note(kind string, a answer, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case good:
		s.answers[kind+" served"]++
	case a.err != nil || a.problem.Reason == "":
		s.answers[kind+" cut off"]++
	default:
		s.answers[kind+" "+string(a.problem.Reason)]++
	}
	if a.id() != "" {
		s.seen = append(s.seen, seenAnswer{id: a.id(), status: a.status, problem: a.problem})
	}
}

// fault brings one fault of any kind.
func (s *soak) fault() {
	d, rng := s.d, s.rng
	dcs := d.opts.dataCentres
	dc := dcs[rng.IntN(len(dcs))]
	forMs := map[string]any{"forMs": 300 + rng.IntN(3000)}
	kinds := []string{
		"kill", "freeze", "replace", "cut", "cutOneWay", "tableDown", "tableLosesAnswers", "tableSlow", "objectsDown",
		"vmsDown", "engineCrash", "engineSilent", "streamStall", "duplicate", "reorder", "dropChunk", "ignoreAbort",
		"serviceLosesAnswer", "serviceSlow", "serviceCrash", "engineLeaves", "settings",
	}
	kind := kinds[rng.IntN(len(kinds))]
	s.mu.Lock()
	s.faults[kind]++
	s.mu.Unlock()
	engine := fmt.Sprintf("%s-decode-%d", dc, 1+rng.IntN(d.opts.decode))
	service := fmt.Sprintf("%s-service-%d", dc, 1+rng.IntN(d.opts.services))
	few := map[string]any{"count": 1 + rng.IntN(5)}
	switch kind {
	case "kill":
		s.kill(d.daemons[rng.IntN(len(d.daemons))])
	case "freeze":
		m := d.daemons[rng.IntN(len(d.daemons))]
		m.freeze()
		time.Sleep(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
		m.thaw()
	case "replace":
		m := d.daemons[rng.IntN(len(d.daemons))]
		m.signal(syscall.SIGTERM)
		d.eventually(m.name+" has stopped", 40*time.Second, m.exited)
		m.start()
	case "cut":
		d.cuts.isolate(dc, dcs, true)
		time.AfterFunc(time.Duration(500+rng.IntN(3000))*time.Millisecond, func() { d.cuts.isolate(dc, dcs, false) })
	case "cutOneWay":
		other := dcs[rng.IntN(len(dcs))]
		d.cuts.set(dc, other, true)
		time.AfterFunc(time.Duration(500+rng.IntN(3000))*time.Millisecond, func() { d.cuts.set(dc, other, false) })
	case "tableDown":
		d.fault("table", "down", forMs)
	case "tableLosesAnswers":
		d.fault("table", "loseAnswer", few)
	case "tableSlow":
		d.fault("table", "slow", map[string]any{"forMs": 1000, "delayMs": 300})
	case "objectsDown":
		d.fault("objects", "down", forMs)
	case "vmsDown":
		d.fault("vms", "down", forMs)
	case "engineCrash":
		d.fault(engine, "crashOn", map[string]any{"count": 1})
	case "engineSilent":
		d.fault(engine, "silent", nil)
	case "streamStall":
		d.fault(engine, "stall", few)
	case "duplicate", "reorder", "dropChunk":
		d.fault(engine, kind, few)
	case "ignoreAbort":
		d.fault(engine, "ignoreAbort", few)
	case "serviceLosesAnswer":
		d.fault(service, "loseAnswer", few)
	case "serviceSlow":
		d.fault(service, "slow", map[string]any{"forMs": 1500, "delayMs": 1000})
	case "serviceCrash":
		d.fault(service, "crashOn", map[string]any{"count": 1})
	case "engineLeaves":
		d.fault(engine, "leave", forMs)
	case "settings":
		s.settings()
	}
}

func (s *soak) kill(m *daemon) {
	m.kill()
	s.d.eventually(m.name+" is gone", 5*time.Second, m.exited)
	time.Sleep(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
	m.start()
}

// settings changes a comment of the team's file; it may be refused.
func (s *soak) settings() {
	m := s.d.daemons[s.rng.IntN(len(s.d.daemons))]
	change := settings.Change{ChangeID: settings.NewChangeID(), BaseVersion: 1 << 40, Nodes: []settings.NodeChange{
		{Path: "teams/archive", After: archiveFile() + fmt.Sprintf("# %d\n", s.rng.IntN(1_000_000))},
	}}
	var out any
	_, _ = m.operator(http.MethodPost, "/v1/settings", change, &out)
}

// recover ends all faults and waits until every daemon is whole again.
func (s *soak) recover() {
	d := s.d
	d.heal()
	time.Sleep(4 * time.Second) // the cuts heal by themselves
	for _, m := range d.daemons {
		if m.exited() {
			m.start()
		}
		m.waitReady()
	}
	d.waitFormed()
}

// check holds the run against the brief.
func (s *soak) check() {
	d, t := s.d, s.t
	d.eventually("all memory is free", releaseBound, func() bool { return d.held() == 0 })
	for key, n := range d.runs() {
		if n > 1 {
			t.Errorf("placement %s ran %d times", key, n)
		}
	}
	ran := map[string]bool{}
	for _, e := range d.events() {
		if e.Event == "run" {
			ran[e.RequestID] = true
		}
	}
	ids := map[string]bool{}
	for _, a := range s.seen {
		if ids[a.id] {
			t.Errorf("request %s was answered twice", a.id)
		}
		ids[a.id] = true
		if a.problem.Reason != "" && a.problem.Ran == problem.RanNo && ran[a.id] {
			t.Errorf("request %s was refused as not run (%s) and ran", a.id, a.problem.Reason)
		}
	}
	s.checkVerdicts(ran)
	s.checkSettings()
	for i := range 30 {
		m := d.daemons[i%len(d.daemons)]
		if wrong := whole(m.stream(fmt.Sprintf("afterwards %d", i), 10), 10); wrong != "" {
			t.Errorf("after recovery, at %s: %s", m.name, wrong)
		}
	}
}

// announced tells whether a daemon has said that a verdict had no copy when its
// request ended.
func (s *soak) announced(id string) bool {
	for _, m := range s.d.daemons {
		text, err := os.ReadFile(m.log)
		if err != nil {
			s.t.Errorf("the log of %s: %v", m.name, err)
			continue
		}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte("verdict has no copy yet")) && bytes.Contains(line, []byte(id)) {
				return true
			}
		}
	}
	return false
}

// checkVerdicts asks for the verdict of every answer that a caller saw.
func (s *soak) checkVerdicts(ran map[string]bool) {
	missing := 0
	for i, a := range s.seen {
		answer, ok := s.d.daemons[i%len(s.d.daemons)].verdict(a.id)
		if !ok {
			missing++
			s.t.Logf("no verdict on %s (status %d)", a.id, a.status)
			if !s.announced(a.id) {
				s.t.Errorf("the verdict on %s was thought to have a copy, and is lost", a.id)
			}
			continue
		}
		v := answer.Verdict
		if v.Ran == problem.RanNo && ran[a.id] {
			s.t.Errorf("the verdict on %s says not run, and it ran", a.id)
		}
		if a.problem.Reason != "" && (v.Reason != a.problem.Reason || v.Ran != a.problem.Ran) && v.Outcome != verdict.OutcomeUnknown {
			s.t.Errorf("%s was told %s (ran %s), its verdict says %s (ran %s)", a.id, a.problem.Reason, a.problem.Ran, v.Reason, v.Ran)
		}
	}
	s.answers["verdicts found"] = len(s.seen) - missing
	s.answers["verdicts missing"] = missing
	// A verdict can only be lost with both VMs that hold it; kills come one
	// after the other, each found dead before most of the next.
	if missing > len(s.seen)/200 {
		s.t.Errorf("%d of %d verdicts are missing", missing, len(s.seen))
	}
}

// checkSettings waits until all daemons have one version and checks the audit
// trail against it.
func (s *soak) checkSettings() {
	var newest int64
	for _, m := range s.d.daemons {
		newest = max(newest, m.version())
	}
	s.d.eventually("all daemons have the newest settings", inForceBound, func() bool {
		for _, m := range s.d.daemons {
			if m.version() < newest {
				return false
			}
		}
		return true
	})
	var rows []settings.AuditRow
	if _, err := s.d.daemons[0].operator(http.MethodGet, "/v1/settings/history", nil, &rows); err != nil || int64(len(rows)) < newest {
		s.t.Errorf("%d audit rows for version %d: %v", len(rows), newest, err)
	}
	for i, row := range rows {
		if row.Version != int64(i+1) {
			s.t.Errorf("audit row %d is of version %d", i+1, row.Version)
		}
	}
}
