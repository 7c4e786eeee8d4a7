package e2e

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The soak on the users' platform runs daemons as processes and makes them, the
// store, the connections to it and the servers fail at random, several at a
// time, while callers ask. It checks what callers are told against what servers
// ran, and that all is served again soon after the faults have ended.
//
//	PLATFORM_SOAK_SEED=7 PLATFORM_SOAK_SECONDS=60 go test -run '^TestPlatformSoak$' ./hemlockd/e2e

// platformSoakSeconds is how long the short run in CI makes faults.
const platformSoakSeconds = 8

// regressionSeeds are seeds of runs that failed, each with its cause.
var regressionSeeds = []uint64{
	110, // SIGHUP ended a daemon that had just been started
	227, // the same
}

func TestPlatformSoak(t *testing.T) {
	seconds, seeds := platformSoakSeconds, append([]uint64{20261204}, regressionSeeds...)
	if s, err := strconv.Atoi(os.Getenv("PLATFORM_SOAK_SECONDS")); err == nil {
		seconds = s
	}
	if s, err := strconv.ParseUint(os.Getenv("PLATFORM_SOAK_SEED"), 10, 64); err == nil {
		seeds = []uint64{s}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakPlatform(t, seed, time.Duration(seconds)*time.Second) })
	}
}

// proxyMode is what a proxy does with its connections.
type proxyMode int32

const (
	proxyPass   proxyMode = iota
	proxyReset            // closes connections
	proxySilent           // takes bytes and passes none
	proxyOneWay           // passes what callers send, and no answers
	proxyDelay            // passes all late
	proxyModes
)

// proxyDelayTime is how late a delaying proxy passes bytes.
const proxyDelayTime = 80 * time.Millisecond

// proxy is a loopback proxy that harms the connections through it.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go p.run()
	return p
}

func (p *proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.copyLoop(out, in, true)
		go p.copyLoop(in, out, false)
	}
}

// copyLoop passes bytes one way as the mode says.
func (p *proxy) copyLoop(to, from net.Conn, asking bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := proxyMode(p.mode.Load()); {
		case mode == proxyReset:
			return
		case mode == proxySilent, mode == proxyOneWay && !asking:
			continue
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// platformSoak is one run.
type platformSoak struct {
	*usersPlatform
	rng     *rand.Rand
	proxies []*proxy
	mu      sync.Mutex
	asked   []asked
	stop    chan struct{}
}

// asked is one request with its answer.
type asked struct {
	id, route string
	events    int
	answer    platformAnswer
}

func soakPlatform(t *testing.T, seed uint64, span time.Duration) {
	s := &platformSoak{rng: rand.New(rand.NewPCG(seed, seed)), stop: make(chan struct{})}
	s.usersPlatform = deployUsersPlatform(t, 0)
	ports := freePorts(t, 5)
	store := s.addr.Store
	for i := range 3 {
		proxy := newProxy(t, store)
		s.proxies = append(s.proxies, proxy)
		s.addr.Store = proxy.listener.Addr().String()
		s.addDaemon(fmt.Sprintf("front-a-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), ports)
	}
	for _, d := range s.daemons {
		s.waitReady(d)
	}
	var callers sync.WaitGroup
	for i := range 6 {
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() { s.call(i, rng) })
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		undo := s.strike()
		if s.rng.IntN(2) == 0 { // faults overlap
			again := s.strike()
			first := undo
			undo = func() { first(); again() }
		}
		time.Sleep(time.Duration(200+s.rng.IntN(1200)) * time.Millisecond)
		undo()
	}
	close(s.stop)
	callers.Wait()
	s.check()
	s.recovered()
}

// call asks until the soak stops.
func (s *platformSoak) call(caller int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(rng.IntN(40)) * time.Millisecond):
		}
		a := asked{
			id: fmt.Sprintf("c%d-%d", caller, n), route: []string{"lookup", "order", "resumable", "once"}[rng.IntN(4)], events: 2 + rng.IntN(20),
		}
		d := s.daemons[rng.IntN(len(s.daemons))]
		switch a.route {
		case "lookup":
			a.answer = s.ask(d, a.id, "/lookup/x", "", nil)
		case "order":
			a.answer = s.ask(d, a.id, "/order/x", "an order", nil)
		default:
			a.answer = s.stream(d, a.id, a.route, a.events)
		}
		s.mu.Lock()
		s.asked = append(s.asked, a)
		s.mu.Unlock()
	}
}

// strike makes one fault and returns what ends it.
func (s *platformSoak) strike() func() {
	i := s.rng.IntN(len(s.daemons))
	d := s.daemons[i]
	servers := []string{"i-pre1", "i-pre2", "i-dec1", "i-dec2", "i-desk1", "i-desk2"}
	server := servers[s.rng.IntN(len(servers))]
	serverFault := func(f map[string]any) func() {
		s.t.Logf("%s: %v", server, f)
		s.fault(server, f)
		return func() { s.fault(server, map[string]any{}) }
	}
	switch s.rng.IntN(9) {
	case 0:
		s.t.Logf("%s is killed", d.name)
		_ = d.cmd.Process.Kill()
		<-d.exited
		return func() { s.restart(d) }
	case 1:
		s.t.Logf("%s pauses", d.name)
		process := d.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		return func() { _ = process.Signal(syscall.SIGCONT) }
	case 2:
		s.t.Logf("%s is stopped", d.name)
		process, exited := d.cmd.Process, d.exited
		_ = process.Signal(syscall.SIGTERM)
		return func() {
			_ = process.Signal(syscall.SIGCONT) // another fault may have paused it
			<-exited
			s.restart(d)
		}
	case 3:
		mode := proxyMode(1 + s.rng.IntN(int(proxyModes)-1))
		s.t.Logf("connections of %s to the store: mode %d", d.name, mode)
		s.proxies[i].mode.Store(int32(mode))
		return func() { s.proxies[i].mode.Store(int32(proxyPass)) }
	case 4:
		s.t.Log("the store is busy, writes lose their answers")
		s.admin(http.MethodPost, "/store/fault", map[string]any{"mode": "busy", "loseWrites": true})
		return func() { s.admin(http.MethodPost, "/store/fault", map[string]any{}) }
	case 5:
		s.t.Log("the store forgets its history; a configuration comes")
		s.admin(http.MethodPost, "/store/forget", nil)
		s.configure(nil)
		return func() {}
	case 6:
		return serverFault(map[string]any{"busy": true})
	case 7:
		return serverFault(map[string]any{"loseAnswers": true, "cutAfter": 3})
	}
	// A process that is just being loaded can't catch a signal yet.
	if s.ready(d) == http.StatusOK {
		_ = d.cmd.Process.Signal(syscall.SIGHUP)
	}
	return serverFault(map[string]any{"mute": true})
}

// restart starts a daemon unless an overlapping fault has started it already.
func (s *platformSoak) restart(d *platformDaemon) {
	select {
	case <-d.exited:
		s.start(d)
	default:
	}
}

// check compares what callers were told with what servers ran.
func (s *platformSoak) check() {
	resp, err := http.Get("http://" + s.addr.Admin + "/runs")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	runs := map[string]int{}
	for _, a := range decodeArrivals(s.t, resp.Body) {
		if a.Ran {
			runs[a.Attempt]++
		}
	}
	served := 0
	for _, a := range s.asked {
		once := a.route == "order" || a.route == "once"
		want := wholeStream(a.events)
		switch {
		case once && runs[a.id] > 1:
			s.t.Errorf("%s %s ran %d times", a.route, a.id, runs[a.id])
		case a.answer.status == http.StatusServiceUnavailable && runs[a.id] > 0:
			s.t.Errorf("%s %s was told that it has not run, and ran", a.route, a.id)
		case a.answer.err != nil || a.answer.status != http.StatusOK:
			continue
		case strings.HasPrefix(a.answer.body, "id:") != (a.route == "resumable" || a.route == "once"):
			s.t.Errorf("%s %s got another request's answer", a.route, a.id)
		case strings.HasPrefix(a.answer.body, "id:") && a.answer.body != want:
			s.t.Errorf("%s %s got a stream that is not whole and looks so: %d of %d bytes", a.route, a.id, len(a.answer.body), len(want))
		}
		served++
	}
	s.t.Logf("%d requests, %d served", len(s.asked), served)
	if served == 0 {
		s.t.Error("nothing was served")
	}
}

func decodeArrivals(t *testing.T, r io.Reader) []arrival {
	t.Helper()
	var all []arrival
	if err := decodeJSON(r, &all); err != nil {
		t.Fatal(err)
	}
	return all
}

// recovered checks that every daemon serves each route soon after the faults,
// with the newest configuration.
func (s *platformSoak) recovered() {
	s.configure([]map[string]any{{
		"Name": "after", "Host": testHost, "Prefix": "/after/", "Kind": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 300,
		"Service": "desk", "MaxAttempts": 2,
	}})
	for _, d := range s.daemons {
		s.waitReady(d)
		s.eventually(12*time.Second, d.name+" serves again", func() bool {
			return s.ask(d, "r", "/after/x", "", nil).status == http.StatusOK && s.stream(d, "r", "once", 3).body == wholeStream(3)
		})
	}
}
