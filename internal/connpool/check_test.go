package connpool_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/connpool"
	"github.com/boragecourse/boragecourse/test/standin/rawserver"
)

// Guards against a request that is sent to a server which must get none any more since the wait for a connection began, on a new
// connection or a kept one.
func TestRequestsAreCheckedWhenTheirConnectionIsOpen(t *testing.T) {
	e := newEnv(t, func(c *rawserver.Conn) {
		for r := c.Request(); r != nil; r = c.Request() {
			if r.Header.Get("Request-Id") != "allowed" {
				t.Errorf("request %s was sent", r.Header.Get("Request-Id"))
			}
			c.Respond(r, "allowed")
		}
	})
	refused, refusing := errors.New("zone is evacuated"), false
	options := connpool.Options{
		MaxHeaderBytes: 16 << 10, Metrics: e.reg, IdleLimit: func(connpool.Target) int { return 1 }, Clock: func() time.Duration { return 0 },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			defer func() { refusing = true }()
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
		Check: func(target connpool.Target) error {
			e.g.Expect(target).To(Equal(e.target))
			if refusing {
				return refused
			}
			return nil
		},
	}
	e.pool = connpool.New(options)
	t.Cleanup(e.pool.Close)
	_, err := e.do("new", connpool.NewConnection)
	var notSent *connpool.NotSentError
	e.g.Expect(errors.As(err, &notSent) && errors.Is(err, refused)).To(BeTrue(), "%v", err)
	e.pool = connpool.New(connpool.Options{
		MaxHeaderBytes: options.MaxHeaderBytes, Metrics: e.reg, IdleLimit: options.IdleLimit, Clock: options.Clock, Check: options.Check,
		Dial: (&net.Dialer{}).DialContext,
	})
	t.Cleanup(e.pool.Close)
	refusing = false
	_, err = e.do("allowed", connpool.AnyConnection)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(e.pool.Idle()).To(Equal(1))
	refusing = true
	_, err = e.do("kept", connpool.AnyConnection)
	e.g.Expect(errors.Is(err, refused)).To(BeTrue(), "%v", err)
}
