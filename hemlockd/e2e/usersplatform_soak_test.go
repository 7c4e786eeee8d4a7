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

// The soak test on the users' platform runs daemons as processes. It injects random,
// overlapping faults into the daemons, the store, the connections to it and the
// servers while callers send requests. It compares the responses with what servers
// ran, and checks that every daemon serves again soon after the faults have ended.
//
//	PLATFORM_SOAK_SEED=7 PLATFORM_SOAK_SECONDS=60 go test -run '^TestPlatformSoak$' ./hemlockd/e2e

// platformSoakSeconds is the time for which the short run in CI injects faults.
const platformSoakSeconds = 8

// regressionSeeds are the seeds of earlier failed runs, each with the cause.
var regressionSeeds = []uint64{
	110, // SIGHUP ended a daemon that had just started
	227, // same cause as 110
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

// proxyMode is how a proxy treats its connections.
type proxyMode int32

const (
	proxyPass      proxyMode = iota
	proxyReset               // closes connections
	proxyDiscard             // reads bytes and forwards none
	proxyOneWay              // forwards requests and discards responses
	proxyDelay               // forwards all bytes after a delay
	proxyModeCount           // number of modes
)

// proxyLatency is the delay of each read in mode proxyDelay.
const proxyLatency = 80 * time.Millisecond

// proxy is a TCP proxy on the loopback interface that disturbs its connections.
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
	go p.acceptLoop()
	return p
}

func (p *proxy) acceptLoop() {
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
		go p.forward(out, in, true)
		go p.forward(in, out, false)
	}
}

// forward copies bytes in one direction according to the mode.
func (p *proxy) forward(to, from net.Conn, toTarget bool) {
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
		case mode == proxyDiscard, mode == proxyOneWay && !toTarget:
			continue
		case mode == proxyDelay:
			time.Sleep(proxyLatency)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// platformSoak is one randomised run.
type platformSoak struct {
	*usersPlatform
	rng *rand.Rand
	// restoreRNG draws the restores of the store, so that the other faults of a seed stay as they were.
	restoreRNG *rand.Rand
	restores   int
	proxies    []*proxy
	mu         sync.Mutex
	exchanges  []exchange
	stop       chan struct{}
}

// exchange is one request and its response.
type exchange struct {
	id, route string
	events    int
	response  platformResponse
	// joined is the body of a stream that was taken up, from both answers; takenUp is set if that was
	// tried.
	joined  string
	takenUp bool
}

const (
	// restoreStream is the stream of random numbers for restores.
	restoreStream = 1000
	// soakVersion is the software version of one engine; the others have another.
	soakVersion = "v2"
)

func soakPlatform(t *testing.T, seed uint64, duration time.Duration) {
	s := &platformSoak{rng: rand.New(rand.NewPCG(seed, seed)), restoreRNG: rand.New(rand.NewPCG(seed, restoreStream)), stop: make(chan struct{})}
	s.usersPlatform = deployUsersPlatform(t, 0)
	ports := freePorts(t, 5)
	for i := range 3 {
		proxy := newProxy(t, s.addr.Store)
		s.proxies = append(s.proxies, proxy)
		s.addDaemon(fmt.Sprintf("front-a-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), ports, proxy.listener.Addr().String())
	}
	for _, d := range s.daemons {
		s.waitReady(d)
	}
	s.addEngine("i-new", "decode", soakVersion)
	var callers sync.WaitGroup
	for i := range 6 {
		rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() { s.sendRequests(i, rng) })
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		undo := s.injectRandomFault()
		if s.rng.IntN(2) == 0 { // let two faults overlap
			undoSecond := s.injectRandomFault()
			undoFirst := undo
			undo = func() { undoFirst(); undoSecond() }
		}
		restore := s.prepareRestore()
		time.Sleep(time.Duration(200+s.rng.IntN(1200)) * time.Millisecond)
		restore()
		undo()
	}
	s.t.Logf("the store was restored %d times", s.restores)
	close(s.stop)
	callers.Wait()
	s.checkExchanges()
	s.checkRecovered()
}

// sendRequests sends random requests until the run stops.
func (s *platformSoak) sendRequests(caller int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(rng.IntN(40)) * time.Millisecond):
		}
		a := exchange{
			id: fmt.Sprintf("c%d-%d", caller, n), route: []string{"lookup", "order", "resumable", "once"}[rng.IntN(4)], events: 2 + rng.IntN(20),
		}
		d := s.daemons[rng.IntN(len(s.daemons))]
		switch a.route {
		case "lookup":
			a.response = s.send(d, a.id, "/lookup/x", "", nil)
		case "order":
			a.response = s.send(d, a.id, "/order/x", "an order", nil)
		default:
			a.response = s.stream(d, a.id, a.route, a.events)
			s.takeUpBroken(&a)
		}
		s.mu.Lock()
		s.exchanges = append(s.exchanges, a)
		s.mu.Unlock()
	}
}

// takeUpBroken goes on, through another daemon, with a stream that was broken off.
func (s *platformSoak) takeUpBroken(a *exchange) {
	last, _ := receivedEvents(a.response.body)
	if a.route != "resumable" || a.response.err == nil || last == 0 || last == a.events {
		return
	}
	whole := a.response.body[:strings.LastIndex(a.response.body, "\n\n")+2]
	d := s.daemons[last%len(s.daemons)]
	rest := s.takeUp(d, a.id+"-again", a.id, last, a.events)
	a.takenUp = true
	if rest.status == http.StatusOK {
		a.joined = whole + rest.body
	}
}

// prepareRestore copies the store now and then, and returns the function that restores it.
func (s *platformSoak) prepareRestore() func() {
	if s.restoreRNG.IntN(3) != 0 {
		return func() {}
	}
	s.t.Log("the store will be restored from the copy that is made now")
	s.copyStore()
	s.configure(nil)
	s.restores++
	return func() { s.restoreStore(time.Duration(s.restoreRNG.IntN(600)) * time.Millisecond) }
}

// injectRandomFault injects one fault and returns the function that ends it.
func (s *platformSoak) injectRandomFault() func() {
	i := s.rng.IntN(len(s.daemons))
	d := s.daemons[i]
	servers := []string{"i-pre1", "i-pre2", "i-dec1", "i-dec2", "i-desk1", "i-desk2"}
	server := servers[s.rng.IntN(len(servers))]
	serverFault := func(f map[string]any) func() {
		s.t.Logf("%s: %v", server, f)
		s.injectServerFault(server, f)
		return func() { s.injectServerFault(server, map[string]any{}) }
	}
	switch s.rng.IntN(9) {
	case 0:
		s.t.Logf("%s is killed", d.name)
		_ = d.cmd.Process.Kill()
		<-d.exited
		return func() { s.restart(d) }
	case 1:
		s.t.Logf("%s is paused", d.name)
		process := d.cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		return func() { _ = process.Signal(syscall.SIGCONT) }
	case 2:
		s.t.Logf("%s is shut down", d.name)
		process, exited := d.cmd.Process, d.exited
		_ = process.Signal(syscall.SIGTERM)
		return func() {
			_ = process.Signal(syscall.SIGCONT) // another fault may have paused it
			<-exited
			s.restart(d)
		}
	case 3:
		mode := proxyMode(1 + s.rng.IntN(int(proxyModeCount)-1))
		s.t.Logf("connections of %s to the store: proxy mode %d", d.name, mode)
		s.proxies[i].mode.Store(int32(mode))
		return func() { s.proxies[i].mode.Store(int32(proxyPass)) }
	case 4:
		s.t.Log("the store is busy and loses the responses to writes")
		s.callAdmin(http.MethodPost, "/store/fault", map[string]any{"mode": "busy", "loseWrites": true})
		return func() { s.callAdmin(http.MethodPost, "/store/fault", map[string]any{}) }
	case 5:
		s.t.Log("the store drops its history; a new configuration is published")
		s.callAdmin(http.MethodPost, "/store/forget", nil)
		s.configure(nil)
		return func() {}
	case 6:
		return serverFault(map[string]any{"busy": true})
	case 7:
		return serverFault(map[string]any{"loseAnswers": true, "cutAfter": 3})
	}
	// A process that is still starting has no signal handler yet: SIGHUP would end it.
	if s.readinessStatus(d) == http.StatusOK {
		_ = d.cmd.Process.Signal(syscall.SIGHUP)
	}
	return serverFault(map[string]any{"mute": true})
}

// restart starts a daemon unless an overlapping fault has already restarted it.
func (s *platformSoak) restart(d *platformDaemon) {
	select {
	case <-d.exited:
		s.start(d)
	default:
	}
}

// checkExchanges compares the responses to callers with what servers ran.
func (s *platformSoak) checkExchanges() {
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
	served, takenUp, goneOn := 0, 0, 0
	for _, a := range s.exchanges {
		atMostOnce := a.route == "order" || a.route == "once"
		want := expectedStream(a.events)
		if last, versions := receivedEvents(a.response.body + a.joined); len(versions) > 1 {
			s.t.Errorf("%s %s is joined from versions %v, event %d", a.route, a.id, versions, last)
		}
		if strings.Contains(a.response.body, soakVersion) {
			want = strings.ReplaceAll(want, "\n\n", " of "+soakVersion+"\n\n")
		}
		if a.takenUp {
			takenUp++
		}
		if a.joined != "" {
			goneOn++
		}
		switch {
		case atMostOnce && runs[a.id] > 1:
			s.t.Errorf("%s %s ran %d times", a.route, a.id, runs[a.id])
		case a.response.status == http.StatusServiceUnavailable && runs[a.id] > 0:
			s.t.Errorf("%s %s was refused as not run, but a server ran it", a.route, a.id)
		case a.response.err != nil || a.response.status != http.StatusOK:
			continue
		case strings.HasPrefix(a.response.body, "id:") != (a.route == "resumable" || a.route == "once"):
			s.t.Errorf("%s %s got the response of another kind of request", a.route, a.id)
		case strings.HasPrefix(a.response.body, "id:") && a.response.body != want:
			s.t.Errorf("%s %s got an incomplete stream without an error: %d of %d bytes", a.route, a.id, len(a.response.body), len(want))
		}
		served++
	}
	s.t.Logf("%d requests, %d served; %d streams taken up, %d went on", len(s.exchanges), served, takenUp, goneOn)
	if served == 0 {
		s.t.Error("no request was served")
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

// checkRecovered checks that every daemon serves a route of a new configuration and a
// stream soon after the faults have ended.
func (s *platformSoak) checkRecovered() {
	s.configure([]map[string]any{{
		"Name": "after", "Host": testHost, "Prefix": "/after/", "Kind": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 300,
		"Service": "desk", "MaxAttempts": 2,
	}})
	for _, d := range s.daemons {
		s.waitReady(d)
		s.eventually(12*time.Second, d.name+" serves again", func() bool {
			return s.send(d, "r", "/after/x", "", nil).status == http.StatusOK && s.wholeStream(d)
		})
	}
}

// wholeStream reports whether a daemon serves a stream.
func (s *platformSoak) wholeStream(d *platformDaemon) bool {
	last, versions := receivedEvents(s.stream(d, "r", "once", 3).body)
	return last == 3 && len(versions) == 1
}
