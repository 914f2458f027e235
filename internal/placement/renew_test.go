package placement

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
)

// Guards against periodic traffic above 5 KB/s per host in a zone of the target size: 350 hosts and 3,600 servers in 22
// zones are 16 hosts and 164 servers per zone. Each host holds reservations at most of the home hosts. The two
// renewals per round to hosts of other zones are not included.
func TestRenewalTrafficStaysWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const hosts, servers, overhead = 16, 164, callOverhead / 2
		f := &fleet{net: memnet.New()}
		var all []rules.Rule
		for i := range servers {
			name := fmt.Sprintf("keeper-llm-%03d", i)
			role := rules.RoleDecode
			if i%3 == 0 {
				role = rules.RolePrefill
			}
			all = append(all, &rules.Server{Name: name, Addr: name, Zone: "z", Role: role, Model: "m", Slots: 20})
		}
		f.setRules(1, all)
		var ids []host.ID
		for i := range hosts {
			name := fmt.Sprintf("host-%02d", i)
			ids = append(ids, host.ID{Name: name, Addr: name, Zone: "z", Incarnation: host.NewIncarnation()})
		}
		f.setEpoch(1, ids...)
		ctx, cancel := context.WithCancel(context.Background())
		for _, id := range ids {
			node := f.net.Node(id.Addr)
			s := New(Deps{Viewer: member{f, id}, Dialer: node, Config: f, Log: logr.Discard()}, Options{})
			s.Register(node)
			go func() { _ = s.Serve(ctx) }()
			time.Sleep(10 * time.Millisecond)
			for range 20 {
				p, err := s.Place(ctx, f.Current(), f.request(rules.ClassWait))
				g.Expect(err).NotTo(HaveOccurred())
				p.ReleasePrefill()
			}
		}
		time.Sleep(10 * time.Second)
		messages, bytes := f.net.Traffic()
		time.Sleep(time.Minute)
		m, b := f.net.Traffic()
		// Each message is sent by one host and received by another.
		perHost := 2 * float64(b-bytes+overhead*(m-messages)) / hosts / 60
		t.Logf("%.0f bytes per second and host", perHost)
		g.Expect(perHost).To(BeNumerically("<", 5000))
		cancel()
		time.Sleep(5 * time.Second)
	})
}
