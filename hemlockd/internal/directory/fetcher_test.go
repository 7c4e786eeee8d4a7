package directory

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/peers"
)

// fakePeers answers fetches by the first letter of the control address: s(ilent), b(usy), e(rror),
// n(othing newer), g(ood).
type fakePeers struct {
	mu    sync.Mutex
	asked []string
}

func (p *fakePeers) fetch(ctx context.Context, control string, request peers.SnapshotRequest) (peers.Snapshot, error) {
	p.mu.Lock()
	p.asked = append(p.asked, control)
	p.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	switch control[0] {
	case 's':
		clock.Sleep(ctx, 5*clock.Second)
		return peers.Snapshot{}, &peers.FetchError{Control: control, Err: context.DeadlineExceeded}
	case 'b':
		return peers.Snapshot{}, &peers.FetchError{Control: control, Err: &peers.BusyError{RetryMs: 100}}
	case 'e':
		return peers.Snapshot{}, &peers.FetchError{Control: control, Err: context.DeadlineExceeded}
	case 'n':
		return peers.Snapshot{Revision: revision(7)}, nil
	}
	content, err := compress([]byte("8"))
	return peers.Snapshot{Revision: revision(8), Content: content}, err
}

// TestNewerConfigurationIsFetchedFromWhoeverCanServe guards against one daemon that holds up the
// news of all others: a fetch from it took its whole time before another was asked.
func TestNewerConfigurationIsFetchedFromWhoeverCanServe(t *testing.T) {
	for _, test := range []struct {
		sources string // local ones, then remote ones behind a bar
		within  clock.Millis
		asked   int // most that may be asked
	}{
		{"g1", 100, 1},
		{"g1 g2 g3 g4", 100, 1},
		{"s1 g1", secondFetchDelay + 150, 2},
		{"b1 g1", secondFetchDelay + 300, 2},
		{"e1 g1", 150, 2},
		{"n1 g1", 150, 2},
		{"e1 e2 e3 e4 g1", 300, 5},
		{"g1 | g2 g3 g4", 100, 1},
		{"| g1 g2", 2*remoteDelay + 150, 1},
		{"s1 | g1", 2*secondFetchDelay + 150, 2},
	} {
		t.Run(test.sources, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others := &fakePeers{}
				d := newTestDirectory(&fakeStore{down: true})
				d.o.Fetch = others.fetch
				d.applyConfig([]byte("7"), 0, "test")
				ctx, cancel := context.WithCancel(t.Context())
				go d.configFetcher.run(ctx)
				started := time.Now()
				local, remote, _ := strings.Cut(test.sources, "|")
				for _, control := range strings.Fields(local) {
					d.HearPeer(control, revision(8), revision(0), true)
				}
				for _, control := range strings.Fields(remote) {
					d.HearPeer(control, revision(8), revision(0), false)
				}
				for d.Version() < 8 && time.Since(started) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				took := clock.Millis(time.Since(started).Milliseconds())
				if took > test.within || len(others.asked) > test.asked {
					t.Errorf("took %d ms, want at most %d; asked %v, want at most %d", took, test.within, others.asked, test.asked)
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestListsAreFetchedBesideALargeConfiguration guards news of upstreams, which waited behind a
// configuration that came slowly.
func TestListsAreFetchedBesideALargeConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDirectory(&fakeStore{down: true})
		d.applyConfig([]byte("7"), 0, "test")
		d.o.Fetch = func(ctx context.Context, _ string, request peers.SnapshotRequest) (peers.Snapshot, error) {
			if request.Topic == directory.Routes {
				clock.Sleep(ctx, clock.Minute)
				return peers.Snapshot{}, ctx.Err()
			}
			content, err := compress([]byte(`{"a":"cmVhZHk="}`))
			return peers.Snapshot{Revision: revision(90), Content: content}, err
		}
		ctx, cancel := context.WithCancel(t.Context())
		go d.configFetcher.run(ctx)
		go d.listFetcher.run(ctx)
		d.HearPeer("g", revision(8), revision(90), true)
		time.Sleep(100 * time.Millisecond)
		if !d.has("a") {
			t.Error("the list was not fetched within 100 ms")
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestSnapshotsAreCompressedOnce guards a daemon that is asked by all others: each copy was
// encoded anew.
func TestSnapshotsAreCompressedOnce(t *testing.T) {
	d := newTestDirectory(&fakeStore{})
	d.applyConfig([]byte("7"), 0, "test")
	first, err := d.Snapshot(peers.SnapshotRequest{Topic: directory.Routes})
	if err != nil {
		t.Fatal(err)
	}
	second, err := d.Snapshot(peers.SnapshotRequest{Topic: directory.Routes, Have: revision(3)})
	if err != nil || &first.Content[0] != &second.Content[0] {
		t.Errorf("the second daemon got another copy, %v", err)
	}
	other := newTestDirectory(&fakeStore{})
	if err := other.applySnapshot(directory.Routes, first, "peer"); err != nil {
		t.Fatal(err)
	}
	if passedOn, err := other.Snapshot(peers.SnapshotRequest{Topic: directory.Routes}); err != nil || &passedOn.Content[0] != &first.Content[0] {
		t.Errorf("a fetched snapshot is compressed again, %v", err)
	}
}
