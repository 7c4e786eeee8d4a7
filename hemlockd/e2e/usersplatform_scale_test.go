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

// controlMeasurement is the time over which control traffic is measured.
const controlMeasurement = 10 * time.Second

// TestPlatformControlCost prints how many bytes a second idle daemons send to each
// other, for docs/CAPACITY.md. PLATFORM_SCALE lists the numbers of daemons to measure;
// CI measures two daemons.
//
//	PLATFORM_SCALE="2 7 28" go test -count=1 -v -run '^TestPlatformControlCost$' ./hemlockd/e2e
func TestPlatformControlCost(t *testing.T) {
	daemonCounts := os.Getenv("PLATFORM_SCALE")
	if daemonCounts == "" {
		daemonCounts = "2"
	}
	for _, count := range strings.Fields(daemonCounts) {
		n, err := strconv.Atoi(count)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(count, func(t *testing.T) { measureControlTraffic(t, n) })
	}
}

func measureControlTraffic(t *testing.T, n int) {
	p := deployUsersPlatform(t, 0)
	ports := freePorts(t, 5)
	p.daemonFlags = []string{"--metrics-port", strconv.Itoa(ports[4])}
	for i := range n {
		p.addDaemon(fmt.Sprintf("front-a-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), ports, p.openStoreAddress())
	}
	for _, d := range p.daemons {
		p.waitReady(d)
	}
	total := func() (sum controlMetrics) {
		for _, d := range p.daemons {
			m := p.controlMetrics(d, ports[4])
			sum.Peers.SentBytes += m.Peers.SentBytes
			sum.Directory.RouteChecks += m.Directory.RouteChecks
			sum.Directory.UpstreamChecks += m.Directory.UpstreamChecks
		}
		return sum
	}
	time.Sleep(3 * time.Second) // until all daemons know each other
	before := total()
	time.Sleep(controlMeasurement)
	after := total()
	perSecond := func(before, after float64) float64 {
		return (after - before) / float64(n) / controlMeasurement.Seconds()
	}
	bytesPerSecond := perSecond(before.Peers.SentBytes, after.Peers.SentBytes)
	t.Logf("%d daemons: each sent %.0f bytes a second to others and read from the store, since nothing confirmed them, %.2f lists of upstreams and %.2f configurations a second",
		n, bytesPerSecond, perSecond(before.Directory.UpstreamChecks, after.Directory.UpstreamChecks),
		perSecond(before.Directory.RouteChecks, after.Directory.RouteChecks))
	if bytesPerSecond == 0 {
		t.Error("daemons sent each other no bytes")
	}
}

// controlMetrics are the metrics of a daemon that tell the cost of control.
type controlMetrics struct {
	Peers struct {
		SentBytes float64 `json:"sentBytes"`
	} `json:"peers"`
	Directory struct {
		RouteChecks    float64 `json:"checks routes"`
		UpstreamChecks float64 `json:"checks upstreams"`
	} `json:"directory"`
}

// controlMetrics fetches the metrics of a daemon.
func (p *usersPlatform) controlMetrics(d *platformDaemon, port int) (m controlMetrics) {
	p.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", d.ip, port))
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := decodeJSON(resp.Body, &m); err != nil {
		p.t.Fatal(err)
	}
	return m
}
