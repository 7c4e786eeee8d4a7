package e2e

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"hemlockmux.example/common/problem"
	"hemlockmux.example/common/settings"
)

// Guards against a stopping daemon that takes a stream by the pace in the settings, and cuts it off, although its engines have
// been observed to be slower: at the daemon that has run the streams, and at the one that has handed them over.
func TestOwnDoorStopGoesByTheObservedPace(t *testing.T) {
	for name, keeps := range map[string]bool{"has run them": true, "has handed them over": false} {
		t.Run(name, func(t *testing.T) {
			const tokens = 250 // 2.5 s at the engines, 0.5 s by the settings
			d := deployOwnStop(t, 2)
			d.applySettings(1, settings.NodeChange{
				Path: "system", Before: d.systemSettings, After: strings.Replace(d.systemSettings, "stepBaseMs = 10.0", "stepBaseMs = 2.0", 1),
			})
			m, other := d.modelKeeper()
			if !keeps {
				m, other = other, m
			}
			d.eventually("the settings are in force", 5*time.Second, func() bool {
				return m.settingsVersion() == other.settingsVersion() && m.settingsVersion() > 1
			})
			for _, warm := range []*daemon{m, other} {
				if defect := checkStream(warm.stream("slow", 40), 40); defect != "" {
					t.Fatal(defect)
				}
			}
			m.signal(syscall.SIGTERM)
			time.Sleep(800 * time.Millisecond)
			a := m.stream("late", tokens)
			refused := a.problem.Reason == problem.NotReady && a.problem.Ran == problem.RanNo
			if defect := checkStream(a, tokens); defect != "" && !refused {
				t.Errorf("%s; status %d", defect, a.status)
			}
		})
	}
}
