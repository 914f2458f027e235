package soak_test

import (
	"net"
	"sync"
	"time"
)

// proxyFault is the fault that a proxy injects into its connections.
type proxyFault int

const (
	forwarding proxyFault = iota
	// delaying delays each read by proxyDelay.
	delaying
	// dropping reads and discards the bytes of both directions.
	dropping
	// oneWay reads and discards the bytes from the server.
	oneWay
	// resetting resets open and new connections.
	resetting
	proxyFaults
)

// proxyDelay is the delay that delaying adds to each read.
const proxyDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a server and injects faults.
type proxy struct {
	addr     string
	listener net.Listener

	mu     sync.Mutex
	server string
	fault  proxyFault
	conns  map[net.Conn]bool
}

func newProxy(server string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), listener: l, server: server, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) close() { _ = p.listener.Close(); p.set(resetting) }

// set changes the fault. A connection of which bytes were dropped forwards nothing more in that direction afterwards.
func (p *proxy) set(f proxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == resetting {
		for c := range p.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	if p.currentFault() == resetting {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(server, client, false) })
	group.Go(func() { p.copy(client, server, true) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards bytes until the connection ends. After bytes were dropped it forwards nothing more, since the byte stream
// would have a gap.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	buffer := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			f := p.currentFault()
			switch {
			case f == dropping, f == oneWay && fromServer:
				dropped = true
			case f == delaying:
				time.Sleep(proxyDelay)
			}
			if !dropped {
				if _, werr := to.Write(buffer[:n]); werr != nil {
					return
				}
			}
		}
		if err != nil {
			if !dropped {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			return
		}
	}
}
