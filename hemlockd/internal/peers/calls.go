package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
	"hemlockmux.example/common/progress"
)

// runServe answers calls of other daemons and of operators.
func (p *Peers) runServe() {
	for p.ctx.Err() == nil {
		conn, err := p.listener.Accept()
		if err != nil {
			if p.ctx.Err() == nil {
				p.options.Log.Warn("accepting a connection from a daemon or an operator failed", zap.Error(err))
				clock.Sleep(p.ctx, 100*clock.Millisecond)
			}
			continue
		}
		select {
		case p.calls <- struct{}{}:
			c := &incomingCall{p: p, conn: conn}
			go c.run()
		default:
			metrics.Add("callsRefused", 1)
			_ = conn.Close()
		}
	}
}

// incomingCall is a connection from another daemon or an operator.
type incomingCall struct {
	p    *Peers
	conn net.Conn
	// ctx ends with the connection.
	ctx context.Context
	// served is set once a snapshot is sent. Only the handler uses it.
	served bool
}

// run serves the connection until its other side closes it, nothing passes any more or its
// time is over.
func (c *incomingCall) run() {
	defer func() { <-c.p.calls }()
	ctx, cancel := context.WithTimeout(c.p.ctx, maxCallTime.Duration())
	defer cancel()
	c.ctx = ctx
	_ = c.conn.SetDeadline(time.Now().Add(callIdleTimeout.Duration()))
	paced := &pacedConn{Conn: c.conn, ctx: ctx, pace: c.p.serving.pace}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(paced, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(c.handle), jsonrpc2.SetLogger(c.p.callLog))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

func (c *incomingCall) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == operatorapi.MethodDaemonView {
		return c.p.handlers.Beliefs(), nil
	}
	if req.Method == operatorapi.MethodLiftPart && req.Params != nil {
		return c.p.liftPart(*req.Params)
	}
	if req.Method != methodSnapshot || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method or missing parameters: " + req.Method}
	}
	return c.snapshot(*req.Params)
}

// codeBusy is the code of the error that holds a BusyError as its data.
const codeBusy = 1

// snapshot answers a SnapshotRequest, unless too much is being sent.
func (c *incomingCall) snapshot(params json.RawMessage) (any, error) {
	var request SnapshotRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if c.served {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "a connection is for one snapshot"}
	}
	s, err := c.p.handlers.Snapshot(request)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	end, err := c.p.serving.begin(len(s.Content))
	if err != nil {
		metrics.Add("snapshotsRefused", 1)
		busy := &jsonrpc2.Error{Code: codeBusy, Message: err.Error()}
		busy.SetError(err)
		return nil, busy
	}
	c.served = true
	context.AfterFunc(c.ctx, end)
	metrics.Add("snapshotsServed", 1)
	metrics.Add("snapshotBytesServed", int64(len(s.Content)))
	return s, nil
}

// liftPart lifts the refusal of a part of prompts for an operator.
func (p *Peers) liftPart(params json.RawMessage) (any, error) {
	var request operatorapi.LiftPartRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	lifted := p.handlers.Prompts.Lift(request.Service, request.Part, p.options.Clock.Now())
	p.options.Log.Info("an operator lifts the refusal of a part of prompts",
		zap.String("service", request.Service), zap.String("part", request.Part), zap.Bool("lifted", lifted))
	return operatorapi.LiftPartResponse{Lifted: lifted}, nil
}

// FetchError reports that the snapshot of another daemon could not be fetched.
type FetchError struct {
	// Control is the control address (IP:port) of the daemon.
	Control string
	// ReceivedBytes is the number of bytes that had come by then.
	ReceivedBytes int64
	// TookMs is the time from the call to the failure.
	TookMs clock.Millis
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *FetchError) Error() string {
	return fmt.Sprintf("fetch snapshot from daemon at %s: %v", e.Control, e.Err)
}

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Err }

// countingConn counts the bytes that are received and reports them as progress of its call.
type countingConn struct {
	net.Conn
	ctx      context.Context
	received atomic.Int64
}

// Read implements [net.Conn].
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.received.Add(int64(n)) > maxAnswerBytes {
		return 0, errTooLong
	}
	if n > 0 {
		progress.Report(c.ctx)
	}
	return n, err
}

// FetchSnapshot fetches the snapshot of the daemon at the given control address. Its errors
// are of type *FetchError; one of a daemon that is busy wraps a *BusyError.
func (p *Peers) FetchSnapshot(ctx context.Context, control string, request SnapshotRequest) (Snapshot, error) {
	started := p.options.Clock.Now()
	s, received, err := p.callSnapshot(ctx, control, request)
	if err != nil {
		return Snapshot{}, &FetchError{Control: control, ReceivedBytes: received, TookMs: p.options.Clock.Now() - started, Err: err}
	}
	metrics.Add("snapshotsFetched", 1)
	metrics.Add("snapshotBytesFetched", received)
	return s, nil
}

func (p *Peers) callSnapshot(ctx context.Context, control string, request SnapshotRequest) (s Snapshot, received int64, err error) {
	ctx, stop := context.WithTimeout(ctx, maxCallTime.Duration())
	defer stop()
	ctx, cancel := progress.WithTimeout(ctx, progress.Bounds{FirstMs: callIdleTimeout, IdleMs: callIdleTimeout})
	defer cancel()
	raw, err := p.options.Network.Dial(ctx, control)
	if err != nil {
		return Snapshot{}, 0, fmt.Errorf("connect: %w", progress.Cause(ctx, err))
	}
	conn := &countingConn{Conn: raw, ctx: ctx}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseCalls), jsonrpc2.SetLogger(p.callLog))
	defer func() { _ = rpc.Close() }()
	err = rpc.Call(ctx, methodSnapshot, request, &s)
	return s, conn.received.Load(), progress.Cause(ctx, busyError(err))
}

// busyError returns the *BusyError that an error of a call holds, or else the error.
func busyError(err error) error {
	var failed *jsonrpc2.Error
	if !errors.As(err, &failed) || failed.Code != codeBusy || failed.Data == nil {
		return err
	}
	busy := &BusyError{}
	if json.Unmarshal(*failed.Data, busy) != nil {
		return err
	}
	return busy
}

// refuseCalls rejects calls that the called daemon makes over the same connection.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls in this direction are not supported"}
}
