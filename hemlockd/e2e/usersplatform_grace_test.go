package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// graceCase is a change of GraceS while a daemon runs.
type graceCase struct {
	name         string
	before, then int           // GraceS
	signal       bool          // whether SIGHUP is sent; otherwise only the file changes
	afterStop    time.Duration // when it changes after SIGTERM; 0: well before
}

// setGrace changes GraceS in the daemon's settings file.
func (p *usersPlatform) setGrace(d *platformDaemon, seconds int) {
	p.t.Helper()
	text, err := os.ReadFile(d.configPath)
	if err != nil {
		p.t.Fatal(err)
	}
	changed := strings.ReplaceAll(string(text), "GraceS = "+d.setting("GraceS"), fmt.Sprint("GraceS = ", seconds))
	if err := os.WriteFile(d.configPath, []byte(changed), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// Guards against a daemon that stops by the GraceS of its start although it was changed since: raised, the daemon cut
// streams off that had time to end; lowered, it was killed with streams in flight (LOST).
func TestPlatformChangedGraceIsInForce(t *testing.T) {
	cases := []graceCase{
		{"raised by SIGHUP", 4, 8, true, 0},
		{"raised in the file", 4, 8, false, 0},
		{"raised by SIGHUP during the stop", 4, 8, true, time.Second},
		{"raised in the file during the stop", 4, 8, false, time.Second},
		{"lowered by SIGHUP", 8, 4, true, 0},
		{"lowered in the file during the stop", 8, 4, false, time.Second},
	}
	p := deployUsersPlatform(t, len(cases))
	var all sync.WaitGroup
	for i, c := range cases {
		d := p.daemons[i]
		p.setGrace(d, c.before)
		p.signal(d, syscall.SIGKILL)
		<-d.exited
		p.start(d)
		all.Go(func() { p.changeGrace(d, c) })
	}
	all.Wait()
}

// changeGrace stops a daemon with a stream in flight that needs 6 s, and changes its GraceS.
func (p *usersPlatform) changeGrace(d *platformDaemon, c graceCase) {
	p.waitReady(d)
	change := func() {
		p.setGrace(d, c.then)
		if c.signal {
			p.signal(d, syscall.SIGHUP)
		}
		p.eventually(5*time.Second, "the settings are read again", func() bool { return strings.Contains(d.log.String(), "settings are read again") })
	}
	if c.afterStop == 0 {
		change()
	}
	stream := stopStream{hintEvents: 60, limitEvents: 60, events: 60, interval: 100 * time.Millisecond}
	id := strings.ReplaceAll(c.name, " ", "-")
	answers := make(chan platformResponse, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
		answers <- sendStream(client, d, id, "once", stream)
	}()
	p.eventually(5*time.Second, "the stream runs", func() bool { return p.runCount(id) > 0 })
	began := time.Now()
	p.signal(d, syscall.SIGTERM)
	if c.afterStop > 0 {
		time.Sleep(c.afterStop)
		change()
	}
	took := p.exitsBefore(d, began, time.Duration(c.then)*time.Second)
	answer := <-answers
	last, _ := receivedEvents(answer.body)
	p.t.Logf("%s: %d events, exit %.2f s after SIGTERM", c.name, last, took.Seconds())
	if c.then > c.before && answer.body != expectedStream(stream.events) {
		p.t.Errorf("%s: the stream has %d of %d events, %v", c.name, last, stream.events, answer.err)
	}
	if line := "\"request\":\"" + id + "\""; !strings.Contains(d.log.String(), line) {
		p.t.Errorf("%s: no line names the request", c.name)
	}
}
