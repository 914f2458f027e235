package front

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
