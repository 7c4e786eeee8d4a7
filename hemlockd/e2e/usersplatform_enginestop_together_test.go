package e2e

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// closedLoopCaller sends streams to one daemon, one after another, each on a new connection.
type closedLoopCaller struct {
	p      *usersPlatform
	d      *platformDaemon
	number int
	random *rand.Rand
	until  time.Time

	mu               *sync.Mutex
	served, refused  *int
	lost             *[]string
	shortest, spread int // number of events
}

func (c *closedLoopCaller) run() {
	for i := 0; time.Now().Before(c.until); i++ {
		events := c.shortest + c.random.Intn(c.spread)
		s := stopStream{hintEvents: max(1, events/(1+c.random.Intn(4))), limitEvents: events + c.random.Intn(events), events: events, interval: 12 * time.Millisecond}
		route := []string{"once", "resumable"}[c.random.Intn(2)]
		id := fmt.Sprintf("%s-%d-%d", route, c.number, i)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
		sent := time.Now()
		c.note(id, sent, s, sendStream(client, c.d, id, route, s))
	}
}

// note counts an answer. One that is incomplete is lost unless no connection was accepted.
func (c *closedLoopCaller) note(id string, sent time.Time, s stopStream, a platformResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var op *net.OpError
	switch {
	case a.err == nil && a.body == expectedStream(s.events):
		*c.served++
	case a.err == nil && a.status == http.StatusServiceUnavailable:
		*c.refused++
		time.Sleep(20 * time.Millisecond)
	case errors.As(a.err, &op) && op.Op == "dial":
		time.Sleep(20 * time.Millisecond)
	default:
		last, _ := receivedEvents(a.body)
		*c.lost = append(*c.lost, fmt.Sprintf("%s at %s, sent %s, ended %s: status %d, %d of %d events, %v", id, c.d.name, sent.Format("05.000"), time.Now().Format("05.000"), a.status, last, s.events, a.err))
	}
}

// Guards against streams that are cut off when daemons of a data centre stop a second apart, start again, and one is stopped as
// soon as it is ready: it has its list of upstreams from another daemon, because its store is silent, and an engine has left.
func TestPlatformDaemonsThatStopTogetherLoseNoStream(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	p.addServer("i-dec3", "models", "decode")
	p.knowEachOther()
	var mu sync.Mutex
	var all sync.WaitGroup
	var lost []string
	served, refused := 0, 0
	until := time.Now().Add(20 * time.Second)
	for i := range 18 {
		c := &closedLoopCaller{
			p: p, d: p.daemons[i%3], number: i, random: rand.New(rand.NewSource(int64(i))), until: until,
			mu: &mu, served: &served, refused: &refused, lost: &lost, shortest: 20, spread: 230,
		}
		all.Go(c.run)
	}
	time.Sleep(3 * time.Second)
	first, second := p.daemons[0], p.daemons[1]
	t.Log("first signal ", time.Now().Format("05.000"))
	p.signal(first, syscall.SIGTERM)
	time.Sleep(time.Second)
	p.signal(second, syscall.SIGTERM)
	<-first.exited
	p.injectStoreFault("silent", first)
	p.start(first)
	<-second.exited
	p.start(second)
	p.waitReady(first)
	t.Log("first ready again ", time.Now().Format("05.000"))
	p.callAdmin(http.MethodPost, "/servers/i-dec3/drain", nil)
	p.signal(first, syscall.SIGTERM) // as soon as it is ready
	time.Sleep(1500 * time.Millisecond)
	p.callAdmin(http.MethodPost, "/servers/i-dec3/unlist", nil)
	<-first.exited
	p.injectStoreFault("")
	p.start(first)
	all.Wait()
	t.Logf("%d served, %d refused", served, refused)
	for _, l := range lost {
		t.Error(l)
	}
	if served < 100 {
		t.Errorf("only %d streams were served", served)
	}
}

// Guards against requests that end without an answer at a daemon that is stopped before it has a list of upstreams: the store
// is silent, and no other daemon is there.
func TestPlatformDaemonStoppedBeforeItsFirstListAnswersAll(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	d := p.daemons[0]
	p.signal(d, syscall.SIGTERM)
	<-d.exited
	p.injectStoreFault("silent", d)
	p.start(d)
	s := stopStream{hintEvents: 20, limitEvents: 20, events: 20, interval: 12 * time.Millisecond}
	var mu sync.Mutex
	var lost []string
	var all sync.WaitGroup
	served, refused := 0, 0
	for i := range 4 {
		c := &closedLoopCaller{
			p: p, d: d, number: i, random: rand.New(rand.NewSource(int64(i))), until: time.Now().Add(5 * time.Second),
			mu: &mu, served: &served, refused: &refused, lost: &lost, shortest: s.events, spread: 1,
		}
		all.Go(c.run)
	}
	p.eventually(5*time.Second, "the daemon answers", func() bool { mu.Lock(); defer mu.Unlock(); return refused > 0 })
	p.signal(d, syscall.SIGTERM)
	<-d.exited
	all.Wait()
	t.Logf("%d served, %d refused", served, refused)
	for _, l := range lost {
		t.Error(l)
	}
}
