package e2e

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// usersPlatform is the stand-in of the users' platform with daemons in front of it,
// each a process. Daemons have IP addresses of their own in 127.0.0.0/8 and the same
// ports, as on the platform.
type usersPlatform struct {
	t             *testing.T
	dir           string
	addr          struct{ Store, Admin string }
	daemons       []*platformDaemon
	configVersion int
	daemonFlags   []string // additional flags of daemons that start from now on
	probes        int      // orders sent by reaches
	options       platformOptions
	extraServices []any // services of the configuration beside desk and models
}

// platformOptions are the properties of a deployment that most tests leave as they are.
type platformOptions struct {
	daemons      int      // number of daemons
	program      string   // path of the daemons' program; "": the one that TestMain has built
	limits       string   // lines of [Limits] in the daemons' settings
	maxBodyBytes int      // longest body of a request; 0: 65,536
	flags        []string // flags of the daemons
}

// platformDaemon is one daemon of a usersPlatform.
type platformDaemon struct {
	name, ip, configPath string
	storeAddress         string // the daemon's own address of the store
	log                  *lockedBuffer
	cmd                  *exec.Cmd
	exited               chan struct{} // closed when the process has exited
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// arrival is one request that reached a server of the stand-in, as its
// administration interface reports it.
type arrival struct {
	Attempt, Server, Phase, After, Target, Body string
	Software, SourceSoftware                    string // versions of the server and of the server whose prefill result it took
	Ran                                         bool
	Parts                                       []string // IDs of the parts of the prompt
	Crashed                                     bool     // the server crashed while it ran the request
	AtMs                                        int64
	EndMs                                       int64 // 0: the server still works on the request
}

// testHost is the host name of all routes of the test deployments.
const testHost = "t.example"

// deployUsersPlatform starts the stand-in with servers and daemons in one data
// centre and waits until the daemons are ready.
func deployUsersPlatform(t *testing.T, daemons int) *usersPlatform {
	t.Helper()
	return deployUsersPlatformWith(t, platformOptions{daemons: daemons})
}

// deployUsersPlatformWith is deployUsersPlatform with options.
func deployUsersPlatformWith(t *testing.T, o platformOptions) *usersPlatform {
	t.Helper()
	p := &usersPlatform{t: t, dir: t.TempDir(), options: o, daemonFlags: o.flags}
	standin := exec.Command(filepath.Join(binaryDir, "standin"), "users-platform")
	standin.Stderr = os.Stderr
	out, err := standin.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := standin.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = standin.Process.Kill()
		_ = standin.Wait()
	})
	if err := json.NewDecoder(bufio.NewReader(out)).Decode(&p.addr); err != nil {
		t.Fatal(err)
	}
	p.configure(nil)
	for id, stage := range map[string]string{"i-pre1": "prefill", "i-pre2": "prefill", "i-dec1": "decode", "i-dec2": "decode"} {
		p.addServer(id, "models", stage)
	}
	p.addServer("i-desk1", "desk", "")
	p.addServer("i-desk2", "desk", "")
	ports := freePorts(t, 5)
	for i := range o.daemons {
		p.addDaemon(fmt.Sprintf("front-a-%d", i+1), fmt.Sprintf("127.0.0.%d", 11+i), ports, p.openStoreAddress())
	}
	for _, d := range p.daemons {
		p.waitReady(d)
	}
	return p
}

// freePorts returns ports that are free on all addresses of the test daemons.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// addDaemon starts a daemon whose address of the store is store.
func (p *usersPlatform) addDaemon(name, ip string, ports []int, store string) {
	p.t.Helper()
	d := &platformDaemon{name: name, ip: ip, configPath: filepath.Join(p.dir, name+".toml"), storeAddress: store}
	text := fmt.Sprintf(`NodeName = %q
Ip = %q
Zone = "a"
Region = "r"
InternalPorts = [%d, %d]
Seeds = ["127.0.0.11:%d"]
[Zones]
a = "r"
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
%s
[Bounds]
GraceS = 8
DrainMs = 3000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 500
LeaseMs = 3000
[Platform]
Address = %q
`, name, ip, ports[0], ports[0], ports[3], ip, ports[1], ip, ports[2], ip, ports[3], p.options.limits, d.storeAddress)
	if err := os.WriteFile(d.configPath, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.daemons = append(p.daemons, d)
	p.start(d)
}

func (p *usersPlatform) start(d *platformDaemon) {
	p.t.Helper()
	if d.log == nil {
		d.log = &lockedBuffer{}
	}
	program := cmp.Or(p.options.program, filepath.Join(binaryDir, "hemlockd"))
	d.cmd = exec.Command(program, append([]string{"platform"}, p.daemonFlags...)...)
	// Under the race detector a process would sleep for 1 s at its exit.
	d.cmd.Env = append(os.Environ(), "HEMLOCKMUX_BOOT="+d.configPath, "GORACE="+os.Getenv("GORACE")+" atexit_sleep_ms=0")
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd, exited := d.cmd, make(chan struct{})
	d.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
}

// setting returns a value of the daemon's settings file, or "" if there is none.
func (d *platformDaemon) setting(key string) string {
	text, err := os.ReadFile(d.configPath)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(text)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " = "); ok && name == key {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// readinessStatus returns the HTTP status of the daemon's readiness check, or 0 if
// the daemon does not respond.
func (p *usersPlatform) readinessStatus(d *platformDaemon) int {
	resp, err := http.Get("http://" + d.setting("Ready") + "/hemlockmux/readiness")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (p *usersPlatform) waitReady(d *platformDaemon) {
	p.t.Helper()
	p.eventually(20*time.Second, "daemon "+d.name+" is ready", func() bool { return p.readinessStatus(d) == http.StatusOK })
}

func (p *usersPlatform) eventually(limit time.Duration, what string, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	for _, d := range p.daemons {
		p.t.Logf("log of %s:\n%s", d.name, d.log)
	}
	p.t.Fatalf("condition not met within %v: %s", limit, what)
}

// configure publishes the next version of the configuration, with extra routes.
func (p *usersPlatform) configure(extraRoutes []map[string]any) {
	p.t.Helper()
	p.configVersion += 3
	route := func(name, kind, service string, attempts int, resumable, sticky bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": testHost, "Prefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 8000, "TargetLatencyMs": 900,
			"Priority": 1, "Service": service, "MaxAttempts": attempts, "Sticky": sticky, "Resumable": resumable, "GapTargetMs": 300,
		}
	}
	routes := []map[string]any{
		route("lookup", "idempotent", "desk", 2, false, false), route("order", "non_idempotent", "desk", 1, false, false),
		route("resumable", "streaming", "models", 2, true, true), route("once", "streaming", "models", 1, false, true),
	}
	p.callAdmin(http.MethodPut, "/config", map[string]any{
		"Version": p.configVersion, "Routes": append(routes, extraRoutes...),
		"Services": append([]any{
			map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConns": 90, "Protocol": "h1"},
			map[string]any{"Name": "models", "HealthPath": "/health", "MaxConns": 90, "Protocol": "h1", "Engine": map[string]any{
				"Slots": 8, "KvCapacity": 4000, "Stride": 10, "KvHoldS": 0.5, "SwapS": 1.0,
			}},
		}, p.extraServices...),
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": cmp.Or(p.options.maxBodyBytes, 65536), "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// addServer starts a server of the stand-in; stage is "" for a plain service.
func (p *usersPlatform) addServer(id, service, stage string) {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/servers", map[string]any{"id": id, "service": service, "zone": "a", "stage": stage, "slots": 8})
}

// injectServerFault replaces the fault of a server; an empty fault ends it.
func (p *usersPlatform) injectServerFault(server string, fault map[string]any) {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/servers/"+server+"/fault", fault)
}

// openStoreAddress opens one more address of the store.
func (p *usersPlatform) openStoreAddress() string {
	p.t.Helper()
	resp, err := http.Post("http://"+p.addr.Admin+"/store/addresses", "", nil)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var opened struct{ Store string }
	if err := json.NewDecoder(resp.Body).Decode(&opened); err != nil || opened.Store == "" {
		p.t.Fatalf("open an address of the store: status %d, %v", resp.StatusCode, err)
	}
	return opened.Store
}

// injectStoreFault sets the mode of failure of the store for some daemons.
func (p *usersPlatform) injectStoreFault(mode string, daemons ...*platformDaemon) {
	p.t.Helper()
	var at []string
	for _, d := range daemons {
		at = append(at, d.storeAddress)
	}
	p.callAdmin(http.MethodPost, "/store/fault", map[string]any{"mode": mode, "at": at})
}

// callAdmin calls the stand-in's administration interface.
func (p *usersPlatform) callAdmin(method, path string, body any) {
	p.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	req, err := http.NewRequest(method, "http://"+p.addr.Admin+path, bytes.NewReader(text))
	if err != nil {
		p.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p.t.Fatalf("%s %s: status %d", method, path, resp.StatusCode)
	}
}

// arrivals returns the requests that reached servers with an attempt id.
func (p *usersPlatform) arrivals(attempt string) []arrival {
	p.t.Helper()
	resp, err := http.Get("http://" + p.addr.Admin + "/runs")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	var matching []arrival
	for _, a := range decodeArrivals(p.t, resp.Body) {
		if a.Attempt == attempt {
			matching = append(matching, a)
		}
	}
	return matching
}

func decodeJSON(r io.Reader, into any) error { return json.NewDecoder(r).Decode(into) }

// runCount returns how many arrivals with an attempt id were run.
func (p *usersPlatform) runCount(attempt string) int {
	n := 0
	for _, a := range p.arrivals(attempt) {
		if a.Ran {
			n++
		}
	}
	return n
}

// platformResponse is what a caller received.
type platformResponse struct {
	status int
	header http.Header
	body   string
	closes bool // the answer closes the connection
	err    error
}

// send sends one request to a daemon over a new connection: a GET if body is empty,
// else a POST.
func (p *usersPlatform) send(d *platformDaemon, attempt, path, body string, header map[string]string) platformResponse {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+d.setting("Front")+path, strings.NewReader(body))
	if err != nil {
		return platformResponse{err: err}
	}
	req.Host = testHost
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", "6000")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return platformResponse{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return platformResponse{status: resp.StatusCode, header: resp.Header, body: string(text), closes: resp.Close, err: err}
}

// stream requests a stream of so many events.
func (p *usersPlatform) stream(d *platformDaemon, attempt, route string, events int) platformResponse {
	return p.send(d, attempt, "/"+route+"/x", "a prompt", map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("100,%d", 10*events), "X-Prompt-Prefix": "aa:50,bb:50", "X-Length-Hint": strconv.Itoa(10 * events),
	})
}

// expectedStream returns the body of a complete stream of so many events.
func expectedStream(events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
