package progress

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"hemlockmux.example/common/clock"
)

// TestACallIsBoundedByItsProgress reads answers that come in pieces, at intervals in ms.
func TestACallIsBoundedByItsProgress(t *testing.T) {
	bounds := Bounds{FirstMs: 700, IdleMs: 300}
	for _, test := range []struct {
		name      string
		intervals []clock.Millis
		stalled   clock.Millis // 0: the answer is read whole
	}{
		{"slow and steady", []clock.Millis{600, 290, 290, 290, 290, 290, 290, 290}, 0},
		{"nothing comes", []clock.Millis{800}, 700},
		{"stuck midway", []clock.Millis{100, 100, 400}, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reports := 0
				counted := bounds
				counted.OnProgress = func() { reports++ }
				ctx, cancel := WithTimeout(t.Context(), counted)
				defer cancel()
				read, written := io.Pipe()
				go func() {
					for _, interval := range test.intervals {
						time.Sleep(interval.Duration())
						_, _ = written.Write([]byte("piece"))
					}
					_ = written.Close()
				}()
				defer context.AfterFunc(ctx, func() { _ = read.CloseWithError(ctx.Err()) })()
				body, err := io.ReadAll(Reader(ctx, read))
				var stalled *StalledError
				switch {
				case test.stalled == 0 && (err != nil || len(body) != 5*len(test.intervals) || reports != len(test.intervals)):
					t.Errorf("%d bytes, %d reports, %v", len(body), reports, err)
				case test.stalled != 0 && (!errors.As(err, &stalled) || stalled.WaitedMs != test.stalled):
					t.Errorf("error %v, want a stall of %d ms", err, test.stalled)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestReportWithoutBoundsDoesNothing(t *testing.T) {
	Report(t.Context())
	if err := Cause(t.Context(), io.ErrUnexpectedEOF); err != io.ErrUnexpectedEOF {
		t.Error(err)
	}
}
