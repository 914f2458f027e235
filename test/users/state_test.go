package users_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// configApply is the time within which an accepted configuration must be active on every host.
const configApply = 2 * time.Second

// withdraw writes a configuration in which the callers' key is withdrawn.
func (f *fleet) withdraw() {
	c := routes(100000)
	c["tenants"] = []any{map[string]any{"name": workspace, "apiKeys": []string{"other"}, "ratePerS": 100000, "burst": 100000}}
	f.configure(c)
}

func (f *fleet) awaitWithdrawn(h *host, within time.Duration) {
	f.t.Helper()
	f.g.Eventually(func() int { return f.do(h, http.MethodGet, "/view/1").status }).
		WithTimeout(within).WithPolling(20 * time.Millisecond).Should(Equal(http.StatusUnauthorized))
}

// Guards against a host that accepts a withdrawn key, also when the store refuses the host's calls, does not respond to
// them, has compacted its history or has unreadable entries.
func TestConfigurationsBecomeActive(t *testing.T) {
	for name, prepare := range map[string]func(p *deployment){
		"store serves all":            func(*deployment) {},
		"store refuses one host":      func(p *deployment) { p.hosts[1].storeEndpoint.SetFault(users.Refusing) },
		"store does not answer one":   func(p *deployment) { p.hosts[1].storeEndpoint.SetFault(users.Unresponsive) },
		"store history is compacted":  func(p *deployment) { p.store.Compact() },
		"an entry cannot be read":     func(p *deployment) { p.store.Put("servers/strange", []byte(`{"service":7}`)) },
		"an entry is not JSON":        func(p *deployment) { p.store.Put("servers/zz", []byte(`not json`)) },
		"the store loses its replies": func(p *deployment) { p.hosts[0].storeEndpoint.SetFault(users.LosingResponses) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, 2)
			prepare(p)
			p.withdraw()
			for _, h := range p.hosts {
				// The limit is twice configApply, because a host notices only after a time-out that the store does not respond.
				p.awaitWithdrawn(h, 2*configApply)
			}
		})
	}
}

// Guards against a host that cannot start, or starts with an older configuration, while the store does not respond.
func TestRestartWhileStoreIsUnavailable(t *testing.T) {
	p := newDeployment(t, 2)
	p.withdraw()
	p.awaitWithdrawn(p.hosts[1], 2*configApply)
	for _, h := range p.hosts {
		h.storeEndpoint.SetFault(users.Unresponsive)
	}
	p.hosts[0].process.Terminate(0)
	p.start(p.hosts[0])
	p.awaitReady(p.hosts[0])
	p.awaitWithdrawn(p.hosts[0], configApply)
}

// Guards against a host without a configuration that responds with status 404 or 401 instead of 503, or reports ready.
func TestHostWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady(f.hosts[0])
	f.hosts[0].storeEndpoint.SetFault(users.Unresponsive)
	f.hosts[0].process.Terminate(0)
	f.start(f.hosts[0])
	f.g.Eventually(func() int { return f.do(f.hosts[0], http.MethodGet, "/view/1").status }).
		WithTimeout(waitTimeout).Should(Equal(http.StatusServiceUnavailable))
	resp, err := f.client.Get("http://" + f.hosts[0].ready + "/api/readyz")
	f.g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	f.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
}

// Guards against new work for a draining backend server, and against a new backend server that receives none.
func TestBackendServersLeaveAndJoin(t *testing.T) {
	p := newDeployment(t, 2)
	p.plain[0].Register(p.store, "draining")
	time.Sleep(2 * time.Second)
	before := len(p.plain[0].Runs())
	for range 10 {
		for _, h := range p.hosts {
			p.g.Expect(p.do(h, http.MethodPost, "/reserve/1").status).To(Equal(http.StatusOK))
		}
	}
	p.g.Expect(p.plain[0].Runs()).To(HaveLen(before))
	p.store.Remove("servers/app-1")
	p.store.Remove("servers/app-2")
	joined := p.worker(users.WorkerOptions{ID: "app-3", Service: "app"})
	p.g.Eventually(func() int { _ = p.do(p.hosts[0], http.MethodGet, "/view/1"); return len(joined.Runs()) }).
		WithTimeout(waitTimeout).ShouldNot(BeZero())
}

// Guards against a request that runs at a server of another service, which reuses the address of a server that has
// ended.
func TestReusedAddressesRunNothing(t *testing.T) {
	p := newDeployment(t, 1)
	p.plain[1].Register(p.store, "draining")
	time.Sleep(time.Second)
	address := p.plain[0].Addr
	p.plain[0].Close()
	other, err := users.StartWorker(users.WorkerOptions{ID: "other-1", Service: "other", Slots: 4}, address)
	p.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(other.Close)
	for range 5 {
		a := p.do(p.hosts[0], http.MethodPost, "/reserve/1")
		p.g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	}
	p.g.Expect(other.Runs()).To(BeEmpty())
	restarted := p.worker(users.WorkerOptions{ID: "app-1", Service: "app"})
	p.g.Eventually(func() int { return p.do(p.hosts[0], http.MethodPost, "/reserve/1").status }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	p.g.Expect(restarted.Runs()).NotTo(BeEmpty())
}

// Guards against a host that takes another key, whose name begins like that of the configuration, for the configuration.
func TestKeysBesideTheConfigurationAreIgnored(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady(f.hosts[0])
	other := routes(100000)
	other["version"], other["routes"] = 1000, []any{}
	text, err := json.Marshal(other)
	f.g.Expect(err).NotTo(HaveOccurred())
	f.store.Put("op/config-before", text)
	f.hosts[0].process.Terminate(0)
	f.start(f.hosts[0])
	f.awaitReady(f.hosts[0])
	f.g.Expect(f.do(f.hosts[0], http.MethodGet, "/view/1").status).NotTo(Equal(http.StatusNotFound))
	f.withdraw()
	f.awaitWithdrawn(f.hosts[0], configApply)
}
