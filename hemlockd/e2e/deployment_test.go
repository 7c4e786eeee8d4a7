// Package e2e runs the built programs as separate processes and makes them
// fail: one file a scenario.
//
// # Usage
//
//	d := deploy(t, options{})
//	answer := d.daemons[0].call("POST", "/services/order-desk/placements", body, "Idempotency-Key", "k1")
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hemlockmux.example/common/settings"
)

// Keys of the test deployments.
const (
	teamKey     = "e2e-team-key"
	lowKey      = "e2e-low-priority-key"
	operatorKey = "e2e-operator-key"
	daemonKey   = "e2e-daemons-shared-key"
)

var binaries string

// TestMain builds the programs once, with the race detector where the tests
// have it.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hemlockmux-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	for _, program := range []string{"hemlockd", "standin", "hemlockctl"} {
		args := []string{"build", "-o", filepath.Join(dir, program)}
		if raceEnabled {
			args = append(args, "-race")
		}
		build := exec.Command("go", append(args, "../../"+program)...)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "build", program, err)
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// options shapes a test deployment.
type options struct {
	dataCentres []string // default: brandon-a
	daemons     int      // in each data centre, default 2
	prefill     int      // in each data centre, default 1
	decode      int      // in each data centre, default 2
	services    int      // in each data centre, default 1
	model       string   // lines of [models.spec-models]
	policy      string   // lines of [policy]
	service     string   // lines of [services.order-desk]
	daemon      string   // lines of each daemon's file
	team        string   // lines of the team's file, instead of its limits
}

func (o *options) setDefaults() {
	if len(o.dataCentres) == 0 {
		o.dataCentres = []string{"brandon-a"}
	}
	for _, p := range []struct{ v, d *int }{{&o.daemons, ptr(2)}, {&o.prefill, ptr(1)}, {&o.decode, ptr(2)}, {&o.services, ptr(1)}} {
		if *p.v == 0 {
			*p.v = *p.d
		}
	}
	if o.model == "" {
		o.model = "prefillTokenUs = 20\nstepBaseMs = 4.0\nstepPerSlotMs = 0.1\n"
	}
}

func ptr(n int) *int { return &n }

// process is one process of a deployment.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{} // closed when the process has ended
}

// daemon is one daemon of a deployment.
type daemon struct {
	*process
	d                             *deployment
	dataCentre                    string
	callers, operators, advertise string
	file                          string
	relay                         *relay
}

// deployment is stand-ins and daemons that run.
type deployment struct {
	t       *testing.T
	dir     string
	opts    options
	ports   *portRange
	admin   string
	standin *process
	daemons []*daemon
	cuts    *cuts
	system  string
}

var nextBlock atomic.Int64

// portRange hands out ports of a block that no other deployment uses.
type portRange struct{ next int }

func newPortRange(t *testing.T) *portRange {
	for range 40 {
		base := 22000 + int(nextBlock.Add(1)-1)%40*250
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			// Held until the end, so that no other run of the tests takes the block.
			t.Cleanup(func() { _ = l.Close() })
			return &portRange{next: base}
		}
	}
	t.Fatal("no free block of ports")
	return nil
}

func (p *portRange) address(ip string) string {
	p.next++
	return fmt.Sprintf("%s:%d", ip, p.next)
}

// deploy starts a deployment and waits until every daemon is ready.
func deploy(t *testing.T, opts options) *deployment {
	t.Helper()
	opts.setDefaults()
	d := &deployment{t: t, dir: t.TempDir(), opts: opts, ports: newPortRange(t), cuts: newCuts()}
	table, objects, vms := d.ports.address("127.0.0.1"), d.ports.address("127.0.0.1"), d.ports.address("127.0.0.1")
	d.admin = d.ports.address("127.0.0.1")
	d.system = d.systemFile()
	d.write("system.toml", d.system)
	for i, dc := range opts.dataCentres {
		for n := range opts.daemons {
			d.daemons = append(d.daemons, d.newDaemon(dc, i+1, n+1, table, objects, vms))
		}
	}
	d.write("standin.toml", d.standinFile(table, objects, vms))
	d.standin = d.start("standin", "standin", "serve", "--config", filepath.Join(d.dir, "standin.toml"))
	d.eventually("the stand-ins answer", 10*time.Second, func() bool {
		resp, err := http.Get("http://" + d.admin + "/state")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	for _, daemon := range d.daemons {
		daemon.start()
	}
	d.apply(0, settings.NodeChange{Path: "system", After: d.system}, settings.NodeChange{Path: "teams/quotes", After: d.teamFile()},
		settings.NodeChange{Path: "teams/archive", After: archiveFile()})
	for _, daemon := range d.daemons {
		daemon.waitReady()
	}
	d.waitFormed()
	return d
}

func (d *deployment) newDaemon(dc string, dcIndex, n int, table, objects, vms string) *daemon {
	ip := fmt.Sprintf("127.0.%d.%d", dcIndex, n)
	m := &daemon{
		process: &process{t: d.t, name: fmt.Sprintf("%s-%d", dc, n)}, d: d, dataCentre: dc,
		callers: d.ports.address(ip), operators: d.ports.address(ip), advertise: d.ports.address(ip),
	}
	listen := d.ports.address(ip)
	m.relay = newRelay(d.t, m.advertise, listen, d.cuts, dc)
	m.file = d.write(m.name+".toml", fmt.Sprintf(`name = %q
dataCentre = %q
callers = %q
operators = %q
daemons = %q
advertise = %q
table = "http://%s"
objects = "http://%s"
vms = "http://%s"
daemonKey = %q
bootstrapHash = %q
platformTimeoutMs = 500
loadMs = 200
probeMs = 200
vmListMs = 500
%s
`, m.name, dc, m.callers, m.operators, listen, m.advertise, table, objects, vms, daemonKey, settings.HashKey(operatorKey), d.opts.daemon))
	return m
}

func (d *deployment) systemFile() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\nverdictIntervalMs = 1000\nledgerIntervalMs = 5\n%s\n[models.spec-models]\n%s\n", d.opts.policy, d.opts.model)
	fmt.Fprintf(&b, "[services.order-desk]\nrepeatable = false\ntimeoutMs = 2000\n%s\n[operators.ops]\nkeyHash = %q\n", d.opts.service, settings.HashKey(operatorKey))
	for _, dc := range d.opts.dataCentres {
		fmt.Fprintf(&b, "[dataCentres.%s]\nregion = %q\noneWayMs = 20\n", dc, dc)
		for _, kind := range []struct {
			kind, of string
			n        int
		}{{"prefill", `model = "spec-models"`, d.opts.prefill}, {"decode", `model = "spec-models"`, d.opts.decode}, {"service", `service = "order-desk"`, d.opts.services}} {
			for i := range kind.n {
				fmt.Fprintf(&b, "[upstreams.%s-%s-%d]\nkind = %q\n%s\naddress = %q\ndataCentre = %q\n", dc, kind.kind, i+1, kind.kind, kind.of, d.ports.address("127.0.0.1"), dc)
			}
		}
	}
	return b.String()
}

func (d *deployment) teamFile() string {
	return fmt.Sprintf("priority = 5\nmodels = [\"spec-models\"]\nservices = [\"order-desk\"]\n%s\n[keys.k]\nhash = %q\n", d.opts.team, settings.HashKey(teamKey))
}

func archiveFile() string {
	return fmt.Sprintf("priority = 1\nmodels = [\"spec-models\"]\n[keys.k]\nhash = %q\n", settings.HashKey(lowKey))
}

func (d *deployment) standinFile(table, objects, vms string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "events = %q\nadmin = %q\ntable = %q\nobjects = %q\nvms = %q\nsystem = %q\nvmLagMs = 1000\nserviceDelayMs = 20\n",
		filepath.Join(d.dir, "events.jsonl"), d.admin, table, objects, vms, filepath.Join(d.dir, "system.toml"))
	for _, m := range d.daemons {
		fmt.Fprintf(&b, "[[daemons]]\nname = %q\ndataCentre = %q\naddress = %q\n", m.name, m.dataCentre, m.advertise)
	}
	return b.String()
}

func (d *deployment) write(name, text string) string {
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		d.t.Fatal(err)
	}
	return path
}

func (d *deployment) start(name, program string, args ...string) *process {
	p := &process{t: d.t, name: name, log: filepath.Join(d.dir, name+".log")}
	p.run(program, args...)
	return p
}

// run starts the process; the test ends it.
func (p *process) run(program string, args ...string) {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	p.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-done
		p.reportLog()
	})
}

// exited tells whether the process has ended.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// reportLog shows a failed test's log, and fails on a violated invariant, a
// data race or a panic.
func (p *process) reportLog() {
	text, _ := os.ReadFile(p.log)
	for _, bad := range []string{"invariant violated", "DATA RACE", "panic:"} {
		if bytes.Contains(text, []byte(bad)) {
			p.t.Errorf("%s: %q in its log", p.name, bad)
		}
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, text[max(0, len(text)-8000):])
	}
}

func (m *daemon) start() {
	m.log = filepath.Join(m.d.dir, m.name+".log")
	m.run("hemlockd", "--config", m.file)
	m.waitHealthy()
}

func (m *daemon) waitHealthy() {
	m.t.Helper()
	m.d.eventually(m.name+" answers", 15*time.Second, func() bool { return m.status("/healthz") == http.StatusOK })
}

func (m *daemon) waitReady() {
	m.t.Helper()
	m.d.eventually(m.name+" is ready", 15*time.Second, func() bool { return m.status("/readyz") == http.StatusOK })
}

func (m *daemon) status(path string) int {
	resp, err := http.Get("http://" + m.operators + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (m *daemon) signal(s syscall.Signal) {
	m.t.Helper()
	if err := m.cmd.Process.Signal(s); err != nil {
		m.t.Fatal(err)
	}
}

func (m *daemon) kill()   { m.signal(syscall.SIGKILL) }
func (m *daemon) freeze() { m.signal(syscall.SIGSTOP) }
func (m *daemon) thaw()   { m.signal(syscall.SIGCONT) }

// eventually waits until a condition holds and fails the test if it does not.
func (d *deployment) eventually(what string, within time.Duration, condition func() bool) time.Duration {
	d.t.Helper()
	started := time.Now()
	for time.Since(started) < within {
		if condition() {
			return time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatalf("not within %v: %s", within, what)
	return 0
}

// waitFormed waits until all daemons see each other live.
func (d *deployment) waitFormed() {
	d.t.Helper()
	d.eventually("all daemons see each other", 15*time.Second, func() bool {
		for _, m := range d.daemons {
			live := 0
			for _, s := range m.views() {
				if s.State == "live" {
					live++
				}
			}
			if live != len(d.daemons) {
				return false
			}
		}
		return true
	})
}

// fault makes a stand-in fail.
func (d *deployment) fault(target, kind string, more map[string]any) {
	d.t.Helper()
	body := map[string]any{"target": target, "fault": kind}
	for k, v := range more {
		body[k] = v
	}
	text, err := json.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := http.Post("http://"+d.admin+"/faults", "application/json", bytes.NewReader(text))
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		d.t.Fatalf("fault %s at %s: %s", kind, target, resp.Status)
	}
}

// adminCall calls the stand-ins' administration port.
func (d *deployment) adminCall(method, path string) {
	d.t.Helper()
	req, err := http.NewRequest(method, "http://"+d.admin+path, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// heal ends all faults.
func (d *deployment) heal() { d.adminCall(http.MethodDelete, "/faults") }
