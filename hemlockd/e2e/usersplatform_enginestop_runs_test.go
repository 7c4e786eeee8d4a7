package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// checkWhole checks that a stream was served whole.
func (p *usersPlatform) checkWhole(what string, events int, a platformResponse) {
	p.t.Helper()
	if a.err != nil || a.body != expectedStream(events) {
		last, _ := receivedEvents(a.body)
		p.t.Errorf("%s: status %d, %d of %d events: %v", what, a.status, last, events, a.err)
	}
}

// Guards against daemons that drop the runs of a daemon that says that it leaves, and place theirs beside them at engines that
// are full: the engines then refuse calls, and preempt or slow down the streams that the leaving daemon has accepted.
func TestPlatformRunsOfAStoppingDaemonCountAtTheOthers(t *testing.T) {
	placeBesideAStoppingDaemon(t, true)
}

// Guards against a daemon that fills the engines of a stopping one because it has served no stream yet: it took the others'
// runs for faster than they are, and so for nearly complete.
func TestPlatformRunsOfAStoppingDaemonCountAtAFreshOne(t *testing.T) {
	placeBesideAStoppingDaemon(t, false)
}

// placeBesideAStoppingDaemon has a daemon that may have seen the engines' pace place streams at engines that are full with those
// of a stopping daemon.
func placeBesideAStoppingDaemon(t *testing.T, seenPace bool) {
	p := deployUsersPlatform(t, 2)
	p.knowEachOther()
	leaving, other := p.daemons[0], p.daemons[1]
	// Four streams of 100 tokens of prompt and 750 of output at each of two engines of 4000 tokens leave no room for another
	// until shortly before their end.
	s := stopStream{hintEvents: 75, limitEvents: 75, events: 75, interval: 80 * time.Millisecond}
	var all sync.WaitGroup
	if seenPace {
		for i := range 2 {
			all.Go(func() {
				pace := stopStream{hintEvents: 25, limitEvents: 25, events: 25, interval: s.interval}
				id := fmt.Sprint("pace-", i)
				p.checkWhole(id, pace.events, sendStream(&http.Client{Transport: &http.Transport{}}, other, id, "once", pace))
			})
		}
		all.Wait()
	}
	for i := range 8 {
		all.Go(func() {
			id := fmt.Sprint("accepted-", i)
			p.checkWhole(id, s.events, sendStream(&http.Client{Transport: &http.Transport{}}, leaving, id, "once", s))
		})
	}
	full := map[string]bool{}
	p.eventually(3*time.Second, "the streams run", func() bool {
		n := 0
		for i := range 8 {
			for _, a := range p.arrivals(fmt.Sprint("accepted-", i)) {
				if a.Ran {
					n++
					full[a.Server] = true
				}
			}
		}
		return n == 8
	})
	p.signal(leaving, syscall.SIGTERM)
	large := stopStream{hintEvents: 270, limitEvents: 270, events: 1, interval: time.Millisecond}
	for i, began := 0, time.Now(); time.Since(began) < 4*time.Second; i++ {
		id := fmt.Sprint("large-", i)
		sendStream(&http.Client{Transport: &http.Transport{}}, other, id, "once", large)
		for _, a := range p.arrivals(id) { // it may run at an engine that has changed its role
			if a.Phase == "decode" && full[a.Server] {
				t.Fatalf("%v after SIGTERM a stream is placed at %s, where it does not fit beside those of the stopping daemon", time.Since(began), a.Server)
			}
		}
	}
	all.Wait()
	<-leaving.exited
	a := sendStream(&http.Client{Transport: &http.Transport{}}, other, "afterwards", "once", large)
	p.checkWhole("after the exit", large.events, a)
}

// Guards against a stream that is given up when its engine is lost, is silent or leaves while its daemon stops: it is owed, and
// goes on at another engine.
func TestPlatformStreamLosesItsEngineDuringTheStop(t *testing.T) {
	for name, lose := range map[string]func(p *usersPlatform, engine string){
		"crash":             func(p *usersPlatform, e string) { p.callAdmin(http.MethodPost, "/servers/"+e+"/crash", nil) },
		"crash and removal": func(p *usersPlatform, e string) { p.callAdmin(http.MethodPost, "/servers/"+e+"/crash?gone=1", nil) },
		"drain": func(p *usersPlatform, e string) {
			p.callAdmin(http.MethodPost, "/servers/"+e+"/drain", nil)
			time.Sleep(1500 * time.Millisecond)
			p.callAdmin(http.MethodPost, "/servers/"+e+"/crash?gone=1", nil)
		},
		"crash without the store": func(p *usersPlatform, e string) {
			p.injectStoreFault("busy", p.daemons[0])
			p.callAdmin(http.MethodPost, "/servers/"+e+"/crash", nil)
		},
		"silence": nil, // from before the signal on
	} {
		t.Run(name, func(t *testing.T) {
			p := deployUsersPlatform(t, 1)
			d := p.daemons[0]
			if lose == nil {
				for _, e := range []string{"i-dec1", "i-dec2"} {
					p.injectServerFault(e, map[string]any{"stallAfter": 20})
				}
			}
			s := stopStream{hintEvents: 90, limitEvents: 90, events: 90, interval: 50 * time.Millisecond}
			answer := make(chan platformResponse, 1)
			go func() { answer <- sendStream(&http.Client{Transport: &http.Transport{}}, d, "owed", "resumable", s) }()
			p.eventually(3*time.Second, "the stream runs", func() bool { return p.runCount("owed") == 1 })
			for _, e := range []string{"i-dec1", "i-dec2"} {
				p.injectServerFault(e, map[string]any{}) // for later streams
			}
			p.signal(d, syscall.SIGTERM)
			time.Sleep(time.Second)
			for _, a := range p.arrivals("owed") {
				if a.Ran && lose != nil {
					lose(p, a.Server)
				}
			}
			p.checkWhole("the stream", s.events, <-answer)
			if n := p.runCount("owed"); n != 2 {
				t.Errorf("%d runs, want 2", n)
			}
			<-d.exited
			if t.Failed() {
				t.Log(d.log)
			}
		})
	}
}

// Guards against a stopping daemon that holds back or cuts off a stream because the record of its software version can't be
// written: the store is silent.
func TestPlatformStreamWithoutARecordDuringTheStop(t *testing.T) {
	p := deployUsersPlatform(t, 2)
	p.knowEachOther()
	p.addEngine("i-dec3", "decode", "v2")
	p.addEngine("i-pre3", "prefill", "v2")
	d := p.daemons[0]
	s := stopStream{hintEvents: 20, limitEvents: 20, events: 20, interval: 50 * time.Millisecond}
	for i := range 6 { // the paces are known
		p.eventually(5*time.Second, "a stream ends", func() bool {
			return sendStream(&http.Client{Transport: &http.Transport{}}, d, fmt.Sprint("pace-", i, time.Now()), "resumable", s).status == http.StatusOK
		})
	}
	p.injectStoreFault("silent", p.daemons...)
	p.signal(d, syscall.SIGTERM)
	var all sync.WaitGroup
	answers := make(chan platformResponse, 10)
	for i := range cap(answers) {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			answers <- sendStream(&http.Client{Transport: &http.Transport{}}, d, fmt.Sprint("unrecorded-", i), "resumable", s)
		})
	}
	all.Wait()
	close(answers)
	served := 0
	for a := range answers {
		last, versions := receivedEvents(a.body)
		switch {
		case a.status == http.StatusServiceUnavailable && a.err == nil:
		case a.err == nil && last == s.events && len(versions) == 1:
			served++
		default:
			t.Errorf("status %d, %d of %d events of versions %v: %v", a.status, last, s.events, versions, a.err)
		}
	}
	if served == 0 {
		t.Error("no stream was served")
	}
	<-d.exited
}
