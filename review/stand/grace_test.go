package stand

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["grace"] = grace }

const (
	// newGraceS is GraceS in the changed settings file.
	newGraceS = 14
	// streamGap and streamEvents make streams of 10 s, within the pauses that the sheet allows.
	streamGap    = 125 * time.Millisecond
	streamEvents = 80
)

// grace raises GraceS in a daemon's settings file while the daemon runs, with SIGHUP, and later stops the
// daemon. The rule LOST is broken if a stream that it forwards is cut before the last sixth of GraceS
// although its server is sound and at work. Without the trouble GraceS has that value from the start.
func grace(rec *recorder, dir string, trouble bool) bool {
	s := newStore()
	l := listen("127.0.0.1")
	go http.Serve(l, s)
	var mu sync.Mutex
	e := &engine{
		id: "i-spec1", service: "spec-models", slots: 48, store: s, gap: streamGap, events: streamEvents,
		onBegin: func(id string) { rec.log("the engine begins %s", id) },
		onEnd: func(id string, events int, whole bool) {
			rec.log("the engine's part in %s is over: it wrote %d of %d events, whole: %t", id, events, streamEvents, whole)
		},
	}
	e.start()
	configureEngines(s, 1, 14000)
	if !trouble {
		daemonSettings = strings.ReplaceAll(daemonSettings, "GraceS = 8", fmt.Sprintf("GraceS = %d", newGraceS))
	}
	startDaemons(2, dir, l.Addr().String())
	time.Sleep(2 * time.Second)
	d := daemons[0]
	if trouble {
		path := dir + "/" + d.name + ".toml"
		text, err := os.ReadFile(path)
		must(err)
		must(os.WriteFile(path, []byte(strings.ReplaceAll(string(text), "GraceS = 8", fmt.Sprintf("GraceS = %d", newGraceS))), 0o600))
		must(d.cmd.Process.Signal(syscall.SIGHUP))
		rec.log("the settings file of %s has GraceS = %d now, and SIGHUP is sent", d.name, newGraceS)
	}
	time.Sleep(5 * time.Second)
	header := http.Header{"X-Model": {"m"}, "X-Token-Count": {"500,100"}, "X-Length-Hint": {"80"}, "X-Prompt-Prefix": {"5c1e07a2:400,91bd3f06:100"}}
	var clients sync.WaitGroup
	var term time.Time
	cut, whole := 0, 0
	for i := range 10 {
		clients.Go(func() {
			id := fmt.Sprintf("stream-%d", i)
			status, _, text := answerTo(d, "POST", "/assess/spec", id, "a spec sheet", 14*time.Second, header)
			events := strings.Count(text, "\ndata: ")
			mu.Lock()
			defer mu.Unlock()
			after := time.Since(term)
			if status == http.StatusOK && events == streamEvents {
				whole++
				rec.log("client: %s has all %d events, %.2f s after the SIGTERM", id, events, after.Seconds())
				return
			}
			early := after < newGraceS*time.Second*5/6
			if early {
				cut++
			}
			rec.log("client: %s ends without a complete answer, %.2f s after the SIGTERM (status %d, %s); before the last sixth of GraceS: %t", id, after.Seconds(), status, text, early)
		})
	}
	time.Sleep(time.Second)
	mu.Lock()
	term = time.Now()
	mu.Unlock()
	must(d.cmd.Process.Signal(syscall.SIGTERM))
	rec.log("SIGTERM to %s", d.name)
	kill := time.AfterFunc(newGraceS*time.Second, func() { _ = d.cmd.Process.Kill() })
	clients.Wait()
	<-d.exited
	kill.Stop()
	mu.Lock()
	defer mu.Unlock()
	rec.log("%s has exited %.2f s after the SIGTERM", d.name, time.Since(term).Seconds())
	rec.log("%d streams whole, %d cut before the last sixth of GraceS", whole, cut)
	return cut > 0
}
