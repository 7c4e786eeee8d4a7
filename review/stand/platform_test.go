// Package stand holds the stand-ins and the judges of the review's scripts. It is built as a program:
// "go test -c", see build.sh. It speaks what the users' pages say and nothing else.
package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// row is one row of the store.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64  `json:",omitempty"`
	Removed bool   `json:",omitempty"`
}

// store is the platform's store: rows in memory, all of whose changes are kept.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[string]row
	history []row
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// set writes a row, or removes it if value is nil.
func (s *store) set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.applyLocked(row{Table: table, Key: key, Value: value, Removed: value == nil})
	s.wakeLocked()
}

func (s *store) applyLocked(r row) {
	r.Ver = s.ver
	k := rowKey(r.Table, r.Part, r.Key)
	if r.Removed {
		r.Value = nil
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver int64) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{"Rows": rows, "HasMore": false, "Ver": ver, "NowMs": time.Since(s.started).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/hemlockmux/rows-get":
		s.mu.Lock()
		var rows []row
		for _, x := range s.rows {
			if x.Table == q.Get("Table") && x.Part == q.Get("part") && x.Key >= q.Get("From") && (q.Get("To") == "" || x.Key < q.Get("To")) {
				rows = append(rows, x)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		s.answer(w, http.StatusOK, rows, ver)
	case r.URL.Path == "/hemlockmux/rows-feed":
		s.feed(w, r)
	case r.URL.Path == "/hemlockmux/rows-tx":
		s.transact(w, r)
	case strings.HasPrefix(r.URL.Path, "/hemlockmux/blob-put/"):
		_, _ = io.Copy(io.Discard, r.Body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for _, x := range s.history {
			if x.Ver > after && x.Table == q.Get("Table") {
				rows = append(rows, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ended {
			s.answer(w, http.StatusOK, rows, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, SetKeys, Remove []row }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row{}, tx.SetKeys...), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	unmet := false
	for _, x := range tx.Expected {
		have, ok := s.rows[rowKey(x.Table, x.Part, x.Key)]
		if ok {
			current = append(current, have)
		}
		unmet = unmet || have.Ver != x.Ver
	}
	if unmet {
		s.answer(w, http.StatusPreconditionFailed, current, s.ver)
		return
	}
	s.ver++
	for _, x := range tx.SetKeys {
		s.applyLocked(x)
	}
	for _, x := range tx.Remove {
		x.Removed = true
		s.applyLocked(x)
	}
	s.wakeLocked()
	s.answer(w, http.StatusOK, nil, s.ver)
}

// listen opens a port on a loopback address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	return l
}

// giveUp ends the script: the case could not run.
func giveUp(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopDaemons()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}

// recorder writes the script's record.
type recorder struct {
	mu      sync.Mutex
	out     *os.File
	started time.Time
}

func newRecorder(dir string) *recorder {
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	return &recorder{out: out, started: time.Now()}
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) now() time.Duration { return time.Since(r.started) }

// daemon is one process of the project.
type daemon struct {
	name, front, ready string
	settings, log      string // paths
	cmd                *exec.Cmd
	exited             chan struct{}
}

// start starts the daemon's process, on one core as the settings say.
func (d *daemon) start() {
	d.cmd = exec.Command("target/hemlockd", "platform", "--metrics-port", "9464")
	d.cmd.Env = append(os.Environ(), "HEMLOCKMUX_BOOT="+d.settings, "GOMAXPROCS=1")
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	d.cmd.Stdout, d.cmd.Stderr = log, log
	must(d.cmd.Start())
	exited := make(chan struct{})
	d.exited = exited
	cmd := d.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
}

// kill ends the daemon's process at once.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
	<-d.exited
}

var daemons []*daemon

func stopDaemons() {
	for _, d := range daemons {
		d.kill()
	}
}

// daemonSettings are the settings of the daemons that are started from now on.
var daemonSettings = settingsTemplate

// settingsTemplate holds the settings of a small deployment, with the bounds of the sheet.
const settingsTemplate = `NodeName = %[1]q
Role = "router"
MachineClass = "front"
Serves = ["front","control"]
Ip = %[2]q
Zone = "brandon-a"
Region = "manitoba"
InternalPorts = [%[3]d,%[3]d]
Seeds = [%[4]s]
Bootstrap = true
FaultCounted = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[Zones]
brandon-a = "manitoba"
[Listen]
Front = "%[2]s:%[5]d"
Ready = "%[2]s:%[6]d"
Control = "%[2]s:%[7]d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 134
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 6000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 52
RecoveryS = 12
TransitMs = 400
RetryAfterS = 3
FencingRequired = false
LeaseMs = 3000
ThawSlackMs = 300
[Platform]
Address = %[8]q
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
`

// freePorts returns ports that are free on all of the addresses.
func freePorts(n int, ips []string) []int {
	var ports []int
	var open []net.Listener
	for len(ports) < n {
		first := listen(ips[0])
		open = append(open, first)
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			free = free && err == nil
			if err == nil {
				open = append(open, l)
			}
		}
		if free {
			ports = append(ports, port)
		}
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports
}

// startDaemons starts n daemons with the command of the deploy file and waits until all are ready.
func startDaemons(n int, dir, storeAddress string) {
	var ips, seeds []string
	net3 := os.Getpid()%200 + 20
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.88.%d.%d", net3, 11+i))
	}
	p := freePorts(4, ips)
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, p[3])))
	}
	for i, ip := range ips {
		d := &daemon{name: fmt.Sprintf("front-brandon-a-%d", i+1), front: fmt.Sprintf("%s:%d", ip, p[1]), ready: fmt.Sprintf("%s:%d", ip, p[2])}
		path := filepath.Join(dir, d.name+".toml")
		text := fmt.Sprintf(daemonSettings, d.name, ip, p[0], strings.Join(seeds, ","), p[1], p[2], p[3], storeAddress)
		must(os.WriteFile(path, []byte(text), 0o600))
		d.settings, d.log = path, filepath.Join(dir, d.name+".log")
		d.start()
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			if resp, err := http.Get("http://" + d.ready + "/hemlockmux/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				giveUp("%s is not ready", d.name)
			}
		}
	}
}

// answerTo sends one request as a client does, on a connection of its own, and returns the status; 0 if
// there was no whole answer.
func answerTo(d *daemon, method, target, id string, body string, deadline time.Duration, header http.Header) (status int, seal, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", d.front)
	if err != nil {
		return 0, "", err.Error()
	}
	defer conn.Close()
	end, _ := ctx.Deadline()
	_ = conn.SetDeadline(end)
	resp, err := roundTrip(conn, method, target, id, body, deadline, header)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return resp.StatusCode, resp.Header.Get("X-Server-Seal"), string(answer)
}
