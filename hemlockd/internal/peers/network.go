package peers

import (
	"context"
	"net"
)

// Network opens the connections between daemons. Tests replace it.
type Network interface {
	// ListenPacket opens the port (IP:port) for datagrams.
	ListenPacket(address string) (net.PacketConn, error)
	// Listen opens the port (IP:port) for calls.
	Listen(address string) (net.Listener, error)
	// Dial connects to the port for calls of another daemon.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// systemNetwork is the network of the machine.
type systemNetwork struct{}

// ListenPacket implements [Network].
func (systemNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", address)
}

// Listen implements [Network].
func (systemNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp4", address)
}

// Dial implements [Network].
func (systemNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}
