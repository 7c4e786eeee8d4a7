package daemons

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/progress"
	"hemlockmux.example/hemlockd/internal/logs"
	"hemlockmux.example/hemlockd/internal/process"
)

// maxUpgradeBytes bounds the answer to the request for JSON-RPC, and what is read ahead with it.
const maxUpgradeBytes = 16 << 10

// dialTimeout bounds the wait for a connection to a peer.
const dialTimeout = 300 * clock.Millisecond

// serveRPC upgrades an authenticated HTTP request to a JSON-RPC connection.
func (d *Daemons) serveRPC(w http.ResponseWriter, _ *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: jsonrpc2\r\n\r\n")
	if err := buffer.Flush(); err != nil {
		_ = conn.Close()
		return
	}
	stream := jsonrpc2.NewBufferedStream(&bufferedConn{Conn: countingConn{Conn: conn}, reader: buffer.Reader}, jsonrpc2.VarintObjectCodec{})
	rpc := jsonrpc2.NewConn(d.ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(d.handle)), jsonrpc2.SetLogger(d.pool.log))
	go d.runUntilClosed(rpc)
}

// runUntilClosed closes a connection opened by a peer when this daemon stops.
func (d *Daemons) runUntilClosed(rpc *jsonrpc2.Conn) {
	select {
	case <-rpc.DisconnectNotify():
	case <-d.ctx.Done():
		_ = rpc.Close()
	}
}

func (d *Daemons) handle(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodProbe:
		return respond(req, func(msg ProbeMessage) ProbeMessage {
			go d.receive(msg)
			return d.message(msg.Membership.From.Address)
		})
	case methodSettings:
		return respond(req, func(r SettingsRequest) SettingsAnswer { return d.configuration.DeltaSince(r.Have) })
	case methodCopy:
		return respond(req, d.handlers.AcceptCopies)
	case methodLend:
		return respond(req, d.handlers.LendCapacity)
	case methodLimit:
		return respond(req, d.handlers.ShareLimit)
	case methodFind:
		return respond(req, d.handlers.FindVerdict)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
}

// respond decodes the parameters of a call and returns the result of f.
func respond[In, Out any](req *jsonrpc2.Request, f func(In) Out) (any, error) {
	var in In
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "missing parameters"}
	}
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return f(in), nil
}

// pool holds one connection to each peer.
type pool struct {
	key    string
	log    logs.CallLogger
	dialer *net.Dialer

	mu     sync.Mutex
	conns  map[string]*jsonrpc2.Conn
	closed bool
}

func newPool(cfg process.Config, log *zap.Logger) *pool {
	return &pool{key: cfg.DaemonKey, log: logs.CallLogger{Log: log, Metrics: metrics}, dialer: cfg.Dialer(dialTimeout), conns: map[string]*jsonrpc2.Conn{}}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// call makes one call. If the call fails without a response, its connection is closed,
// since it may be dead without notice; the next call opens a new one.
func (p *pool) call(ctx context.Context, address, method string, in, out any) error {
	conn, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, in, out)
	var refused *jsonrpc2.Error
	if err != nil && !errors.As(err, &refused) {
		p.drop(address, conn)
	}
	return err
}

// callOnce makes one call over a connection of its own. What comes is progress of ctx.
func (p *pool) callOnce(ctx context.Context, address, method string, in, out any) error {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return progress.Cause(ctx, conn.Call(ctx, method, in, out))
}

func (p *pool) drop(address string, conn *jsonrpc2.Conn) {
	p.mu.Lock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = conn.Close()
}

func (p *pool) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	p.mu.Unlock()
	if ok {
		return conn, nil
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.conns[address]; ok || p.closed {
		_ = conn.Close()
		if p.closed {
			return nil, net.ErrClosed
		}
		return other, nil
	}
	p.conns[address] = conn
	return conn, nil
}

func (p *pool) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	conn := countingConn{Conn: progress.Conn(ctx, raw)}
	reader, err := p.upgrade(conn, address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(noDeadline)
	stream := jsonrpc2.NewBufferedStream(&bufferedConn{Conn: conn, reader: reader}, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this end of the connection serves no methods"}
	})
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(p.log)), nil
}

func (p *pool) upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/rpc", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", "jsonrpc2")
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxUpgradeBytes}
	reader := bufio.NewReader(limited)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, err
	}
	limited.N = math.MaxInt64 // messages follow
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("peer %s refused the upgrade to JSON-RPC: %s", address, resp.Status)
	}
	return reader, nil
}
