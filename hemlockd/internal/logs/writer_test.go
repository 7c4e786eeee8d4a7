package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose reader has stopped: writes block until release is
// closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStoppedReaderHoldsNothingUp checks that neither logging nor closing blocks if the
// output's reader has stopped.
func TestStoppedReaderHoldsNothingUp(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	log, closeLog := New(out, "d")
	began := time.Now()
	for range 20000 {
		log.Info("request")
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("20,000 lines took %v", took)
	}
	if metrics.Get("lostLines") == nil {
		t.Error("no line was counted as dropped")
	}
	began = time.Now()
	closeLog()
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("closing took %v", took)
	}
	close(out.release)
}

// safeBuffer is a buffer for concurrent use.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func TestLinesAreWholeAndInOrder(t *testing.T) {
	out := &safeBuffer{}
	w, closeWriter := NewWriter(out)
	want := strings.Builder{}
	for i := range 500 {
		line := strings.Repeat("x", i%7) + "\n"
		want.WriteString(line)
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if i%100 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	closeWriter()
	if out.buffer.String() != want.String() {
		t.Error("lines were dropped, changed or reordered")
	}
}
