package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/operatorapi"
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
		_ = conn.SetDeadline(time.Now().Add(callTimeout.Duration()))
		stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(p.ctx, stream, jsonrpc2.HandlerWithError(p.handle))
	}
}

func (p *Peers) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method == operatorapi.MethodDaemonView {
		return p.handlers.Beliefs(), nil
	}
	if req.Method == operatorapi.MethodLiftPart && req.Params != nil {
		return p.liftPart(*req.Params)
	}
	if req.Method != methodSnapshot || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method or missing parameters: " + req.Method}
	}
	var request SnapshotRequest
	if err := json.Unmarshal(*req.Params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	metrics.Add("snapshotsServed", 1)
	return p.handlers.Snapshot(request), nil
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

// callTimeout is the time limit of a call between daemons, including the answer.
const callTimeout = 2 * clock.Second

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

// countingConn counts the bytes that are received.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

// Read implements [net.Conn].
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// FetchSnapshot fetches the snapshot of the daemon at the given control address. Its errors
// are of type *FetchError.
func (p *Peers) FetchSnapshot(ctx context.Context, control string, request SnapshotRequest) (Snapshot, error) {
	started := p.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	raw, err := p.options.Network.Dial(ctx, control)
	if err != nil {
		return Snapshot{}, &FetchError{Control: control, TookMs: p.options.Clock.Now() - started, Err: fmt.Errorf("connect: %w", err)}
	}
	conn := &countingConn{Conn: raw}
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(refuseCalls))
	defer func() { _ = rpc.Close() }()
	var s Snapshot
	if err := rpc.Call(ctx, methodSnapshot, request, &s); err != nil {
		return Snapshot{}, &FetchError{Control: control, ReceivedBytes: conn.received.Load(), TookMs: p.options.Clock.Now() - started, Err: err}
	}
	metrics.Add("snapshotsFetched", 1)
	metrics.Add("snapshotBytesFetched", conn.received.Load())
	return s, nil
}

// refuseCalls rejects calls that the called daemon makes over the same connection.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls in this direction are not supported"}
}
