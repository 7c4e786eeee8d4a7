package e2e

import (
	"net/http"
	"testing"
	"time"
)

// copyStore copies the store's content for restoreStore.
func (p *usersPlatform) copyStore() {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/store/copy", nil)
}

// restoreStore restores the store from the copy. The operator and the servers write again what it
// has lost after a while; 0 means never.
func (p *usersPlatform) restoreStore(rewrite time.Duration) {
	p.t.Helper()
	p.callAdmin(http.MethodPost, "/store/restore", map[string]any{"rewriteMs": rewrite.Milliseconds()})
}

// extraRoute returns a route of the plain service with a name of its own.
func extraRoute(name string) map[string]any {
	return map[string]any{
		"Name": name, "Host": testHost, "Prefix": "/" + name + "/", "Kind": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 200,
		"Service": "desk", "MaxAttempts": 2,
	}
}

// TestPlatformServerThatLeavesAfterARestoreGetsNoWork guards against requests that reach a server
// long after it has left: the store came back from an older copy, its versions were below the one
// in force, and nothing that it said was believed until it had counted past that.
func TestPlatformServerThatLeavesAfterARestoreGetsNoWork(t *testing.T) {
	p := deployUsersPlatform(t, 3)
	p.copyStore()
	for range 20 {
		p.configure(nil)
	}
	p.addServer("i-a", "desk", "") // preferred: the first by name of equal servers
	p.eventually(3*time.Second, "requests reach the new server", func() bool { return p.reaches(1, "i-a") })
	p.injectStoreFault("reset")
	time.Sleep(time.Second)
	p.restoreStore(300 * time.Millisecond)
	p.injectStoreFault("")
	time.Sleep(2 * time.Second)
	left := time.Now()
	p.callAdmin(http.MethodPost, "/servers/i-a/drain", nil)
	p.expectNoArrivalsAfter(left.Add(drainLimit), "i-a", 2*time.Second)
}

// TestPlatformChangesAtVersionsGivenOutAgainAreSeen guards against changes that are never seen: the
// store had come back from an older copy and gave out, for other changes, the versions that a
// daemon had seen before, so that the daemon asked for later ones only.
func TestPlatformChangesAtVersionsGivenOutAgainAreSeen(t *testing.T) {
	p := deployUsersPlatform(t, 1)
	p.copyStore()
	p.addServer("i-a", "desk", "")
	p.configure(nil)
	p.eventually(3*time.Second, "requests reach the new server", func() bool { return p.reaches(0, "i-a") })
	p.injectStoreFault("reset")
	p.restoreStore(0)
	left := time.Now()
	for _, id := range []string{"i-a", "i-desk1"} {
		p.callAdmin(http.MethodPost, "/servers/"+id+"/unlist", nil)
	}
	for range 4 {
		p.configure([]map[string]any{extraRoute("new")})
	}
	p.injectStoreFault("")
	p.eventually(3*time.Second, "the daemon serves the new route", func() bool {
		return p.send(p.daemons[0], "n", "/new/x", "", nil).status == http.StatusOK
	})
	p.expectNoArrivalsAfter(left.Add(drainLimit), "i-a", 2*time.Second)
}
