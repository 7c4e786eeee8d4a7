package daemons

import (
	"testing"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/invariant"
	"hemlockmux.example/hemlockd/internal/configuration"
	"hemlockmux.example/hemlockd/internal/membership"
	"hemlockmux.example/hemlockd/internal/process"
)

// TestUnknownRunsAreAliveAfterTheStart guards against a daemon that aborts the runs of others right after its start, and against
// one that takes unknown or replaced runs for alive for good.
func TestUnknownRunsAreAliveAfterTheStart(t *testing.T) {
	c := clock.NewManual(1000 * clock.Second)
	cfg := process.DefaultConfig()
	cfg.Name, cfg.DataCentre, cfg.Daemons, cfg.DaemonKey = "vm-1", "a", "127.0.0.1:1", "daemons-test-daemons-key"
	env := process.Environment{Log: zap.NewNop(), Clock: c.Clock(), Config: cfg, Invariants: invariant.New(zap.NewNop()), Incarnation: c.Clock().Now()}
	d := New(env, configuration.New(env))
	run := func(name string, started clock.Millis) string {
		return RunID(membership.Member{Name: name, Started: started})
	}
	d.members.Receive(membership.Message{
		From:    membership.Member{Name: "vm-2", DataCentre: "a", Address: "127.0.0.1:2", Started: 500},
		Updates: []membership.Member{{Name: "vm-3", DataCentre: "a", Address: "127.0.0.1:3", Started: 500, State: membership.Dead}},
	}, c.Clock().Now())
	d.publishViews()
	check := func(when, id string, want bool) {
		t.Helper()
		if got := d.Alive(id); got != want {
			t.Errorf("%s, run %q: alive %v, want %v", when, id, got, want)
		}
	}
	check("at the start", run("vm-9", 700), true)
	check("at the start", run("vm-1", 700), false)
	check("at the start", run("vm-2", 500), true)
	check("at the start", run("vm-2", 400), false)
	check("at the start", run("vm-2", 600), true)
	check("at the start", run("vm-3", 500), false)
	check("at the start", "no run", false)
	c.Advance(unknownRunTime)
	check("later", run("vm-9", 700), false)
	check("later", run("vm-2", 500), true)
}
