// Package peer connects hosts to each other over grpc. Hosts authenticate with a shared secret.
package peer

import "google.golang.org/grpc"

// Dialer returns connections to hosts by peer address (ip:port). Connections are shared and reconnect by
// themselves; a call on an unreachable one fails with codes.Unavailable or ends with its context.
type Dialer interface {
	Conn(addr string) grpc.ClientConnInterface
}
