package directory

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/routing"
	"hemlockmux.example/hemlockd/internal/peers"
)

// fakeStore answers from maps and can be made to fail or to lose its history.
type fakeStore struct {
	mu      sync.Mutex
	entries map[directory.Topic]map[string][]byte
	version int64
	lost    bool
	down    bool
	reads   int
}

func (f *fakeStore) Read(_ context.Context, topic directory.Topic) (directory.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return directory.Page{}, &directory.StatusError{Call: "read", Status: 503}
	}
	page := directory.Page{Revision: revision(f.version)}
	for key, value := range f.entries[topic] {
		page.Entries = append(page.Entries, directory.Entry{Key: key, Value: value, Revision: revision(f.version)})
	}
	return page, nil
}

func (f *fakeStore) Follow(_ context.Context, topic directory.Topic, after directory.Revision, _ clock.Millis) (directory.Page, error) {
	time.Sleep(2 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return directory.Page{}, &directory.StatusError{Call: "follow", Status: 503}
	case f.lost:
		f.lost = false
		return directory.Page{}, &directory.HistoryLostError{Topic: topic, After: after}
	}
	return directory.Page{Revision: after}, nil
}

func (f *fakeStore) Changes(ctx context.Context, topic directory.Topic, after directory.Revision) (directory.Page, error) {
	return f.Follow(ctx, topic, after, 0)
}

func (f *fakeStore) Put(context.Context, directory.Topic, string, []byte) error { return nil }

func (f *fakeStore) CompareAndSwap(context.Context, directory.Topic, string, []byte, directory.Revision) (directory.Revision, error) {
	return directory.Revision{}, nil
}

func newTestDirectory(store directory.Store) *Directory {
	d := New(Options{
		Log: zap.NewNop(), Clock: clock.System(), Store: store,
		Decoder: Decoder{
			Config: func(raw []byte) (*routing.Config, error) {
				cfg := &routing.Config{Raw: raw}
				return cfg, json.Unmarshal(raw, &cfg.Version)
			},
			Upstream: func(id string, raw []byte) (routing.Upstream, error) {
				return routing.Upstream{ID: id, Service: "s", Leaving: string(raw) == "leaving"}, nil
			},
		},
		OnConfig: func() {}, OnUpstreams: func() {}, OnDaemon: func(string, []byte) {}, ShouldFollowStore: func() bool { return true },
	})
	return d
}

// revision returns a revision of a store that names no era.
func revision(version int64) directory.Revision { return directory.Revision{Version: version} }

func (d *Directory) has(id string) bool {
	for _, u := range d.Upstreams("s") {
		if u.ID == id {
			return true
		}
	}
	return false
}

func entry(id string, removed bool) directory.Entry {
	return directory.Entry{Key: id, Value: []byte("ready"), Removed: removed}
}

// TestOlderListRevivesNothing guards against using an upstream that has left: a list
// fetched from another daemon before the upstream left can arrive after the store has
// reported its removal. The upstream then got work for seconds.
func TestOlderListRevivesNothing(t *testing.T) {
	d := newTestDirectory(&fakeStore{})
	d.applyUpstreams(directory.Page{Revision: revision(90), Entries: []directory.Entry{entry("a", false), entry("b", false)}}, true, storeSource)
	d.applyUpstreams(directory.Page{Revision: revision(95), Entries: []directory.Entry{entry("a", true)}}, false, storeSource)
	d.applyUpstreams(directory.Page{Revision: revision(91), Entries: []directory.Entry{entry("a", false), entry("b", false)}}, true, storeSource)
	if d.has("a") || !d.has("b") {
		t.Errorf("in use: a, which has left, %t, want false; b %t, want true", d.has("a"), d.has("b"))
	}
	d.applyUpstreams(directory.Page{Revision: revision(92), Entries: []directory.Entry{entry("a", false)}}, false, storeSource)
	if d.has("a") {
		t.Error("an older change brought back an upstream that has left")
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newTestDirectory(&fakeStore{})
	for _, version := range []string{"3", "7", "5", "x", "7"} {
		d.applyConfig([]byte(version), 0, "test")
	}
	if d.Version() != 7 {
		t.Errorf("version %d in force, want 7", d.Version())
	}
}

func TestLostHistoryCausesAFullRead(t *testing.T) {
	store := &fakeStore{version: 1, entries: map[directory.Topic]map[string][]byte{
		directory.Routes: {"config": []byte("1")}, directory.Upstreams: {"a": []byte("ready")},
	}}
	d := newTestDirectory(store)
	defer d.Start()()
	await(t, func() bool { return d.Ready() && d.has("a") })
	store.mu.Lock()
	store.lost, store.version = true, 9
	store.entries[directory.Upstreams] = map[string][]byte{"b": []byte("ready")}
	store.mu.Unlock()
	// Any topic may consume the lost history; set it again until upstreams are read again.
	await(t, func() bool {
		store.mu.Lock()
		store.lost = !d.has("b")
		store.mu.Unlock()
		return d.has("b") && !d.has("a")
	})
}

func TestSnapshotOmitsWhatTheCallerHas(t *testing.T) {
	d := newTestDirectory(&fakeStore{})
	d.applyConfig([]byte("7"), 0, "test")
	d.applyUpstreams(directory.Page{Revision: revision(90), Entries: []directory.Entry{entry("a", false)}}, true, storeSource)
	for topic, version := range map[directory.Topic]int64{directory.Routes: 7, directory.Upstreams: 90} {
		s, err := d.Snapshot(peers.SnapshotRequest{Topic: topic, Have: revision(version - 1)})
		if err != nil || s.Revision.Version != version || len(s.Content) == 0 {
			t.Errorf("%s: %+v, %v", topic, s, err)
		}
		s, err = d.Snapshot(peers.SnapshotRequest{Topic: topic, Have: revision(version)})
		if err != nil || s.Revision.Version != version || s.Content != nil {
			t.Errorf("%s: %+v, %v", topic, s, err)
		}
	}
}

// TestSnapshotIsAppliedAsItWas checks both topics on their way through compression.
func TestSnapshotIsAppliedAsItWas(t *testing.T) {
	from, to := newTestDirectory(&fakeStore{}), newTestDirectory(&fakeStore{})
	from.applyConfig([]byte("7"), 0, "test")
	from.applyUpstreams(directory.Page{Revision: revision(90), Entries: []directory.Entry{entry("a", false), entry("b", false)}}, true, storeSource)
	for _, topic := range []directory.Topic{directory.Routes, directory.Upstreams} {
		s, err := from.Snapshot(peers.SnapshotRequest{Topic: topic})
		if err != nil {
			t.Fatal(err)
		}
		if err := to.applySnapshot(topic, s, "peer"); err != nil {
			t.Fatal(err)
		}
	}
	if to.Version() != 7 || string(to.Table().Config.Raw) != "7" || to.ListRevision().Version != 90 || !to.has("a") || !to.has("b") {
		t.Errorf("version %d, list %v, upstreams %v", to.Version(), to.ListRevision(), to.All())
	}
}

// TestBadSnapshotsChangeNothing applies what another daemon may send by mistake.
func TestBadSnapshotsChangeNothing(t *testing.T) {
	valid := func(text string) []byte {
		content, err := compress([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	for name, content := range map[string][]byte{
		"no compression": []byte("8"), "cut": valid("8")[:12], "no version": valid("x"), "too large": valid(strings.Repeat("8", maxSnapshotBytes+1)),
	} {
		for _, topic := range []directory.Topic{directory.Routes, directory.Upstreams} {
			d := newTestDirectory(&fakeStore{})
			d.applyConfig([]byte("7"), 0, "test")
			err := d.applySnapshot(topic, peers.Snapshot{Revision: revision(8), Content: content}, "peer")
			if d.Version() != 7 || d.ListRevision().Version != 0 || name != "no version" && err == nil {
				t.Errorf("%s, %s: version %d, list %v, error %v", name, topic, d.Version(), d.ListRevision(), err)
			}
			if s, _ := d.Snapshot(peers.SnapshotRequest{Topic: directory.Routes}); s.Revision.Version != 7 {
				t.Errorf("%s, %s: passed on as revision %v", name, topic, s.Revision)
			}
		}
	}
}

func await(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("condition not met within 5 s")
}
