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
	totalSent := func() float64 {
		total := 0.0
		for _, d := range p.daemons {
			total += p.sentBytes(d, ports[4])
		}
		return total
	}
	time.Sleep(3 * time.Second) // until all daemons know each other
	before := totalSent()
	time.Sleep(controlMeasurement)
	bytesPerSecond := (totalSent() - before) / float64(n) / controlMeasurement.Seconds()
	t.Logf("%d daemons: each sent %.0f bytes a second", n, bytesPerSecond)
	if bytesPerSecond == 0 {
		t.Error("daemons sent each other no bytes")
	}
}

// sentBytes returns the number of bytes that a daemon has sent to other daemons.
func (p *usersPlatform) sentBytes(d *platformDaemon, port int) float64 {
	p.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", d.ip, port))
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var metrics struct {
		Peers struct {
			SentBytes float64 `json:"sentBytes"`
		} `json:"peers"`
	}
	if err := decodeJSON(resp.Body, &metrics); err != nil {
		p.t.Fatal(err)
	}
	return metrics.Peers.SentBytes
}
