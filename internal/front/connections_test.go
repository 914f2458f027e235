package front

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against idle connections of all hosts that take up a backend server's connection limit.
func TestIdleConnectionsLeaveRoomAtServers(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ maxConnections, hosts, want int }{
		{0, 5, maxIdlePerServer}, {110, 5, maxIdlePerServer}, {1900, 119, 6}, {430, 119, 1}, {10, 350, 1},
	} {
		limit := idleLimit(c.maxConnections, c.hosts)
		g.Expect(limit).To(Equal(c.want), "%+v", c)
		if c.maxConnections >= 2*c.hosts {
			g.Expect(limit*c.hosts).To(BeNumerically("<=", c.maxConnections/2), "%+v", c)
		}
	}
}
