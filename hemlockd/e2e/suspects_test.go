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

// One request crashes each engine that runs it and its caller sends it again
// and again, in every data centre, among innocent ones. It is refused after two
// deaths, and innocent requests are served.
// HEMLOCK_BREAK=noSuspects forgets suspects at once.
func TestCrashSuspectIsStopped(t *testing.T) {
	policy := "retryRatio = 1.0\nmaxAttempts = 4"
	if broken("noSuspects") {
		policy += "\nsuspectMs = 0"
	}
	dcs := []string{"brandon-a", "regina-a"}
	d := deploy(t, options{dataCentres: dcs, policy: policy, prefill: 3, decode: 4})
	for _, dc := range dcs {
		for i := range 4 {
			d.fault(fmt.Sprintf("%s-decode-%d", dc, i+1), "crashOn", map[string]any{"match": "the culprit"})
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
	Convey("among innocent requests", t, func() {
		var mu sync.Mutex
		served, refused := 0, []string{}
		end := background(6, func(w, i int) {
			a := d.daemons[(w+i)%4].complete(fmt.Sprintf("innocent %d %d", w, i), 20)
			mu.Lock()
			defer mu.Unlock()
			if a.status == http.StatusOK {
				served++
			} else {
				refused = append(refused, fmt.Sprint(a.status, a.body))
			}
		})
		defer end()
		time.Sleep(300 * time.Millisecond)
		var last answer
		for i := range 12 {
			last = d.daemons[i%4].complete("this is the culprit", 20)
			So(last.status, ShouldNotEqual, http.StatusOK)
			time.Sleep(150 * time.Millisecond)
		}
		So(last.problem.Reason, ShouldEqual, problem.CrashSuspect)
		end()
		t.Logf("%d engines crashed, %d innocent requests served, %d not: %v", crashes(), served, len(refused), refused)
		So(crashes(), ShouldEqual, 2)
		So(len(refused), ShouldEqual, 0)
	})
}

// An engine dies in the middle of answers that their callers want whole. Nothing
// of them has been passed on, so each is made again on another engine.
func TestWholeAnswerIsMadeAgainAfterACrashMidway(t *testing.T) {
	d := deploy(t, options{dataCentres: []string{"brandon-a"}, policy: "retryRatio = 1.0\nmaxAttempts = 4", prefill: 2, decode: 3})
	for i := range 3 {
		d.fault(fmt.Sprintf("brandon-a-decode-%d", i+1), "crashOn", map[string]any{"match": "the culprit"})
	}
	Convey("answers that were begun", t, func() {
		const innocents = 6 // so that each engine has begun some
		answers := make(chan answer, innocents)
		for i := range innocents {
			go func() { answers <- d.daemons[i%2].complete(fmt.Sprint("a long answer ", i), 200) }()
		}
		time.Sleep(700 * time.Millisecond)
		So(d.daemons[0].complete("this is the culprit", 20).status, ShouldNotEqual, http.StatusOK)
		for range innocents {
			a := <-answers
			So(a.status, ShouldEqual, http.StatusOK)
		}
	})
}
