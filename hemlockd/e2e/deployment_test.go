// Package e2e tests the built programs as separate processes and injects faults
// into them. Each test file covers one scenario.
//
// # Usage
//
//	d := deploy(t, options{})
//	resp := d.daemons[0].call("POST", "/services/order-desk/placements", body, "Idempotency-Key", "k1")
package e2e

import (
	"bytes"
	"cmp"
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

// Keys of the test deployments: one of each team, the operator's, and the one that
// the daemons share.
const (
	teamKey     = "e2e-team-key"
	lowKey      = "e2e-low-priority-key"
	operatorKey = "e2e-operator-key"
	daemonKey   = "e2e-daemons-shared-key"
)

// binaryDir is the directory of the programs that TestMain builds.
var binaryDir string

// TestMain builds the programs once, with the race detector if the tests are
// built with it.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hemlockmux-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryDir = dir
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

// options configures a test deployment.
type options struct {
	dataCentres []string // default: brandon-a
	daemons     int      // daemons in each data centre, default 2
	prefill     int      // prefill engines in each data centre, default 1
	decode      int      // decode engines in each data centre, default 2
	services    int      // instances of the service in each data centre, default 1
	model       string   // TOML lines of [models.spec-models]
	policy      string   // TOML lines added to [policy]
	service     string   // TOML lines of [services.order-desk], default: a time-out of 2 s
	daemon      string   // TOML lines added to each daemon's file
	loadMs      int      // interval of load reports, default 200
	probeMs     int      // interval of probes, default 200
	vmListMs    int      // interval of reads of the VM list, default 500
	unconverged bool     // do not wait until the daemons see each other
	team        string   // TOML lines added to the team's file
	program     string   // path of the daemons' program, default: the one that TestMain has built
}

func (o *options) setDefaults() {
	if len(o.dataCentres) == 0 {
		o.dataCentres = []string{"brandon-a"}
	}
	for _, p := range []struct{ value, fallback *int }{{&o.daemons, intPtr(2)}, {&o.prefill, intPtr(1)}, {&o.decode, intPtr(2)}, {&o.services, intPtr(1)}} {
		if *p.value == 0 {
			*p.value = *p.fallback
		}
	}
	if o.model == "" {
		o.model = "prefillTokenUs = 20\nstepBaseMs = 4.0\nstepPerSlotMs = 0.1\n"
	}
}

func intPtr(n int) *int { return &n }

// process is one process of a deployment.
type process struct {
	t        *testing.T
	name     string
	cmd      *exec.Cmd
	logPath  string        // file that receives stdout and stderr
	exitedCh chan struct{} // closed when the process has exited
}

// daemon is one daemon of a deployment.
type daemon struct {
	*process
	deployment *deployment
	dataCentre string
	callers    string // host:port on which it serves callers
	operators  string // host:port on which it serves operators
	advertise  string // host:port that it advertises to other daemons: the relay's
	listen     string // host:port of the port for other daemons itself
	configPath string
	relay      *relay // carries the connections of other daemons to this one
}

// deployment is a running set of stand-ins and daemons.
type deployment struct {
	t              *testing.T
	dir            string
	opts           options
	ports          *portRange
	admin          string // host:port of the stand-ins' administration interface
	standin        *process
	daemons        []*daemon
	partitions     *partitions
	systemSettings string // text of the system settings file
}

// nextPortBlock is the number of the next block of ports to try.
var nextPortBlock atomic.Int64

// portRange allocates ports from a block that no other deployment uses.
type portRange struct {
	next int // port that was allocated last
}

func newPortRange(t *testing.T) *portRange {
	for range 40 {
		base := 22000 + int(nextPortBlock.Add(1)-1)%40*250
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base)); err == nil {
			// Stays open until the test ends, so that no concurrent run uses the same block.
			t.Cleanup(func() { _ = l.Close() })
			return &portRange{next: base}
		}
	}
	t.Fatal("no free port block")
	return nil
}

func (p *portRange) nextAddress(ip string) string {
	p.next++
	return fmt.Sprintf("%s:%d", ip, p.next)
}

// deploy starts a deployment and waits until every daemon is ready and sees all
// others as live.
func deploy(t *testing.T, opts options) *deployment {
	t.Helper()
	opts.setDefaults()
	d := &deployment{t: t, dir: t.TempDir(), opts: opts, ports: newPortRange(t), partitions: newPartitions()}
	table, objects, vms := d.ports.nextAddress("127.0.0.1"), d.ports.nextAddress("127.0.0.1"), d.ports.nextAddress("127.0.0.1")
	d.admin = d.ports.nextAddress("127.0.0.1")
	d.systemSettings = d.systemFileText()
	d.writeFile("system.toml", d.systemSettings)
	for i, dc := range opts.dataCentres {
		for n := range opts.daemons {
			d.daemons = append(d.daemons, d.newDaemon(dc, i+1, n+1, table, objects, vms))
		}
	}
	d.writeFile("standin.toml", d.standinFileText(table, objects, vms))
	d.standin = d.start("standin", "standin", "serve", "--config", filepath.Join(d.dir, "standin.toml"))
	d.eventually("the stand-ins respond", 10*time.Second, func() bool {
		resp, err := http.Get("http://" + d.admin + "/state")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	for _, daemon := range d.daemons {
		daemon.start()
	}
	d.applySettings(0, settings.NodeChange{Path: "system", After: d.systemSettings}, settings.NodeChange{Path: "teams/quotes", After: d.teamFileText()},
		settings.NodeChange{Path: "teams/archive", After: lowTeamFileText()})
	for _, daemon := range d.daemons {
		daemon.waitReady()
	}
	if !opts.unconverged {
		d.waitConverged()
	}
	return d
}

func (d *deployment) newDaemon(dc string, dcIndex, n int, table, objects, vms string) *daemon {
	ip := fmt.Sprintf("127.0.%d.%d", dcIndex, n)
	m := &daemon{
		process: &process{t: d.t, name: fmt.Sprintf("%s-%d", dc, n)}, deployment: d, dataCentre: dc,
		callers: d.ports.nextAddress(ip), operators: d.ports.nextAddress(ip), advertise: d.ports.nextAddress(ip),
	}
	m.listen = d.ports.nextAddress(ip)
	m.relay = newRelay(d.t, m.advertise, m.listen, d.partitions, dc)
	m.configPath = d.writeFile(m.name+".toml", fmt.Sprintf(`name = %q
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
loadMs = %d
probeMs = %d
vmListMs = %d
%s
`, m.name, dc, m.callers, m.operators, m.listen, m.advertise, table, objects, vms, daemonKey, settings.HashKey(operatorKey),
		cmp.Or(d.opts.loadMs, 200), cmp.Or(d.opts.probeMs, 200), cmp.Or(d.opts.vmListMs, 500), d.opts.daemon))
	return m
}

func (d *deployment) systemFileText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[policy]\nverdictIntervalMs = 1000\nledgerIntervalMs = 5\n%s\n[models.spec-models]\n%s\n", d.opts.policy, d.opts.model)
	fmt.Fprintf(&b, "[services.order-desk]\nrepeatable = false\n%s\n[operators.ops]\nkeyHash = %q\n", cmp.Or(d.opts.service, "timeoutMs = 2000\n"), settings.HashKey(operatorKey))
	for _, dc := range d.opts.dataCentres {
		fmt.Fprintf(&b, "[dataCentres.%s]\nregion = %q\noneWayMs = 20\n", dc, dc)
		for _, kind := range []struct {
			kind, of string
			n        int
		}{{"prefill", `model = "spec-models"`, d.opts.prefill}, {"decode", `model = "spec-models"`, d.opts.decode}, {"service", `service = "order-desk"`, d.opts.services}} {
			for i := range kind.n {
				fmt.Fprintf(&b, "[upstreams.%s-%s-%d]\nkind = %q\n%s\naddress = %q\ndataCentre = %q\n", dc, kind.kind, i+1, kind.kind, kind.of, d.ports.nextAddress("127.0.0.1"), dc)
			}
		}
	}
	return b.String()
}

func (d *deployment) teamFileText() string {
	return fmt.Sprintf("priority = 5\nmodels = [\"spec-models\"]\nservices = [\"order-desk\"]\n%s\n[keys.k]\nhash = %q\n", d.opts.team, settings.HashKey(teamKey))
}

func lowTeamFileText() string {
	return fmt.Sprintf("priority = 1\nmodels = [\"spec-models\"]\n[keys.k]\nhash = %q\n", settings.HashKey(lowKey))
}

func (d *deployment) standinFileText(table, objects, vms string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "events = %q\nadmin = %q\ntable = %q\nobjects = %q\nvms = %q\nsystem = %q\nvmLagMs = 1000\nserviceDelayMs = 20\n",
		filepath.Join(d.dir, "events.jsonl"), d.admin, table, objects, vms, filepath.Join(d.dir, "system.toml"))
	for _, m := range d.daemons {
		fmt.Fprintf(&b, "[[daemons]]\nname = %q\ndataCentre = %q\naddress = %q\n", m.name, m.dataCentre, m.advertise)
	}
	return b.String()
}

func (d *deployment) writeFile(name, text string) string {
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		d.t.Fatal(err)
	}
	return path
}

func (d *deployment) start(name, program string, args ...string) *process {
	p := &process{t: d.t, name: name, logPath: filepath.Join(d.dir, name+".log")}
	p.run(program, args...)
	return p
}

// run starts the process and kills it when the test ends.
func (p *process) run(program string, args ...string) {
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		p.t.Fatal(err)
	}
	if !filepath.IsAbs(program) {
		program = filepath.Join(binaryDir, program)
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd, done := p.cmd, make(chan struct{})
	p.exitedCh = done
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

// exited reports whether the process has exited.
func (p *process) exited() bool {
	select {
	case <-p.exitedCh:
		return true
	default:
		return false
	}
}

// reportLog fails the test if the process logged a violated invariant, a data race
// or a panic, and prints the end of the log if the test failed.
func (p *process) reportLog() {
	text, _ := os.ReadFile(p.logPath)
	for _, marker := range []string{"invariant violated", "DATA RACE", "panic:"} {
		if bytes.Contains(text, []byte(marker)) {
			p.t.Errorf("%s: log contains %q", p.name, marker)
		}
	}
	if p.t.Failed() {
		p.t.Logf("end of the log of %s:\n%s", p.name, text[max(0, len(text)-8000):])
	}
}

func (m *daemon) start() {
	m.logPath = filepath.Join(m.deployment.dir, m.name+".log")
	m.run(cmp.Or(m.deployment.opts.program, "hemlockd"), "--config", m.configPath)
	m.waitHealthy()
}

func (m *daemon) waitHealthy() {
	m.t.Helper()
	m.deployment.eventually(m.name+" is healthy", 15*time.Second, func() bool { return m.status("/healthz") == http.StatusOK })
}

func (m *daemon) waitReady() {
	m.t.Helper()
	m.deployment.eventually(m.name+" is ready", 15*time.Second, func() bool { return m.status("/readyz") == http.StatusOK })
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
func (m *daemon) pause()  { m.signal(syscall.SIGSTOP) }
func (m *daemon) resume() { m.signal(syscall.SIGCONT) }

// eventually polls until the condition holds and returns how long that took. It
// fails the test if the condition does not hold within the given time.
func (d *deployment) eventually(what string, within time.Duration, condition func() bool) time.Duration {
	d.t.Helper()
	started := time.Now()
	for time.Since(started) < within {
		if condition() {
			return time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatalf("condition not met within %v: %s", within, what)
	return 0
}

// waitConverged waits until every daemon sees all daemons as live.
func (d *deployment) waitConverged() {
	d.t.Helper()
	d.eventually("every daemon sees all daemons as live", 15*time.Second, func() bool {
		for _, m := range d.daemons {
			live := 0
			for _, s := range m.daemonStatuses() {
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

// injectFault injects a fault of a kind into a stand-in; params are added to the
// fault's JSON object.
func (d *deployment) injectFault(target, kind string, params map[string]any) {
	d.t.Helper()
	body := map[string]any{"target": target, "fault": kind}
	for k, v := range params {
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
		d.t.Fatalf("inject fault %s into %s: %s", kind, target, resp.Status)
	}
}

// adminCall calls the stand-ins' administration interface.
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

// clearFaults ends all faults, except that connections silenced by the fault
// "silent" stay silent.
func (d *deployment) clearFaults() { d.adminCall(http.MethodDelete, "/faults") }
