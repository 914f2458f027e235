// Package peer provides the gRPC connections between hosts. Hosts authenticate with a shared secret.
package peer

import "google.golang.org/grpc"

// Dialer returns connections to hosts by peer address (ip:port). Connections are shared and reconnect automatically.
// A call to an unreachable host fails with codes.Unavailable or when its context ends.
type Dialer interface {
	Conn(addr string) grpc.ClientConnInterface
}
