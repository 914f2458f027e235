package front

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/outcome"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

// Guards against an urgency that is sent where all requests have the same rank, or that does not follow from the priorities.
func TestUrgencyIsSentWithSeveralRanks(t *testing.T) {
	d := newDrainFixture(t, 5*time.Second, func(*Front) {})
	urgencies := func() map[string]string {
		out := map[string]string{}
		for path, server := range map[string]*users.Worker{"/reserve/1": d.plain, "/note/1": d.engine} {
			// The stream outlasts the route's time; only the request to the engine matters.
			id, _ := d.send(t.Context(), http.DefaultClient, path)
			header := server.Header(id)
			d.g.Expect(header).NotTo(BeNil())
			out[path] = header.Get("Request-Urgency")
		}
		return out
	}
	d.g.Expect(urgencies()).To(Equal(map[string]string{"/reserve/1": "", "/note/1": ""}))

	tenant := users.Tenant("guests", []string{"key"}, 100000)
	tenant["priority"] = 1
	urgent := users.Tenant("staff", []string{"key2"}, 100000)
	urgent["priority"] = 0
	config := users.Configuration("stays.example", tenant, urgent)
	config["version"] = 2
	text, err := json.Marshal(config)
	d.g.Expect(err).NotTo(HaveOccurred())
	d.store.Put("op/config", text)
	d.g.Eventually(func() uint64 { return d.state.Configuration().Version }).WithTimeout(5 * time.Second).Should(BeEquivalentTo(2))
	d.g.Expect(urgencies()).To(Equal(map[string]string{"/reserve/1": "4", "/note/1": "4"}))
}

// Guards against loads that are stated and not used, against refusals of requests that have run, and against a service that
// stays refusing after its queue is gone.
func TestStatedQueuesLeadToRefusals(t *testing.T) {
	d := newDrainFixture(t, 5*time.Second, func(*Front) {})
	d.plain.StateLoad(500*time.Millisecond, "4,24,4")
	var mu sync.Mutex
	served, refused := 0, []string{}
	var group sync.WaitGroup
	for range 120 {
		time.Sleep(20 * time.Millisecond)
		group.Go(func() {
			id, err := d.send(t.Context(), http.DefaultClient, "/reserve/1")
			mu.Lock()
			defer mu.Unlock()
			var failure *outcome.Error
			switch {
			case err == nil:
				served++
			case errors.As(err, &failure) && failure.Status == http.StatusServiceUnavailable:
				refused = append(refused, id)
			}
		})
	}
	group.Wait()
	d.g.Expect(served).To(BeNumerically(">", 5))
	d.g.Expect(len(refused)).To(BeNumerically(">", 5))
	d.g.Expect(served + len(refused)).To(Equal(120))
	for _, id := range refused {
		d.g.Expect(d.plain.Runs()[id]).To(BeZero())
	}
	d.g.Expect(d.metrics.Count("overload_refusals", metrics.L("service", "app"), metrics.L("reason", "queue_delay"))).To(BeNumerically(">", 0))
	d.plain.StateLoad(50*time.Millisecond, "")
	time.Sleep(600 * time.Millisecond)
	for range 10 {
		_, err := d.send(t.Context(), http.DefaultClient, "/reserve/1")
		d.g.Expect(err).NotTo(HaveOccurred())
	}
}
