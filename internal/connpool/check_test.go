package connpool_test

import (
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/connpool"
)

// Guards against a request that is sent to a server which must get none any more since the wait for a connection began, on a new
// connection or a kept one.
func TestRequestsAreCheckedWhenTheirConnectionIsOpen(t *testing.T) {
	e := newEnv(t, echo)
	var refusal error
	e.pool = connpool.New(connpool.Options{
		Dial: (&net.Dialer{}).DialContext, MaxHeaderBytes: 16 << 10, Metrics: e.reg, IdleLimit: func(connpool.Target) int { return 2 },
		Clock: func() time.Duration { return 0 }, Check: func(connpool.Target) error { return refusal },
	})
	t.Cleanup(e.pool.Close)
	e.expectServed("a", connpool.AnyConnection, 1)
	refusal = errors.New("zone is evacuated")
	for _, reuse := range []connpool.Reuse{connpool.AnyConnection, connpool.NewConnection} {
		_, err := e.do("b", reuse)
		var notSent *connpool.NotSentError
		e.g.Expect(errors.As(err, &notSent) && errors.Is(err, refusal)).To(BeTrue(), "%v", err)
	}
	e.g.Eventually(e.server.Accepted).Should(Equal(2), "the new connection was open")
	e.g.Expect(e.pool.Idle()).To(BeZero())
}
