package e2e

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// A crowd is a number of clients that do not behave. Tests of a crowd check that the process lives, that
// its memory and descriptors stay within the limits of its settings, and that it serves an ordinary
// request afterwards. They check no times and no shares.

// crowdTime is how long a crowd goes on.
const crowdTime = 5 * time.Second

// plainProgram returns the path of the daemon's program, built without the race detector, whose memory is
// a multiple of the daemon's own.
func plainProgram(t *testing.T) string {
	t.Helper()
	if !raceEnabled {
		return filepath.Join(binaryDir, "hemlockd")
	}
	path := filepath.Join(binaryDir, "plain", "hemlockd")
	buildPlain.Do(func() {
		build := exec.Command("go", "build", "-o", path, "../../hemlockd")
		build.Stderr = os.Stderr
		buildPlainErr = build.Run()
	})
	if buildPlainErr != nil {
		t.Fatal(buildPlainErr)
	}
	return path
}

var (
	buildPlain    sync.Once
	buildPlainErr error
)

// usage is what a process uses at one time.
type usage struct {
	// memoryBytes is the resident memory and what the process has received and not read.
	memoryBytes int
	// sockets is the number of sockets, and descriptors that of all descriptors.
	sockets, descriptors int
}

// max returns the larger of each figure.
func (u usage) max(v usage) usage {
	return usage{max(u.memoryBytes, v.memoryBytes), max(u.sockets, v.sockets), max(u.descriptors, v.descriptors)}
}

func (u usage) String() string {
	return fmt.Sprintf("%.1f MB, %d sockets, %d descriptors", float64(u.memoryBytes)/1e6, u.sockets, u.descriptors)
}

// usageOf returns what a process uses.
func usageOf(pid int) usage {
	var u usage
	dir := fmt.Sprintf("/proc/%d/", pid)
	inodes := map[string]bool{}
	entries, _ := os.ReadDir(dir + "fd")
	for _, e := range entries {
		u.descriptors++
		target, _ := os.Readlink(dir + "fd/" + e.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			u.sockets++
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	status, _ := os.ReadFile(dir + "status")
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			u.memoryBytes += kb << 10
		}
	}
	for _, table := range []string{"net/tcp", "net/tcp6"} {
		u.memoryBytes += unreadBytes(dir+table, inodes)
	}
	return u
}

// unreadBytes returns the bytes that the sockets of a table of connections have received and that have not been read.
func unreadBytes(path string, inodes map[string]bool) int {
	const state, queues, inode = 3, 4, 9
	const listening = "0A"
	table, _ := os.ReadFile(path)
	sum := 0
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= inode || !inodes[f[inode]] || f[state] == listening {
			continue
		}
		_, unread, _ := strings.Cut(f[queues], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		sum += int(n)
	}
	return sum
}

// usageWatcher records the peak of what a process uses.
type usageWatcher struct {
	pid  int
	stop chan struct{}
	peak chan usage
}

func watchUsage(pid int) *usageWatcher {
	w := &usageWatcher{pid: pid, stop: make(chan struct{}), peak: make(chan usage)}
	go w.run()
	return w
}

func (w *usageWatcher) run() {
	peak := usageOf(w.pid)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			w.peak <- peak
			return
		case <-ticker.C:
			peak = peak.max(usageOf(w.pid))
		}
	}
}

// end returns the peak.
func (w *usageWatcher) end() usage {
	close(w.stop)
	return <-w.peak
}

// crowd runs misbehave on so many connections to an address at once, each until it returns, its connection is
// closed or crowdTime is over. Connections that are refused are not opened again.
func crowd(address string, clients int, misbehave func(conn net.Conn, number int)) {
	var wg sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for i := range clients {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdTime)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(end)
			misbehave(conn, i)
			_, _ = bufio.NewReader(conn).WriteTo(discardWriter{}) // until the daemon closes or the crowd ends
		})
	}
	wg.Wait()
}

type discardWriter struct{}

// Write implements [io.Writer].
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// waitCrowdEnd waits until the crowd ends and reads nothing.
func waitCrowdEnd(conn net.Conn) {
	end := time.Now().Add(crowdTime)
	for time.Now().Before(end) {
		if _, err := conn.Write(nil); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// shortLines returns header lines of as few bytes as can be, each with a name of its own, of at most so many
// bytes together.
func shortLines(bytes int) string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	name := func(n int) string {
		text := string(alphabet[n%len(alphabet)])
		for n /= len(alphabet); n > 0; n /= len(alphabet) {
			text += string(alphabet[n%len(alphabet)])
		}
		return text
	}
	for n := 0; ; n++ {
		line := name(n) + ":\n"
		if b.Len()+len(line) > bytes {
			return b.String()
		}
		b.WriteString(line)
	}
}

// forever writes text again and again until the connection ends.
func forever(conn net.Conn, text string) {
	for {
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}
