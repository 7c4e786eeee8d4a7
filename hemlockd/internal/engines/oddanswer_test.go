package engines

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"hemlockmux.example/common/answers"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
	"hemlockmux.example/hemlockd/internal/upstreamgate"
	"hemlockmux.example/hemlockd/internal/upstreamlimits"
)

// TestOddAnswersAreNone checks that no call takes an answer with a malformed head, or with a status that no answer has,
// for one, and that a call that does work may have been run.
func TestOddAnswersAreNone(t *testing.T) {
	const body = `{"kv_transfer_params":{}}`
	for name, head := range map[string]string{
		"field name with a blank": "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
		"status 000":              "HTTP/1.1 000 Odd\r\n\r\n",
	} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, head+body)
				_ = conn.Close()
			}
		}()
		c, closeClient := NewClient(upstreamgate.New(upstreamlimits.New("d", 0, func(upstreamlimits.News) {}), func(upstreamgate.Notice) {}), clock.System(), zap.NewNop())
		defer closeClient()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		e := Engine{Name: "e", Address: listener.Addr().String()}
		for way, try := range map[string]func() error{
			"prefill": func() error { _, err := c.Prefill(ctx, e, Call{Path: "/x", AttemptID: "a"}); return err },
			"stream": func() error {
				for _, err := range c.Stream(ctx, e, Call{Path: "/x", AttemptID: "a"}, Fresh) {
					return err
				}
				return nil
			},
			"load":  func() error { _, err := c.Load(ctx, e, false); return err },
			"abort": func() error { return c.Abort(ctx, e, "a") },
		} {
			err := try()
			var odd *answers.MalformedError
			if !errors.As(err, &odd) {
				t.Errorf("%s, %s: %v, want a malformed answer", name, way, err)
			}
			var failed *CallError
			if errors.As(err, &failed) && (way == "prefill" || way == "stream") && failed.Result != verdict.AttemptUnknown {
				t.Errorf("%s, %s: result %s", name, way, failed.Result)
			}
		}
	}
}
