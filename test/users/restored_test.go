package users_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// Guards against a configuration that never becomes active because a restored store gives it the revision of an older one.
func TestConfigurationWithRepeatedRevisionBecomesActive(t *testing.T) {
	for name, hosts := range map[string]int{"hosts read the store": 2, "hosts follow relays": largeFleet} {
		t.Run(name, func(t *testing.T) {
			p := newDeployment(t, hosts)
			backup := p.store.Backup()
			rewrite := func() { p.plain[0].Register(p.store, "ready") }
			rewrite()
			p.configure(routes(100000))
			time.Sleep(configApply / 2)
			p.store.Restore(backup)
			rewrite()
			p.withdraw()
			for _, h := range p.hosts {
				p.awaitWithdrawn(h, configApply)
			}
		})
	}
}

// Guards against a host that starts after the store was restored and takes the older configuration which is stored there.
func TestHostStartedAfterRestoreTakesNewestConfiguration(t *testing.T) {
	p := newDeployment(t, 2)
	backup := p.store.Backup()
	p.withdraw()
	for _, h := range p.hosts {
		p.awaitWithdrawn(h, configApply)
	}
	p.store.Restore(backup)
	p.hosts[0].process.Terminate(0)
	p.start(p.hosts[0])
	p.awaitReady(p.hosts[0])
	for range 20 {
		for _, h := range p.hosts {
			p.g.Expect(p.do(h, http.MethodGet, "/view/1").status).To(Equal(http.StatusUnauthorized))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against work for a backend server that had left and is listed as ready again in a restored store.
func TestBackendServersThatLeftBeforeRestoreGetNoWork(t *testing.T) {
	p := newDeployment(t, 2)
	backup := p.store.Backup()
	for _, w := range p.plain {
		w.Register(p.store, "draining")
	}
	other := p.worker(users.WorkerOptions{ID: "app-3", Service: "app"})
	p.store.Remove("servers/app-1")
	time.Sleep(configApply / 2)
	before := [2]int{len(p.plain[0].Runs()), len(p.plain[1].Runs())}
	p.store.Restore(backup)
	for range 40 {
		// Each write raises the revision, in the end above that before the restore.
		other.Register(p.store, "ready")
		for _, h := range p.hosts {
			p.g.Expect(p.do(h, http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
		}
		time.Sleep(25 * time.Millisecond)
	}
	p.g.Expect([2]int{len(p.plain[0].Runs()), len(p.plain[1].Runs())}).To(Equal(before))
}

// Guards against refusals while the backend servers that a restored store has lost register again.
func TestBackendServersLostByRestoreKeepTheirWork(t *testing.T) {
	p := newDeployment(t, 2)
	for _, w := range p.plain {
		p.store.Remove("servers/" + w.ID)
	}
	backup := p.store.Backup()
	late := p.worker(users.WorkerOptions{ID: "app-3", Service: "app"})
	for _, h := range p.hosts {
		p.g.Eventually(func() string { return p.do(h, http.MethodGet, "/view/1").body }).WithTimeout(waitTimeout).Should(HaveSuffix(" by app-3"))
	}
	p.store.Restore(backup)
	registered := time.AfterFunc(1500*time.Millisecond, func() { late.Register(p.store, "ready") })
	defer registered.Stop()
	for range 20 {
		// Each write raises the revision above that before the restore.
		p.prefill.Register(p.store, "ready")
		for _, h := range p.hosts {
			p.g.Expect(p.do(h, http.MethodGet, "/view/1").status).To(Equal(http.StatusOK))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
