package e2e

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"testing"
	"time"
)

// platformPartDoor sends requests to daemons of the users' platform.
type platformPartDoor struct{ *usersPlatform }

// partID returns the ID of a part in the X-Prompt-Prefix header.
func partID(part string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(part))
	return fmt.Sprintf("%08x", h.Sum32())
}

func (p platformPartDoor) sendParts(c *partCall) {
	var prefix []string
	for _, part := range c.parts {
		prefix = append(prefix, partID(part)+":40")
	}
	a := p.send(p.daemons[c.daemon], c.id, "/resumable/x", "prompt of "+c.id, map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,100", 40*len(c.parts)), "X-Length-Hint": "100",
		"X-Prompt-Prefix": strings.Join(prefix, ","),
	})
	c.status, c.header, c.body, c.err = a.status, a.header, a.body, a.err
}

// fetch decodes an answer of the stand-in's administration interface.
func (p *usersPlatform) fetch(path string, into any) {
	p.t.Helper()
	resp, err := http.Get("http://" + p.addr.Admin + path)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := decodeJSON(resp.Body, into); err != nil {
		p.t.Fatal(err)
	}
}

func (p platformPartDoor) partArrivals() []partArrival {
	var all []arrival
	p.fetch("/runs", &all)
	var arrivals []partArrival
	for _, a := range all {
		arrivals = append(arrivals, partArrival{id: a.Attempt, decode: a.Phase == "decode", at: time.UnixMilli(a.AtMs)})
	}
	return arrivals
}

func (p platformPartDoor) partCrashes() []time.Time {
	var all []struct{ AtMs int64 }
	p.fetch("/crashes", &all)
	var crashes []time.Time
	for _, c := range all {
		crashes = append(crashes, time.UnixMilli(c.AtMs))
	}
	return crashes
}

// startPlatformPartTraffic starts three daemons with eight decode engines, and traffic
// with a part that crashes these.
func startPlatformPartTraffic(t *testing.T) (*usersPlatform, *partTraffic) {
	t.Helper()
	p := deployUsersPlatform(t, 3)
	for i := 3; i <= 8; i++ {
		p.addServer(fmt.Sprint("i-dec", i), "models", "decode")
	}
	time.Sleep(500 * time.Millisecond) // until the daemons know the new engines
	const first, other, guilty = "first part", "other first part", "part that crashes"
	p.callAdmin(http.MethodPut, "/crash-parts", map[string]any{"parts": []string{partID(guilty)}, "restartMs": engineRestart.Milliseconds()})
	return p, startPartTraffic(t, platformPartDoor{p}, len(p.daemons), first, other, guilty)
}

// TestPlatformPartThatCrashesEnginesIsRefused checks that requests with a part that
// crashes each engine that begins to decode it are refused, whatever else they hold,
// and that sound requests with the same first part are served.
func TestPlatformPartThatCrashesEnginesIsRefused(t *testing.T) {
	_, f := startPlatformPartTraffic(t)
	fifth := f.waitForCrashes()
	time.Sleep(time.Until(f.started.Add(guiltyTime)))
	f.check(fifth, fifth.Add(soundLimit), outage{})
}

// TestPlatformRestartedDaemonRefusesCrashingPart checks that a daemon that was killed
// after the crashes refuses requests with the part soon after it is ready again.
func TestPlatformRestartedDaemonRefusesCrashingPart(t *testing.T) {
	testPlatformRestart(t, 1)
}

// TestPlatformRestartedDaemonsRefuseCrashingPart checks the same of all daemons, killed
// at once.
func TestPlatformRestartedDaemonsRefuseCrashingPart(t *testing.T) {
	testPlatformRestart(t, 0, 1, 2)
}

func testPlatformRestart(t *testing.T, killed ...int) {
	p, f := startPlatformPartTraffic(t)
	fifth := f.waitForCrashes()
	o := outage{daemons: killed, from: fifth.Add(contactLimit)}
	time.Sleep(time.Until(o.from))
	for _, i := range killed {
		if err := p.daemons[i].cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range killed {
		<-p.daemons[i].exited
		p.start(p.daemons[i])
	}
	for _, i := range killed {
		p.waitReady(p.daemons[i])
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
}
