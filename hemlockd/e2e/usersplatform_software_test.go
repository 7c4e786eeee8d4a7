package e2e

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// addEngine starts an engine with a version of its software.
func (p *usersPlatform) addEngine(id, stage, software string) {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/servers", map[string]any{"id": id, "service": "models", "zone": "a", "stage": stage, "slots": 8, "software": software})
}

var eventPattern = regexp.MustCompile(`(?m)^id: (\d+)\ndata: piece \d+(?: of (\w+))?\n\n`)

// receivedEvents returns the ID of the last whole event of a body and the versions that wrote it.
func receivedEvents(body string) (last int, versions map[string]bool) {
	versions = map[string]bool{}
	for _, match := range eventPattern.FindAllStringSubmatch(body, -1) {
		last, _ = strconv.Atoi(match[1])
		versions[match[2]] = true
	}
	return last, versions
}

// takeUp goes on with a stream that an attempt began.
func (p *usersPlatform) takeUp(d *platformDaemon, attempt, began string, after, events int) platformResponse {
	return p.send(d, attempt, "/resumable/x", "a prompt", map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("100,%d", 10*events), "X-Prompt-Prefix": "aa:50,bb:50", "X-Length-Hint": strconv.Itoa(10 * events),
		"Last-Event-Id": strconv.Itoa(after), "Resumes": began,
	})
}

// brokenStream is a stream that a caller has received a part of.
type brokenStream struct {
	attempt string
	body    string
	last    int
	events  int
}

// breakStreams starts streams at all daemons in turn, kills all daemons while they run, starts them again and
// returns what callers have received.
func (p *usersPlatform) breakStreams(streams, events int) []*brokenStream {
	p.t.Helper()
	var broken []*brokenStream
	var running sync.WaitGroup
	for i := range streams {
		b := &brokenStream{attempt: fmt.Sprint("begun-", i), events: events}
		broken = append(broken, b)
		running.Go(func() { b.body = p.stream(p.daemons[i%len(p.daemons)], b.attempt, "resumable", events).body })
	}
	time.Sleep(time.Duration(events) * 15 * time.Millisecond / 2)
	for _, d := range p.daemons {
		_ = d.cmd.Process.Kill()
	}
	running.Wait()
	for _, b := range broken {
		b.last, _ = receivedEvents(b.body)
	}
	return broken
}

// startAgain starts all daemons that have been killed.
func (p *usersPlatform) startAgain() {
	p.t.Helper()
	for _, d := range p.daemons {
		<-d.exited
		p.start(d)
	}
	for _, d := range p.daemons {
		p.waitReady(d)
	}
}

// takeUpAll takes up the streams at all daemons in turn and returns how many went on to their end. It fails the
// test for each that is joined from two versions, and for each answer that is neither whole nor a refusal.
func (p *usersPlatform) takeUpAll(broken []*brokenStream) (whole int) {
	p.t.Helper()
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, b := range broken {
		if b.last == 0 || b.last == b.events {
			continue
		}
		running.Go(func() {
			for try := range 3 { // an engine may be taken
				a := p.takeUp(p.daemons[(i+1)%len(p.daemons)], fmt.Sprintf("again-%d-%d", i, try), b.attempt, b.last, b.events)
				if a.status == http.StatusServiceUnavailable {
					time.Sleep(300 * time.Millisecond)
					continue
				}
				joined := b.body[:strings.LastIndex(b.body, "\n\n")+2] + a.body
				last, versions := receivedEvents(joined)
				mu.Lock()
				defer mu.Unlock()
				if len(versions) > 1 {
					p.t.Errorf("%s: joined from versions %v, taken up after event %d", b.attempt, versions, b.last)
				}
				if last != b.events {
					p.t.Errorf("%s: ends with event %d of %d, status %d, error %v", b.attempt, last, b.events, a.status, a.err)
					return
				}
				whole++
				return
			}
		})
	}
	running.Wait()
	return whole
}

// TestPlatformStreamsTakenUpAfterAKillOfAllDaemonsKeepTheirVersion guards against answers that are joined from
// two software versions: two were in service, all daemons were killed, and a daemon that had just started let
// a stream go on at any engine.
func TestPlatformStreamsTakenUpAfterAKillOfAllDaemonsKeepTheirVersion(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	for _, id := range []string{"i-new1", "i-new2"} {
		p.addEngine(id, "decode", "v2")
	}
	p.addEngine("i-newpre", "prefill", "v2")
	time.Sleep(time.Second)
	broken := p.breakStreams(12, 60)
	versions := map[string]int{}
	for _, b := range broken {
		_, wrote := receivedEvents(b.body)
		for v := range wrote {
			versions[v]++
		}
	}
	if versions[""] == 0 || versions["v2"] == 0 {
		t.Fatalf("streams begun by version: %v, want some of both", versions)
	}
	p.startAgain()
	if whole := p.takeUpAll(broken); whole < 6 {
		t.Errorf("%d of %d streams went on", whole, len(broken))
	}
}

// TestPlatformStreamsOfAVersionThatHasLeftAreRefused guards against answers that are joined from two software
// versions: all engines of the first had left when the daemons were killed and callers took up its streams.
func TestPlatformStreamsOfAVersionThatHasLeftAreRefused(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	broken := p.breakStreams(6, 60)
	for _, id := range []string{"i-dec1", "i-dec2", "i-pre1", "i-pre2"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/unlist", nil)
	}
	p.addEngine("i-new", "decode", "v2")
	p.addEngine("i-newpre", "prefill", "v2")
	p.startAgain()
	started := time.Now()
	if whole := p.takeUpAll(broken); whole > 0 {
		t.Errorf("%d streams went on", whole)
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("refusals took %v", took)
	}
	if a := p.stream(p.daemons[0], "fresh", "resumable", 10); a.status != http.StatusOK {
		t.Errorf("a fresh stream: status %d", a.status)
	}
}

// TestPlatformStreamGoesOnWithinItsVersion guards against an answer that is joined from two software versions: the
// engine of a stream ended, and the daemon itself went on with it at an engine of another version.
func TestPlatformStreamGoesOnWithinItsVersion(t *testing.T) {
	for _, fault := range []map[string]any{{"cutAfter": 5, "once": true}, {"endAfter": 5, "once": true}} {
		p := deployUsersPlatform(t, 1)
		p.callAdmin(http.MethodPost, "/servers/i-dec2/unlist", nil)
		time.Sleep(300 * time.Millisecond)
		p.injectServerFault("i-dec1", fault)
		p.addEngine("i-new", "decode", "v2")
		for i := range 4 {
			a := p.stream(p.daemons[0], fmt.Sprint("s-", i), "resumable", 30)
			if last, versions := receivedEvents(a.body); len(versions) > 1 {
				t.Errorf("%v: joined from versions %v, %d events", fault, versions, last)
			}
		}
	}
}

// TestPlatformPrefilledMemoryStaysWithinItsVersion guards against an engine that goes on from memory that
// another software version has written.
func TestPlatformPrefilledMemoryStaysWithinItsVersion(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	p.addEngine("i-new1", "decode", "v2")
	p.addEngine("i-newpre", "prefill", "v2")
	p.addEngine("i-lone", "decode", "v3") // prefills by itself
	time.Sleep(time.Second)
	var running sync.WaitGroup
	for i := range 18 {
		running.Go(func() { p.stream(p.daemons[0], fmt.Sprint("s-", i), "resumable", 30) })
	}
	running.Wait()
	seen := map[string]int{}
	for i := range 18 {
		for _, a := range p.arrivals(fmt.Sprint("s-", i)) {
			if a.Phase != "decode" {
				continue
			}
			seen[a.Software+" from "+a.SourceSoftware]++
			if a.SourceSoftware != "" && a.SourceSoftware != a.Software {
				t.Errorf("s-%d: engine %s of version %s took memory of version %s", i, a.Server, a.Software, a.SourceSoftware)
			}
		}
	}
	if seen["v1 from v1"] == 0 || seen["v2 from v2"] == 0 {
		t.Errorf("runs by version: %v, want some of v1 and v2", seen)
	}
}
