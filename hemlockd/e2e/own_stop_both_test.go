package e2e

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against streams that are cut off, refused or handed to a daemon that has gone when all daemons of a data centre stop at
// once, while the balancer still sends callers to them: streams that run at the signals, with front and keeper in one or
// apart, and short ones that come after them.
func TestOwnDoorAllDaemonsOfADataCentreStopAtOnce(t *testing.T) {
	for _, daemons := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			d := deployOwnStop(t, daemons)
			var wg sync.WaitGroup
			check := func(m *daemon, prompt string, tokens int) {
				wg.Go(func() {
					if defect := checkStream(m.stream(prompt, tokens), tokens); defect != "" {
						t.Errorf("%s at %s: %s", prompt, m.name, defect)
					}
				})
			}
			for _, m := range d.daemons {
				check(m, "before "+m.name, 200)
			}
			time.Sleep(200 * time.Millisecond)
			for _, m := range d.daemons {
				m.signal(syscall.SIGTERM)
			}
			for _, after := range []time.Duration{100, 500} {
				time.Sleep(after * time.Millisecond)
				for _, m := range d.daemons {
					check(m, fmt.Sprintf("after %d %s", after, m.name), 30)
				}
			}
			wg.Wait()
			for _, m := range d.daemons {
				d.eventually(m.name+" has exited", 10*time.Second, m.exited)
				if code := m.cmd.ProcessState.ExitCode(); code != 0 {
					t.Errorf("%s: exit code %d", m.name, code)
				}
			}
		})
	}
}

// Guards against a stop right after the start, or with a SIGHUP and a second SIGTERM in it, that cuts off requests.
func TestOwnDoorStopRightAfterTheStart(t *testing.T) {
	const tokens = 100
	d := deployOwnStop(t, 2)
	m := d.daemons[0]
	m.signal(syscall.SIGTERM)
	d.eventually("the daemon has exited", 10*time.Second, m.exited)
	started := time.Now()
	m.run("hemlockd", "--config", m.configPath)
	var wg sync.WaitGroup
	d.eventually("the daemon is ready", 5*time.Second, func() bool { return m.status("/readyz") == http.StatusOK })
	for i := range 6 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			c := newKeptCaller(m)
			a, closes := c.post("/v1/completions", completionBody(fmt.Sprint("just started ", i), tokens, i%2 == 0), "")
			if defect := checkOwed(a, closes, tokens, i%2 == 0); defect != "" {
				t.Errorf("request %d: %s", i, defect)
			}
			if a.status != http.StatusOK {
				t.Errorf("request %d: status %d, %s; it fits", i, a.status, a.body)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	t.Logf("stopped %v after the start", time.Since(started))
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		m.signal(s)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	d.eventually("the daemon has exited", 10*time.Second, m.exited)
	if code := m.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a drainMs that was raised in the daemon's file before its stop, without effect: requests in flight are cut off
// as if it had not been raised.
func TestOwnDoorStopGoesByTheFilesDrainMs(t *testing.T) {
	for name, test := range map[string]struct {
		file  func(text string) string
		whole bool
	}{
		"raised":        {func(text string) string { return replaceOnce(text, "drainMs = 2000", "drainMs = 7000") }, true},
		"file is wrong": {func(text string) string { return replaceOnce(text, "drainMs = 2000", "drainMs = 7000\nnoSuchKey = 1") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			const tokens = 400 // 4 s
			d := deployOwnStop(t, 1)
			m := d.daemons[0]
			done := make(chan response, 1)
			go func() { done <- m.stream("file", tokens) }()
			d.eventually("the stream runs", 5*time.Second, func() bool { return m.metric("daemon", "keeperRuns") == 1 })
			text, err := os.ReadFile(m.configPath)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(m.configPath, []byte(test.file(string(text))), 0o644); err != nil {
				t.Fatal(err)
			}
			m.signal(syscall.SIGTERM)
			a := <-done
			if defect := checkStream(a, tokens); (defect == "") != test.whole || a.err != nil {
				t.Errorf("stream: %q, error %v; want whole %v", defect, a.err, test.whole)
			}
			d.eventually("the daemon has exited", 10*time.Second, m.exited)
			if code := m.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}
