package e2e

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// controlSpan is how long the cost of control is measured.
const controlSpan = 10 * time.Second

// TestPlatformControlCost prints what daemons at rest tell each other and what
// memory they take, for docs/CAPACITY.md; numbers of daemons are given in
// PLATFORM_SCALE, and CI measures two.
//
//	PLATFORM_SCALE="2 7 28" go test -count=1 -v -run '^TestPlatformControlCost$' ./hemlockd/e2e
func TestPlatformControlCost(t *testing.T) {
	numbers := os.Getenv("PLATFORM_SCALE")
	if numbers == "" {
		numbers = "2"
	}
	for _, number := range strings.Fields(numbers) {
		n, err := strconv.Atoi(number)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(number, func(t *testing.T) { measureControl(t, n) })
	}
}

func measureControl(t *testing.T, n int) {
	p := deployUsersPlatform(t, 0)
	ports := freePorts(t, 5)
	p.flags = []string{"--metrics-port", strconv.Itoa(ports[4])}
	for i := range n {
		p.addDaemon(fmt.Sprintf("front-a-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), ports)
	}
	for _, d := range p.daemons {
		p.waitReady(d)
	}
	sent := func() float64 {
		total := 0.0
		for _, d := range p.daemons {
			total += p.metric(d, ports[4])
		}
		return total
	}
	time.Sleep(3 * time.Second) // until all have met
	before := sent()
	time.Sleep(controlSpan)
	bytes := (sent() - before) / float64(n) / controlSpan.Seconds()
	t.Logf("%d daemons: %.0f bytes a second sent by each", n, bytes)
	if bytes == 0 {
		t.Error("daemons told each other nothing")
	}
}

// metric returns the bytes that a daemon has sent to others.
func (p *usersPlatform) metric(d *platformDaemon, port int) float64 {
	p.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", d.ip, port))
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var all struct {
		Peers struct {
			SentBytes float64 `json:"sentBytes"`
		} `json:"peers"`
	}
	if err := decodeJSON(resp.Body, &all); err != nil {
		p.t.Fatal(err)
	}
	return all.Peers.SentBytes
}
