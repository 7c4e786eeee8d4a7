package prompts

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"hemlockmux.example/common/clock"
)

// simulation is a service of several daemons in virtual time: requests, engines that
// crash, and messages that are delayed and lost. Each daemon's clock differs.
type simulation struct {
	random  *rand.Rand
	now     clock.Millis
	events  eventQueue
	daemons []*simDaemon
	engines []*simEngine
	crashes int
	// fifthMs is the time of the fifth crash by the guilty part, or never.
	fifthMs clock.Millis
	// late counts requests with the guilty part that reached engines later than
	// contactMs after the fifth crash; tries are those among them that were tries.
	late, tries int
	// sound counts the requests [first, own] by the second of their arrival.
	sound, soundBegun [600]int
	// refusedSends counts refusals by the name of the request's kind.
	refusedSends map[string]int
}

// contactMs is the time after the fifth crash from which the rules count, in ms.
const contactMs = 4000

// simulationSeeds is the number of runs of each simulation, by the number of daemons.
var simulationSeeds = map[int]uint64{6: 5, 82: 1}

type simDaemon struct {
	evidence *Evidence
	offset   clock.Millis // of its clock
	rounds   int
	sentMs   []clock.Millis // by receiver
	gossip   bool           // a message is due at once
}

type simEngine struct {
	id         int
	generation int
	runs       []*simRun
}

type simRun struct {
	kind    string
	daemon  int
	parts   []string
	decode  clock.Millis
	guilty  bool
	try     bool
	repeats int
	late    bool // counted
	arrived clock.Millis
	begun   bool
	engine  *simEngine
}

type event struct {
	at    clock.Millis
	order int64
	do    func()
}

type eventQueue struct {
	list  []event
	order int64
}

func (q *eventQueue) Len() int      { return len(q.list) }
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.list[i], q.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

func newSimulation(seed uint64, daemons, engines int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), fifthMs: never, refusedSends: map[string]int{}}
	for i := range daemons {
		d := &simDaemon{evidence: New(), offset: clock.Millis(s.random.IntN(1_000_000)), sentMs: make([]clock.Millis, daemons)}
		d.evidence.completed = newCompletedParts(s.random.Uint64())
		d.evidence.OnUpdate = func() { s.gossipSoon(i) }
		s.daemons = append(s.daemons, d)
		s.after(s.between(0, 500), func() { s.runGossip(i) })
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{id: i})
	}
	return s
}

func (s *simulation) between(from, to int) clock.Millis {
	return clock.Millis(from + s.random.IntN(to-from+1))
}

func (s *simulation) after(delay clock.Millis, do func()) {
	s.events.order++
	heap.Push(&s.events, event{s.now + delay, s.events.order, do})
}

func (s *simulation) run(until clock.Millis) {
	for s.events.Len() > 0 && s.events.list[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	s.now = until
}

// every starts requests perSecond times a second until the given time.
func (s *simulation) every(perSecond float64, until clock.Millis, start func()) {
	if s.now >= until {
		return
	}
	s.after(clock.Millis(s.random.ExpFloat64()*1000/perSecond)+1, func() {
		start()
		s.every(perSecond, until, start)
	})
}

// runGossip sends the state as package peers does: to the eight daemons of the same data
// centre that it was sent to least recently, and each third round to those elsewhere.
func (s *simulation) runGossip(i int) {
	s.send(i)
	s.after(500, func() { s.runGossip(i) })
}

// gossipSoon sends the state at once; updates within 20 ms share a message.
func (s *simulation) gossipSoon(i int) {
	if d := s.daemons[i]; !d.gossip {
		d.gossip = true
		s.after(20, func() {
			d.gossip = false
			s.send(i)
		})
	}
}

func (s *simulation) send(i int) {
	d := s.daemons[i]
	d.rounds++
	reports := d.evidence.Recent(s.now + d.offset)
	if len(reports) == 0 {
		return
	}
	const centres, fanout = 3, 8
	for j := range s.daemons {
		if j%centres != i%centres && d.rounds%3 == 0 {
			s.deliver(j, reports)
		}
	}
	for range fanout {
		least := -1
		for j := range s.daemons {
			if j != i && j%centres == i%centres && (least < 0 || d.sentMs[j] < d.sentMs[least]) {
				least = j
			}
		}
		if least < 0 || d.sentMs[least] > s.now {
			return
		}
		d.sentMs[least] = s.now + 1
		s.deliver(least, reports)
	}
}

func (s *simulation) deliver(to int, reports []Report) {
	if s.random.IntN(10) == 0 {
		return
	}
	s.after(s.between(0, 100), func() {
		d := s.daemons[to]
		for _, r := range reports {
			d.evidence.Merge(r, s.now+d.offset)
		}
	})
}

// arrive starts a request at a random daemon.
func (s *simulation) arrive(kind string, decode clock.Millis, guilty bool, parts ...string) {
	r := &simRun{kind: kind, daemon: s.random.IntN(len(s.daemons)), parts: parts, decode: decode, guilty: guilty, arrived: s.now}
	if kind == "sound" {
		s.sound[s.now/1000]++
	}
	if s.admitted(r) {
		s.after(s.between(0, 500), func() { s.prefill(r) })
	}
}

// admitted asks the daemon of the run; one daemon is responsible for tries.
func (s *simulation) admitted(r *simRun) bool {
	if r.try {
		return true
	}
	d := s.daemons[r.daemon]
	_, refused, try := d.evidence.Check(service, r.parts, r.daemon == 0, s.now+d.offset)
	r.try = try
	if refused {
		s.refusedSends[r.kind]++
	}
	return !refused
}

// reach counts a send of the run to an engine.
func (s *simulation) reach(r *simRun) {
	if r.guilty && !r.late && s.fifthMs != never && s.now > s.fifthMs+contactMs {
		r.late = true
		s.late++
		if r.try {
			s.tries++
		}
	}
}

func (s *simulation) prefill(r *simRun) {
	if s.admitted(r) {
		s.reach(r)
		s.after(s.between(100, 400), func() { s.startDecode(r) })
	}
}

func (s *simulation) startDecode(r *simRun) {
	if !s.admitted(r) {
		return
	}
	s.reach(r)
	if r.kind == "sound" && !r.begun {
		s.soundBegun[r.arrived/1000]++
	}
	r.begun = true
	engine := s.engines[s.random.IntN(len(s.engines))]
	engine.runs = append(engine.runs, r)
	r.engine = engine
	if r.guilty {
		s.after(100, func() { s.crashGuilty(r) })
		return
	}
	s.after(r.decode, func() { s.complete(r, engine) })
}

func (s *simulation) complete(r *simRun, engine *simEngine) {
	if i := slices.Index(engine.runs, r); i >= 0 {
		engine.runs = slices.Delete(engine.runs, i, i+1)
		d := s.daemons[r.daemon]
		d.evidence.RecordCompletion(service, r.parts, s.now+d.offset)
	}
}

func (s *simulation) crashGuilty(r *simRun) {
	if !slices.Contains(r.engine.runs, r) {
		return // the engine crashed before
	}
	s.crashes++
	if s.crashes == 5 {
		s.fifthMs = s.now
	}
	s.crash(r.engine)
}

// crash ends the engine's process; its runs' daemons notice later, and repeat each once.
func (s *simulation) crash(engine *simEngine) {
	process := fmt.Sprintf("e%d-%d", engine.id, engine.generation)
	engine.generation++
	runs := engine.runs
	engine.runs = nil
	for _, r := range runs {
		s.after(s.between(50, 700), func() {
			d := s.daemons[r.daemon]
			d.evidence.RecordCrash(service, process, r.parts, s.now+d.offset)
			if r.repeats++; r.repeats == 1 && !r.try {
				s.startDecode(r)
			}
		})
	}
}

// background starts innocent runs: most share a hot part, all have one of 2000 parts.
func (s *simulation) background(perSecond float64, until clock.Millis) {
	s.every(perSecond, until, func() {
		parts := []string{"hot", fmt.Sprint("innocent", s.random.IntN(2000))}
		if s.random.IntN(5) == 0 {
			parts[0] = fmt.Sprint("innocent", s.random.IntN(2000))
		}
		s.arrive("background", s.between(500, 4000), false, parts...)
	})
}

// The two rules: few requests with the guilty part reach engines after the fifth crash, and
// sound requests with the same first part go on.
func TestGuiltyPart(t *testing.T) {
	for _, daemons := range []int{6, 82} {
		for seed := range simulationSeeds[daemons] {
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				const end = 300 * clock.Second
				s := newSimulation(seed, daemons, 60)
				s.background(120, end)
				s.every(2, end, func() { s.arrive("sound", s.between(500, 4000), false, "first") })
				s.after(10*clock.Second, func() {
					s.every(5, end, func() { s.arrive("guilty", 0, true, "first", "guilty") })
				})
				s.run(end)
				arrived, begun := s.soundFrom(s.fifthMs + 2*contactMs)
				worst := s.worstSoundShare(s.fifthMs+2*contactMs, end)
				t.Logf("%d crashes, %d late (%d tries), sound: %d of %d begun, least share of 10 s %.2f, refused sends %v", s.crashes, s.late, s.tries, begun, arrived, worst, s.refusedSends)
				if s.fifthMs == never {
					t.Fatal("no fifth crash")
				}
				if s.late > 3 {
					t.Errorf("%d requests reached engines too late", s.late)
				}
				if worst < 0.5 {
					t.Errorf("sound requests begin at %.2f of the usual rate", worst)
				}
			})
		}
	}
}

// soundFrom counts the sound requests that arrived from the given time on, and those that begun.
func (s *simulation) soundFrom(from clock.Millis) (arrived, begun int) {
	for second := from/1000 + 1; second < clock.Millis(len(s.sound)); second++ {
		arrived += s.sound[second]
		begun += s.soundBegun[second]
	}
	return arrived, begun
}

// worstSoundShare returns the least share of sound requests that begun, of all windows of 10 s.
func (s *simulation) worstSoundShare(from, end clock.Millis) float64 {
	worst := 1.0
	for start := from/1000 + 1; start+11 < end/1000; start++ {
		arrived, begun := 0, 0
		for second := start; second < start+10; second++ {
			arrived += s.sound[second]
			begun += s.soundBegun[second]
		}
		if arrived > 0 {
			worst = min(worst, float64(begun)/float64(arrived))
		}
	}
	return worst
}

// watch records, each 20 ms, for how long each daemon refuses the part in one go, in ms.
func (s *simulation) watch(part string, longest *clock.Millis) {
	since := make([]clock.Millis, len(s.daemons))
	for i := range since {
		since[i] = never
	}
	var look func()
	look = func() {
		for i, d := range s.daemons {
			_, refused, _ := d.evidence.Check(service, []string{part}, false, s.now+d.offset)
			switch {
			case !refused:
				since[i] = never
			case since[i] == never:
				since[i] = s.now
			default:
				*longest = max(*longest, s.now-since[i])
			}
		}
		s.after(20, look)
	}
	look()
}

// Many engines that crash at once, for a reason other than a prompt, get no part refused for
// longer than one of its runs takes to complete.
func TestMassCrash(t *testing.T) {
	const longestRun = 4 * clock.Second
	for _, daemons := range []int{6, 82} {
		for seed := range simulationSeeds[daemons] {
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				const end = 60 * clock.Second
				s := newSimulation(seed, daemons, 60)
				s.background(270, end)
				s.every(2, end, func() { s.arrive("sound", s.between(500, 4000), false, "first") })
				var hot, first clock.Millis
				s.watch("hot", &hot)
				s.watch("first", &first)
				runs := 0
				s.after(10*clock.Second, func() {
					for _, engine := range s.engines[:14] {
						runs += len(engine.runs)
						s.crash(engine)
					}
				})
				s.run(end)
				t.Logf("%d runs broken; refused in one go: hot part %d ms, first part %d ms; refused sends %v", runs, hot, first, s.refusedSends)
				if hot > longestRun || first > longestRun {
					t.Errorf("refused in one go: hot part %d ms, first part %d ms", hot, first)
				}
				for i, d := range s.daemons {
					if blamed := d.evidence.Blamed(s.now + d.offset); len(blamed) > 0 {
						t.Errorf("daemon %d still blames %+v", i, blamed)
					}
				}
			})
		}
	}
}

// A stranger whose requests crash engines, each with another part, doesn't get the part that they
// share with sound requests refused for longer than one of its runs takes to complete.
func TestEverNewParts(t *testing.T) {
	const longestRun = 4 * clock.Second
	for _, daemons := range []int{6, 82} {
		for seed := range simulationSeeds[daemons] {
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				const end = 60 * clock.Second
				s := newSimulation(seed, daemons, 60)
				s.background(120, end)
				s.every(2, end, func() { s.arrive("sound", s.between(500, 4000), false, "first") })
				var first, hot clock.Millis
				s.watch("first", &first)
				s.watch("hot", &hot)
				n := 0
				s.after(10*clock.Second, func() {
					s.every(5, end, func() {
						n++
						s.arrive("guilty", 0, true, "first", fmt.Sprint("new", n))
					})
				})
				s.run(end)
				arrived, begun := s.soundFrom(10 * clock.Second)
				t.Logf("%d crashes; refused in one go: first part %d ms, hot part %d ms; sound: %d of %d begun", s.crashes, first, hot, begun, arrived)
				if first > longestRun || hot > longestRun {
					t.Errorf("refused in one go: first part %d ms, hot part %d ms", first, hot)
				}
				if 2*begun < arrived {
					t.Errorf("%d of %d sound requests begun", begun, arrived)
				}
			})
		}
	}
}
