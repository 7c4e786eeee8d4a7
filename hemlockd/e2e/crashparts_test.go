package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/problem"
)

// Bounds on the requests with a part of a prompt that crashes each engine that begins
// to decode it.
const (
	// countedCrashes is the number of crashes after which the bounds begin.
	countedCrashes = 5
	// contactLimit is the time after these crashes, or after a daemon has become ready,
	// from which requests with the part must not reach engines.
	contactLimit = 4 * time.Second
	// contactsAllowed is the number of prefills and decodes of such requests that may
	// reach engines later than contactLimit.
	contactsAllowed = 3
	// soundLimit is the time after these crashes from which sound requests must begin
	// at least half as often as before the first of them.
	soundLimit = 2 * contactLimit
	// crashesAfterRestart is the number of engines that may crash after daemons were
	// killed: fewer than it takes to learn of the part again.
	crashesAfterRestart = 2
	// refusalLimit is the time within which a request with the part must be refused.
	refusalLimit = 200 * time.Millisecond
)

// Loads of the tests with a part that crashes engines.
const (
	soundInterval  = 100 * time.Millisecond
	guiltyInterval = 200 * time.Millisecond
	// soundOnly is the time for which only sound requests come, before the others.
	soundOnly = 2500 * time.Millisecond
	// undisturbed is how long before the first request with the part a sound request
	// must have been sent to have ended before the first crash.
	undisturbed = 500 * time.Millisecond
	// guiltyTime is the time for which requests with the part come.
	guiltyTime = 14 * time.Second
	// engineRestart is the time from a crash until the engine runs again.
	engineRestart = 2 * time.Second
)

// partCall is one request of which the parts of the prompt matter, and what its caller
// received. Callers don't repeat it.
type partCall struct {
	id      string
	parts   []string
	guilty  bool // the prompt has the part that crashes engines
	daemon  int
	sent    time.Time
	elapsed time.Duration
	status  int
	header  http.Header
	body    string
	err     error
}

// began reports whether the caller received a part of the answer.
func (c *partCall) began() bool {
	return c.status == http.StatusOK && strings.Contains(c.body, "data: ")
}

// refusalFault returns what is wrong with the call as one refused because of its part,
// or "".
func (c *partCall) refusalFault() string {
	var p problem.Problem
	switch {
	case c.err != nil:
		return c.err.Error()
	case c.status != http.StatusServiceUnavailable:
		return fmt.Sprintf("status %d", c.status)
	case json.Unmarshal([]byte(c.body), &p) != nil || p.Reason != problem.CrashingPart:
		return fmt.Sprintf("reason %q", p.Reason)
	case c.header.Get("Retry-After") == "":
		return "no Retry-After"
	case c.elapsed > refusalLimit:
		return "refused late"
	}
	return ""
}

// partArrival is one prefill or decode that reached an engine.
type partArrival struct {
	id     string
	decode bool
	at     time.Time
}

// partDoor is a deployment whose engines a part of a prompt crashes.
type partDoor interface {
	// sendParts sends a request and fills in its id and what its caller received.
	sendParts(c *partCall)
	// partArrivals returns all prefills and decodes that reached engines.
	partArrivals() []partArrival
	// partCrashes returns the times of all crashes of engines, in order.
	partCrashes() []time.Time
}

// partTraffic sends sound requests, and requests with a part that crashes engines, at
// steady rates through all daemons of a deployment.
type partTraffic struct {
	t                    *testing.T
	door                 partDoor
	daemons              int
	first, other, guilty string        // parts
	stopping             chan struct{} // closed at the end
	started              time.Time     // the first request with the part

	wg    sync.WaitGroup
	mu    sync.Mutex
	calls []*partCall
}

// startPartTraffic starts sound requests, and, soundOnly later, the others.
func startPartTraffic(t *testing.T, door partDoor, daemons int, first, other, guilty string) *partTraffic {
	f := &partTraffic{t: t, door: door, daemons: daemons, first: first, other: other, guilty: guilty, stopping: make(chan struct{})}
	f.wg.Go(func() { f.runSteady(soundInterval, f.sendSound) })
	time.Sleep(soundOnly)
	f.started = time.Now()
	f.wg.Go(func() { f.runSteady(guiltyInterval, f.sendGuilty) })
	f.wg.Go(f.runStorms)
	t.Cleanup(f.stop)
	return f
}

// stop ends the traffic and waits for the answers.
func (f *partTraffic) stop() {
	f.mu.Lock()
	select {
	case <-f.stopping:
	default:
		close(f.stopping)
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *partTraffic) runSteady(interval time.Duration, send func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-f.stopping:
			return
		case <-ticker.C:
			send(n)
		}
	}
}

// runStorms sends several requests with the part at once to each daemon, a few times.
func (f *partTraffic) runStorms() {
	for i, after := range []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 9 * time.Second} {
		select {
		case <-f.stopping:
			return
		case <-time.After(time.Until(f.started.Add(after))):
		}
		for n := range 2 * f.daemons {
			f.sendGuilty(1000*(i+1) + n)
		}
	}
}

func (f *partTraffic) sendSound(n int) {
	id := fmt.Sprint("sound-", n)
	first := f.first
	if n%2 == 1 {
		first = f.other
	}
	f.send(&partCall{id: id, parts: []string{first, "own part of " + id}, daemon: n / 2 % f.daemons})
}

func (f *partTraffic) sendGuilty(n int) {
	id := fmt.Sprint("guilty-", n)
	parts := []string{f.first, f.guilty, "own part of " + id}
	if n%4 == 3 {
		parts = []string{f.other, f.guilty, "part of " + id, "own part of " + id}
	}
	f.send(&partCall{id: id, parts: parts, guilty: true, daemon: n % f.daemons})
}

// send sends a call without waiting for the answer.
func (f *partTraffic) send(c *partCall) {
	f.mu.Lock()
	f.calls = append(f.calls, c)
	f.mu.Unlock()
	f.wg.Go(func() {
		c.sent = time.Now()
		f.door.sendParts(c)
		c.elapsed = time.Since(c.sent)
	})
}

// waitForCrashes waits until the counted crashes have happened and returns the time of
// the last of them. If the daemons stop the crashes before, it is the time of the last
// crash.
func (f *partTraffic) waitForCrashes() time.Time {
	f.t.Helper()
	for end := f.started.Add(contactLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if len(f.door.partCrashes()) >= countedCrashes {
			break
		}
	}
	crashes := f.door.partCrashes()
	if len(crashes) == 0 {
		f.t.Fatal("no engine crashed, so the test shows nothing: requests with the part never reached a decode engine")
	}
	return crashes[min(countedCrashes, len(crashes))-1]
}

// outage is the time in which some daemons were down or had just become ready, in which
// their requests don't count.
type outage struct {
	daemons     []int
	from, until time.Time
}

func (o outage) covers(c *partCall, at time.Time) bool {
	return slices.Contains(o.daemons, c.daemon) && !at.Before(o.from) && !at.After(o.until)
}

// check stops the traffic and checks the bounds. fifth is the time of the last counted
// crash, settled the one from which sound requests must begin again.
func (f *partTraffic) check(fifth, settled time.Time, o outage) {
	f.t.Helper()
	f.stop()
	arrivals := f.door.partArrivals()
	f.t.Logf("%d engines crashed, the last counted one %d ms after the first request with the part",
		len(f.door.partCrashes()), fifth.Sub(f.started).Milliseconds())
	f.checkSound(arrivals, settled)
	late := f.checkContacts(arrivals, fifth.Add(contactLimit), o)
	f.checkRefusals(late, fifth.Add(contactLimit), o)
}

// checkContacts checks that few requests with the part reached engines after the limit
// and returns the ids of these.
func (f *partTraffic) checkContacts(arrivals []partArrival, limit time.Time, o outage) map[string]bool {
	f.t.Helper()
	calls := map[string]*partCall{}
	for _, c := range f.calls {
		calls[c.id] = c
	}
	late, contacts, decodes := map[string]bool{}, 0, 0
	for _, a := range arrivals {
		c := calls[a.id]
		if c == nil || !c.guilty || !a.at.After(limit) || o.covers(c, a.at) {
			continue
		}
		late[a.id] = true
		contacts++
		if a.decode {
			decodes++
		}
	}
	if contacts > contactsAllowed {
		f.t.Errorf("%d prefills and decodes (%d decodes) of %d requests with the part reached engines later than %v after the counted crashes; at most %d may",
			contacts, decodes, len(late), contactLimit, contactsAllowed)
	}
	return late
}

// checkRefusals checks that the requests with the part that came after the limit and
// did not reach engines were refused as they must be.
func (f *partTraffic) checkRefusals(late map[string]bool, limit time.Time, o outage) {
	f.t.Helper()
	faults, refused := map[string]int{}, 0
	for _, c := range f.calls {
		if !c.guilty || late[c.id] || !c.sent.After(limit) || o.covers(c, c.sent) {
			continue
		}
		refused++
		if fault := c.refusalFault(); fault != "" {
			faults[fault]++
		}
	}
	if len(faults) > 0 {
		f.t.Errorf("requests with the part that reached no engine, %d in all, must be refused within %v with 503, Retry-After and reason %q; number of others by fault: %v",
			refused, refusalLimit, problem.CrashingPart, faults)
	}
}

// checkSound checks, for each first part, that sound requests sent from settled on
// began at the first attempt at least half as often as before the first request with
// the part.
func (f *partTraffic) checkSound(arrivals []partArrival, settled time.Time) {
	f.t.Helper()
	decodes := map[string]int{}
	for _, a := range arrivals {
		if a.decode {
			decodes[a.id]++
		}
	}
	share := func(first string, from, until time.Time) (float64, int) {
		sent, began := 0, 0
		for _, c := range f.calls {
			if c.guilty || c.parts[0] != first || c.sent.Before(from) || !c.sent.Before(until) {
				continue
			}
			sent++
			if c.began() && decodes[c.id] == 1 {
				began++
			}
		}
		return float64(began) / float64(max(1, sent)), sent
	}
	for _, first := range []string{f.first, f.other} {
		before, sentBefore := share(first, time.Time{}, f.started.Add(-undisturbed))
		after, sentAfter := share(first, settled, time.Now())
		if sentBefore < 5 || sentAfter < 5 || before < 0.9 {
			f.t.Fatalf("the test shows nothing: %d sound requests before the first crash, of which %.0f %% began, and %d in the time that counts",
				sentBefore, 100*before, sentAfter)
		}
		f.t.Logf("sound requests that began at the first attempt: %.0f %% of %d before, %.0f %% of %d in the time that counts",
			100*before, sentBefore, 100*after, sentAfter)
		if after < before/2 {
			f.t.Errorf("%.0f %% of the sound requests began at the first attempt, %.0f %% before the crashes; must be at least half as often", 100*after, 100*before)
		}
	}
}

// ownPartDoor sends requests through the daemons' own interface.
type ownPartDoor struct{ *deployment }

func (d ownPartDoor) sendParts(c *partCall) {
	path, body := "/v1/completions", completionBody(strings.Join(c.parts, "\n\n"), 20, true)
	if len(c.parts) > 3 {
		path, body = "/v1/chat/completions", chatBody(c.parts, 20)
	}
	a := d.daemons[c.daemon].callAs(context.Background(), teamKey, http.MethodPost, path, body)
	c.status, c.header, c.body, c.err = a.status, a.header, a.body, a.err
	c.id = a.id()
}

// chatBody is the body of a streamed chat with one message for each part.
func chatBody(parts []string, tokens int) string {
	var messages []any
	for _, part := range parts {
		messages = append(messages, map[string]any{"role": "user", "content": part})
	}
	text, _ := json.Marshal(map[string]any{"model": "spec-models", "messages": messages, "max_tokens": tokens, "stream": true})
	return string(text)
}

func (d ownPartDoor) partArrivals() []partArrival {
	var arrivals []partArrival
	for _, e := range d.events() {
		if e.Event == "take" { // an engine has accepted the request
			arrivals = append(arrivals, partArrival{id: e.RequestID, decode: e.Phase == "decode", at: time.UnixMilli(e.AtMs)})
		}
	}
	return arrivals
}

func (d ownPartDoor) partCrashes() []time.Time {
	var crashes []time.Time
	for _, e := range d.events() {
		if e.Event == "crash" {
			crashes = append(crashes, time.UnixMilli(e.AtMs))
		}
	}
	return crashes
}

// startOwnPartTraffic starts a deployment with eight decode engines in each data centre, and
// traffic with a part that crashes these.
func startOwnPartTraffic(t *testing.T, opts options) (*deployment, *partTraffic) {
	t.Helper()
	opts.prefill, opts.decode, opts.policy = 2, 8, "retryRatio = 1.0\nmaxAttempts = 4"
	d := deploy(t, opts)
	first, other := strings.Repeat("first part ", 20), strings.Repeat("other first part ", 20)
	guilty := strings.Repeat("part that crashes ", 20)
	d.injectFault("all", "crashOnPart", map[string]any{"texts": []string{guilty}, "restartMs": engineRestart.Milliseconds()})
	return d, startPartTraffic(t, ownPartDoor{d}, len(d.daemons), first, other, guilty)
}

// checkIDs checks that all calls were counted, apart from those to daemons that were down.
func (f *partTraffic) checkIDs(o outage) {
	f.t.Helper()
	for _, c := range f.calls {
		if c.id == "" && !o.covers(c, c.sent) && !o.covers(c, c.sent.Add(c.elapsed)) {
			f.t.Errorf("a response has no request id, so its arrivals were not counted: status %d, error %v", c.status, c.err)
		}
	}
}

// TestPartThatCrashesEnginesIsRefused checks that requests with a part that crashes
// each engine that begins to decode it are refused, whatever else they hold, and that
// sound requests with the same first part are served.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	testPartThatCrashesEngines(t, options{daemons: 3})
}

// TestPartThatCrashesEnginesIsRefusedInAllDataCentres checks the same of two data centres.
func TestPartThatCrashesEnginesIsRefusedInAllDataCentres(t *testing.T) {
	testPartThatCrashesEngines(t, options{dataCentres: []string{"brandon-a", "regina-a"}, daemons: 2})
}

func testPartThatCrashesEngines(t *testing.T, opts options) {
	_, f := startOwnPartTraffic(t, opts)
	fifth := f.waitForCrashes()
	time.Sleep(time.Until(f.started.Add(guiltyTime)))
	f.check(fifth, fifth.Add(soundLimit), outage{})
	f.checkIDs(outage{})
}

// TestRestartedDaemonRefusesCrashingPart checks that a daemon that was killed after the crashes
// refuses requests with the part soon after it is ready again.
func TestRestartedDaemonRefusesCrashingPart(t *testing.T) { testRestart(t, 1) }

// TestRestartedDaemonsRefuseCrashingPart checks the same of all daemons, killed at once.
func TestRestartedDaemonsRefuseCrashingPart(t *testing.T) { testRestart(t, 0, 1, 2) }

func testRestart(t *testing.T, killed ...int) {
	d, f := startOwnPartTraffic(t, options{daemons: 3})
	fifth := f.waitForCrashes()
	o := outage{daemons: killed, from: fifth.Add(contactLimit)}
	time.Sleep(time.Until(o.from))
	for _, i := range killed {
		d.daemons[i].kill()
	}
	for _, i := range killed {
		<-d.daemons[i].exitedCh
		d.daemons[i].start()
	}
	for _, i := range killed {
		d.daemons[i].waitReady()
	}
	ready := time.Now()
	o.until = ready.Add(contactLimit)
	settled := o.until
	if limit := fifth.Add(soundLimit); limit.After(settled) {
		settled = limit
	}
	time.Sleep(time.Until(settled.Add(3 * time.Second)))
	t.Logf("daemons %v were ready %d ms after they were killed", killed, ready.Sub(o.from).Milliseconds())
	f.check(fifth, settled, o)
	f.checkIDs(o)
	relearned := 0
	for _, at := range f.door.partCrashes() {
		if at.After(o.from) {
			relearned++
		}
	}
	if relearned > crashesAfterRestart {
		t.Errorf("%d engines crashed after the daemons were killed; at most %d may", relearned, crashesAfterRestart)
	}
}

// TestBlamedPartIsRefusedInOtherDataCentres checks that the crashes of one data centre's engines
// protect those of another. Probes are rare, so that only the messages on changes carry the evidence.
func TestBlamedPartIsRefusedInOtherDataCentres(t *testing.T) {
	const guilty = "part that crashes"
	d := deploy(t, options{dataCentres: []string{"brandon-a", "regina-a"}, decode: 4, probeMs: 3000})
	d.injectFault("all", "crashOnPart", map[string]any{"texts": []string{guilty}, "restartMs": engineRestart.Milliseconds()})
	send := func(daemon int, own string) *partCall {
		c := &partCall{parts: []string{"first part", guilty, own}, guilty: true, daemon: daemon, sent: time.Now()}
		ownPartDoor{d}.sendParts(c)
		c.elapsed = time.Since(c.sent)
		return c
	}
	for n := 0; send(0, fmt.Sprint("own ", n)).refusalFault() != ""; n++ {
		if n == 20 {
			t.Fatal("the part is not refused")
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := range d.daemons {
		if fault := send(i, fmt.Sprint("own part at ", i)).refusalFault(); fault != "" {
			t.Errorf("%s: %s", d.daemons[i].name, fault)
		}
	}
	for _, e := range d.events() {
		if e.Event == "take" && strings.HasPrefix(e.Upstream, "regina-a") {
			t.Errorf("%s got request %s", e.Upstream, e.RequestID)
		}
	}
	d.clearFaults()
	d.liftParts(len(d.daemons) - 1)
	for i := range d.daemons {
		if c := send(i, fmt.Sprint("own part after the lift at ", i)); !c.began() {
			t.Errorf("%s after the lift: status %d, error %v, body %s", d.daemons[i].name, c.status, c.err, c.body)
		}
	}
}

// liftParts lifts the refusals of all parts that a daemon refuses, as an operator does, and gives the
// others the time to learn of it.
func (d *deployment) liftParts(daemon int) {
	d.t.Helper()
	ctl := func(args ...string) []byte {
		args = append([]string{"--operator", d.daemons[daemon].operators, "--key", operatorKey, "--json"}, args...)
		out, err := exec.Command(filepath.Join(binaryDir, "hemlockctl"), args...).Output()
		if err != nil {
			d.t.Fatalf("hemlockctl %v: %v, %s", args, err, out)
		}
		return out
	}
	var parts []operatorapi.RefusedPartView
	if err := json.Unmarshal(ctl("parts", "list"), &parts); err != nil || len(parts) == 0 {
		d.t.Fatalf("refused parts: %v, error %v", parts, err)
	}
	for _, p := range parts {
		ctl("parts", "lift", "--model", p.Service, "--part", p.Part)
	}
	time.Sleep(500 * time.Millisecond)
}
