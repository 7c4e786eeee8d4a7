package peers

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"hemlockmux.example/common/clock"
)

// TestSnapshotsThatAreSentAtOnceAreBounded guards against a daemon that is asked by all others at
// once: its memory grew to many times the configuration, and its copies came late together.
func TestSnapshotsThatAreSentAtOnceAreBounded(t *testing.T) {
	const snapshot = 100 << 10
	for _, test := range []struct {
		mbps float64
		want int // snapshots at once
	}{{0, 18}, {1, 1}, {10, 1}, {200, 20}, {10000, 20}} {
		s := newServing(test.mbps)
		var ends []func()
		for len(ends) < 100 {
			end, err := s.begin(snapshot)
			if err != nil {
				var busy *BusyError
				if !errors.As(err, &busy) || busy.RetryMs < minBusyRetry || busy.RetryMs > 2*clock.Second {
					t.Errorf("%v Mbit/s: %v", test.mbps, err)
				}
				break
			}
			ends = append(ends, end)
		}
		if len(ends) != test.want {
			t.Errorf("%v Mbit/s: %d snapshots at once, want %d", test.mbps, len(ends), test.want)
		}
		if end, err := s.begin(smallSnapshotBytes); err != nil {
			t.Errorf("%v Mbit/s: a small snapshot is refused: %v", test.mbps, err)
		} else {
			end()
		}
		for _, end := range ends {
			end()
		}
		if _, err := s.begin(100 * maxServedBytes); err != nil {
			t.Errorf("%v Mbit/s: the only snapshot is refused: %v", test.mbps, err)
		}
	}
}

// TestSnapshotsLeaveRoomOnTheLink guards callers' requests, which share the link with what daemons
// send each other.
func TestSnapshotsLeaveRoomOnTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const mbps, each, connections = 10, 200 << 10, 3
		s := newServing(mbps)
		started, done := time.Now(), make(chan struct{})
		for range connections {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() {
				c := &pacedConn{Conn: near, ctx: context.Background(), pace: s.pace}
				if n, err := c.Write(make([]byte, each)); n != each || err != nil {
					t.Errorf("%d bytes written, %v", n, err)
				}
				_ = near.Close()
				done <- struct{}{}
			}()
		}
		for range connections {
			<-done
		}
		const linkBytesPerSecond = mbps * 1e6 / 8
		if share := connections * each / time.Since(started).Seconds() / linkBytesPerSecond; share > 1.05*serviceShare || share < 0.8*serviceShare {
			t.Errorf("snapshots took %.2f of the link, want %.2f", share, serviceShare)
		}
	})
}

// largestSnapshot is more than the compressed configuration of 4,249 routes, in bytes.
const largestSnapshot = 128 << 10

// TestBusyDaemonSaysWhenToComeBack calls a daemon that sends a large snapshot already.
func TestBusyDaemonSaysWhenToComeBack(t *testing.T) {
	a, b := start(t, "a", 1), start(t, "b", 1)
	a.content = make([]byte, largestSnapshot)
	end, err := a.serving.begin(a.serving.limit)
	if err != nil {
		t.Fatal(err)
	}
	_, err = b.FetchSnapshot(t.Context(), a.options.Control, SnapshotRequest{})
	var busy *BusyError
	var failed *FetchError
	if !errors.As(err, &busy) || busy.RetryMs < minBusyRetry || !errors.As(err, &failed) || failed.Control != a.options.Control {
		t.Errorf("error %v, want one that says when to come back", err)
	}
	end()
	if s, err := b.FetchSnapshot(t.Context(), a.options.Control, SnapshotRequest{}); err != nil || len(s.Content) != largestSnapshot {
		t.Errorf("%d bytes, %v", len(s.Content), err)
	}
	eventually(t, "what was sent no longer counts", func() bool {
		a.serving.mu.Lock()
		defer a.serving.mu.Unlock()
		return a.serving.bytes == 0
	})
}

// TestSilentCallerHoldsNothing connects to a daemon and says nothing.
func TestSilentCallerHoldsNothing(t *testing.T) {
	a := start(t, "a", 1)
	conn, err := net.Dial("tcp4", a.options.Control)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(4 * callIdleTimeout.Duration()))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !isReset(err) {
		t.Errorf("error %v, want the end of the connection", err)
	}
}

// isReset reports whether a connection was reset by the other side.
func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}
