package e2e

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"hemlockmux.example/common/verdict"
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

// TestPlatformWhatDaemonsWroteIsWrittenAgainAfterARestore guards against entries of daemons and verdicts
// that are gone for good: the store had acknowledged them and came back from an older copy.
func TestPlatformWhatDaemonsWroteIsWrittenAgainAfterARestore(t *testing.T) {
	p := deployUsersPlatform(t, 0)
	p.copyStore()
	p.addDaemon("front-a-1", "127.0.0.11", freePorts(t, 5), p.openStoreAddress())
	p.waitReady(p.daemons[0])
	p.eventually(5*time.Second, "the daemon has an entry", func() bool { return p.storeHolds("daemons", "front-a-1") })
	p.send(p.daemons[0], "told", "/order/x", "an order", nil)
	p.eventually(15*time.Second, "a verdict is stored", func() bool { return len(p.storedVerdicts()) > 0 })
	stored := p.storedVerdicts()
	p.restoreStore(300 * time.Millisecond)
	p.eventually(5*time.Second, "the entry is written again", func() bool { return p.storeHolds("daemons", "front-a-1") })
	p.eventually(15*time.Second, "the verdicts are stored again", func() bool {
		again := p.storedVerdicts()
		return !slices.ContainsFunc(stored, func(name string) bool { return !slices.Contains(again, name) })
	})
}

// storeHolds reports whether the store has a row.
func (p *usersPlatform) storeHolds(table, key string) bool {
	p.t.Helper()
	var page struct{ Rows []struct{ Key string } }
	p.getJSON("http://"+p.addr.Store+"/hemlockmux/rows-get?part=&Table="+table, &page)
	return slices.ContainsFunc(page.Rows, func(r struct{ Key string }) bool { return r.Key == key })
}

// storedVerdicts returns the names of the objects that hold verdicts.
func (p *usersPlatform) storedVerdicts() []string {
	p.t.Helper()
	var page struct {
		Names []string `json:"names"`
	}
	p.getJSON("http://"+p.addr.Store+"/hemlockmux/blob-list?Prefix="+verdict.BatchPrefix, &page)
	return page.Names
}

func (p *usersPlatform) getJSON(url string, into any) {
	p.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := decodeJSON(resp.Body, into); err != nil {
		p.t.Fatal(err)
	}
}
