package users_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

const (
	// coldRate is the number of requests a second that a cold server tolerates. coldBound follows from it by the settings.
	coldRate  = 4
	coldBound = 1.5*coldRate + 5
	coldTime  = 5 * time.Second
)

// Guards against hosts that together send more to a cold server than it tolerates, when an evacuation ends, when the server says so
// in a response, or when it has just started; against requests that are refused for it while other servers are free; and against
// a server that gets no requests while it is cold.
func TestColdServersGetFewRequests(t *testing.T) {
	for name, begin := range map[string]func(z *zonedFleet) *users.Worker{
		"evacuation ended": func(z *zonedFleet) *users.Worker {
			// The zone of the hosts, so that they prefer its servers.
			z.store.Put("op/evacuate/"+otherZone, []byte("{}"))
			time.Sleep(noticeTime)
			z.store.Remove("op/evacuate/" + otherZone)
			return z.workers[otherZone][0]
		},
		"registered": func(z *zonedFleet) *users.Worker {
			w := z.workers[otherZone][0]
			w.BeCold(coldTime)
			w.Register(z.store, "ready")
			time.Sleep(noticeTime)
			return w
		},
		"in a response": func(z *zonedFleet) *users.Worker {
			w := z.workers[otherZone][0]
			w.BeCold(coldTime)
			z.load(noticeTime, z.hosts...)
			return w
		},
		"started": func(z *zonedFleet) *users.Worker {
			z.store.Remove("servers/" + z.workers[otherZone][0].ID)
			return z.worker(users.WorkerOptions{ID: "app-new", Service: "app", Slots: 20, Zone: otherZone})
		},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZonedFleet(t, 5)
			// In another zone than the hosts, so that they prefer the cold server. Equally idle servers are chosen in no order.
			z.worker(users.WorkerOptions{ID: "app-other", Service: "app", Slots: 20, Zone: evacuatedZone})
			c := routes(100000)
			for _, s := range c["services"].([]any) {
				s.(map[string]any)["coldStartS"], s.(map[string]any)["coldPerS"] = coldTime.Seconds(), coldRate
			}
			z.configure(c)
			time.Sleep(noticeTime)
			w := begin(z)
			from := time.Now()
			for _, a := range z.load(coldTime-2*noticeTime, z.hosts...) {
				z.g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			}
			z.g.Expect(w.MostArrivals(from, time.Second)).To(And(BeNumerically("<=", coldBound), BeNumerically(">", 0)))
			if name == "evacuation ended" {
				runs := z.workers[otherZone][2].MostArrivals(from, time.Second)
				z.g.Expect(2*runs).To(BeNumerically("<=", coldBound), "each run follows a reservation")
			}
			time.Sleep(2*noticeTime + time.Second)
			from = time.Now()
			z.load(time.Second, z.hosts...)
			z.g.Expect(w.MostArrivals(from, time.Second)).To(BeNumerically(">", coldBound), "it is warm")
		})
	}
}
