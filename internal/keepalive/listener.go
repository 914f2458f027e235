package keepalive

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// listener makes the connections that a Server accepts.
type listener Server

// Accept implements net.Listener. After stopAccepting it returns the connections that the kernel has accepted already, and closes
// the listener after the last one.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.listener.Accept()
	if err != nil && l.stopping.Load() {
		accepted, err = l.acceptQueued()
	}
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok && l.socketBuffer > 0 {
		_ = tcp.SetReadBuffer(l.socketBuffer)
		_ = tcp.SetWriteBuffer(l.socketBuffer)
	}
	c := &conn{Conn: accepted, server: (*Server)(l), since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	c.endWhen(l.endIdle, l.endUnread)
	if l.maxWaiting > 0 {
		(*Server)(l).endOldest()
	}
	return c, nil
}

func (l *listener) Close() error { return l.listener.Close() }

func (l *listener) Addr() net.Addr { return l.listener.Addr() }

// stopAccepting makes the listener close once no connection is queued. The kernel resets the connections that are queued when
// a listener closes, although their callers may have sent whole requests.
func (s *Server) stopAccepting() {
	if s.stopping.Swap(true) {
		return
	}
	interruptible, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || interruptible.SetDeadline(past) != nil {
		_ = s.listener.Close()
	}
}

// acceptQueued returns a connection that is queued in the kernel. If there is none it closes the listener and returns net.ErrClosed.
func (l *listener) acceptQueued() (net.Conn, error) {
	c, err := acceptNow(l.listener)
	if err != nil {
		return nil, errors.Join(net.ErrClosed, l.listener.Close())
	}
	return c, nil
}

// acceptNow accepts a connection without blocking, regardless of the deadline of the listener.
func acceptNow(l net.Listener) (net.Conn, error) {
	source, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	err = raw.Control(func(listening uintptr) {
		for {
			fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(acceptErr, syscall.EINTR) && !errors.Is(acceptErr, syscall.ECONNABORTED) {
				return
			}
		}
	})
	if err := errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}
