package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// knownVersionTime is how long daemons have to see one version alone until they know that all streams are of it: the
// longest time-out of a stream's route, and a margin.
const knownVersionTime = 14 * time.Second

// takeUpAlone goes on with a stream as a caller does that names no more than the last event.
func (p *usersPlatform) takeUpAlone(d *platformDaemon, attempt, prompt string, after, events int) platformResponse {
	return p.send(d, attempt, "/resumable/x", prompt, map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("100,%d", 10*events), "X-Prompt-Prefix": "aa:50,bb:50", "X-Length-Hint": strconv.Itoa(10 * events),
		"Last-Event-Id": strconv.Itoa(after),
	})
}

// breakOne starts a stream at a daemon, kills the daemon while it runs, and returns what the caller has received.
func (p *usersPlatform) breakOne(d *platformDaemon, attempt string, events int) *brokenStream {
	p.t.Helper()
	b := &brokenStream{attempt: attempt, events: events}
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.body = p.stream(d, attempt, "resumable", events).body
	}()
	p.eventually(5*time.Second, "the stream runs", func() bool { return p.runCount(attempt) > 0 })
	time.Sleep(300 * time.Millisecond)
	_ = d.cmd.Process.Kill()
	<-done
	if b.last, _ = receivedEvents(b.body); b.last == 0 || b.last == events {
		p.t.Fatalf("the stream was not broken: %d of %d events", b.last, events)
	}
	return b
}

// checkJoined checks that a stream that went on is whole and of one version.
func (b *brokenStream) checkJoined(t *testing.T, a platformResponse) {
	t.Helper()
	joined := b.body[:strings.LastIndex(b.body, "\n\n")+2] + a.body
	if last, versions := receivedEvents(joined); a.status != http.StatusOK || last != b.events || len(versions) != 1 {
		t.Errorf("status %d, error %v, ends with event %d of %d, versions %v", a.status, a.err, last, b.events, versions)
	}
}

// Guards against a stopped or broken stream that nobody takes up: callers name the last event alone, and the daemon refused
// them all though all engines have one version (LOST).
func TestPlatformStreamIsTakenUpByItsLastEventAlone(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	time.Sleep(knownVersionTime)
	b := p.breakOne(p.daemons[0], "begun", 60)
	b.checkJoined(t, p.takeUpAlone(p.daemons[1], "again", "a prompt", b.last, b.events))
	p.start(p.daemons[0]) // a daemon that has just started
	p.waitReady(p.daemons[0])
	// It can't know of streams whose version has left and whose record could not be written.
	if a := p.takeUpAlone(p.daemons[0], "again at a new one", "a prompt", b.last, b.events); a.status != http.StatusServiceUnavailable {
		b.checkJoined(t, a)
	}
	p.logTakeUps()
}

// logTakeUps logs how take-ups ended, if the test has failed.
func (p *usersPlatform) logTakeUps() {
	if !p.t.Failed() {
		return
	}
	for _, d := range p.daemons {
		for line := range strings.Lines(d.log.String()) {
			if strings.Contains(line, `"after"`) {
				p.t.Log(line)
			}
		}
	}
}

// Guards against answers that are joined from two software versions: the caller names the last event alone, and a second
// version is listed or has been listed since the stream began (ORDER).
func TestPlatformStreamOfAnUnknownVersionIsNotTakenUp(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	time.Sleep(knownVersionTime)
	p.addEngine("i-new", "decode", "v2")
	p.addEngine("i-newpre", "prefill", "v2")
	time.Sleep(500 * time.Millisecond)
	b := p.breakOne(p.daemons[0], "begun of two", 60)
	refused := func(what, attempt string, d *platformDaemon) {
		t.Helper()
		// No stream of the same request is known, so its beginning is not.
		if a := p.takeUpAlone(d, attempt, "another prompt", b.last, b.events); a.status != http.StatusServiceUnavailable || p.runCount(attempt) != 0 {
			t.Errorf("%s: status %d, %d runs", what, a.status, p.runCount(attempt))
		}
	}
	refused("two are listed", "again", p.daemons[1])
	for _, id := range []string{"i-dec1", "i-dec2", "i-pre1", "i-pre2"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/unlist", nil)
	}
	b = p.breakOne(p.daemons[1], "begun of the second", 60)
	refused("the first has left", "again after it left", p.daemons[2])
	for _, d := range p.daemons[:2] {
		p.start(d)
		p.waitReady(d)
	}
	refused("the first has left before the daemon started", "again at a new one", p.daemons[1])
	for _, id := range []string{"i-old1", "i-old2"} {
		p.addEngine(id, "decode", "v1")
	}
	for _, id := range []string{"i-new", "i-newpre"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/unlist", nil)
	}
	_ = p.daemons[1].cmd.Process.Kill()
	<-p.daemons[1].exited
	p.start(p.daemons[1])
	p.waitReady(p.daemons[1])
	time.Sleep(500 * time.Millisecond)
	refused("the second has left, and the first is back", "again at the first", p.daemons[1])
}

// Guards against streams that nobody takes up by their last event alone because two versions have been in service since the
// daemons started, and against taking them up at the wrong one (LOST, ORDER): all daemons are killed and know nothing.
func TestPlatformStreamsOfTwoVersionsAreTakenUpByTheirLastEventAlone(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	for _, id := range []string{"i-new1", "i-new2"} {
		p.addEngine(id, "decode", "v2")
	}
	p.addEngine("i-newpre", "prefill", "v2")
	time.Sleep(time.Second)
	const events = 60
	ask := func(d *platformDaemon, attempt, prompt string, after int) platformResponse {
		header := map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("100,%d", 10*events), "X-Prompt-Prefix": "aa:50,bb:50", "X-Length-Hint": strconv.Itoa(10 * events)}
		if after > 0 {
			header["Last-Event-Id"] = strconv.Itoa(after)
		}
		return p.send(d, attempt, "/resumable/x", prompt, header)
	}
	var running sync.WaitGroup
	var broken [12]brokenStream
	for i := range broken {
		b := &broken[i]
		b.attempt, b.events = fmt.Sprint("begun-", i), events
		running.Go(func() { b.body = ask(p.daemons[i%3], b.attempt, "prompt of "+b.attempt, 0).body })
	}
	time.Sleep(450 * time.Millisecond)
	for _, d := range p.daemons {
		_ = d.cmd.Process.Kill()
	}
	running.Wait()
	p.startAgain()
	begun, whole := map[string]int{}, 0
	for i, b := range broken {
		last, versions := receivedEvents(b.body)
		if last == 0 || last == events {
			continue
		}
		for v := range versions {
			begun[v]++
		}
		a := ask(p.daemons[(i+1)%3], "again-"+b.attempt, "prompt of "+b.attempt, last)
		if a.status == http.StatusServiceUnavailable {
			continue
		}
		b.checkJoined(t, a)
		whole++
	}
	if begun[""] == 0 || begun["v2"] == 0 || whole < 10 {
		t.Errorf("streams begun by version: %v, %d went on", begun, whole)
	}
	p.logTakeUps()
}
