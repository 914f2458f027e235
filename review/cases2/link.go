package main

import (
	"net"
	"sync"
)

// link is the way from one host to the store. While it is cut, it holds what both sides send, as a partition does, and passes it on
// once it is healed.
type link struct {
	addr, to string
	listener net.Listener

	mu    sync.Mutex
	open  *sync.Cond
	cut   bool
	ended bool
}

func newLink(to string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{addr: l.Addr().String(), to: to, listener: l}
	k.open = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.open.Broadcast()
}

func (l *link) close() {
	l.mu.Lock()
	l.ended = true
	l.open.Broadcast()
	l.mu.Unlock()
	_ = l.listener.Close()
}

// pass waits while the link is cut.
func (l *link) pass() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut && !l.ended {
		l.open.Wait()
	}
}

func (l *link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			l.pass()
			out, err := net.Dial("tcp", l.to)
			if err != nil {
				_ = in.Close()
				return
			}
			go l.copy(in, out)
			l.copy(out, in)
		}()
	}
}

func (l *link) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		l.pass()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
