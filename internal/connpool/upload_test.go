package connpool_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/connpool"
	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// watchedConn reports the first write that fails.
type watchedConn struct {
	*net.TCPConn
	failed func()
}

func (c watchedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.failed()
	}
	return n, err
}

// upload sends a request that is too large for the buffers of its connection, to a server that responds at once without a length and
// then ends the connection. It returns the response, and a channel that is closed once a write has failed.
func upload(t *testing.T, end func(c *net.TCPConn)) (*connpool.Response, <-chan struct{}) {
	failed := make(chan struct{})
	closeFailed := sync.OnceFunc(func() { close(failed) })
	received := make(chan struct{})
	e := newEnv(t, func(c *rawserver.Conn) {
		c.RequestHead()
		c.Send("HTTP/1.1 200 OK\r\n\r\npart")
		<-received
		end(c.Conn.(*net.TCPConn))
	})
	e.pool = connpool.New(connpool.Options{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return watchedConn{conn.(*net.TCPConn), closeFailed}, nil
		},
		MaxHeaderBytes: 16 << 10, Metrics: e.reg, IdleLimit: func(connpool.Target) int { return 4 }, Clock: func() time.Duration { return 0 },
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.target.Address+"/x", strings.NewReader(strings.Repeat("x", 32<<20)))
	e.g.Expect(err).NotTo(HaveOccurred())
	resp, err := e.pool.Do(t.Context(), e.target, req, connpool.AnyConnection)
	e.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = resp.Close() })
	close(received)
	return resp, failed
}

// Guards against a part of a response without a length that counts as complete, because the write of the request has got the error by
// which its server reset the connection.
func TestResponseResetDuringTheUploadIsIncomplete(t *testing.T) {
	g := NewWithT(t)
	resp, failed := upload(t, func(c *net.TCPConn) { _ = c.SetLinger(0) })
	g.Eventually(failed).WithTimeout(5 * time.Second).Should(BeClosed())
	_, err := io.ReadAll(resp)
	g.Expect(err).To(HaveOccurred())
}

// Guards against a complete response without a length that fails because its server ends it before it has read the request.
func TestResponseEndedDuringTheUploadIsComplete(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan struct{})
	defer close(ended)
	resp, failed := upload(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-ended
	})
	text, err := io.ReadAll(resp)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal("part"))
	g.Eventually(failed).WithTimeout(5*time.Second).Should(BeClosed(), "the write goes on")
}
