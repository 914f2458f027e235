// Package memnet is an in-memory gRPC network between hosts. It runs on the fake clock of testing/synctest, and
// tests can partition its links and add latency to them.
package memnet

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Network connects the nodes of a test by address. Links are directed: a cut from a to b drops the requests that
// a sends to b and the replies that a returns to b.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Node
	cut   map[link]bool
	delay func(from, to string) time.Duration
	// messages and bytes count delivered requests and replies.
	messages, bytes int64
}

type link struct{ from, to string }

// New returns a network whose links have no delay.
func New() *Network {
	return &Network{nodes: map[string]*Node{}, cut: map[link]bool{}, delay: func(_, _ string) time.Duration { return 0 }}
}

// SetDelay sets the function that returns the one-way delay of a link.
func (n *Network) SetDelay(delay func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// PartitionOneWay drops all messages from one address to another until Heal or HealAll. A call whose request or reply
// is dropped blocks until its context ends.
func (n *Network) PartitionOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = true
}

// Partition cuts both directions between two addresses.
func (n *Network) Partition(a, b string) {
	n.PartitionOneWay(a, b)
	n.PartitionOneWay(b, a)
}

// Heal restores both directions between two addresses.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, link{a, b})
	delete(n.cut, link{b, a})
}

// HealAll restores every link.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Traffic returns the number of delivered messages and their encoded bytes.
func (n *Network) Traffic() (messages, bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

// Node is the endpoint of one address. It implements grpc.ServiceRegistrar and peer.Dialer.
type Node struct {
	net  *Network
	addr string

	mu       sync.Mutex
	down     bool
	services map[string]service
}

type service struct {
	impl    any
	methods map[string]grpc.MethodDesc
}

// Node returns the node with the given address and creates it on first use.
func (n *Network) Node(addr string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[addr] == nil {
		n.nodes[addr] = &Node{net: n, addr: addr, services: map[string]service{}}
	}
	return n.nodes[addr]
}

// SetDown sets whether the node refuses connections, as after a crash of its process. Setting it unregisters the
// node's services.
func (d *Node) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		clear(d.services)
	}
}

// RegisterService implements grpc.ServiceRegistrar.
func (d *Node) RegisterService(desc *grpc.ServiceDesc, impl any) {
	methods := map[string]grpc.MethodDesc{}
	for _, m := range desc.Methods {
		methods[m.MethodName] = m
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services[desc.ServiceName] = service{impl: impl, methods: methods}
}

// Conn implements peer.Dialer.
func (d *Node) Conn(addr string) grpc.ClientConnInterface {
	return &conn{net: d.net, from: d.addr, to: addr}
}

type conn struct {
	net      *Network
	from, to string
}

// NewStream implements grpc.ClientConnInterface; hosts use unary calls only.
func (c *conn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "streams are not supported")
}

// Invoke implements grpc.ClientConnInterface.
func (c *conn) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	request, answer := args.(proto.Message), reply.(proto.Message)
	if err := c.net.transfer(ctx, c.from, c.to, request); err != nil {
		return err
	}
	result, err := c.call(ctx, method, request)
	if terr := c.net.transfer(ctx, c.to, c.from, result); terr != nil {
		return terr
	}
	if err != nil {
		return status.Convert(err).Err()
	}
	proto.Merge(answer, result)
	return nil
}

func (c *conn) call(ctx context.Context, method string, request proto.Message) (proto.Message, error) {
	node := c.net.Node(c.to)
	serviceName, methodName, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/")
	node.mu.Lock()
	svc, ok := node.services[serviceName]
	down := node.down
	node.mu.Unlock()
	if down || !ok {
		return nil, status.Error(codes.Unavailable, "connection refused")
	}
	decode := func(into any) error {
		proto.Merge(into.(proto.Message), request)
		return nil
	}
	m, ok := svc.methods[methodName]
	if !ok {
		return nil, status.Error(codes.Unimplemented, method)
	}
	result, err := m.Handler(svc.impl, ctx, decode, nil)
	if err != nil {
		return nil, err
	}
	return proto.Clone(result.(proto.Message)), nil
}

// transfer delivers a message after the link's delay. On a cut link it blocks until the context ends.
func (n *Network) transfer(ctx context.Context, from, to string, m proto.Message) error {
	n.mu.Lock()
	cut, delay := n.cut[link{from, to}], n.delay(from, to)
	if !cut {
		n.messages++
		if m != nil {
			n.bytes += int64(proto.Size(m))
		}
	}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return status.FromContextError(ctx.Err()).Err()
	}
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}
