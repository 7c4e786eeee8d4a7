package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"hemlockmux.example/common/problem"
)

// One request crashes each engine that runs it. Its caller retries it through every
// daemon of both data centres, alongside innocent requests. It is refused after it
// has crashed two engines, and all innocent requests are served.
// HEMLOCK_BREAK=noSuspects sets suspectMs to 0, so that suspects expire at once.
func TestCrashSuspectIsStopped(t *testing.T) {
	policy := "retryRatio = 1.0\nmaxAttempts = 4"
	if mechanismDisabled("noSuspects") {
		policy += "\nsuspectMs = 0"
	}
	dcs := []string{"brandon-a", "regina-a"}
	d := deploy(t, options{dataCentres: dcs, policy: policy, prefill: 3, decode: 4})
	for _, dc := range dcs {
		for i := range 4 {
			d.injectFault(fmt.Sprintf("%s-decode-%d", dc, i+1), "crashOn", map[string]any{"match": "the culprit"})
		}
	}
	crashes := func() int {
		n := 0
		for _, e := range d.events() {
			if e.Event == "crash" {
				n++
			}
		}
		return n
	}
	Convey("alongside innocent requests", t, func() {
		var mu sync.Mutex
		served, refused := 0, []string{}
		stop := runWorkers(6, func(w, i int) {
			a := d.daemons[(w+i)%4].complete(fmt.Sprintf("innocent %d %d", w, i), 20)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
			} else {
				refused = append(refused, fmt.Sprint(a.status, a.body))
			}
		})
		defer stop()
		time.Sleep(300 * time.Millisecond)
		var last response
		for i := range 12 {
			last = d.daemons[i%4].complete("this is the culprit", 20)
			So(last.status, ShouldNotEqual, http.StatusOK)
			time.Sleep(150 * time.Millisecond)
		}
		So(last.problem.Reason, ShouldEqual, problem.CrashSuspect)
		stop()
		t.Logf("%d engines crashed, %d innocent requests served, %d failed: %v", crashes(), served, len(refused), refused)
		So(crashes(), ShouldEqual, 2)
		So(len(refused), ShouldEqual, 0)
	})
}

// An engine crashes while it generates completions that are not streamed. Nothing of
// them has been sent to the callers, so each is retried on another engine.
func TestWholeAnswerIsMadeAgainAfterACrashMidway(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a"}, policy: "retryRatio = 1.0\nmaxAttempts = 4", prefill: 2, decode: 3})
	for i := range 3 {
		d.injectFault(fmt.Sprintf("brandon-a-decode-%d", i+1), "crashOn", map[string]any{"match": "the culprit"})
	}
	Convey("completions in progress", t, func() {
		const unrelated = 6 // enough for each engine to have some in progress
		answers := make(chan response, unrelated)
		for i := range unrelated {
			go func() { answers <- d.daemons[i%2].complete(fmt.Sprint("a long answer ", i), 200) }()
		}
		time.Sleep(700 * time.Millisecond)
		So(d.daemons[0].complete("this is the culprit", 20).status, ShouldNotEqual, http.StatusOK)
		for range unrelated {
			a := <-answers
			So(a.status, ShouldEqual, http.StatusOK)
		}
	})
}
